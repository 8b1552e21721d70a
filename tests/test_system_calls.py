"""Failing system calls, with the errors of their manual pages: none of them ends the gateway or other requests."""

from __future__ import annotations

import errno
import os
from pathlib import Path
from typing import Any

import pytest
import trio
import trio.testing

from ternlane.gateway import listeners as gateway_listeners
from ternlane.http1 import connection_pool as connection_pool_module
from ternlane.log_output import PIPE_BYTES, LogOutput
from ternlane.platform import process_usage
from tests.gateway_cluster import gateway_cluster
from tests.platform_gateway import Platform, platform, wait_until_ready
from tests.race_helpers import RawClient, client_request, wait_until
from tests.test_platform_bounds import running

ACCEPT_ERRORS = [
    errno.ECONNABORTED,
    errno.EPROTO,
    errno.ENETDOWN,
    errno.EHOSTUNREACH,
    errno.ENETUNREACH,
    errno.EPERM,
    errno.EMFILE,
    errno.ENFILE,
    errno.ENOBUFS,
    errno.ENOMEM,
    errno.EINVAL,
    errno.EOPNOTSUPP,
    errno.EBADF,
]


class FailingAccept:
    """Makes accept on the listener at this address fail with these errors, one after the other, and then work."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, address: str, numbers: list[int]) -> None:
        self.numbers = list(numbers)
        with trio.socket.socket() as any_socket:
            kind = type(any_socket)
        port, accept = int(address.rpartition(":")[2]), kind.accept

        async def fail_first(sock: Any) -> Any:
            if self.numbers and sock.getsockname()[1] == port:
                number = self.numbers.pop(0)
                raise OSError(number, os.strerror(number))
            return await accept(sock)

        monkeypatch.setattr(kind, "accept", fail_first)


async def request_status(p: Platform) -> int:
    with trio.fail_after(5):
        return (await p.ask()).status


async def test_no_error_of_accept_ends_the_gateway() -> None:
    """accept fails with each error that the system may report. The gateway serves the next client nevertheless."""
    async with platform("r0", "w0") as p:
        for number in ACCEPT_ERRORS:
            with pytest.MonkeyPatch.context() as patch:
                failing = FailingAccept(patch, p.address, [number] * 3)
                assert await request_status(p) == 200  # accepted by the call that waits already
                await wait_until(lambda failing=failing: not failing.numbers)
                assert await request_status(p) == 200, errno.errorcode[number]
        await p.wait_until_idle()


@pytest.mark.parametrize("number", [errno.EPROTO, errno.ENFILE, errno.EINVAL, errno.EBADF])
async def test_a_shutdown_accepts_queued_connections_although_accept_fails(
    monkeypatch: pytest.MonkeyPatch, number: int
) -> None:
    """A client waits in the listener's queue as the gateway shuts down, and accept fails first. The connection is
    accepted and the client answered."""
    async with platform("r0", "w0") as p:
        p.gateway.accept_scope.cancel()
        await trio.testing.wait_all_tasks_blocked()
        client = RawClient(p.address)
        client.send(client_request(p))
        failing = FailingAccept(monkeypatch, p.address, [number])
        await p.gateway.acceptor.accept_queued(p.gateway.listener, p.nursery, 300.0)
        assert not failing.numbers
        assert (await client.answer()).startswith(b"HTTP/1.1 200 ")
        client.sock.close()
        await p.wait_until_idle()


async def test_no_error_of_accept_ends_the_chat_gateway(monkeypatch: pytest.MonkeyPatch) -> None:
    """accept fails, here in the chat gateway."""
    monkeypatch.setattr(gateway_listeners, "ACCEPT_PAUSE_S", 0.01)
    async with gateway_cluster() as w:
        failing = FailingAccept(monkeypatch, w.gateway.address, [errno.EINVAL, errno.EBADF, errno.EMFILE])
        with trio.fail_after(5):
            for _ in range(2):  # the first is accepted by the call that waits already
                assert (await w.ask()).status == 200
        assert not failing.numbers


@pytest.mark.parametrize(
    "number, times",
    [
        (errno.EMFILE, 6),  # errors of this machine
        (errno.ENFILE, 6),
        (errno.ENOBUFS, 6),
        (errno.ENOMEM, 6),
        (errno.EADDRNOTAVAIL, 6),
        (errno.ENETUNREACH, 6),
        (errno.EHOSTUNREACH, 1),  # errors of the server
        (errno.ETIMEDOUT, 1),
        (errno.ECONNREFUSED, 1),
    ],
)
async def test_a_short_lack_of_local_resources_fails_no_request(
    monkeypatch: pytest.MonkeyPatch, number: int, times: int
) -> None:
    """This machine is out of ports or descriptors for a moment as an attempt connects. The connect is retried, and the
    server is not ejected. An error of the server itself is not retried there and ejects it."""
    async with platform() as p:
        servers = {server.address for server in p.servers.values()}
        failed: list[str] = []
        open_stream = connection_pool_module.open_stream

        async def failing(host: str, port: int, source: str | None) -> trio.SocketStream:
            address = f"{host}:{port}"
            if address in servers and len(failed) < times:
                failed.append(address)
                raise OSError(number, os.strerror(number))
            return await open_stream(host, port, source)

        monkeypatch.setattr(connection_pool_module, "open_stream", failing)
        assert await request_status(p) == 200 and len(failed) == times
        await p.wait_until_idle()
        ejected = any(event == "info server" for event, _ in p.log.lines)
        assert ejected == (times == 1)  # only errors of the server eject it


# -- the log


def test_a_log_line_that_can_t_be_written_is_dropped_and_counted() -> None:
    """The log's pipe is full and then closed. Lines are dropped and counted; the writer neither blocks nor fails."""
    prefill_server, decode_server = os.pipe()
    log = LogOutput(decode_server)
    log.write("a line\n")
    assert os.read(prefill_server, 100) == b"a line\n" and log.dropped == 0
    while log.dropped == 0:  # the pipe is not read any more
        log.write("x" * PIPE_BYTES)
    os.close(prefill_server)
    log.write("no reader\n")
    os.close(decode_server)
    log.write("it is closed\n")
    assert log.dropped == 3


def test_a_log_line_is_dropped_and_counted_on_a_full_disk() -> None:
    full = os.open("/dev/full", os.O_WRONLY)
    try:
        log = LogOutput(full)
        log.write("no room\n")
        assert log.dropped == 1
    finally:
        os.close(full)


async def test_a_gateway_whose_log_file_is_truncated_continues(tmp_path: Path) -> None:
    """The log file is truncated while the gateway runs. Requests are served nevertheless."""
    async with platform("r0", "w0") as p, running(p, tmp_path) as (process, log):
        await wait_until_ready(p)
        os.close(os.open(log, os.O_WRONLY | os.O_TRUNC))
        for _ in range(3):
            assert (await p.ask()).status == 200


def test_the_descriptor_count_is_minus_one_if_it_can_not_be_read(monkeypatch: pytest.MonkeyPatch) -> None:
    """Counting the open descriptors needs a free one. Without one the report has -1 instead of failing."""

    def no_descriptors(_: str) -> list[str]:
        raise OSError(errno.EMFILE, "Too many open files")

    monkeypatch.setattr(os, "listdir", no_descriptors)
    assert process_usage.open_descriptors() == -1

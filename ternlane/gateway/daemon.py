"""The process of one gateway: signals, reload and graceful shutdown."""

from __future__ import annotations

import os
import signal
import socket
from collections.abc import AsyncIterator, Callable
from contextlib import suppress
from pathlib import Path
from typing import Any

import structlog
import trio

from ternlane.config import ConfigError, GatewayConfig, read_config
from ternlane.gateway.gateway import Gateway, open_gateway
from ternlane.policy.router import Router

FIRST_INHERITED_FD = 3  # of the LISTEN_FDS protocol: after the standard streams


def inherited_listeners() -> list[trio.SocketListener] | None:
    """Listening sockets passed by the parent process (the LISTEN_FDS protocol), or None."""
    if os.environ.get("LISTEN_PID") not in (None, str(os.getpid())) or not os.environ.get("LISTEN_FDS"):
        return None
    count = int(os.environ.pop("LISTEN_FDS"))
    os.environ.pop("LISTEN_PID", None)
    listeners = []
    for fd in range(FIRST_INHERITED_FD, FIRST_INHERITED_FD + count):
        os.set_inheritable(fd, False)
        sock = socket.socket(fileno=fd)
        sock.setblocking(False)
        listeners.append(trio.SocketListener(trio.socket.from_stdlib_socket(sock)))
    return listeners


def notify(state: str) -> None:
    """Reports the state to the service manager (the sd_notify protocol: one datagram to NOTIFY_SOCKET)."""
    path = os.environ.get("NOTIFY_SOCKET")
    if path:
        # A service manager that does not listen is no error.
        with socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM) as sock, suppress(OSError):
            sock.sendto(state.encode(), "\0" + path[1:] if path.startswith("@") else path)


def write_pid_file(path: Path) -> None:
    """Replaces the file atomically: a reader sees the old process id or the new one."""
    fresh = path.with_name(f"{path.name}.{os.getpid()}")
    fresh.write_text(f"{os.getpid()}\n")
    fresh.replace(path)


def remove_pid_file(path: Path) -> None:
    """Removes the file unless a successor process has written its own id there."""
    try:
        if path.read_text().strip() == str(os.getpid()):
            path.unlink()
    except OSError:
        pass


async def run_gateway(
    path: str, config: GatewayConfig, chooser: Callable[..., Any] | None = None, pid_file: str | None = None
) -> None:
    """Serves until SIGTERM or SIGINT, then drains; another SIGTERM or SIGINT ends the drain at once. SIGHUP reloads the
    configuration and applies what can change without a restart. `chooser` creates the router."""
    log = structlog.get_logger(gateway=config.name)
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
        async with open_gateway(config, chooser or Router, log, listeners=inherited_listeners()) as gateway:
            if pid_file is not None:
                write_pid_file(Path(pid_file))
            notify(f"READY=1\nSTATUS=serving at {gateway.address}\nMAINPID={os.getpid()}")
            await reload_until_end(path, gateway, signals, log)
            notify("STOPPING=1")
            log.info("draining", open=len(gateway.runtime.active_requests))
            await drain(gateway, signals)
            if pid_file is not None:
                remove_pid_file(Path(pid_file))
            log.info("ended")


async def reload_until_end(path: str, gateway: Gateway, signals: AsyncIterator[int], log: Any) -> None:
    """Reloads the configuration at each SIGHUP, until another signal arrives. An invalid one changes nothing."""
    async for number in signals:
        if number != signal.SIGHUP:
            return
        notify("RELOADING=1")
        try:
            changed, needs_restart = gateway.reload(read_config(path, GatewayConfig))
            log.info("reloaded", changed=changed, needs_restart=needs_restart)
        except ConfigError as error:
            log.error("reload refused", why=str(error))
        notify("READY=1")


async def drain(gateway: Gateway, signals: AsyncIterator[int]) -> None:
    """Drains the gateway; another SIGTERM or SIGINT stops it at once."""
    async with trio.open_nursery() as nursery:

        async def end_at_once() -> None:
            """Cancels the drain at the next SIGTERM or SIGINT."""
            async for number in signals:
                if number != signal.SIGHUP:
                    nursery.cancel_scope.cancel()
                    return

        nursery.start_soon(end_at_once)
        await gateway.drain()
        nursery.cancel_scope.cancel()

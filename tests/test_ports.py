"""Ports of the processes of a run: several runs at a time must not take the same ones."""

from __future__ import annotations

import subprocess
import sys

import pytest
import trio

from ternlane.scenarios import ports
from ternlane.scenarios.errors import RunError
from ternlane.scenarios.ports import reserve_ports

RUNS, PORTS_EACH = 6, 20
RESERVE = f"""
from ternlane.scenarios.ports import reserve_ports
ports = reserve_ports({PORTS_EACH})
print(ports.first, flush=True)
input()
"""


def test_runs_at_the_same_time_reserve_different_ports() -> None:
    """Guards against EADDRINUSE in two runs of the suite: each looked for free ports and bound them seconds later."""
    runs = [
        subprocess.Popen([sys.executable, "-c", RESERVE], stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True)
        for _ in range(RUNS)
    ]
    try:
        taken = [set(range(first, first + PORTS_EACH)) for first in (int(run.stdout.readline()) for run in runs)]
    finally:
        for run in runs:
            run.communicate("\n")
    assert len(set.union(*taken)) == RUNS * PORTS_EACH


async def test_a_server_can_listen_and_be_restarted_on_a_reserved_port() -> None:
    with reserve_ports(2) as reserved, reserve_ports(1) as other:
        assert other.first not in (reserved.first, reserved.first + 1)
        for _ in range(2):
            for host in ("127.0.0.1", "127.0.0.2"):
                (listener,) = await trio.open_tcp_listeners(reserved.first, host=host)
                async with listener, await trio.open_tcp_stream(host, reserved.first):
                    pass
    with reserve_ports(1) as again:
        assert again.first <= reserved.first + 2


def test_too_few_free_ports_are_an_error(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(ports, "LAST_PORT", ports.FIRST_PORT + 2)
    with pytest.raises(RunError):
        reserve_ports(3)

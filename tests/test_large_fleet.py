"""What a request costs a gateway process must not grow with the number of model servers.

Guards against choices that look at every server: at 3,200 servers a gateway needed more than its core, and lost most of
its requests (issue 62). The gateway is a process of its own, and its processor time is read from outside.
"""

from __future__ import annotations

import os
import random
import subprocess
import sys
from collections import Counter
from pathlib import Path

import trio

from tests.platform_gateway import Platform, platform, wait_until_ready

USUAL_SERVERS = 200
MOST_SERVERS = 3200
RATE = 40.0  # requests a second
REQUESTS = 160
# The platform's terms for larger fleets: 1.4 times the processor time, 0.02 s, and 0.12 s for each 1,000 servers.
MAX_TIMES = 1.4
MORE_CPU_S = 0.02
MORE_CPU_PER_SERVER_S = 0.12 / 1000


async def measure(servers: int, folder: Path) -> float:
    """The processor time (s) that the gateway uses for the requests, with so many model servers."""
    async with platform() as p:
        list_more_servers(p, servers)
        p.reserve_address()
        config = folder / f"config{servers}.json"
        config.write_text(p.configuration())
        environment = os.environ | {"NODE_CONFIG": str(config)}
        command = [sys.executable, "-m", "ternlane.platform"]
        gateway = await trio.lowlevel.open_process(command, env=environment, stderr=subprocess.DEVNULL)
        try:
            await wait_until_ready(p)
            before_s = cpu_s(gateway.pid)
            statuses = await send_requests(p)
            used_s = cpu_s(gateway.pid) - before_s
        finally:
            gateway.kill()
            await gateway.wait()
    assert statuses == {200: REQUESTS}
    return used_s


def list_more_servers(p: Platform, servers: int) -> None:
    """Lists names at the addresses of the running servers, in cells of their own, half of them for each role."""
    running = list(p.servers.values())
    for number in range(servers - len(running)):
        at = running[number % len(running)]
        role = "reader" if at.role == "read" else "writer"
        p.discovery.put(f"{at.name}-{number}", at.address, role, group=number % (servers // 5))


def cpu_s(pid: int) -> float:
    """The processor time of a process: fields 14 and 15 of /proc/PID/stat, see proc(5)."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def send_requests(p: Platform) -> Counter[int]:
    """Sends requests of new sessions at random times; returns their statuses."""
    rng = random.Random(62)
    statuses: Counter[int] = Counter()

    async def ask(number: int) -> None:
        info = f"prefix={number:x},prompt_len=20,prefix_len=8,max_out=4"
        statuses[(await p.ask(Request_Info=info)).status] += 1

    async with trio.open_nursery() as nursery:
        for number in range(REQUESTS):
            nursery.start_soon(ask, number)
            await trio.sleep(rng.expovariate(RATE))
    return statuses


async def test_the_processor_time_of_a_request_does_not_grow_with_the_fleet(tmp_path: Path) -> None:
    usual_s = await measure(USUAL_SERVERS, tmp_path)
    used_s = await measure(MOST_SERVERS, tmp_path)
    more_servers = MOST_SERVERS - USUAL_SERVERS
    assert used_s <= MAX_TIMES * usual_s + MORE_CPU_S + MORE_CPU_PER_SERVER_S * more_servers

"""Discovery's lists and watches at the platform gateway."""

from __future__ import annotations

import pytest
import trio

from ternlane.policy.messages import EndpointStatus
from ternlane.testing.platform import FakeDiscovery
from tests.platform_gateway import platform


async def test_changes_full_lists_and_invalid_data() -> None:
    """Discovery sends changes, full lists and invalid data. The invalid data is ignored, and no request fails."""
    async with platform("r0", "w0") as p:
        runtime = p.gateway.runtime

        async def until(names: set[str]) -> None:
            with trio.fail_after(3):
                while set(runtime.endpoint_registry.servers) != names:
                    await trio.sleep(0.01)

        added = await p.add("w1")
        await until({"r0", "w0", "w1"})
        p.discovery.garbage = b'{"index":9,"endpoints":[{"name":'
        p.discovery.put("w0", p.servers["w0"].address, "writer", "DRAINING")
        with trio.fail_after(3):
            while (
                len(p.discovery.asked) < 2
                or runtime.endpoint_registry.servers["w0"].status is not EndpointStatus.DRAINING
            ):
                await trio.sleep(0.01)
        for _ in range(4):
            assert (await p.ask()).status == 200
        assert [n for n, k, _ in p.fleet.seen if k == "write"] == ["w1"] * 4
        p.discovery.put("w0", "", "writer", "DELETED")
        await until({"r0", "w1"})
        assert p.servers["w0"].address not in runtime.model_servers.pool.idle
        added.stop()
        await added.start()
        assert (await p.ask()).status == 200


async def test_silent_watch_is_reopened_with_backoff(monkeypatch: pytest.MonkeyPatch) -> None:
    """A watch goes silent without ending. It is reopened after its timeout, at a bounded rate."""
    from ternlane.platform import discovery_watch

    monkeypatch.setattr(discovery_watch, "WATCH_TIMEOUT_MS", 200.0)
    async with platform("r0", "w0") as p:
        await trio.sleep(0.1)
        p.discovery.silent = True
        await trio.sleep(1.0)
        assert 2 <= len(p.discovery.asked) <= 6 and (await p.ask()).status == 200
        p.discovery.silent = False
        await p.add("w1")
        with trio.fail_after(3):
            while "w1" not in p.gateway.runtime.endpoint_registry.servers:
                await trio.sleep(0.01)


async def test_unreachable_discovery_is_retried_with_backoff() -> None:
    """Discovery refuses connections. The gateway retries with backoff, and serves with the list that it has."""
    async with platform("r0", "w0") as p:
        p.discovery.listener.socket.close()
        p.gateway.watch.change_address(("127.0.0.1", int(p.discovery.address.rpartition(":")[2])))
        await trio.sleep(1.5)
        assert 2 <= p.gateway.runtime.reporter.counts["watch broke"] <= 8 and (await p.ask()).status == 200


async def test_new_discovery_address_is_watched_from_the_current_index() -> None:
    """Discovery moves to another address. The new watch starts at the current index, and the old watch ends."""
    async with platform("r0", "w0") as p:
        other = FakeDiscovery(p.nursery, 100.0)
        await other.start()
        other.index, other.log, other.entries = p.discovery.index, p.discovery.log, p.discovery.entries
        host, _, number = other.address.partition(":")
        await trio.sleep(0.05)
        p.gateway.watch.change_address((host, int(number)))
        with trio.fail_after(2):
            while p.discovery.watching or not other.watching:
                await trio.sleep(0.01)
        assert other.asked == [str(p.discovery.index)]
        other.put("w9", p.servers["w0"].address, "writer")
        with trio.fail_after(2):
            while "w9" not in p.gateway.runtime.endpoint_registry.servers:
                await trio.sleep(0.01)

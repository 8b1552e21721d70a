"""The model servers that discovery has listed, as the Server objects that the router uses. Free of I/O."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from math import inf

from ternlane.deployment import Deployment
from ternlane.platform.endpoint_list import STATUSES, EndpointEntry, EndpointList
from ternlane.platform.wall_clock import WallClock
from ternlane.policy.messages import EndpointStatus, EndpointsUpdated, Server

# The longest time by which the platform allows an agent's list to be out of date.
MAX_STALENESS_MS = 6000.0


@dataclass(slots=True, eq=False)
class Endpoint:
    """A server's name and address, which only the sockets and the log use."""

    name: str
    address: str
    entry: EndpointEntry


class EndpointRegistry:
    """The servers by name. The name identifies a server, whose address may change. Removed servers are dropped."""

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self.index = 0  # of the newest list
        self.clock = WallClock()
        self.servers: dict[str, Server] = {}
        self.endpoints: dict[Server, Endpoint] = {}
        self.addresses: Counter[str] = Counter()  # how many listed servers have each address
        self.has_unlisted_addresses = False  # whether the latest list has changed or removed the last server of one
        self._outdated_since_ms = inf  # since when the lists have been older than the newest one

    def apply_list(self, endpoint_list: EndpointList, wall_ms: float, now_ms: float) -> EndpointsUpdated:
        """Applies a list; returns the servers that have changed.

        `wall_ms` and `now_ms` are the same moment by the wall clock and the monotonic clock. A server's start time is
        converted between the two once, as it would seem to move otherwise, and with the steps of the wall clock that
        have been observed. Raises ValueError if discovery's index has restarted; the full list must then be requested.
        """
        self.clock.observe(wall_ms, now_ms)
        self.has_unlisted_addresses = False
        if self._is_outdated(endpoint_list, now_ms):
            return EndpointsUpdated(())
        changed: list[Server] = []
        for entry in endpoint_list.endpoints:
            server = self._apply_entry(entry, now_ms)
            if server is not None:
                changed.append(server)
        if endpoint_list.snapshot:
            changed += self._remove_unlisted({entry.name for entry in endpoint_list.endpoints})
        for server in changed:
            if server.status is EndpointStatus.REMOVED:
                endpoint = self.endpoints.pop(server)
                del self.servers[endpoint.name]
                self._unlist_address(endpoint.address)
        self.index = endpoint_list.index
        return EndpointsUpdated(tuple(changed))

    def apply_settings(self, deployment: Deployment) -> None:
        """Applies new settings: the KV capacity of a server type may have changed."""
        self.deployment = deployment
        for server, endpoint in self.endpoints.items():
            server.kv_capacity_tokens = deployment.kv_capacity_tokens.get(endpoint.entry.type, 0.0)

    def _is_outdated(self, endpoint_list: EndpointList, now_ms: float) -> bool:
        """Whether a list is older than the newest one, as from an agent that lags behind; such a list is ignored.

        If that lasts longer than an agent may lag behind, discovery's index has restarted, and ignoring its lists would
        hide every later change. Raises ValueError then.
        """
        if endpoint_list.index >= self.index:
            self._outdated_since_ms = inf
            return False
        self._outdated_since_ms = min(self._outdated_since_ms, now_ms)
        if now_ms < self._outdated_since_ms + MAX_STALENESS_MS:
            return True
        self.index = 0
        self._outdated_since_ms = inf
        raise ValueError(f"the index of endpoint lists has restarted at {endpoint_list.index}")

    def _apply_entry(self, entry: EndpointEntry, now_ms: float) -> Server | None:
        """Applies one entry. Returns its server, or None if nothing has changed."""
        server = self.servers.get(entry.name)
        if server is not None and self.endpoints[server].entry == entry:
            return None
        status = STATUSES[entry.status]
        if server is None and status is EndpointStatus.REMOVED:
            return None
        if server is None:
            server = self._add(entry, now_ms)
        endpoint = self.endpoints[server]
        if endpoint.entry.since_ms != entry.since_ms:
            server.started_ms = self._started_ms(entry, now_ms)
        if endpoint.address != entry.address:
            self.addresses[entry.address] += 1
            self._unlist_address(endpoint.address)
            endpoint.address = entry.address
        endpoint.entry = entry
        server.size = entry.weight
        server.status = status
        return server

    def _add(self, entry: EndpointEntry, now_ms: float) -> Server:
        server = self.deployment.server(entry.name, entry.zone, entry.type, entry.group)
        server.started_ms = self._started_ms(entry, now_ms)
        self.servers[entry.name] = server
        self.endpoints[server] = Endpoint(entry.name, entry.address, entry)
        self.addresses[entry.address] += 1
        return server

    def _unlist_address(self, address: str) -> None:
        self.addresses[address] -= 1
        if not self.addresses[address]:
            del self.addresses[address]
            self.has_unlisted_addresses = True

    def _remove_unlisted(self, listed: set[str]) -> list[Server]:
        removed = [server for name, server in self.servers.items() if name not in listed]
        for server in removed:
            server.status = EndpointStatus.REMOVED
        return removed

    def _started_ms(self, entry: EndpointEntry, now_ms: float) -> float:
        """When the server started, by the monotonic clock; 0 for long ago."""
        return self.clock.to_monotonic_ms(entry.since_ms, now_ms) if entry.since_ms > 0 else 0.0

"""The model servers that discovery has named, as the Server objects that the router shares. Free of I/O."""

from __future__ import annotations

from dataclasses import dataclass
from math import inf

from ternlane.deployment import Deployment
from ternlane.platform.endpoint_list import STATUSES, EndpointEntry, EndpointList
from ternlane.platform.wall_clock import WallClock
from ternlane.policy.messages import EndpointStatus, EndpointsUpdated, Server

# What discovery has to tell has been told by then (users' page). An agent is never behind for longer.
MAX_STALENESS_MS = 6000.0


@dataclass(slots=True, eq=False)
class Endpoint:
    """A server's name and address, for the sockets and the log alone."""

    name: str
    address: str
    entry: EndpointEntry


class EndpointRegistry:
    """The servers by name. A name is an identity; an address may change. What is removed is forgotten."""

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self.index = 0  # of the newest list
        self.clock = WallClock()
        self.servers: dict[str, Server] = {}
        self.endpoints: dict[Server, Endpoint] = {}
        self._behind_since_ms = inf  # since when lists have been older than the newest

    def take(self, endpoint_list: EndpointList, wall_ms: float, now_ms: float) -> EndpointsUpdated:
        """Applies a list; returns what is new.

        `wall_ms` and `now_ms` are one moment by the wall clock and the monotonic clock. A server's start time is turned
        from one into the other once, as it would seem to move otherwise, and by what is known of the wall clock's
        steps. Raises ValueError where the index has begun anew, and the whole list must be asked for.
        """
        self.clock.observe(wall_ms, now_ms)
        if self._is_outdated(endpoint_list, now_ms):
            return EndpointsUpdated(())
        changed: list[Server] = []
        for entry in endpoint_list.endpoints:
            server = self._apply(entry, now_ms)
            if server is not None:
                changed.append(server)
        if endpoint_list.snapshot:
            changed += self._remove_unnamed({entry.name for entry in endpoint_list.endpoints})
        for server in changed:
            if server.status is EndpointStatus.REMOVED:
                del self.servers[self.endpoints.pop(server).name]
        self.index = endpoint_list.index
        return EndpointsUpdated(tuple(changed))

    def apply_settings(self, deployment: Deployment) -> None:
        """Other settings: kinds of servers may have other memory."""
        self.deployment = deployment
        for server, endpoint in self.endpoints.items():
            server.kv_capacity_tokens = deployment.kv_capacity_tokens.get(endpoint.entry.type, 0.0)

    def _is_outdated(self, endpoint_list: EndpointList, now_ms: float) -> bool:
        """A list older than the newest, as an agent that is behind may give, must undo nothing.

        Where that goes on for longer than an agent may be behind, discovery itself counts anew; ignoring its lists for
        ever would hide every later change. Raises ValueError then.
        """
        if endpoint_list.index >= self.index:
            self._behind_since_ms = inf
            return False
        self._behind_since_ms = min(self._behind_since_ms, now_ms)
        if now_ms < self._behind_since_ms + MAX_STALENESS_MS:
            return True
        self.index = 0
        self._behind_since_ms = inf
        raise ValueError(f"lists have begun to count anew, at {endpoint_list.index}")

    def _apply(self, entry: EndpointEntry, now_ms: float) -> Server | None:
        """Applies one entry. Returns its server, or None where nothing has changed."""
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
        return server

    def _remove_unnamed(self, named: set[str]) -> list[Server]:
        removed = [server for name, server in self.servers.items() if name not in named]
        for server in removed:
            server.status = EndpointStatus.REMOVED
        return removed

    def _started_ms(self, entry: EndpointEntry, now_ms: float) -> float:
        """When it started by the monotonic clock; 0 for long ago."""
        return self.clock.began_ms(entry.since_ms, now_ms) if entry.since_ms > 0 else 0.0

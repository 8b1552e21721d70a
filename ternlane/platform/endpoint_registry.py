"""The model servers that discovery has listed, as the Server objects that the router uses. Free of I/O."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
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


@dataclass(slots=True)
class ListChanges:
    """What one list changes, entry by entry. Each server is in `changed` at most once."""

    changed: dict[Server, None] = field(default_factory=dict)
    added: set[Server] = field(default_factory=set)
    vacated_addresses: set[str] = field(default_factory=set)  # that their last server has left, or where it restarted
    left_addresses: set[str] = field(default_factory=set)
    joined_addresses: set[str] = field(default_factory=set)

    def add(self, server: Server) -> None:
        """A server that was not listed."""
        self.added.add(server)
        self.changed[server] = None

    def remove(self, server: Server) -> None:
        """A server that is no longer listed. If this list has added it, nobody has to hear of it."""
        if server in self.added:
            del self.changed[server]
        else:
            self.changed[server] = None

    def handed_over_addresses(self) -> set[str]:
        """The addresses that may belong to another server than before, or to none."""
        return self.vacated_addresses | (self.left_addresses & self.joined_addresses)


class EndpointRegistry:
    """The servers by name. The name identifies a server, whose address may change. Removed servers are dropped."""

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self.index = 0  # of the newest list
        self.clock = WallClock()
        self.servers: dict[str, Server] = {}
        self.endpoints: dict[Server, Endpoint] = {}
        self.addresses: Counter[str] = Counter()  # how many listed servers have each address
        # Those that the latest list has taken from a server, perhaps for another one: open connections to them may lead
        # to the former server.
        self.handed_over_addresses: set[str] = set()
        self._outdated_since_ms = inf  # since when the lists have been older than the newest one

    def apply_list(self, endpoint_list: EndpointList, wall_ms: float, now_ms: float) -> EndpointsUpdated:
        """Applies a list; returns the servers that have changed, each once.

        The changes of one list may name a server or an address several times. They are applied in order, so that the
        result is the same as that of several lists; a server that is removed and listed again is a new one. A complete
        list has no order: of several entries of one server, the last applies.

        `wall_ms` and `now_ms` are the same moment by the wall clock and the monotonic clock. A server's start time is
        converted between the two once, as it would seem to move otherwise, and with the steps of the wall clock that
        have been observed. Raises ValueError if discovery's index has restarted; the full list must then be requested.
        """
        self.clock.observe(wall_ms, now_ms)
        self.handed_over_addresses = set()
        if self._is_outdated(endpoint_list, now_ms):
            return EndpointsUpdated(())
        changes = ListChanges()
        entries = endpoint_list.endpoints
        if endpoint_list.snapshot:
            entries = list({entry.name: entry for entry in entries}.values())
            self._remove_unlisted({entry.name for entry in entries}, changes)
        for entry in entries:
            self._apply_entry(entry, now_ms, changes)
        self.index = endpoint_list.index
        self.handed_over_addresses = changes.handed_over_addresses()
        return EndpointsUpdated(tuple(changes.changed))

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

    def _apply_entry(self, entry: EndpointEntry, now_ms: float, changes: ListChanges) -> None:
        server = self.servers.get(entry.name)
        if STATUSES[entry.status] is EndpointStatus.REMOVED:
            if server is not None:
                self._remove(server, changes)
        elif server is None:
            self._add(entry, now_ms, changes)
        elif not _is_same_server(self.endpoints[server].entry, entry):
            self._remove(server, changes)
            self._add(entry, now_ms, changes)
        elif self.endpoints[server].entry != entry:
            self._change(server, entry, now_ms, changes)

    def _add(self, entry: EndpointEntry, now_ms: float, changes: ListChanges) -> None:
        server = self.deployment.server(entry.name, entry.zone, entry.type, entry.group)
        server.size = entry.weight
        server.started_ms = self._started_ms(entry, now_ms)
        server.status = STATUSES[entry.status]
        self.servers[entry.name] = server
        self.endpoints[server] = Endpoint(entry.name, entry.address, entry)
        self._join_address(entry.address, changes)
        changes.add(server)

    def _change(self, server: Server, entry: EndpointEntry, now_ms: float, changes: ListChanges) -> None:
        endpoint = self.endpoints[server]
        if endpoint.entry.since_ms != entry.since_ms:
            server.started_ms = self._started_ms(entry, now_ms)
            changes.vacated_addresses.add(endpoint.address)
        if endpoint.address != entry.address:
            self._join_address(entry.address, changes)
            self._leave_address(endpoint.address, changes)
            endpoint.address = entry.address
        endpoint.entry = entry
        server.size = entry.weight
        server.status = STATUSES[entry.status]
        changes.changed[server] = None

    def _remove(self, server: Server, changes: ListChanges) -> None:
        endpoint = self.endpoints.pop(server)
        del self.servers[endpoint.name]
        server.status = EndpointStatus.REMOVED
        self._leave_address(endpoint.address, changes)
        changes.remove(server)

    def _remove_unlisted(self, listed: set[str], changes: ListChanges) -> None:
        for name, server in list(self.servers.items()):
            if name not in listed:
                self._remove(server, changes)

    def _join_address(self, address: str, changes: ListChanges) -> None:
        self.addresses[address] += 1
        changes.joined_addresses.add(address)

    def _leave_address(self, address: str, changes: ListChanges) -> None:
        self.addresses[address] -= 1
        changes.left_addresses.add(address)
        if not self.addresses[address]:
            del self.addresses[address]
            changes.vacated_addresses.add(address)

    def _started_ms(self, entry: EndpointEntry, now_ms: float) -> float:
        """When the server started, by the monotonic clock; 0 for long ago."""
        return self.clock.to_monotonic_ms(entry.since_ms, now_ms) if entry.since_ms > 0 else 0.0


def _is_same_server(before: EndpointEntry, after: EndpointEntry) -> bool:
    """Whether two entries of one name denote the same server: its place and role never change."""
    return (before.zone, before.type, before.group) == (after.zone, after.type, after.group)

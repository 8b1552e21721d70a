"""The latest snapshots of all endpoints, with the groups and indexes that the rules need.

The groups of an endpoint are updated when it has changed, so that no rule has to look at all endpoints for each
request.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator, Mapping
from enum import Enum, auto

from ternlane.policy.actors import RouterContext
from ternlane.policy.candidate_index import CandidateIndex
from ternlane.policy.endpoint_state import EndpointSnapshot, EndpointState
from ternlane.policy.messages import EndpointStatus, Role
from ternlane.policy.ranking import Ranking


class Availability(Enum):
    """Whether a choice considers a server, as far as that does not depend on the request."""

    USABLE = auto()  # in the candidate index
    WARMING = auto()  # usable, but in slow start
    HALF_OPEN = auto()  # may be sent one attempt
    UNUSABLE = auto()  # ejected, far behind its peers, or with far more open requests
    NOT_READY = auto()  # draining or removed


class HealthyPrefillServers:
    """The healthy servers that can prefill, in the order of the endpoint list and in that of their hash keys."""

    def __init__(self) -> None:
        self.listed: Ranking[EndpointState] = Ranking()
        self.hashed: Ranking[EndpointState] = Ranking()
        self.version = 0  # changes with every change of the servers

    def __len__(self) -> int:
        return len(self.listed)

    def set_healthy(self, endpoint: EndpointState, position: int, healthy: bool) -> None:
        """Adds or removes a server."""
        if healthy == (endpoint in self.listed):
            return
        self.version += 1
        if healthy:
            self.listed.put(endpoint, (position,))
            self.hashed.put(endpoint, (endpoint.server.hash_key, position))
        else:
            self.listed.discard(endpoint)
            self.hashed.discard(endpoint)


class EndpointTable(Mapping[EndpointState, EndpointSnapshot]):
    """The snapshots by endpoint, in the order in which the endpoints were listed."""

    def __init__(self, context: RouterContext) -> None:
        self._context = context
        self._snapshots: dict[EndpointState, EndpointSnapshot] = {}
        self._positions: dict[EndpointState, int] = {}
        self._next_position = 0
        self._ready: dict[Role, Ranking[EndpointState]] = {role: Ranking() for role in Role}
        self._half_open: dict[Role, Ranking[EndpointState]] = {role: Ranking() for role in Role}
        self._healthy: dict[Role, set[EndpointState]] = {role: set() for role in Role}
        self._warming: Ranking[EndpointState] = Ranking()  # by the end of their slow start
        self._counts: Counter[Role] = Counter()
        self._changed: dict[EndpointState, None] = {}  # their groups are out of date
        self._candidates = CandidateIndex()
        self._healthy_prefill_servers = HealthyPrefillServers()

    # -- the snapshots

    def __getitem__(self, endpoint: EndpointState) -> EndpointSnapshot:
        return self._snapshots[endpoint]

    def __iter__(self) -> Iterator[EndpointState]:
        return iter(self._snapshots)

    def __len__(self) -> int:
        return len(self._snapshots)

    def __contains__(self, endpoint: object) -> bool:
        return endpoint in self._snapshots

    def position(self, endpoint: EndpointState) -> int:
        """The place of the endpoint in the order in which endpoints were listed."""
        return self._positions[endpoint]

    # -- groups

    def count(self, role: Role) -> int:
        """The number of endpoints of a role, with those that are not ready."""
        return self._counts[role]

    def ready(self, role: Role) -> list[EndpointState]:
        """The ready servers of a role, in the order of the endpoint list."""
        self._refresh()
        return self._ready[role].items()

    def each_ready(self, role: Role) -> Iterator[EndpointState]:
        """Yields the same servers one by one, for a search that usually ends at one of the first."""
        self._refresh()
        return (endpoint for _, endpoint in self._ready[role].entries)

    def ready_snapshots(self, role: Role) -> list[EndpointSnapshot]:
        """The snapshots of the same servers."""
        self._refresh()
        snapshots = self._snapshots
        return [snapshots[endpoint] for _, endpoint in self._ready[role].entries]

    def ready_count(self, role: Role) -> int:
        """The number of ready servers of a role."""
        self._refresh()
        return len(self._ready[role])

    def half_open(self, role: Role) -> list[EndpointState]:
        """The ready servers of a role that are half-open and not ejected, in the order of the endpoint list."""
        self._refresh()
        return self._half_open[role].items()

    def has_healthy(self, role: Role) -> bool:
        """Whether any ready server of the role is healthy."""
        self._refresh()
        return bool(self._healthy[role])

    def healthy_prefill_servers(self) -> HealthyPrefillServers:
        """The ready and healthy servers that can prefill."""
        self._refresh()
        return self._healthy_prefill_servers

    def candidates(self) -> CandidateIndex:
        """The indexes of the usable servers."""
        self._refresh()
        return self._candidates

    def removed(self) -> list[EndpointState]:
        """The endpoints that are no longer listed."""
        return [endpoint for endpoint in self._snapshots if endpoint.server.status is EndpointStatus.REMOVED]

    # -- changes

    def update(self, snapshot: EndpointSnapshot) -> None:
        """Replaces the snapshot of an endpoint."""
        endpoint = snapshot.endpoint
        if endpoint not in self._positions:
            self._positions[endpoint] = self._next_position
            self._next_position += 1
            self._counts[endpoint.server.role] += 1
        self._snapshots[endpoint] = snapshot
        self._changed[endpoint] = None  # several changes between two choices cost only one update

    def remove(self, endpoint: EndpointState) -> None:
        """Drops an endpoint."""
        self._set_groups(endpoint, Availability.NOT_READY, healthy=False)
        self._changed.pop(endpoint, None)
        del self._snapshots[endpoint]
        del self._positions[endpoint]
        self._counts[endpoint.server.role] -= 1

    def _refresh(self) -> None:
        """Updates the groups of the changed endpoints, and of those whose slow start has ended."""
        for endpoint in self._changed:
            self._update_groups(self._snapshots[endpoint])
        self._changed.clear()
        first = self._warming.first_key()
        while first is not None and first[0] <= self._context.now:
            _, endpoint = self._warming.entries[0]
            self._update_groups(self._snapshots[endpoint])
            first = self._warming.first_key()

    def _update_groups(self, snapshot: EndpointSnapshot) -> None:
        endpoint = snapshot.endpoint
        availability = self._availability(snapshot)
        self._set_groups(endpoint, availability, snapshot.ready and snapshot.is_healthy())
        if availability is Availability.USABLE:
            self._candidates.put(snapshot, self._positions[endpoint])
        elif availability is Availability.WARMING:
            self._warming.put(endpoint, (snapshot.warm_at, self._positions[endpoint]))

    def _availability(self, snapshot: EndpointSnapshot) -> Availability:
        if not snapshot.ready:
            return Availability.NOT_READY
        if snapshot.half_open and not snapshot.ejected:
            return Availability.HALF_OPEN
        if not snapshot.is_healthy() or snapshot.has_too_many_requests():
            return Availability.UNUSABLE
        return Availability.USABLE if snapshot.warm_at <= self._context.now else Availability.WARMING

    def _set_groups(self, endpoint: EndpointState, availability: Availability, healthy: bool) -> None:
        role = endpoint.server.role
        position = self._positions[endpoint]
        if availability is Availability.NOT_READY:
            self._ready[role].discard(endpoint)
        else:
            self._ready[role].put(endpoint, (position,))
        if availability is Availability.HALF_OPEN:
            self._half_open[role].put(endpoint, (position,))
        else:
            self._half_open[role].discard(endpoint)
        if healthy:
            self._healthy[role].add(endpoint)
        else:
            self._healthy[role].discard(endpoint)
        if endpoint.prefills:
            self._healthy_prefill_servers.set_healthy(endpoint, position, healthy)
        if availability is not Availability.WARMING:
            self._warming.discard(endpoint)
        if availability is not Availability.USABLE:
            self._candidates.remove(endpoint)

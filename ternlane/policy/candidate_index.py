"""Indexes of the servers that an ordinary choice considers, so that a choice need not look at every server.

They contain the usable servers that are not in slow start: by role, place and connection, the freest first; by role,
with the most room for a request first; and the cells, with the best pair of servers first.
"""

from __future__ import annotations

from collections import defaultdict
from math import inf

from ternlane.policy.endpoint_state import EndpointSnapshot, EndpointState
from ternlane.policy.messages import Role, Server
from ternlane.policy.ranking import Ranking, RankingKey, move_entry

# A cell, a zone, or the whole fleet (None).
Place = int | str | None
# Sorted entries: (-free share, position in the endpoint list), server.
FreestFirst = list[tuple[RankingKey, EndpointState]]
# Sorted entries: (-smaller free share, -sum of the free shares, position of the prefill server), cell.
BestCellsFirst = list[tuple[RankingKey, int]]

# Rounding errors in the bound of the room, as a share of it.
ROOM_PRECISION = 1e-9


class IndexedServer:
    """What the indexes contain of one server."""

    __slots__ = ("role", "cell", "zone", "connected", "rankings", "key", "known_room_key")

    def __init__(self, server: Server, connected: bool, rankings: list[FreestFirst]) -> None:
        self.role = server.role
        self.cell = server.cell
        self.zone = server.zone
        self.connected = connected
        self.rankings = rankings  # by free share: of its cell, of its zone and of the whole fleet
        self.key: RankingKey | None = None  # in these rankings
        self.known_room_key: RankingKey | None = None  # in the ranking of its role by known room

    def is_in_place(self, server: Server, connected: bool) -> bool:
        """Whether the server still belongs to the same rankings."""
        return self.connected is connected and self.cell == server.cell and self.zone == server.zone


class CandidateIndex:
    """The indexes. `put` and `remove` keep them up to date."""

    def __init__(self) -> None:
        self._servers: dict[EndpointState, IndexedServer] = {}
        self._rankings: dict[tuple[Role, Place, bool], FreestFirst] = {}
        self._cells: dict[tuple[bool, bool], Ranking[int]] = {
            (prefill_connected, decode_connected): Ranking()
            for prefill_connected in (True, False)
            for decode_connected in (True, False)
        }
        # By free tokens of memory, without the estimated load of other gateways.
        self._known_room: dict[Role, FreestFirst] = {role: [] for role in Role}
        self._max_capacity = {role: 0.0 for role in Role}  # tokens; of any server so far
        self._zone_sizes: defaultdict[tuple[Role, str], int] = defaultdict(int)

    # -- changes

    def put(self, snapshot: EndpointSnapshot, position: int) -> None:
        """Adds a server, or updates what is known of it."""
        endpoint = snapshot.endpoint
        indexed = self._servers.get(endpoint)
        if indexed is None or not indexed.is_in_place(endpoint.server, snapshot.connected):
            self.remove(endpoint)
            indexed = self._add(endpoint, snapshot.connected)
        key = (-snapshot.free, position)
        if key != indexed.key:
            cell_before = indexed.rankings[0][:1]
            for ranking in indexed.rankings:
                move_entry(ranking, indexed.key, key, endpoint)
            indexed.key = key
            if indexed.rankings[0][:1] != cell_before:
                self._update_cell(indexed)
        capacity = endpoint.server.kv_capacity_tokens
        self._max_capacity[indexed.role] = max(self._max_capacity[indexed.role], capacity)
        room_key = (-snapshot.known_free * capacity, position)
        if room_key != indexed.known_room_key:
            move_entry(self._known_room[indexed.role], indexed.known_room_key, room_key, endpoint)
            indexed.known_room_key = room_key

    def remove(self, endpoint: EndpointState) -> None:
        """Removes a server, if it is there."""
        indexed = self._servers.pop(endpoint, None)
        if indexed is None:
            return
        role = indexed.role
        zone = indexed.zone
        for place, ranking in zip((indexed.cell, zone, None), indexed.rankings, strict=True):
            move_entry(ranking, indexed.key, None, endpoint)
            if not ranking:
                del self._rankings[role, place, indexed.connected]
        move_entry(self._known_room[role], indexed.known_room_key, None, endpoint)
        self._zone_sizes[role, zone] -= 1
        if not self._zone_sizes[role, zone]:
            del self._zone_sizes[role, zone]
        self._update_cell(indexed)

    def _add(self, endpoint: EndpointState, connected: bool) -> IndexedServer:
        server = endpoint.server
        places: tuple[Place, ...] = (server.cell, server.zone, None)
        rankings = [self._rankings.setdefault((server.role, place, connected), []) for place in places]
        self._zone_sizes[server.role, server.zone] += 1
        indexed = IndexedServer(server, connected, rankings)
        self._servers[endpoint] = indexed
        return indexed

    def _update_cell(self, changed: IndexedServer) -> None:
        """Moves the cell of a changed server to the place of its freest servers."""
        cell = changed.cell
        for other_connected in (True, False):
            if changed.role is Role.PREFILL:
                flags = (changed.connected, other_connected)
            elif changed.role is Role.DECODE:
                flags = (other_connected, changed.connected)
            else:
                return
            prefill = self._first_key(Role.PREFILL, cell, flags[0])
            decode = self._first_key(Role.DECODE, cell, flags[1])
            if prefill is None or decode is None:
                self._cells[flags].discard(cell)
                continue
            prefill_free = -prefill[0]
            decode_free = -decode[0]
            self._cells[flags].put(cell, (-min(prefill_free, decode_free), -(prefill_free + decode_free), prefill[1]))

    def _first_key(self, role: Role, place: Place, connected: bool) -> RankingKey | None:
        ranking = self._rankings.get((role, place, connected))
        return ranking[0][0] if ranking else None

    # -- queries

    def freest_first(self, role: Role, place: Place, connected: bool) -> FreestFirst:
        """The servers of a role in a place that this gateway is connected to, or the others."""
        return self._rankings.get((role, place, connected), [])

    def best_cells_first(self, prefill_connected: bool, decode_connected: bool) -> BestCellsFirst:
        """The cells with such servers of both roles."""
        return self._cells[prefill_connected, decode_connected].entries

    def zones(self, role: Role) -> list[str]:
        """The zones with servers of this role."""
        return [zone for zone_role, zone in self._zone_sizes if zone_role is role]

    def most_free(self, role: Role, place: Place) -> float:
        """The largest free share of the servers of a role in a place; minus infinity if there are none."""
        keys = (self._first_key(role, place, True), self._first_key(role, place, False))
        return max([-key[0] for key in keys if key is not None], default=-inf)

    def has_room(self, role: Role, tokens: float, estimate_weight: float) -> bool:
        """False if no server of the role has more free memory than `tokens`. `estimate_weight`: of the estimated load
        of other gateways. True does not mean that there is one."""
        if not self._known_room[role]:
            return False
        known = -self._known_room[role][0][0][0]
        estimated = self.most_free(role, None) * self._max_capacity[role]
        most = (1 - estimate_weight) * known + estimate_weight * max(estimated, 0.0)
        return most + ROOM_PRECISION * abs(most) > tokens

"""Finds the pair of servers with the highest score for a request, without a look at every pair or every server.

The candidate index has the freest servers first. A search goes through it from there, with an upper bound of the score
of all that follow, and ends once that is not above the best pair found. So it finds the pair that a comparison of all
pairs would find.
"""

from __future__ import annotations

from bisect import bisect_left
from itertools import product
from math import inf
from typing import NamedTuple

from ternlane.policy.candidate_filter import CandidateFilter
from ternlane.policy.candidate_index import FreestFirst, Place
from ternlane.policy.endpoint_state import EndpointSnapshot, EndpointState
from ternlane.policy.endpoint_table import EndpointTable
from ternlane.policy.messages import Role
from ternlane.policy.preferred_servers import HASH_RANGE, MAX_COMPARED_SERVERS, PreferredServers

# Reduction of the score per step of distance between the servers: 0 steps within a cell, 1 within a zone, 2 across
# zones.
DISTANCE_COST = 0.1

CONNECTED_FIRST = (True, False)


class Score(NamedTuple):
    """The score of a pair. Equal ones are ordered by the sum of the free shares, and then by the position of the
    prefill server in the endpoint list (negative: the first one wins)."""

    score: float
    free_sum: float
    negative_position: float


class DecodeRank(NamedTuple):
    """The rank of a decode server in its place. Equal ones are ordered at random; otherwise all gateways would choose
    the first server of the list."""

    free: float  # less the costs of failures
    draw: int
    negative_position: float


class DecodeCandidate(NamedTuple):
    """A decode server and its rank; the server is None if none was found."""

    rank: DecodeRank
    endpoint: EndpointState | None


LOWEST_SCORE = Score(-inf, -inf, -inf)
NO_DECODE_CANDIDATE = DecodeCandidate(DecodeRank(-inf, -1, -inf), None)


def by_rank(candidate: DecodeCandidate) -> DecodeRank:
    """The sort key of candidates."""
    return candidate.rank


class PairSearch:
    """The search for one request. `draw`: a random odd factor that orders decode servers of equal rank."""

    def __init__(
        self, endpoints: EndpointTable, candidates: CandidateFilter, preferred: PreferredServers, draw: int
    ) -> None:
        self._endpoints = endpoints
        self._index = endpoints.candidates()
        self._filter = candidates
        self._preferred = preferred
        self._draw = draw
        self._connect_cost = candidates.connect_cost
        self._best_score = LOWEST_SCORE
        self._best: tuple[EndpointState, EndpointState] | None = None
        self._decode_servers: dict[Place, EndpointState | None] = {}  # the best one by place
        self._decode_bounds: dict[Place, float] = {}
        self._unindexed_decode: list[EndpointState] = []
        self._evaluated: set[EndpointState] = set()

    # -- searches

    def find(self) -> tuple[EndpointState, EndpointState] | None:
        """The best prefill and decode server; None if no pair is available."""
        self._unindexed_decode = self._filter.unindexed(Role.DECODE)
        self._search_ranked_servers()
        self._search_servers_with_both_roles()
        if self._unindexed_decode or self._filter.has_room(Role.DECODE):
            self._search_prefill_servers()
        return self._best

    def find_decode_server(self, holder: EndpointState) -> tuple[EndpointState, EndpointState] | None:
        """The best pair with this prefill server, which holds the state of the request."""
        self._unindexed_decode = self._filter.unindexed(Role.DECODE)
        if holder.decodes and holder.prefills:
            self._consider(holder, holder)
        elif holder.prefills:
            self._evaluate(holder)
        return self._best

    def _search_ranked_servers(self) -> None:
        """Evaluates the servers with a rank for the session, which may know more of the prompt than others."""
        decode_free = self._decode_bound(None)
        bounds: list[tuple[float, int, EndpointState]] = []
        for endpoint, work_cost in zip(self._preferred.ranked, self._filter.ranked_work_costs(), strict=True):
            free = self._endpoints[endpoint].free
            if not endpoint.decodes:
                free = min(free, decode_free)
            bounds.append((work_cost - free, len(bounds), endpoint))
        bounds.sort()
        for negative_bound, _, endpoint in bounds:
            if -negative_bound < self._best_score.score:
                return
            if not self._filter.is_available(endpoint):
                continue
            if endpoint.decodes:
                self._consider(endpoint, endpoint)
            else:
                self._evaluate(endpoint)

    def _search_servers_with_both_roles(self) -> None:
        for endpoint in self._filter.unindexed(Role.BOTH):
            self._consider(endpoint, endpoint)
        if self._all_ranked() or not self._filter.has_room(Role.BOTH):
            return
        cost = self._filter.min_unranked_cost()
        for connected in CONNECTED_FIRST:
            connect_cost = 0.0 if connected else self._connect_cost
            for key, endpoint in self._index.freest_first(Role.BOTH, None, connected):
                if self._bound(key, -key[0], 0, cost, connect_cost) <= self._best_score:
                    break
                if self._filter.is_available(endpoint):
                    self._consider(endpoint, endpoint)

    def _all_ranked(self) -> bool:
        return len(self._preferred.ranked) >= len(self._endpoints.healthy_prefill_servers())

    def _search_prefill_servers(self) -> None:
        for endpoint in self._filter.unindexed(Role.PREFILL):
            self._evaluate(endpoint)
        if not self._all_ranked() and self._filter.has_room(Role.PREFILL):
            self._search_cells()
            for zone in self._index.zones(Role.PREFILL):
                self._search_place(zone, 1)
            self._search_place(None, 2)

    def _search_cells(self) -> None:
        """Evaluates the prefill servers with the best decode server of their cell, the best cells first."""
        for endpoint in self._unindexed_decode:  # the index does not know these cells by their best servers
            self._search_place(endpoint.server.cell, 0)
        cost = self._filter.min_unranked_cost()
        for flags in product(CONNECTED_FIRST, repeat=2):
            connect_cost = self._connect_cost * flags.count(False)
            for key, cell in self._index.best_cells_first(*flags):
                if Score(-key[0] - cost - connect_cost, -key[1], -key[2]) <= self._best_score:
                    break
                self._search_place(cell, 0)

    def _search_place(self, place: Place, distance: int) -> None:
        """Evaluates the prefill servers of a place with the best decode server there, at this distance or nearer."""
        bound = self._decode_bound(place)
        cost = self._filter.min_unranked_cost()
        rankings = [
            (0.0 if connected else self._connect_cost, self._index.freest_first(Role.PREFILL, place, connected))
            for connected in CONNECTED_FIRST
        ]
        if not any(self._can_win(entries, bound, distance, cost, connect_cost) for connect_cost, entries in rankings):
            return
        decode = self._best_decode_server(place)
        if decode is None:
            return
        snapshot = self._endpoints[decode]
        cost += self._filter.failure_cost(decode)
        for connect_cost, entries in rankings:
            new_connection = 0.0 if snapshot.connected else self._connect_cost
            self._evaluate_ranking(entries, snapshot.free, distance, cost, connect_cost + new_connection)

    def _can_win(
        self, entries: FreestFirst, decode_free: float, distance: int, cost: float, connect_cost: float
    ) -> bool:
        return bool(entries) and self._bound(entries[0][0], decode_free, distance, cost, connect_cost) > (
            self._best_score
        )

    def _evaluate_ranking(
        self, entries: FreestFirst, decode_free: float, distance: int, cost: float, connect_cost: float
    ) -> None:
        for key, endpoint in entries:
            if self._bound(key, decode_free, distance, cost, connect_cost) <= self._best_score:
                return
            if endpoint not in self._preferred.ranks and self._filter.is_available(endpoint):
                self._evaluate(endpoint)

    def _bound(
        self, key: tuple[float, ...], decode_free: float, distance: int, cost: float, connect_cost: float
    ) -> Score:
        """An upper bound of the score of a prefill server, by its key in the index, and those after it."""
        score = min(-key[0], decode_free) - distance * DISTANCE_COST - cost - connect_cost
        return Score(score, decode_free - key[0], -key[1])

    # -- pairs

    def _evaluate(self, endpoint: EndpointState) -> None:
        """Compares the pairs of this prefill server and the best decode servers of its cell, of its zone and overall,
        as no other decode server can have a higher score."""
        if endpoint in self._evaluated:
            return
        self._evaluated.add(endpoint)
        snapshot = self._endpoints[endpoint]
        key = (-snapshot.free, self._endpoints.position(endpoint))
        cost = self._filter.prefill_cost(endpoint)
        connect_cost = 0.0 if snapshot.connected else self._connect_cost
        places: tuple[Place, ...] = (endpoint.server.cell, endpoint.server.zone, None)
        for distance, place in enumerate(places):
            bound = self._bound(key, self._decode_bound(place), distance, cost, connect_cost)
            if bound <= self._best_score:
                continue
            decode = self._best_decode_server(place)
            if decode is not None:
                self._consider(endpoint, decode)

    def _consider(self, prefill: EndpointState, decode: EndpointState) -> None:
        """Keeps the pair if its score is the highest so far."""
        cost = self._filter.prefill_cost(prefill) + self._filter.failure_cost(decode)
        score = self._score(self._endpoints[prefill], self._endpoints[decode], cost)
        if score > self._best_score:
            self._best_score = score
            self._best = (prefill, decode)

    def _score(self, prefill: EndpointSnapshot, decode: EndpointSnapshot, cost: float) -> Score:
        """The smaller free share of the two minus all costs. Each new connection costs the recent share of failed ones,
        as slow handshakes end in time-outs."""
        prefill_server = prefill.endpoint.server
        decode_server = decode.endpoint.server
        score = min(prefill.free, decode.free)
        if prefill_server is not decode_server and prefill_server.cell != decode_server.cell:
            score -= DISTANCE_COST if prefill_server.zone == decode_server.zone else 2 * DISTANCE_COST
        score -= cost
        if self._connect_cost:
            new_connections = (not prefill.connected) + (prefill_server is not decode_server and not decode.connected)
            score -= self._connect_cost * new_connections
        return Score(score, prefill.free + decode.free, -self._endpoints.position(prefill.endpoint))

    # -- decode servers

    def _decode_bound(self, place: Place) -> float:
        """The largest free share of any decode server in the place, available or not."""
        bound = self._decode_bounds.get(place)
        if bound is None:
            unindexed = [self._endpoints[endpoint].free for endpoint in self._unindexed_in(place)]
            bound = max([self._index.most_free(Role.DECODE, place), *unindexed])
            self._decode_bounds[place] = bound
        return bound

    def _unindexed_in(self, place: Place) -> list[EndpointState]:
        return [
            endpoint
            for endpoint in self._unindexed_decode
            if place is None or place in (endpoint.server.cell, endpoint.server.zone)
        ]

    def _best_decode_server(self, place: Place) -> EndpointState | None:
        """The available decode server with the largest free share less its costs."""
        if place not in self._decode_servers:
            self._decode_servers[place] = self._find_decode_server(place)
        return self._decode_servers[place]

    def _find_decode_server(self, place: Place) -> EndpointState | None:
        best = NO_DECODE_CANDIDATE
        for endpoint in self._unindexed_in(place):
            best = max(best, self._decode_candidate(endpoint), key=by_rank)
        for connected in CONNECTED_FIRST:
            connect_cost = 0.0 if connected else self._connect_cost
            entries = self._index.freest_first(Role.DECODE, place, connected)
            best = self._search_decode_servers(entries, connect_cost, best)
        return best.endpoint

    def _search_decode_servers(
        self, entries: FreestFirst, connect_cost: float, best: DecodeCandidate
    ) -> DecodeCandidate:
        """The best of these servers and the best one so far."""
        start = 0
        while start < len(entries):
            key = entries[start][0]
            most_free = -key[0] - connect_cost
            if most_free < best.rank.free:
                break
            end = bisect_left(entries, ((key[0], inf),), start)
            best = self._search_equally_free(entries[start:end], most_free, best)
            start = end
        return best

    def _search_equally_free(self, entries: FreestFirst, most_free: float, best: DecodeCandidate) -> DecodeCandidate:
        """The best of these servers and the best one so far. Of very many, as in a large fleet of idle servers, only
        some are compared if one of them has no costs: those from a random one on."""
        if len(entries) > MAX_COMPARED_SERVERS:
            first = self._draw % len(entries)
            entries = entries[first:] + entries[:first]
        for count, (key, endpoint) in enumerate(entries):
            if count >= MAX_COMPARED_SERVERS and best.rank.free >= most_free:
                break
            bound = DecodeRank(most_free, self._tie_break(endpoint), -key[1])
            if bound > best.rank and self._filter.is_available(endpoint):
                best = max(best, self._decode_candidate(endpoint), key=by_rank)
        return best

    def _decode_candidate(self, endpoint: EndpointState) -> DecodeCandidate:
        snapshot = self._endpoints[endpoint]
        connect_cost = 0.0 if snapshot.connected else self._connect_cost
        free = snapshot.free - self._filter.failure_cost(endpoint) - connect_cost
        rank = DecodeRank(free, self._tie_break(endpoint), -self._endpoints.position(endpoint))
        return DecodeCandidate(rank, endpoint)

    def _tie_break(self, endpoint: EndpointState) -> int:
        return self._draw * endpoint.server.hash_key % HASH_RANGE

"""Placement: chooses the prefill and the decode server of a request.

A request goes to the home pair of its session until one of the two servers is congested. A new session, or one with a
congested home pair, gets the pair with the largest free share minus the costs of distance, prefill work and risk of
failure (after "ACES", section V-A; see docs/design.md). `pair_search.py` finds it.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import NamedTuple

from ternlane.policy.actors import RouterContext
from ternlane.policy.candidate_filter import CandidateFilter, CandidateRules
from ternlane.policy.endpoint_state import EndpointState
from ternlane.policy.pair_search import PairSearch
from ternlane.policy.random_draws import RandomDraws
from ternlane.policy.request_state import RequestState

# The home pair of a session is dropped after this idle time.
HOME_MAX_IDLE_MS = 60e3
# Upper bound of the number of home pairs, as the number of sessions is unbounded.
MAX_HOMES = 8192


class Home(NamedTuple):
    """The home pair of a session."""

    prefill_server: EndpointState
    decode_server: EndpointState
    used_at: float  # milliseconds


class ServerPair(NamedTuple):
    """The servers chosen for a request; the same one twice if it has both roles."""

    prefill_server: EndpointState
    decode_server: EndpointState


class Placement:
    """Chooses servers, and keeps the home pairs of sessions."""

    def __init__(self, context: RouterContext, draws: RandomDraws, rules: CandidateRules) -> None:
        self._context = context
        self._draws = draws
        self._rules = rules
        self._endpoints = rules.endpoints
        self._affinity = rules.affinity
        self.homes: OrderedDict[str, Home] = OrderedDict()  # by session, least recently used first

    def is_eligible(self, endpoint: EndpointState, state: RequestState) -> bool:
        """Whether the request may be sent to this server at all; see `CandidateRules.is_eligible`."""
        return self._rules.is_eligible(endpoint, state)

    def choose(self, state: RequestState) -> ServerPair | None:
        """The home pair of the session if both servers are available, else the best pair; None if there is none."""
        home = self.homes.get(state.request.session or "")
        if home and all(self._rules.is_available(server, state) for server in home[:2]):
            return ServerPair(home.prefill_server, home.decode_server)
        return self.best_pair(state)

    def set_home(self, state: RequestState, pair: ServerPair) -> None:
        """Makes the pair the home pair of the session."""
        session = state.request.session
        if session:
            self.homes[session] = Home(pair.prefill_server, pair.decode_server, self._context.now)
            self.homes.move_to_end(session)

    def move_home(self, state: RequestState) -> None:
        """Updates the decode server in the home pair of the session, if it still has one."""
        session = state.request.session
        if session and session in self.homes and state.prefill_server and state.decode_server:
            self.homes[session] = Home(state.prefill_server, state.decode_server, self._context.now)

    def forget_idle_homes(self) -> None:
        """Drops the home pairs of idle sessions, and the least recently used ones above MAX_HOMES."""
        oldest = self._context.now - HOME_MAX_IDLE_MS
        while self.homes and (len(self.homes) > MAX_HOMES or next(iter(self.homes.values())).used_at < oldest):
            self.homes.popitem(last=False)

    def best_pair(self, state: RequestState, holder: EndpointState | None = None) -> ServerPair | None:
        """The pair of available servers with the highest score. `holder`: the prefill server that holds the state of
        the request, if only a decode server is to be chosen."""
        state.preferred = self._affinity.preferred_servers(state.request)
        candidates = CandidateFilter(self._rules, state)
        search = PairSearch(self._endpoints, candidates, state.preferred, self._draws.tie_breaker())
        best = search.find_decode_server(holder) if holder else search.find()
        return ServerPair(*best) if best else None

"""Failure rates of servers by kind: for a request class, for a tenant, or for time-outs.

A server can look healthy and still fail one kind of request. Outcomes are counted by kind and server from the first
failure of a kind on, and decay over time. The rate of a server with few attempts is shrunk towards the rate of all
servers. The module does no I/O and reads no clock: the caller passes times in milliseconds.
"""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass, field
from math import exp
from typing import Generic, NamedTuple, TypeVar

# Weight of a new outcome in the rate of all servers, a moving average over about the last sixteen.
RATE_SAMPLE_WEIGHT = 1 / 16
# Time constant of the decay of a server's counts, so that a server that has recovered is used again.
TALLY_MEMORY_MS = 30e3
# Weight of the rate of all servers in the rate of one, in attempts, so that a single failure does not dominate.
RATE_PRIOR_ATTEMPTS = 1 / 2
# If the rate of all servers is lower than this, failures count as noise, and the kind is dropped.
MIN_FAILURE_RATE = 0.02

ServerT = TypeVar("ServerT", bound=Hashable)


class Tally(NamedTuple):
    """Decayed counts of outcomes at one server."""

    failures: float
    attempts: float


@dataclass(slots=True)
class KindFailures(Generic[ServerT]):
    """Failures of one kind: the rates of all prefill servers (key False) and all decode servers (True), and a tally of
    each server."""

    rates: dict[bool, float] = field(default_factory=lambda: {False: 0.0, True: 0.0})
    tallies: dict[ServerT, tuple[float, Tally]] = field(default_factory=dict)  # with the time of the latest outcome

    def tally(self, server: ServerT, now: float) -> Tally:
        """The outcomes at one server, decayed until `now`."""
        if server not in self.tallies:
            return Tally(0.0, 0.0)
        at, tally = self.tallies[server]
        decay = exp((at - now) / TALLY_MEMORY_MS)
        return Tally(tally.failures * decay, tally.attempts * decay)

    def add(self, server: ServerT, decodes: bool, failed: bool, now: float) -> None:
        """Counts an outcome."""
        self.rates[decodes] += RATE_SAMPLE_WEIGHT * (failed - self.rates[decodes])
        tally = self.tally(server, now)
        self.tallies[server] = now, Tally(tally.failures + failed, tally.attempts + 1)


class FailureRates(Generic[ServerT]):
    """Failure rates by kind and server. False in a condition while no kind is known."""

    def __init__(self) -> None:
        self._kinds: dict[Hashable, KindFailures[ServerT]] = {}

    def __bool__(self) -> bool:
        return bool(self._kinds)

    def add(self, kind: Hashable, server: ServerT, decodes: bool, failed: bool, now: float) -> None:
        """Counts an outcome. Successes are counted only after the first failure of the kind at any server."""
        if failed:
            self._kinds.setdefault(kind, KindFailures())
        if kind in self._kinds:
            self._kinds[kind].add(server, decodes, failed, now)

    def risk(self, kind: Hashable, server: ServerT, decodes: bool, now: float) -> float:
        """The probability that this server fails a request of this kind."""
        kind_failures = self._kinds.get(kind)
        if kind_failures is None:
            return 0.0
        tally = kind_failures.tally(server, now)
        return (tally.failures + kind_failures.rates[decodes] * RATE_PRIOR_ATTEMPTS) / (
            tally.attempts + RATE_PRIOR_ATTEMPTS
        )

    def fails_mostly(self, kind: Hashable, server: ServerT, now: float) -> bool:
        """Whether the server recently failed most requests of this kind."""
        kind_failures = self._kinds.get(kind)
        if kind_failures is None:
            return False
        tally = kind_failures.tally(server, now)
        return 2 * tally.failures > tally.attempts > RATE_PRIOR_ATTEMPTS

    def decay(self, factor: float) -> None:
        """Multiplies the rates of all servers by `factor`, and drops the kinds whose rate is below MIN_FAILURE_RATE."""
        for kind_failures in self._kinds.values():
            for decodes in kind_failures.rates:
                kind_failures.rates[decodes] *= factor
        self._kinds = {
            kind: kind_failures
            for kind, kind_failures in self._kinds.items()
            if max(kind_failures.rates.values()) > MIN_FAILURE_RATE
        }

    def forget(self, server: ServerT) -> None:
        """Drops the tallies of a server that was removed."""
        for kind_failures in self._kinds.values():
            kind_failures.tallies.pop(server, None)

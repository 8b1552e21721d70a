"""Draws the sessions of fake clients. The same seed gives the same sessions, whatever the answers do."""

from __future__ import annotations

import random
import zlib

from ternlane.testing.client_workload import ClientWorkload, Range, Session, Tenant, TrafficConditions

USERS = 200
# Tenant number n gets 1 / (n + 3) parts of the traffic: the first are larger, none is alone.
TENANT_RANK_OFFSET = 3


def drawn(rng: random.Random, between: Range) -> float:
    """Evenly between least and most."""
    least, most = between
    return least + (most - least) * rng.random()


def random_text(rng: random.Random, tokens: float) -> str:
    """Text of about so many tokens that nobody else sends."""
    count = max(1, int(tokens))
    return "".join(f"{rng.getrandbits(12):03x} " for _ in range(count))


class SessionSource:
    """New sessions, one after the other."""

    def __init__(
        self, name: str, workloads: list[ClientWorkload], conditions: TrafficConditions, rng: random.Random
    ) -> None:
        """`name` begins the names of all sessions."""
        self.name = name
        self.workloads = workloads
        self.conditions = conditions
        self.rng = rng
        self.tenants: list[Tenant] = []  # the first are the largest
        self._count = 0
        self._prefix_texts: dict[tuple[str, int, int], str] = {}

    def next(self) -> Session:
        """Draws a session."""
        rng = self.rng
        self._count += 1
        workload = rng.choices(self.workloads, [w.share for w in self.workloads])[0]
        ident = f"{self.name}-{self._count}"
        messages = []
        if rng.random() < workload.prefix_share:
            messages.append({"role": "system", "content": self._prefix(workload)})
        turns = drawn(rng, workload.turns)
        turns_left = int(turns) + (rng.random() < turns % 1)
        cache_key = ident if rng.random() < workload.key_part else None
        user = f"user-{rng.randrange(USERS)}"
        return Session(workload, ident, messages, cache_key, user, self._tenant(), max(1, turns_left))

    def _prefix(self, workload: ClientWorkload) -> str:
        """A text that sessions share; popularity falls off as 1/rank."""
        conditions = self.conditions
        if self.rng.random() < conditions.hot_part:
            key = "hot", self.rng.randrange(conditions.hot_keys), conditions.hot_seed
            tokens = conditions.hot_tokens
        else:
            popularity = [1 / (rank + 1) for rank in range(workload.prefixes)]
            key = workload.request_class, self.rng.choices(range(workload.prefixes), popularity)[0], 0
            least, most = workload.prefix_tokens
            tokens = least + (most - least) * (zlib.crc32(repr(key).encode()) % 1000) / 1000
        if key not in self._prefix_texts:
            self._prefix_texts[key] = random_text(random.Random(repr(key)), tokens)
        return self._prefix_texts[key]

    def _tenant(self) -> Tenant | None:
        if not self.tenants:
            return None
        if self.rng.random() < self.conditions.rush_part:
            return self.tenants[-1]
        shares = [1 / (rank + TENANT_RANK_OFFSET) for rank in range(len(self.tenants))]
        return self.rng.choices(self.tenants, shares)[0]

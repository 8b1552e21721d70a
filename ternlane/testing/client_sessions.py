"""Draws the sessions of fake clients. The same seed gives the same sessions, whatever the answers are."""

from __future__ import annotations

import random
import zlib

from ternlane.testing.client_workload import ClientWorkload, Range, Session, Tenant, TrafficConditions

USER_COUNT = 200
# Tenant n gets traffic in proportion to 1 / (n + 3): the first ones get more, but none dominates.
TENANT_RANK_OFFSET = 3


def draw_uniform(rng: random.Random, between: Range) -> float:
    """A uniformly distributed value."""
    least, most = between
    return least + (most - least) * rng.random()


def random_text(rng: random.Random, tokens: float) -> str:
    """Random text of about `tokens` tokens."""
    count = max(1, int(tokens))
    return "".join(f"{rng.getrandbits(12):03x} " for _ in range(count))


class SessionSource:
    """Generates sessions."""

    def __init__(
        self, name: str, workloads: list[ClientWorkload], conditions: TrafficConditions, rng: random.Random
    ) -> None:
        """`name`: prefix of the ids of all sessions."""
        self.name = name
        self.workloads = workloads
        self.conditions = conditions
        self.rng = rng
        self.tenants: list[Tenant] = []  # in descending order of their traffic
        self._count = 0
        self._prefix_texts: dict[tuple[str, int, int], str] = {}

    def next(self) -> Session:
        """Draws the next session."""
        rng = self.rng
        self._count += 1
        workload = rng.choices(self.workloads, [w.share for w in self.workloads])[0]
        ident = f"{self.name}-{self._count}"
        messages = []
        if rng.random() < workload.prefix_share:
            messages.append({"role": "system", "content": self._prefix(workload)})
        turns = draw_uniform(rng, workload.turns)
        turns_left = int(turns) + (rng.random() < turns % 1)
        cache_key = ident if rng.random() < workload.session_key_share else None
        user = f"user-{rng.randrange(USER_COUNT)}"
        return Session(workload, ident, messages, cache_key, user, self._tenant(), max(1, turns_left))

    def _prefix(self, workload: ClientWorkload) -> str:
        """A prefix that sessions share. The popularity of a prefix is proportional to 1/rank."""
        conditions = self.conditions
        if self.rng.random() < conditions.hot_prefix_share:
            key = "hot", self.rng.randrange(conditions.hot_prefix_count), conditions.hot_prefix_seed
            tokens = conditions.hot_prefix_tokens
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
        if self.rng.random() < self.conditions.rush_share:
            return self.tenants[-1]
        shares = [1 / (rank + TENANT_RANK_OFFSET) for rank in range(len(self.tenants))]
        return self.rng.choices(self.tenants, shares)[0]

"""How many tokens to reserve for an answer: reserved against used, for answers of tenants of different kinds."""

from __future__ import annotations

import random
from dataclasses import dataclass

from ternlane.tenants.answer_length import AnswerLengthEstimator

TENANTS = 40
ANSWERS = 40_000
MAX_TOKENS = 2000


@dataclass
class Tally:
    """Of one way to estimate, in tokens."""

    reserved: int = 0
    overrun: int = 0  # used beyond what was reserved
    overrun_answers: int = 0

    def add(self, estimate: int, used: int) -> None:
        """One answer."""
        self.reserved += estimate
        self.overrun += max(0, used - estimate)
        self.overrun_answers += used > estimate


@dataclass
class MeanLength:
    """Of one tenant's answers so far."""

    answers: int = 0
    tokens: int = 0

    def estimate(self) -> int:
        """What may be asked for, until there is an answer."""
        return self.tokens // self.answers if self.answers else MAX_TOKENS

    def learn(self, tokens: int) -> None:
        """From an answer."""
        self.answers += 1
        self.tokens += tokens


def print_lengths() -> None:
    """A line for each way to estimate."""
    rng = random.Random(5)
    kinds = [(rng.uniform(3, 6), rng.uniform(0.2, 0.9)) for _ in range(TENANTS)]  # log-normal
    means = [MeanLength() for _ in range(TENANTS)]
    sketches = AnswerLengthEstimator()
    tallies = {name: Tally() for name in ("sketch, 0.9 quantile", "mean", "max_tokens")}
    used = 0
    for _ in range(ANSWERS):
        number = rng.randrange(TENANTS)
        tenant = f"t{number}"
        tokens = min(MAX_TOKENS, max(1, int(rng.lognormvariate(*kinds[number]))))
        tallies["sketch, 0.9 quantile"].add(sketches.estimate(tenant, "s", MAX_TOKENS), tokens)
        tallies["mean"].add(means[number].estimate(), tokens)
        tallies["max_tokens"].add(MAX_TOKENS, tokens)
        used += tokens
        means[number].learn(tokens)
        sketches.learn(tenant, "s", tokens)
    print(f"{'':<22}{'reserved/used':>14}{'overrun/used':>14}{'overrun gens':>14}")
    for name, tally in tallies.items():
        print(
            f"{name:<22}{tally.reserved / used:>14.2f}{tally.overrun / used:>14.3f}"
            f"{tally.overrun_answers / ANSWERS:>14.1%}"
        )

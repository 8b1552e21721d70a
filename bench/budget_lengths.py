"""Compares estimates of answer length by the tokens they reserve and the tokens used beyond the reservation."""

from __future__ import annotations

import random
from dataclasses import dataclass

from ternlane.tenants.answer_length import AnswerLengthEstimator

TENANTS = 40
ANSWERS = 40_000
MAX_TOKENS = 2000


@dataclass
class Tally:
    """Totals of one estimator, in tokens."""

    reserved: int = 0
    overrun: int = 0  # tokens used beyond the reservation
    overrun_answers: int = 0

    def add(self, estimate: int, used: int) -> None:
        """Adds an answer."""
        self.reserved += estimate
        self.overrun += max(0, used - estimate)
        self.overrun_answers += used > estimate


@dataclass
class MeanLength:
    """Mean length of one tenant's answers."""

    answers: int = 0
    tokens: int = 0

    def estimate(self) -> int:
        """Returns the mean length, or MAX_TOKENS before the first answer."""
        return self.tokens // self.answers if self.answers else MAX_TOKENS

    def record(self, tokens: int) -> None:
        """Adds the length of an answer."""
        self.answers += 1
        self.tokens += tokens


def print_lengths() -> None:
    """Prints a line for each estimator."""
    rng = random.Random(5)
    length_distributions = [(rng.uniform(3, 6), rng.uniform(0.2, 0.9)) for _ in range(TENANTS)]  # log-normal
    means = [MeanLength() for _ in range(TENANTS)]
    sketches = AnswerLengthEstimator()
    tallies = {name: Tally() for name in ("sketch, 0.9 quantile", "mean", "max_tokens")}
    used = 0
    for _ in range(ANSWERS):
        number = rng.randrange(TENANTS)
        tenant = f"t{number}"
        tokens = min(MAX_TOKENS, max(1, int(rng.lognormvariate(*length_distributions[number]))))
        tallies["sketch, 0.9 quantile"].add(sketches.estimate(tenant, "s", MAX_TOKENS), tokens)
        tallies["mean"].add(means[number].estimate(), tokens)
        tallies["max_tokens"].add(MAX_TOKENS, tokens)
        used += tokens
        means[number].record(tokens)
        sketches.learn(tenant, "s", tokens)
    print(f"{'':<22}{'reserved/used':>14}{'overrun/used':>14}{'overrun answers':>16}")
    for name, tally in tallies.items():
        print(
            f"{name:<22}{tally.reserved / used:>14.2f}{tally.overrun / used:>14.3f}"
            f"{tally.overrun_answers / ANSWERS:>16.1%}"
        )

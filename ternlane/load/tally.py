"""Results of a load."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from ternlane.load.sketch import QuantileSketch

REPORTED_QUANTILES = (0.5, 0.9, 0.99)


@dataclass
class LoadTally:
    """Counts and latency sketches. Latencies are in milliseconds from the time at which a request was due."""

    first_token_ms: QuantileSketch = field(default_factory=QuantileSketch)
    between_tokens_ms: QuantileSketch = field(default_factory=QuantileSketch)
    complete_ms: QuantileSketch = field(default_factory=QuantileSketch)
    send_delay_ms: QuantileSketch = field(default_factory=QuantileSketch)  # the generator's own send delay
    outcomes: Counter[str] = field(default_factory=Counter)
    tokens: int = 0

    def summary(self) -> dict[str, Any]:
        """Returns the summary that `ternlane load` prints."""
        return {
            "outcomes": dict(self.outcomes),
            "tokens": self.tokens,
            "first_ms": _quantiles(self.first_token_ms),
            "between_ms": _quantiles(self.between_tokens_ms),
            "whole_ms": _quantiles(self.complete_ms),
            "tool_late_ms": _quantiles(self.send_delay_ms),
        }


def _quantiles(sketch: QuantileSketch) -> dict[str, float]:
    if not sketch.count:
        return {}
    quantiles = {f"p{round(fraction * 100)}": round(sketch.quantile(fraction), 3) for fraction in REPORTED_QUANTILES}
    return {**quantiles, "max": round(sketch.maximum, 3)}

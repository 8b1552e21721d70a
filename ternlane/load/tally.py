"""The figures of a load."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from ternlane.load.sketch import QuantileSketch

SHOWN_QUANTILES = (0.5, 0.9, 0.99)


@dataclass
class LoadTally:
    """Times are milliseconds from when a request was due."""

    first_token_ms: QuantileSketch = field(default_factory=QuantileSketch)
    between_tokens_ms: QuantileSketch = field(default_factory=QuantileSketch)
    complete_ms: QuantileSketch = field(default_factory=QuantileSketch)
    tool_late_ms: QuantileSketch = field(default_factory=QuantileSketch)  # by how much the tool itself was late
    outcomes: Counter[str] = field(default_factory=Counter)
    tokens: int = 0

    def summary(self) -> dict[str, Any]:
        """In the form in which the command prints it."""
        return {
            "outcomes": dict(self.outcomes),
            "tokens": self.tokens,
            "first_ms": _quantiles(self.first_token_ms),
            "between_ms": _quantiles(self.between_tokens_ms),
            "whole_ms": _quantiles(self.complete_ms),
            "tool_late_ms": _quantiles(self.tool_late_ms),
        }


def _quantiles(sketch: QuantileSketch) -> dict[str, float]:
    if not sketch.count:
        return {}
    quantiles = {f"p{round(part * 100)}": round(sketch.quantile(part), 3) for part in SHOWN_QUANTILES}
    return {**quantiles, "max": round(sketch.maximum, 3)}

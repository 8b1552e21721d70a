"""Quantiles for reports."""

from __future__ import annotations

SHOWN = ("0.5", "0.9", "0.99")


def quantile(values: list[float], part: float) -> float:
    """The value below which this part of the values lie; 0.0 for none."""
    return sorted(values)[min(len(values) - 1, int(part * len(values)))] if values else 0.0


def shown_quantiles(values: list[float]) -> dict[str, float]:
    """The quantiles that reports show, by their part."""
    return {part: round(quantile(values, float(part)), 1) for part in SHOWN}

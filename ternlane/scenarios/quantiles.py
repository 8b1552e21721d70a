"""Quantiles in reports."""

from __future__ import annotations

SHOWN_FRACTIONS = ("0.5", "0.9", "0.99")


def quantile(values: list[float], fraction: float) -> float:
    """The value below which this fraction of the values lies; 0.0 if there are no values."""
    return sorted(values)[min(len(values) - 1, int(fraction * len(values)))] if values else 0.0


def shown_quantiles(values: list[float]) -> dict[str, float]:
    """The quantiles that reports show, by fraction."""
    return {fraction: round(quantile(values, float(fraction)), 1) for fraction in SHOWN_FRACTIONS}

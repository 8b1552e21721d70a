"""Billing periods: days or months of a tenant's time zone."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import datetime, timedelta
from functools import lru_cache
from zoneinfo import ZoneInfo

CACHED_PERIODS = 4096  # some zones by some days; computing one anew takes microseconds


@dataclass(slots=True, frozen=True)
class BillingPeriod:
    """A period: its name (2026-12 or 2026-12-01) and its edges in seconds since 1970."""

    name: str
    begin: float
    end: float


def period_at(wall: float, zone: str, kind: str) -> BillingPeriod:
    """The period that holds `wall`, in seconds since 1970. `kind` is "day" or "month". Raises ZoneInfoNotFoundError."""
    at = datetime.fromtimestamp(wall, ZoneInfo(zone))
    if kind == "day":
        return _day(zone, at.year, at.month, at.day)
    return _month(zone, at.year, at.month)


@lru_cache(maxsize=CACHED_PERIODS)
def _day(zone: str, year: int, month: int, day: int) -> BillingPeriod:
    """By the calendar: days on which clocks are changed have 23 or 25 hours."""
    tz = ZoneInfo(zone)
    begin = datetime(year, month, day, tzinfo=tz)
    next_day = datetime(year, month, day) + timedelta(days=1)
    end = next_day.replace(tzinfo=tz)
    return BillingPeriod(f"{year:04}-{month:02}-{day:02}", begin.timestamp(), end.timestamp())


@lru_cache(maxsize=CACHED_PERIODS)
def _month(zone: str, year: int, month: int) -> BillingPeriod:
    tz = ZoneInfo(zone)
    begin = datetime(year, month, 1, tzinfo=tz)
    end = datetime(year + month // 12, month % 12 + 1, 1, tzinfo=tz)
    return BillingPeriod(f"{year:04}-{month:02}", begin.timestamp(), end.timestamp())

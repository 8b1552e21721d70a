"""Billing periods: days or months in a tenant's time zone."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import datetime, timedelta
from functools import lru_cache
from zoneinfo import ZoneInfo

CACHED_PERIODS = 4096  # of several zones; a period that is not cached is computed within microseconds


@dataclass(slots=True, frozen=True)
class BillingPeriod:
    """A period: its name (2026-12 or 2026-12-01), its begin and its exclusive end in seconds since 1970."""

    name: str
    begin: float
    end: float


def period_at(wall_s: float, zone: str, kind: str) -> BillingPeriod:
    """The period that contains `wall_s`, in seconds since 1970. `kind` is "day" or "month". Raises
    ZoneInfoNotFoundError."""
    local_time = datetime.fromtimestamp(wall_s, ZoneInfo(zone))
    if kind == "day":
        return _day(zone, local_time.year, local_time.month, local_time.day)
    return _month(zone, local_time.year, local_time.month)


@lru_cache(maxsize=CACHED_PERIODS)
def _day(zone: str, year: int, month: int, day: int) -> BillingPeriod:
    """A calendar day: it has 23 or 25 hours when daylight saving time begins or ends."""
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

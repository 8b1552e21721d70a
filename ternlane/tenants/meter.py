"""One budget at one gateway: a bucket that refills, a period's sum, a count of what is open.

Reserve takes an estimate out before anything is sent; settle puts the difference right. An overrun makes the bucket
negative (the overdraft) and is repaid by refills: nothing new is let in until then. Times: `now` is a monotonic clock
in ms, `wall` seconds since 1970.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import datetime, timedelta
from functools import lru_cache
from math import inf
from zoneinfo import ZoneInfo

from ternlane.tenants.tenant_registry import Budget


@dataclass(slots=True, frozen=True)
class Short:
    """Why a reservation was refused, and when it would fit if nothing else came (ms)."""

    kind: str  # minute, period, at_once or overdraft
    wait_ms: float


@dataclass(slots=True, frozen=True)
class Period:
    """A billing period: its name (2026-12 or 2026-12-01) and its edges in seconds since 1970."""

    name: str
    begin: float
    end: float


@lru_cache(maxsize=4096)
def edges(zone: str, kind: str, year: int, month: int, day: int) -> Period:
    tz = ZoneInfo(zone)
    if kind == "day":  # by the calendar: a day of daylight saving has 23 or 25 hours
        begin, after = datetime(year, month, day, tzinfo=tz), datetime(year, month, day) + timedelta(days=1)
        return Period(f"{year:04}-{month:02}-{day:02}", begin.timestamp(), after.replace(tzinfo=tz).timestamp())
    begin = datetime(year, month, 1, tzinfo=tz)
    end = datetime(year + month // 12, month % 12 + 1, 1, tzinfo=tz)
    return Period(f"{year:04}-{month:02}", begin.timestamp(), end.timestamp())


def period_at(wall: float, zone: str, kind: str) -> Period:
    at = datetime.fromtimestamp(wall, ZoneInfo(zone))
    return edges(zone, kind, at.year, at.month, at.day if kind == "day" else 1)


class Meter:
    """`part` is this gateway's part of the rates (0 to 1), `allowed` its tokens of the period; both may change."""

    __slots__ = ("budget", "part", "level", "at", "period", "spent", "open", "zone", "kind", "allowed", "extra")

    def __init__(self, budget: Budget, zone: str, kind: str, part: float, now: float) -> None:
        self.budget, self.zone, self.kind, self.part = budget, zone, kind, part
        self.at, self.extra = now, 0.0  # room for drawn tokens, beside the burst
        self.level = self.most
        self.period: Period | None = None
        self.spent = 0  # reserved and settled tokens of the period, at this gateway
        self.open = 0
        self.allowed = inf if budget.period is None else budget.period * part

    @property
    def rate(self) -> float:
        """Tokens a ms."""
        return inf if self.budget.minute is None else self.budget.minute * self.part / 60e3

    @property
    def most(self) -> float:
        if self.budget.minute is None:
            return inf
        return self.budget.most_saved * self.part + self.extra

    @property
    def slots(self) -> float:
        """Generations at once; at least one, or a small part could never be used."""
        return inf if self.budget.at_once is None else max(1.0, self.budget.at_once * self.part)

    def flow(self, now: float, wall: float) -> None:
        """Lets time pass. The monotonic clock refills; the wall clock names the period, which never goes back."""
        if self.budget.minute is not None:
            self.level = min(self.most, self.level + max(0.0, now - self.at) * self.rate)
        self.at = max(self.at, now)
        if self.budget.period is None:
            return
        if self.period is None or wall >= self.period.end:
            self.period, self.spent = period_at(wall, self.zone, self.kind), 0
            self.allowed = self.budget.period * self.part

    def reserve(self, tokens: int, now: float, wall: float) -> Short | None:
        """Takes `toks` out, or says why not."""
        self.flow(now, wall)
        if self.open >= self.slots:
            return Short("at_once", 0.0)
        if self.budget.minute is not None:
            if self.level < 0 and -self.level > self.budget.overdraft * self.part:
                return Short("overdraft", -self.level / self.rate if self.rate else inf)
            need = min(float(tokens), self.most)  # more than the burst: once the bucket is full
            if self.level < need:
                return Short("minute", (need - self.level) / self.rate if self.rate else inf)
        if self.budget.period is not None and self.period is not None and self.spent + tokens > self.allowed:
            return Short("period", max(0.0, self.period.end - wall) * 1000)
        self.level -= tokens
        self.spent += tokens if self.budget.period is not None else 0
        self.open += 1
        return None

    def settle(self, reserved: int, used: int, begun: Period | None, now: float, wall: float) -> None:
        """Puts right what was reserved. Tokens of a period that has ended are not put on the new one."""
        self.flow(now, wall)
        self.open -= 1
        self.level = min(self.most, self.level + reserved - used)
        if self.budget.period is not None and begun == self.period:
            self.spent += used - reserved

    def surplus(self, target: float) -> float:
        """What is held beyond `target`, at most what was drawn and is still there: to be given back. Negative: how
        much is missing to it."""
        spare = self.level - max(target, 0.0)
        return min(spare, self.extra, max(0.0, self.level)) if spare > 0 else spare

    def draw(self, tokens: float, target: float) -> None:
        """Puts drawn tokens in, or takes given-back ones out; `target` is the room for them from now on."""
        self.level += tokens
        self.extra = max(0.0, target, self.level - self.budget.most_saved * self.part)

    @property
    def idle(self) -> bool:
        """Nothing open, nothing owed, nothing spent: a fresh meter would say the same."""
        return not self.open and not self.spent and (self.budget.minute is None or self.level >= self.most)

    def left(self, now: float, wall: float) -> tuple[float, float]:
        """Tokens that could be reserved now, and ms until the bucket is full."""
        self.flow(now, wall)
        if self.budget.minute is None:
            return inf, 0.0
        return max(0.0, self.level), (self.most - self.level) / self.rate if self.rate else inf

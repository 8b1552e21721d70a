"""Compares the cost of budget admission with a locked dict of fixed one-minute windows."""

from __future__ import annotations

import random
import threading
import time
import tracemalloc
from collections.abc import Callable
from typing import Protocol

from ternlane.tenants.billing import Bill, TokenUsage
from ternlane.tenants.reservation import BudgetReservation
from ternlane.tenants.tenant_registry import Budget, Tenant
from ternlane.tenants.usage_accounting import UsageAccounting

WALL_S = 1_796_000_000.0  # Unix time
TENANT_COUNTS = (10, 10_000, 1_000_000)
MIN_ROUNDS = 50_000
MAX_DRAWN = 10_000  # with more tenants, each sends one request
MINUTE_TOKENS = 10**9
PERIOD_TOKENS = 10**12
PROMPT_TOKENS = 100
ANSWER_TOKENS = 100
USED = Bill(TokenUsage(100, 0, 50), TokenUsage())


class Admission(Protocol):
    """Reserves tokens of a budget and settles their use."""

    def reserve(self, tenant: Tenant) -> object:
        """Returns the reservation that `settle` takes."""
        ...

    def settle(self, tenant: Tenant, reservation: object) -> None:
        """Settles the reservation of an ended request."""


class ByUsageAccounting:
    """The admission used by the gateway."""

    def __init__(self) -> None:
        self._accounting = UsageAccounting()

    def reserve(self, tenant: Tenant) -> object:
        """Returns a budget reservation."""
        return self._accounting.reserve(tenant, "s", PROMPT_TOKENS, ANSWER_TOKENS, 0.0, WALL_S)

    def settle(self, tenant: Tenant, reservation: object) -> None:
        """Settles with a bill of the used tokens."""
        assert isinstance(reservation, BudgetReservation)
        self._accounting.settle(reservation, "g", "streamed", USED, 2, 0.0, WALL_S)


class ByFixedWindows:
    """Counts tokens per tenant and fixed one-minute window, under a lock."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._windows: dict[str, tuple[int, int]] = {}  # minute and tokens, by tenant

    def reserve(self, tenant: Tenant) -> object:
        """Returns whether the request was admitted."""
        minute = int(WALL_S // 60)
        tokens = PROMPT_TOKENS + ANSWER_TOKENS
        with self._lock:
            window_minute, spent = self._windows.get(tenant.name, (minute, 0))
            spent = spent if window_minute == minute else 0
            if spent + tokens > MINUTE_TOKENS:
                return False
            self._windows[tenant.name] = minute, spent + tokens
            return True

    def settle(self, tenant: Tenant, reservation: object) -> None:
        """Returns the unused tokens to the window."""
        unused = PROMPT_TOKENS + ANSWER_TOKENS - 150
        with self._lock:
            minute, spent = self._windows[tenant.name]
            self._windows[tenant.name] = minute, spent - unused


def print_decisions() -> None:
    """Prints a line for each number of tenants and each admission."""
    print(f"{'tenants':>9}{'':<14}{'us a reserve':>13}{'us a settle':>13}{'bytes a tenant':>16}")
    for count in TENANT_COUNTS:
        budget = Budget(minute=MINUTE_TOKENS, period=PERIOD_TOKENS)
        tenants = [Tenant(name=f"t{number}", budget=budget) for number in range(count)]
        rng = random.Random(1)
        drawn = tenants
        if count <= MAX_DRAWN:
            drawn = [tenants[rng.randrange(count)] for _ in range(max(count, MIN_ROUNDS))]
        _print_admission("usage accounting", ByUsageAccounting, tenants, drawn)
        _print_admission("fixed windows", ByFixedWindows, tenants, drawn)


def _print_admission(name: str, make: Callable[[], Admission], tenants: list[Tenant], drawn: list[Tenant]) -> None:
    held_bytes = _held_bytes(make, tenants) / len(tenants)
    admission = make()
    begin_s = time.perf_counter()
    reservations = [admission.reserve(tenant) for tenant in drawn]
    reserve_us = (time.perf_counter() - begin_s) / len(drawn) * 1e6
    begin_s = time.perf_counter()
    for tenant, reservation in zip(drawn, reservations, strict=True):
        admission.settle(tenant, reservation)
    settle_us = (time.perf_counter() - begin_s) / len(drawn) * 1e6
    print(f"{len(tenants):>9}  {name:<18}{reserve_us:>7.2f}{settle_us:>13.2f}{held_bytes:>16.0f}")


def _held_bytes(make: Callable[[], Admission], tenants: list[Tenant]) -> int:
    """Returns the memory in use after one request of each tenant."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    admission = make()
    for tenant in tenants:
        admission.reserve(tenant)
    held = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return held

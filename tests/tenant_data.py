"""Shared by tests of tenants and ledgers: a point in time, a tenant, ledger entries and checks of reservations."""

from __future__ import annotations

from datetime import datetime
from zoneinfo import ZoneInfo

from ternlane.tenants import (
    Budget,
    BudgetRejection,
    BudgetReservation,
    LedgerEntry,
    Prices,
    Tenant,
    TokenUsage,
)

NOON = datetime(2026, 12, 1, 12, tzinfo=ZoneInfo("UTC")).timestamp()


def tenant(name: str = "noto", **budget: object) -> Tenant:
    """A tenant with these budget limits and a different price for each kind of token."""
    limits = Budget(**budget)  # type: ignore[arg-type]
    return Tenant(name=name, budget=limits, prices={"*": Prices(prompt=3, cached=1, answer=12)})


def reserved(result: BudgetReservation | BudgetRejection) -> BudgetReservation:
    """Asserts that the tokens were reserved."""
    assert isinstance(result, BudgetReservation), result
    return result


def rejected(result: BudgetReservation | BudgetRejection) -> BudgetRejection:
    """Asserts that the request was rejected."""
    assert isinstance(result, BudgetRejection), result
    return result


def entry(i: int) -> LedgerEntry:
    """Ledger entry number `i`, of one of three tenants."""
    return LedgerEntry(
        f"g{i}", f"t{i % 3}", "s", "2026-12", NOON, "streamed", TokenUsage(i, 0, 2 * i), TokenUsage(1, 0, 0), 5 * i, 2
    )

"""What tests of tenants and their ledger share: a time, a tenant, and what a reservation came to."""

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
    """A tenant with these limits, and prices that differ for each kind of token."""
    limits = Budget(**budget)  # type: ignore[arg-type]
    return Tenant(name=name, budget=limits, prices={"*": Prices(prompt=3, cached=1, answer=12)})


def reserved(got: BudgetReservation | BudgetRejection) -> BudgetReservation:
    """The reservation, which must have fitted."""
    assert isinstance(got, BudgetReservation), got
    return got


def rejected(got: BudgetReservation | BudgetRejection) -> BudgetRejection:
    """The rejection, where nothing may have been reserved."""
    assert isinstance(got, BudgetRejection), got
    return got


def entry(i: int) -> LedgerEntry:
    """The i-th bill, of one of three tenants."""
    return LedgerEntry(
        f"g{i}", f"t{i % 3}", "s", "2026-12", NOON, "streamed", TokenUsage(i, 0, 2 * i), TokenUsage(1, 0, 0), 5 * i, 2
    )

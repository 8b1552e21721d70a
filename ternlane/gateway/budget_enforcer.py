"""Tenants at the gateway: who asks, whether it fits the budget, and the bill at the end.

Usage accounting decides, the ledger keeps; this part reads the files they need and asks for quota in the background.
"""

from __future__ import annotations

import os
import time
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from typing import Any

import trio
from xxhash import xxh3_64_hexdigest

from ternlane.config import ConfigError, GatewayConfig, read_config
from ternlane.event_loop import now_ms
from ternlane.gateway.active_request import ActiveRequest, Streamed
from ternlane.ledger import BillingLedger, Disk, GroupCommitWriter, UsageTotals
from ternlane.ledger.quota_lease_file import open_quota_leases
from ternlane.tenants import BudgetRejection, BudgetReservation, Tenant, TenantRegistry, UsageAccounting, bill_for
from ternlane.tenants.tenant_registry import Budget, TenantRegistryConfig
from ternlane.tenants.usage_accounting import PeriodShortage

TENANTS_POLL_S = 0.5  # between two looks at the tenants' file: a revoked key works no longer than that
FLUSH_S = 3.0  # for bills that wait as the gateway ends


@dataclass(slots=True, frozen=True)
class QuotaAsk:
    """What one tenant wants of the shared quota, in tokens; negative to give back. `target`: its bucket's level."""

    tenant: str
    want: float
    target: float
    budget: Budget
    least: float


class BudgetEnforcer:
    """One gateway's tenants, their budgets and their bills."""

    def __init__(self, config: GatewayConfig, log: Any) -> None:
        assert config.tenants is not None and config.ledger is not None
        self.config = config
        self.log = log
        self.path = Path(config.tenants)
        self.tenants = TenantRegistry(read_config(self.path, TenantRegistryConfig))
        self.file_identity = self.stat()
        self.usage_accounting = UsageAccounting(config.gateways, config.name, config.lender is not None)
        self.usage_accounting.clock(time.time())
        kept = {} if config.ledger_segments is None else {"keep_segments": config.ledger_segments}
        self.store = BillingLedger(Disk(Path(config.ledger)), **kept)
        self.told: dict[tuple[str, str, str], int] = {}
        self.remember(BillingLedger(Disk(Path(config.ledger))).read_totals())
        self.writer = GroupCommitWriter(self.store, log, on_recovered=self.remember)
        self.closed = False

    def remember(self, totals: UsageTotals) -> None:
        """Tells usage accounting what the ledger holds beyond what it was told before."""
        for key, it in totals.sums.items():
            tokens = it.billed.prompt + it.billed.answer
            if tokens > self.told.get(key, 0):
                self.usage_accounting.remember(*key, tokens - self.told.get(key, 0))
                self.told[key] = tokens

    def stat(self) -> tuple[int, int, int]:
        """Tells one version of the tenants' file from another."""
        it = os.stat(self.path)
        return it.st_ino, it.st_size, it.st_mtime_ns

    async def follow(self) -> None:
        """Reads the tenants again when their file has changed; a wrong one changes nothing. Sweeps idle meters."""
        while True:
            await trio.sleep(TENANTS_POLL_S)
            self.usage_accounting.sweep(now_ms(), self.usage_accounting.clock(time.time()))
            try:
                if (identity := self.stat()) != self.file_identity:
                    self.file_identity = identity
                    self.tenants = TenantRegistry(read_config(self.path, TenantRegistryConfig))
                    self.log.info("tenants read again", tenants=len(self.tenants.tenants))
            except (OSError, ConfigError) as why:
                self.log.error("tenants not read again", why=str(why))

    async def borrow(self) -> None:
        """Asks for the quota that traffic showed to be wanted; nobody waits for it."""
        while self.config.lender is not None:
            await trio.sleep(self.config.look_ms / 1000)
            asks = self.wanted_quota()
            periods = self.usage_accounting.short_of_period()
            if not asks and not periods:
                continue
            try:
                granted, chunks = await trio.to_thread.run_sync(partial(self.ask_for_quota, asks, periods))
            except OSError as error:  # what was to be given back is lost: the bucket refills all the same
                self.log.warning("lender not reached", why=str(error))
                continue
            self.take_quota(asks, granted)
            self.take_period_chunks(periods, chunks)

    def wanted_quota(self) -> list[QuotaAsk]:
        """What each tenant wants beyond its share, or can give back."""
        wall = self.usage_accounting.clock(time.time())
        asks = []
        for name in list(self.usage_accounting.borrowers):
            tenant = self.tenants.tenants.get(name)
            if tenant is None or not tenant.budget.minute:
                continue
            want, target = self.usage_accounting.wants(tenant, now_ms(), wall)
            if abs(want) >= 1:
                asks.append(QuotaAsk(name, want, target, tenant.budget, self.usage_accounting.least(name)))
        return asks

    def take_quota(self, asks: list[QuotaAsk], granted: list[float]) -> None:
        """Puts the tokens that were granted into the tenants' buckets."""
        for ask, tokens in zip(asks, granted, strict=True):
            meter = self.usage_accounting.meters.get((ask.tenant, ""))
            if meter is not None and tokens > 0:
                meter.draw(tokens, ask.target)

    def take_period_chunks(self, periods: list[PeriodShortage], chunks: list[float]) -> None:
        """Adds the parts of budgets of a period, unless another period has begun meanwhile."""
        for (name, request_class, period, _), chunk in zip(periods, chunks, strict=True):
            meter = self.usage_accounting.meters.get((name, request_class))
            if meter is not None and meter.period is not None and meter.period.name == period:
                meter.allowed += chunk

    def ask_for_quota(self, asks: list[QuotaAsk], periods: list[PeriodShortage]) -> tuple[list[float], list[float]]:
        """In a thread: one change of the shared quota table for all tenants that want something."""
        with open_quota_leases(
            Path(str(self.config.lender)), self.config.gateways, self.config.look_ms / 1000
        ) as lender:
            granted = [
                lender.ask(
                    ask.tenant,
                    self.config.name,
                    ask.want,
                    ask.budget.minute or 0,
                    ask.budget.most_saved,
                    time.time(),
                    ask.least,
                )
                for ask in asks
            ]
            chunks = [
                lender.draw(f"{name}/{request_class}", period, budget)
                for name, request_class, period, budget in periods
            ]
        return granted, chunks

    def authenticate(self, authorization: str | None) -> Tenant:
        """Raises tenants.UnknownKeyError."""
        return self.tenants.authenticate(authorization, time.time())

    def reserve(
        self, tenant: Tenant, request_class: str, prompt: float, most: int
    ) -> BudgetReservation | BudgetRejection:
        """Reserves a request's tokens, or says why there is no room."""
        return self.usage_accounting.reserve(tenant, request_class, int(prompt), most, now_ms(), time.time())

    def affords(self, active_request: ActiveRequest) -> bool:
        """False for a stream that its tenant wants cut, as it has passed the overdraft."""
        return active_request.hold is None or not self.usage_accounting.overrun(
            active_request.hold, len(active_request.pieces)
        )

    def done(self, active_request: ActiveRequest) -> None:
        """Every attempt has ended: the bill is made out and kept."""
        if active_request.hold is None:
            return
        outcome = "left" if active_request.final is None else active_request.final.recorded_as
        billed = bill_for(
            active_request.made,
            active_request.begun,
            isinstance(active_request.final, Streamed),
            len(active_request.pieces),
            active_request.hold.prompt,
            active_request.broke_at,
            active_request.final.usage["completion_tokens"] if isinstance(active_request.final, Streamed) else 0,
        )
        self.writer.add(
            self.usage_accounting.settle(
                active_request.hold,
                active_request.ident,
                outcome,
                billed,
                active_request.attempts,
                now_ms(),
                time.time(),
                xxh3_64_hexdigest(active_request.key.encode()),
                len(active_request.pieces),
            )
        )

    def headers(self, hold: BudgetReservation) -> list[tuple[str, str]]:
        """The x-ratelimit fields of the tightest budget of tokens a minute."""
        found = [m for m in hold.meters if m.budget.minute is not None]
        if not found:
            return []
        now = now_ms()
        wall = time.time()
        left, full, meter = min((*m.left(now, wall), m) for m in found)
        return [
            ("x-ratelimit-limit-tokens", f"{meter.budget.minute}"),
            ("x-ratelimit-remaining-tokens", f"{left:.0f}"),
            ("x-ratelimit-reset-tokens", f"{full / 1000:.3f}s"),
        ]

    async def close(self) -> None:
        """Keeps what waits. A disk that fails to the end keeps its lock on the store: nothing else is tried on it."""
        if self.closed:
            return
        if not await self.writer.flush(FLUSH_S):
            self.log.error("bills not kept at the end", waiting=self.writer.waiting)
            return
        self.closed = True
        if self.writer.owns_log:
            self.store.snapshot()
        self.store.close()

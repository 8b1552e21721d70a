"""Enforces tenants' budgets at the gateway: authenticates requests, reserves tokens and writes bills.

Usage accounting decides and the ledger stores; this module reads the files they need and leases quota in the
background.
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

TENANTS_POLL_S = 0.5  # interval between checks of the tenants file: a revoked key works at most this long
FLUSH_TIMEOUT_S = 3.0  # time limit for writing pending bills at shutdown


@dataclass(slots=True, frozen=True)
class QuotaRequest:
    """Tokens to lease from the shared quota for one tenant; negative to return some. `target_level`: level of
    its bucket."""

    tenant: str
    tokens: float
    target_level: float
    budget: Budget
    min_balance: float


class BudgetEnforcer:
    """The tenants of one gateway, with their budgets and bills."""

    def __init__(self, config: GatewayConfig, log: Any) -> None:
        assert config.tenants is not None and config.ledger is not None
        self.config = config
        self.log = log
        self.path = Path(config.tenants)
        self.tenants = TenantRegistry(read_config(self.path, TenantRegistryConfig))
        self.loaded_version = self.file_version()
        self.usage_accounting = UsageAccounting(config.gateways, config.name, config.lender is not None)
        self.usage_accounting.advance_wall_clock(time.time())
        ledger_options = {} if config.ledger_segments is None else {"keep_segments": config.ledger_segments}
        self.store = BillingLedger(Disk(Path(config.ledger)), **ledger_options)
        self.known_tokens: dict[tuple[str, str, str], int] = {}
        self.add_recorded_usage(BillingLedger(Disk(Path(config.ledger))).read_totals())
        self.writer = GroupCommitWriter(self.store, log, on_recovered=self.add_recorded_usage)
        self.closed = False

    def add_recorded_usage(self, totals: UsageTotals) -> None:
        """Passes to usage accounting what the ledger holds beyond the totals passed before."""
        for key, row in totals.sums.items():
            tokens = row.billed.prompt + row.billed.answer
            if tokens > self.known_tokens.get(key, 0):
                self.usage_accounting.add_past_usage(*key, tokens - self.known_tokens.get(key, 0))
                self.known_tokens[key] = tokens

    def file_version(self) -> tuple[int, int, int]:
        """Inode, size and modification time, which identify a version of the tenants file."""
        stat = os.stat(self.path)
        return stat.st_ino, stat.st_size, stat.st_mtime_ns

    async def watch_tenants_file(self) -> None:
        """Reloads the tenants file when it has changed; an invalid one changes nothing. Also sweeps idle meters."""
        while True:
            await trio.sleep(TENANTS_POLL_S)
            self.usage_accounting.sweep(now_ms(), self.usage_accounting.advance_wall_clock(time.time()))
            try:
                if (version := self.file_version()) != self.loaded_version:
                    self.loaded_version = version
                    self.tenants = TenantRegistry(read_config(self.path, TenantRegistryConfig))
                    self.log.info("tenants reloaded", tenants=len(self.tenants.tenants))
            except (OSError, ConfigError) as why:
                self.log.error("tenants reload failed", why=str(why))

    async def lease_quota(self) -> None:
        """Leases quota that recent traffic needs, in the background: no request waits for it."""
        while self.config.lender is not None:
            await trio.sleep(self.config.look_ms / 1000)
            quota_requests = self.collect_quota_requests()
            periods = self.usage_accounting.period_shortages()
            if not quota_requests and not periods:
                continue
            try:
                granted, chunks = await trio.to_thread.run_sync(partial(self.request_quota, quota_requests, periods))
            except OSError as error:  # tokens to be returned are lost; the bucket refills regardless
                self.log.warning("quota lease failed", why=str(error))
                continue
            self.take_quota(quota_requests, granted)
            self.take_period_chunks(periods, chunks)

    def collect_quota_requests(self) -> list[QuotaRequest]:
        """The tokens that each tenant needs beyond its share, or can return."""
        wall = self.usage_accounting.advance_wall_clock(time.time())
        quota_requests = []
        for name in list(self.usage_accounting.demand_estimators):
            tenant = self.tenants.tenants.get(name)
            if tenant is None or not tenant.budget.minute:
                continue
            want, target_level = self.usage_accounting.lease_demand(tenant, now_ms(), wall)
            if abs(want) >= 1:
                quota_requests.append(
                    QuotaRequest(name, want, target_level, tenant.budget, self.usage_accounting.min_useful_grant(name))
                )
        return quota_requests

    def take_quota(self, quota_requests: list[QuotaRequest], granted: list[float]) -> None:
        """Adds the granted tokens to the tenants' buckets."""
        for quota_request, tokens in zip(quota_requests, granted, strict=True):
            meter = self.usage_accounting.meters.get((quota_request.tenant, ""))
            if meter is not None and tokens > 0:
                meter.add_leased(tokens, quota_request.target_level)

    def take_period_chunks(self, periods: list[PeriodShortage], chunks: list[float]) -> None:
        """Adds the granted parts of period budgets, unless another billing period has begun meanwhile."""
        for (name, request_class, period, _), chunk in zip(periods, chunks, strict=True):
            meter = self.usage_accounting.meters.get((name, request_class))
            if meter is not None and meter.period is not None and meter.period.name == period:
                meter.period_allowance += chunk

    def request_quota(
        self, quota_requests: list[QuotaRequest], periods: list[PeriodShortage]
    ) -> tuple[list[float], list[float]]:
        """Updates the shared quota table once for all requests. Blocks on file I/O: runs in a thread."""
        with open_quota_leases(
            Path(str(self.config.lender)), self.config.gateways, self.config.look_ms / 1000
        ) as lender:
            granted = [
                lender.lease(
                    quota_request.tenant,
                    self.config.name,
                    quota_request.tokens,
                    quota_request.budget.minute or 0,
                    quota_request.budget.burst_tokens,
                    time.time(),
                    quota_request.min_balance,
                )
                for quota_request in quota_requests
            ]
            chunks = [
                lender.lease_period_chunk(f"{name}/{request_class}", period, budget)
                for name, request_class, period, budget in periods
            ]
        return granted, chunks

    def authenticate(self, authorization: str | None) -> Tenant:
        """The tenant of an API key. Raises tenants.InvalidKeyError."""
        return self.tenants.authenticate(authorization, time.time())

    def reserve(
        self, tenant: Tenant, request_class: str, prompt: float, most: int
    ) -> BudgetReservation | BudgetRejection:
        """Reserves a request's tokens, or returns why the budget has no room."""
        return self.usage_accounting.reserve(tenant, request_class, int(prompt), most, now_ms(), time.time())

    def within_budget(self, active_request: ActiveRequest) -> bool:
        """False if the stream has used up the overdraft and the tenant's budget is set to cut such streams."""
        return active_request.budget_reservation is None or not self.usage_accounting.must_end_for_overdraft(
            active_request.budget_reservation, len(active_request.pieces)
        )

    def settle_request(self, active_request: ActiveRequest) -> None:
        """Bills a request whose attempts have all ended."""
        if active_request.budget_reservation is None:
            return
        outcome = "left" if active_request.final is None else active_request.final.recorded_as
        billed = bill_for(
            active_request.usage_by_attempt,
            active_request.begun,
            isinstance(active_request.final, Streamed),
            len(active_request.pieces),
            active_request.budget_reservation.prompt,
            active_request.attempts_before_break,
            active_request.final.usage["completion_tokens"] if isinstance(active_request.final, Streamed) else 0,
        )
        self.writer.add(
            self.usage_accounting.settle(
                active_request.budget_reservation,
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

    def headers(self, budget_reservation: BudgetReservation) -> list[tuple[str, str]]:
        """The x-ratelimit headers of the tightest tokens-per-minute budget."""
        found = [m for m in budget_reservation.meters if m.budget.minute is not None]
        if not found:
            return []
        now = now_ms()
        wall = time.time()
        left, full, meter = min((*m.remaining(now, wall), m) for m in found)
        return [
            ("x-ratelimit-limit-tokens", f"{meter.budget.minute}"),
            ("x-ratelimit-remaining-tokens", f"{left:.0f}"),
            ("x-ratelimit-reset-tokens", f"{full / 1000:.3f}s"),
        ]

    async def close(self) -> None:
        """Writes pending bills and closes the ledger. If the disk fails until the time limit, the ledger stays
        locked."""
        if self.closed:
            return
        if not await self.writer.flush(FLUSH_TIMEOUT_S):
            self.log.error("bills not written at shutdown", waiting=self.writer.waiting)
            return
        self.closed = True
        if self.writer.owns_log:
            self.store.snapshot()
        self.store.close()

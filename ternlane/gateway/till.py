"""Tenants at the gateway: who asks, whether it fits the budget, and the bill at the end.

The cashier decides, the ledger keeps; this part reads the files they need and asks the lender in the background.
"""
from __future__ import annotations

import os
import time
from functools import partial
from math import inf
from pathlib import Path
from typing import Any

import trio
from xxhash import xxh3_64_hexdigest

from ternlane.gateway.ticket import Streamed, Terminated, Throttled, Ticket
from ternlane.ledger import Disk, Store, Writer
from ternlane.ledger.lending import lender_file
from ternlane.paper import GatewayPaper, PaperError, read_paper
from ternlane.tenants import Cashier, Hold, Refusal, Roll, TenantLine
from ternlane.tenants.cashier import Used
from ternlane.tenants.roll import RollPaper

LOOK_S = 0.5


def now_ms() -> float:
    return trio.current_time() * 1000


class Till:
    def __init__(self, paper: GatewayPaper, log: Any) -> None:
        assert paper.tenants is not None and paper.ledger is not None
        self.paper, self.log, self.path = paper, log, Path(paper.tenants)
        self.roll = Roll(read_paper(self.path, RollPaper))
        self.mark = self.stat()
        self.cashier = Cashier(paper.gateways, paper.name, paper.lender is not None)
        self.cashier.clock(time.time())
        self.store = Store(Disk(Path(paper.ledger)))
        self.store.recover()
        if self.store.cut_off:
            log.warning("a torn bill was cut off", bytes=self.store.cut_off)
        for (tenant, product, period), it in self.store.totals.sums.items():
            self.cashier.remember(tenant, product, period, it.bill.prompt + it.bill.answer)
        self.writer = Writer(self.store, log)
        self.settled = 0

    def stat(self) -> tuple[int, int, int]:
        it = os.stat(self.path)
        return it.st_ino, it.st_size, it.st_mtime_ns

    async def follow(self) -> None:
        """Reads the roll again when it has changed; a wrong one changes nothing. Sweeps idle meters."""
        while True:
            await trio.sleep(LOOK_S)
            self.cashier.sweep(now_ms(), self.cashier.clock(time.time()))
            try:
                if (mark := self.stat()) != self.mark:
                    self.mark = mark
                    self.roll = Roll(read_paper(self.path, RollPaper))
                    self.log.info("tenants read again", tenants=len(self.roll.tenants))
            except (OSError, PaperError) as why:
                self.log.error("tenants not read again", why=str(why))

    async def borrow(self) -> None:
        """Asks the lender for what traffic showed to be wanted; nobody waits for it."""
        span = self.paper.lease_s / 3
        while self.paper.lender is not None:
            await trio.sleep(span)
            wants = {name: self.cashier.borrowers[name].want(tenant.budget.minute, span)
                     for name, tenant in self.roll.tenants.items()
                     if name in self.cashier.borrowers and tenant.budget.minute}
            periods = self.short_of_period()
            if not wants and not periods:
                continue
            try:
                await trio.to_thread.run_sync(partial(self.ask_lender, wants, periods))
            except OSError as why:
                self.log.warning("lender not reached", why=str(why))
            wall = self.cashier.clock(time.time())
            for name in wants:
                self.cashier.give_parts(name, now_ms(), wall)

    def short_of_period(self) -> list[tuple[str, str, str, int]]:
        """Meters that have spent most of what they may of their period."""
        return [(name, product, m.period.name, m.budget.period) for (name, product), m in self.cashier.meters.items()
                if m.budget.period and m.period is not None
                and m.allowed != inf and m.spent > 0.75 * m.allowed and self.cashier.lends]

    def ask_lender(self, wants: dict[str, float], periods: list[tuple[str, str, str, int]]) -> None:
        with lender_file(Path(str(self.paper.lender)), self.paper.gateways, self.paper.lease_s) as lender:
            for name, want in wants.items():
                self.cashier.borrowers[name].lease = lender.ask(name, self.paper.name, want, time.time())
            for name, product, period, budget in periods:
                meter = self.cashier.meters.get((name, product))
                chunk = lender.draw(f"{name}/{product}", period, budget)
                if meter is not None and meter.period is not None and meter.period.name == period:
                    meter.allowed += chunk

    def whose(self, authorization: str | None) -> TenantLine:
        """Raises tenants.Unknown."""
        return self.roll.whose(authorization, time.time())

    def reserve(self, tenant: TenantLine, product: str, prompt: float, most: int) -> Hold | Refusal:
        return self.cashier.reserve(tenant, product, int(prompt), most, now_ms(), time.time())

    def done(self, ticket: Ticket) -> None:
        """Every leg has ended: the bill is made out and kept.

        A streamed generation is billed once, whatever it took; one that broke off, or whose client left, for what was
        passed on to the client; one of which the client got nothing, not at all. The rest is the house's.
        """
        if ticket.hold is None:
            return
        made = [it for _, it in ticket.made]
        whole = Used()
        for it in made:
            whole = whole.plus(it)
        reads = [it for stage, it in ticket.made if stage in ("READ", "WHOLE") and it.prompt]
        if ticket.begun and reads:
            answer = ticket.made[-1][1].answer if isinstance(ticket.final, Streamed) else len(ticket.pieces)
            bill = Used(reads[-1].prompt, reads[-1].kept, answer)
        else:
            bill = Used()
        house = Used(*(max(0, a - b) for a, b in ((whole.prompt, bill.prompt), (whole.kept, bill.kept),
                                                  (whole.answer, bill.answer))))
        outcome = {Streamed: "streamed", Throttled: "throttled", Terminated: "terminated"}.get(
            type(ticket.final), "left") if ticket.final is not None else "left"
        key = xxh3_64_hexdigest(ticket.key.encode())
        self.writer.add(self.cashier.settle(ticket.hold, ticket.ident, outcome, bill, house, ticket.legs, now_ms(),
                                            time.time(), key))
        self.settled += 1

    def headers(self, hold: Hold) -> list[tuple[str, str]]:
        """The x-ratelimit fields of the tightest budget of tokens a minute."""
        found = [m for m in hold.meters if m.budget.minute is not None]
        if not found:
            return []
        now, wall = now_ms(), time.time()
        left, full, meter = min((*m.left(now, wall), m) for m in found)
        return [("x-ratelimit-limit-tokens", f"{meter.budget.minute}"),
                ("x-ratelimit-remaining-tokens", f"{left:.0f}"), ("x-ratelimit-reset-tokens", f"{full / 1000:.3f}s")]

    async def close(self) -> None:
        if not await self.writer.flush(3.0):
            self.log.error("bills not kept at the end", waiting=self.writer.waiting)
        self.store.snapshot()
        self.store.close()

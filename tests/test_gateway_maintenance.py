"""Tests of connection reuse, the watched node file, metrics and reload, and of budgets, the ledger and reservations."""

from __future__ import annotations

import json
from pathlib import Path

import msgspec
import pytest
import trio
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import Bundle, RuleBasedStateMachine, consumes, invariant, rule

from ternlane.chat import RequestIntake
from ternlane.config import FileSource, NodeLine
from ternlane.config.gateway import ServerLimits
from ternlane.discovery import watch_file
from ternlane.ledger import BillingLedger
from ternlane.policy import messages
from ternlane.policy.messages import Effect, Group, RequestClass
from ternlane.policy.router import Router
from ternlane.tenants import BudgetReservation, QuotaLeases, UsageAccounting
from ternlane.tenants.billing import Bill, TokenUsage
from tests.fake_disk import FakeDisk
from tests.gateway_cluster import ENGINE_PROFILE, FLEET_CONFIG, gateway_cluster, replace, send_request
from tests.tenant_data import NOON, tenant
from tests.test_chat import ask

BODY = {"model": "summary", "messages": [{"role": "user", "content": "a"}], "stream": True}


async def test_one_connection_serves_many_requests_and_an_idle_one_is_closed() -> None:
    async with gateway_cluster(door=ServerLimits(idle_ms=150)) as w:
        caller = await w.pool.connect(w.gateway.address)
        for _ in range(3):
            assert (await send_request(caller, BODY, {}, "/v1/chat/completions")).done == 1
            caller.conn.start_next_cycle()
        since = trio.current_time()
        with trio.fail_after(1):
            assert await caller.stream.receive_some(1) == b""
        assert 0.1 < trio.current_time() - since < 0.6 and len(w.traffic_events("effect")) == 3


async def test_slow_connects_to_engines_delay_a_request_without_failing_it() -> None:
    async with gateway_cluster(profile=replace(ENGINE_PROFILE)) as w:
        for engine in w.engines.values():
            engine.fault.handshake_delay_ms = 80.0
        since = trio.current_time()
        assert (await w.ask("note")).done == 1
        assert trio.current_time() - since > 0.15 and len(w.traffic_events("effect")) == 1


async def test_a_node_file_is_watched_and_an_invalid_one_changes_nothing(tmp_path: Path) -> None:
    path, found, failed = tmp_path / "nodes.json5", list[list[NodeLine]](), list[str]()
    node = {"id": "a", "address": "h:1", "duty": "read", "mem_toks": 5}

    def put(text: str) -> None:
        (tmp_path / "new").write_text(text)
        (tmp_path / "new").rename(path)

    put(json.dumps({"nodes": [node]}))
    async with trio.open_nursery() as nursery:
        nursery.start_soon(watch_file, FileSource(path=str(path), look_ms=10), found.append, failed.append)

        async def until(many: int, bad: int) -> None:
            with trio.fail_after(1):
                while len(found) < many or len(failed) < bad:
                    await trio.sleep(0.005)

        await until(1, 0)
        put(json.dumps({"nodes": [node, node]}))
        await until(1, 1)
        assert "given twice" in failed[0] and len(found) == 1
        put("{nodes: [{id: 'a', adress: 'h:1'}]}")
        await until(1, len(failed) + 1)
        assert any("adress" in why for why in failed)
        path.unlink()
        await until(1, len(failed) + 1)
        put(json.dumps({"nodes": [node | {"state": "draining"}]}))
        await until(2, 0)
        assert found[1][0].state == "draining"
        nursery.cancel_scope.cancel()


async def test_metrics_have_their_own_port_and_server_limits_are_reloaded() -> None:
    async with gateway_cluster(metrics="127.0.0.1:31099") as w:
        assert (await w.ask()).done == 1
        caller = await w.pool.connect("127.0.0.1:31099")
        text = (await send_request(caller, b"", {}, "/metrics", "GET")).body.decode()
        assert 'ternlane_generations_total{model="summary",outcome="streamed"} 1.0' in text
        assert 'ternlane_legs_total{stage="write",verdict="streamed"} 1.0' in text
        changed = msgspec.structs.replace(w.gateway.config, door=ServerLimits(body_bytes=50), seed=5)
        assert w.gateway.reload(changed) == (["door"], ["seed"])
        assert (await w.ask(text="x" * 60)).status == 413


def test_sessions_and_prefixes_of_many_conversations_are_bounded() -> None:
    request_class = RequestClass(Effect.IDEMPOTENT, Group.ALL, 0, 400, 0, 60, 2000, 1, 0)
    intake = RequestIntake({"m": request_class}, {request_class: 100}, 500)
    for i in range(20_000):
        intake.take(ask(f"folder {i} " * 60), 1000)  # type: ignore[arg-type]
    assert len(intake.sessions.session_by_hash) <= 1000 and intake.prefixes.block_count <= 4000


def test_two_gateways_do_not_overspend_a_shared_budget() -> None:
    line = tenant(minute=600, burst=600)
    accountings = [UsageAccounting(2, f"g{i}") for i in range(2)]
    admitted = sum(
        isinstance(c.reserve(line, "s", 90, 10, 0.0, NOON), BudgetReservation) for _ in range(20) for c in accountings
    )
    assert admitted == 6


def test_a_clock_set_back_stays_in_the_later_billing_period() -> None:
    usage_accounting, line = UsageAccounting(), tenant(period=100)
    assert isinstance(usage_accounting.reserve(line, "s", 90, 10, 0.0, NOON), BudgetReservation)
    assert isinstance(usage_accounting.reserve(line, "s", 90, 10, 0.0, NOON + 40 * 86400), BudgetReservation)
    assert not isinstance(usage_accounting.reserve(line, "s", 1, 1, 0.0, NOON), BudgetReservation)


def test_period_chunks_spent_before_a_restart_can_not_be_spent_again() -> None:
    line, lender = tenant(period=24_000), QuotaLeases(3)
    before = UsageAccounting(3, "g", leases_quota=True)
    while before.meters.get(("noto", "")) is None or before.meters["noto", ""].spent < 5000:
        got = before.reserve(line, "s", 90, 10, 0.0, NOON)
        if not isinstance(got, BudgetReservation):
            before.meters["noto", ""].period_allowance += lender.lease_period_chunk("noto", "2026-12", 24_000)
    after = UsageAccounting(3, "g", leases_quota=True)
    after.advance_wall_clock(NOON)
    after.add_past_usage("noto", "s", "2026-12", before.meters["noto", ""].spent)
    assert not isinstance(after.reserve(line, "s", 90, 10, 0.0, NOON), BudgetReservation)
    assert after.period_shortages() == [("noto", "", "2026-12", 24_000)]
    after.meters["noto", ""].period_allowance += lender.lease_period_chunk(
        "noto", "2026-12", 24_000
    )  # one more chunk makes room
    assert isinstance(after.reserve(line, "s", 90, 10, 0.0, NOON), BudgetReservation)


class LedgerStateMachine(RuleBasedStateMachine):
    """Reserves, settles, advances time and billing periods, crashes and recovers: ledger, meters and a plain sum
    agree."""

    holds = Bundle("holds")

    def __init__(self) -> None:
        super().__init__()
        self.disk, self.now, self.n = FakeDisk(), 0.0, 0
        self.line = tenant(period=3000, minute=60_000, overdraft=1000)
        self.kept: dict[str, tuple[str, int]] = {}
        self.start()

    def start(self) -> None:
        self.store, self.usage_accounting, self.epoch = BillingLedger(self.disk, 500), UsageAccounting(), object()  # type: ignore[arg-type]
        self.usage_accounting.advance_wall_clock(NOON + self.now / 1000)
        self.store.recover()
        for (name, request_class, period), it in self.store.totals.sums.items():
            self.usage_accounting.add_past_usage(name, request_class, period, it.billed.prompt + it.billed.answer)

    @rule(target=holds, prompt=st.integers(1, 400))
    def reserve(self, prompt: int) -> object:
        got = self.usage_accounting.reserve(self.line, "s", prompt, 100, self.now, NOON + self.now / 1000)
        return (self.epoch, got) if isinstance(got, BudgetReservation) else None

    @rule(it=consumes(holds), answer=st.integers(0, 100), commit=st.booleans())
    def settle(self, it: object, answer: int, commit: bool) -> None:
        if not isinstance(it, tuple) or it[0] is not self.epoch:
            return  # rejected, or lost in a crash
        self.n += 1
        hold = it[1]
        billed = Bill(TokenUsage(hold.prompt, 0, answer), TokenUsage())
        entry = self.usage_accounting.settle(
            hold, f"g{self.n}", "streamed", billed, 2, self.now, NOON + self.now / 1000
        )
        self.store.append(entry)
        if commit:
            self.store.commit()
            for _, e in [*self.pending, (0, entry)]:
                self.kept[e.request] = e.period, e.billed.prompt + e.billed.answer
            self.pending = []
        else:
            self.pending = [*self.pending, (0, entry)]

    pending: list[tuple[int, object]] = []

    @rule(days=st.integers(0, 12))
    def wait(self, days: int) -> None:
        self.now += days * 86400e3 + 1000

    @rule()
    def crash(self) -> None:
        self.pending = []
        self.start()

    @invariant()
    def ledger_and_meter_agree(self) -> None:
        sums: dict[str, int] = {}
        for period, tokens in self.kept.values():
            sums[period] = sums.get(period, 0) + tokens
        told = {key[2]: it.billed.prompt + it.billed.answer for key, it in self.store.totals.sums.items()}
        assert told == sums
        meter = self.usage_accounting.meters.get(("noto", ""))
        if meter is not None and meter.period is not None:
            assert meter.spent >= sums.get(meter.period.name, 0) - 1e-9 or meter.period.begin > NOON + self.now / 1000


TestLedgerStateMachine = LedgerStateMachine.TestCase
TestLedgerStateMachine.settings = settings(max_examples=60, stateful_step_count=30, deadline=None)


@pytest.mark.parametrize("n", [1, 3])
def test_segments_beyond_keep_segments_are_deleted(n: int) -> None:
    disk = FakeDisk()
    store = BillingLedger(disk, 300, keep_segments=n)  # type: ignore[arg-type]
    from tests.tenant_data import entry

    for i in range(1, 40):
        store.append(entry(i))
        store.commit()
    assert sum(name.endswith(".seg") for name in disk.names()) <= n + 1


async def test_a_reserved_place_is_taken_by_the_decode_or_released() -> None:
    class ReservingRouter(Router):
        """The router, with a reservation at the home decode server for each prefill."""

        def take(self, now: float, events: list[messages.Event]) -> list[messages.Action]:
            out = super().take(now, events)
            for action in list(out):
                if isinstance(action, messages.StartAttempt) and action.server.role is messages.Role.PREFILL:
                    out.append(messages.Reserve(action.request, action.request.router_state.decode_server.server))
            told.extend(e for e in events if isinstance(e, messages.ReservationResult))
            return out

    told: list[messages.ReservationResult] = []
    terms = msgspec.structs.replace(FLEET_CONFIG, holds=True)
    async with gateway_cluster(
        ("r0", "w0"), profile=replace(ENGINE_PROFILE, prefill_tokens_per_s=4000.0), chooser=ReservingRouter, fleet=terms
    ) as w:
        assert (await w.ask("note", "x" * 800)).done == 1
        assert [e.held for e in told] == [True]
        assert len(w.traffic_events("taken", id="w0")) == 1 and w.engines["w0"].used_tokens == 0
        with trio.move_on_after(0.05):  # a client that disconnects during the prefill
            await w.ask("note", "y" * 1600)
        await w.wait_until_idle()
        assert len(w.traffic_events("released", id="w0")) == 1 and w.engines["w0"].used_tokens == 0

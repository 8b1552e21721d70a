"""Tests of tenants over real sockets: admission, billing, and what a failing disk or a killed gateway leaves."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import msgspec
import pytest
import trio

from ternlane.gateway.active_request import ActiveRequest
from ternlane.ledger.billing_report import bill_rows, read_entries
from ternlane.ledger.reconciliation import reconcile
from ternlane.tenants import ApiKey, Budget, Prices, Tenant, new_key
from ternlane.tenants.tenant_registry import TenantRegistryConfig
from tests.gateway_cluster import ENGINE_PROFILE, GatewayCluster, Reply, gateway_cluster, replace


class TenantAccounts:
    def __init__(self, folder: Path, names: tuple[str, ...], **budget: Any) -> None:
        self.folder, self.keys, lines = folder, {}, []
        for name in names:
            self.keys[name], public, salt, kept = new_key()
            lines.append(
                Tenant(
                    name=name,
                    keys=[ApiKey(name=public, salt=salt, hash=kept)],
                    budget=Budget(**budget),
                    prices={"*": Prices(prompt=3, cached=1, answer=12)},
                )
            )
        self.write(lines)

    def write(self, lines: list[Tenant]) -> None:
        self.lines = lines
        (self.folder / "tenants.json5").write_bytes(msgspec.json.encode(TenantRegistryConfig(tenants=lines)))

    async def ask(
        self, w: GatewayCluster, name: str, model: str = "summary", text: str = "hello", **more: Any
    ) -> Reply:
        headers = {"Authorization": f"Bearer {self.keys[name]}"} | more.pop("headers", {})
        return await w.ask(model, text, headers=headers, **more)

    def reconcile_with_engines(self, w: GatewayCluster) -> Any:
        return reconcile(read_entries([self.folder / "ledger"]), w.traffic_events("made"))


@asynccontextmanager
async def gateway_with_tenants(
    folder: Path,
    names: tuple[str, ...] = ("noto", "avola"),
    engines: tuple[str, ...] = ("r0", "w0"),
    profile: Any = ENGINE_PROFILE,
    budget: dict[str, Any] | None = None,
) -> AsyncIterator[tuple[GatewayCluster, TenantAccounts]]:
    accounts = TenantAccounts(folder, names, **(budget or {}))
    async with gateway_cluster(
        engines, profile=profile, tenants=str(folder / "tenants.json5"), ledger=str(folder / "ledger")
    ) as w:
        yield w, accounts
        await w.gateway.drain()


async def test_only_a_valid_key_is_admitted_and_a_revoked_one_keeps_its_running_stream(tmp_path: Path) -> None:
    async with gateway_with_tenants(tmp_path, profile=replace(ENGINE_PROFILE, token_ms=150.0)) as (w, accounts):
        assert (await w.ask()).status == 401
        assert (await w.ask(headers={"Authorization": "Bearer tl-ffff-nothing"})).error == {
            "message": "Incorrect API key provided",
            "type": "authentication_error",
            "param": None,
            "code": "invalid_api_key",
        }
        got: list[Reply] = []
        async with trio.open_nursery() as nursery:

            async def one() -> None:
                got.append(await accounts.ask(w, "noto"))

            nursery.start_soon(one)
            await trio.sleep(0.1)
            accounts.write(
                [
                    msgspec.structs.replace(t, keys=[msgspec.structs.replace(k, state="revoked") for k in t.keys])
                    for t in accounts.lines
                ]
            )
            with trio.fail_after(2):
                while (await accounts.ask(w, "avola", text="x" * 4, model="nobody")).status != 401:
                    await trio.sleep(0.1)
        assert got[0].done == 1
        assert (await accounts.ask(w, "noto")).status == 401


async def test_bills_match_what_servers_counted_over_several_attempts(tmp_path: Path) -> None:
    """A decode server dies during a stream: that request fails, and a later one is prefilled again."""
    async with gateway_with_tenants(
        tmp_path, engines=("r0", "r0b", "w0", "w0b"), profile=replace(ENGINE_PROFILE, token_ms=12.0)
    ) as (w, accounts):
        for i in range(12):
            await accounts.ask(w, "noto", text=f"folder {i} " * 30)

        async def kill() -> None:
            while len(w.traffic_events("effect")) < 13:
                await trio.sleep(0.002)
            w.engines[w.traffic_events("effect")[-1]["id"]].die()

        w.nursery.start_soon(kill)
        lost = await accounts.ask(w, "avola", "note", text="lost midway " * 40)
        again = await accounts.ask(w, "avola", text="read again " * 40)
        assert again.done == 1 and lost.status in (200, 502)
        await w.wait_until_idle()
        await w.gateway.budget_enforcer.writer.flush(1.0)
        found = accounts.reconcile_with_engines(w)
        assert found.unexplained_share <= 0.01 and not found.duplicates and not found.unsettled
        rows = bill_rows([tmp_path / "ledger"], "noto", None)
        assert rows[0]["generations"] == 12 and rows[0]["answer"] == 72
        assert rows[0]["micros"] == 3 * (rows[0]["prompt"] - rows[0]["kept"]) + rows[0]["kept"] + 12 * 72


async def test_a_repeat_under_one_idempotency_key_is_billed_once(tmp_path: Path) -> None:
    async with gateway_with_tenants(tmp_path) as (w, accounts):
        for _ in range(3):
            assert (await accounts.ask(w, "noto", headers={"Idempotency-Key": "k"})).done == 1
        await w.gateway.budget_enforcer.writer.flush(1.0)
        assert bill_rows([tmp_path / "ledger"], None, None)[0]["generations"] == 1


async def test_over_budget_is_rejected_with_an_accurate_retry_time_and_runs_nothing(tmp_path: Path) -> None:
    async with gateway_with_tenants(tmp_path, budget={"minute": 6000, "burst": 150}) as (w, accounts):
        first = await accounts.ask(w, "noto", text="x" * 200, max_tokens=10)
        assert first.done == 1 and float(first.headers["x-ratelimit-remaining-tokens"]) < 150
        assert first.headers["x-ratelimit-limit-tokens"] == "6000"
        attempts, rejected = len(w.traffic_events("leg")), Reply()
        for _ in range(6):
            rejected = await accounts.ask(w, "noto", text="x" * 200, max_tokens=10)
            if rejected.status == 429:
                break
            attempts = len(w.traffic_events("leg"))
        assert rejected.status == 429 and rejected.error is not None and rejected.error["code"] == "rate_limit_exceeded"
        assert len(w.traffic_events("leg")) == attempts
        assert (
            await accounts.ask(w, "avola", text="x" * 200, max_tokens=10)
        ).done == 1  # another tenant's budget is separate
        await trio.sleep(float(rejected.headers["retry-after-ms"]) / 1000 + 0.02)
        assert (await accounts.ask(w, "noto", text="x" * 200, max_tokens=10)).done == 1


@pytest.mark.parametrize("cut", [False, True])
async def test_a_stream_is_cut_for_its_overrun_only_where_the_tenant_wants_it(tmp_path: Path, cut: bool) -> None:
    budget = {"minute": 60, "burst": 100, "overdraft": 20, "cut": cut}
    profile = replace(ENGINE_PROFILE, answer_tokens=(200, 200), token_ms=1.0)
    async with gateway_with_tenants(tmp_path, names=("noto",), profile=profile, budget=budget) as (w, accounts):
        for _ in range(20):  # so that the estimated answer is short
            w.gateway.budget_enforcer.usage_accounting.lengths.learn("noto", "summary", 10)
        reply = await accounts.ask(w, "noto", max_tokens=200)
        assert (reply.done == 0 and "over budget" in str(reply.error)) if cut else reply.done == 1
        again = await accounts.ask(w, "noto", max_tokens=200)
        assert again.status == 429 and float(again.headers["retry-after-ms"]) > 1000
        await w.gateway.budget_enforcer.writer.flush(1.0)
        answer = bill_rows([tmp_path / "ledger"], None, None)[0]["answer"]
        assert 100 < answer < 140 if cut else answer == 200


@pytest.mark.parametrize("metering", ["none", "absurd"])
async def test_missing_or_invalid_usage_reports_are_billed_by_estimate(tmp_path: Path, metering: str) -> None:
    async with gateway_with_tenants(tmp_path) as (w, accounts):
        for engine in w.engines.values():
            engine.fault.usage_reporting = metering
        assert (await accounts.ask(w, "noto", text="x" * 400)).done == 1
        await w.wait_until_idle()
        await w.gateway.budget_enforcer.writer.flush(1.0)
        found = next(read_entries([tmp_path / "ledger"]))
        assert found.note and found.billed.answer == 6 and 80 <= found.billed.prompt <= 120
        assert found.micros == 3 * (found.billed.prompt - found.billed.cached) + found.billed.cached + 12 * 6


async def test_a_gateway_killed_between_reserve_and_send_bills_nothing(tmp_path: Path) -> None:
    """The budget is reserved and the attempt is never sent: servers counted nothing, so no bill may be missing."""
    async with gateway_with_tenants(tmp_path) as (w, accounts):
        w.gateway.runtime.start_attempt = lambda *_: None  # type: ignore[method-assign]
        with trio.move_on_after(0.2):
            await accounts.ask(w, "noto")
        assert w.gateway.budget_enforcer.usage_accounting.meters == {} or w.traffic_events("leg") == []
        found = accounts.reconcile_with_engines(w)
        assert not w.traffic_events("leg") and not found.unsettled and found.billed.prompt == 0
        w.gateway.runtime.active_requests.clear()


async def test_a_burst_of_one_tenant_does_not_affect_another(tmp_path: Path) -> None:
    """A tenant sends 80 requests at once, far over its budget, while another one sends a few."""
    async with gateway_with_tenants(tmp_path, budget={"minute": 3000, "burst": 200, "at_once": 4}) as (w, accounts):
        got: dict[str, list[int]] = {"noto": [], "avola": []}

        async def one(name: str) -> None:
            got[name].append((await accounts.ask(w, name, text="x" * 100, max_tokens=10)).status)

        async with trio.open_nursery() as nursery:
            for _ in range(80):
                nursery.start_soon(one, "noto")
            await trio.sleep(0.02)
            for _ in range(3):
                nursery.start_soon(one, "avola")
        assert got["avola"] == [200] * 3
        assert 1 <= got["noto"].count(200) <= 8 and got["noto"].count(429) == 80 - got["noto"].count(200)
        assert len(w.traffic_events("leg", stage="write")) == got["noto"].count(200) + 3
        await w.gateway.budget_enforcer.writer.flush(1.0)
        assert accounts.reconcile_with_engines(w).unexplained_share == 0


async def test_equal_request_ids_of_different_tenants_are_distinct_at_servers(tmp_path: Path) -> None:
    """Two tenants use the same X-Request-Id. Servers must see two ids, or one tenant could release the other's
    state."""
    async with gateway_with_tenants(tmp_path) as (w, accounts):
        for name in accounts.keys:
            assert (await accounts.ask(w, name, headers={"X-Request-Id": "same"})).done == 1
        assert {v["gen"] for v in w.traffic_events("leg")} == {"noto:same", "avola:same"}


async def test_a_full_ledger_disk_rejects_requests_once_too_many_bills_wait(tmp_path: Path) -> None:
    """The ledger's disk is full for six requests. Three bills may wait in memory; after that requests are rejected.
    Once there is room again, all pending bills are written."""
    async with gateway_with_tenants(tmp_path) as (w, accounts):
        assert w.gateway.budget_enforcer is not None
        disk, writer = w.gateway.budget_enforcer.store.disk, w.gateway.budget_enforcer.writer
        write, writer.max_waiting = disk.write, 3

        def full(handle: int, data: bytes) -> int:
            raise OSError(28, "No space left on device")

        disk.write = full  # type: ignore[method-assign]
        answers = [(await accounts.ask(w, "noto", text=str(i))).status for i in range(6)]
        assert answers[:3] == [200] * 3 and answers[-1] == 503
        disk.write = write  # type: ignore[method-assign]
        with trio.fail_after(3):
            while writer.waiting:
                await trio.sleep(0.02)
        assert (await accounts.ask(w, "noto")).done == 1
        await writer.flush(1.0)
        assert bill_rows([tmp_path / "ledger"], None, None)[0]["generations"] == answers.count(200) + 1


async def test_leaving_the_gateway_block_during_a_stream_loses_no_bill(tmp_path: Path) -> None:
    """A program leaves the block of `open_gateway` during a stream: the stream is billed all the same."""
    accounts = TenantAccounts(tmp_path, ("noto",))
    async with trio.open_nursery() as nursery:
        async with gateway_cluster(
            ("r0", "w0"),
            profile=replace(ENGINE_PROFILE, token_ms=40.0),
            tenants=str(tmp_path / "tenants.json5"),
            ledger=str(tmp_path / "ledger"),
        ) as w:
            assert (await accounts.ask(w, "noto")).done == 1
            nursery.start_soon(accounts.ask, w, "noto")
            await trio.sleep(0.12)  # during the stream
        found = list(read_entries([tmp_path / "ledger"]))
        assert [e.outcome for e in found] == ["streamed", "terminated"] and 0 < found[1].billed.answer < 6


async def test_two_processes_with_one_ledger_write_one_after_the_other(tmp_path: Path) -> None:
    """After a handover of sockets, the second process serves at once, and writes its bills when the first has ended."""
    accounts = TenantAccounts(tmp_path, ("noto",), period=100_000)
    more: dict[str, Any] = {"tenants": str(tmp_path / "tenants.json5"), "ledger": str(tmp_path / "ledger")}
    async with gateway_cluster(("r0", "w0"), **more) as first:
        assert (await accounts.ask(first, "noto")).done == 1
        async with gateway_cluster(("r0", "w0"), **more) as second:
            for _ in range(3):
                assert (await accounts.ask(second, "noto")).done == 1
            assert (await accounts.ask(first, "noto")).done == 1
            assert second.gateway.budget_enforcer is not None and not second.gateway.budget_enforcer.writer.owns_log
            await first.gateway.drain()
            with trio.fail_after(2):
                while (
                    second.gateway.budget_enforcer.writer.waiting or not second.gateway.budget_enforcer.writer.owns_log
                ):
                    await trio.sleep(0.01)
            row = bill_rows([tmp_path / "ledger"], None, None)[0]
            assert row["generations"] == 5
            assert (
                second.gateway.budget_enforcer.usage_accounting.meters["noto", ""].spent
                == row["prompt"] + row["answer"]
            )


async def test_request_ids_qualified_by_tenant_do_not_collide(tmp_path: Path) -> None:
    async with gateway_with_tenants(tmp_path, names=("a", "a.b")) as (w, accounts):
        assert (await accounts.ask(w, "a.b", headers={"X-Request-Id": "c"})).done == 1
        assert (await accounts.ask(w, "a", headers={"X-Request-Id": "b.c"})).done == 1
        assert {v["gen"] for v in w.traffic_events("leg")} == {"a.b:c", "a:b.c"}


async def test_a_killed_gateway_loses_only_bills_in_flight_and_they_are_listed(tmp_path: Path) -> None:
    """Nothing is settled from some moment on, as after SIGKILL, while servers still run one request."""
    async with gateway_with_tenants(tmp_path, profile=replace(ENGINE_PROFILE, token_ms=60.0)) as (w, accounts):
        assert (await accounts.ask(w, "noto")).done == 1
        await w.gateway.budget_enforcer.writer.flush(1.0)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(accounts.ask, w, "avola")
            await trio.sleep(0.1)
            w.gateway.runtime.on_done = lambda _: None  # nothing is settled from here on, as after SIGKILL
            await trio.sleep(0.5)
        found = accounts.reconcile_with_engines(w)
        assert list(found.unsettled.values())[0].answer == 6 and found.unexplained_share == 0
        assert isinstance(next(iter(w.gateway.runtime.active_requests.values()), None), ActiveRequest | None)


async def test_spent_tokens_are_known_after_a_restart(tmp_path: Path) -> None:
    for expected in (200, 429):
        async with gateway_with_tenants(tmp_path, names=("noto",), budget={"period": 120}) as (w, accounts):
            reply = await accounts.ask(w, "noto", text="y" * 320, max_tokens=10)
            assert reply.status == expected
            if expected == 429:
                assert reply.error is not None and reply.error["code"] == "insufficient_quota"

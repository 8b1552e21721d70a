"""End-to-end tests of the chat gateway over real sockets, between clients and fake engines."""

from __future__ import annotations

import json
import os
import socket
from collections import Counter
from pathlib import Path
from typing import Any

import pytest
import trio

from ternlane.config import ConsulSource, NodeLine
from ternlane.config.gateway import ServerLimits
from ternlane.engine import AttemptPlan
from ternlane.engine.prefill_attempt import prefill_attempt
from ternlane.engine.stream_attempt import stream_attempt
from ternlane.http1 import ClientConnection, ConnectionPool
from ternlane.policy.messages import AttemptOutcome
from ternlane.testing.registry import FakeRegistry, RegisteredEndpoint
from ternlane.testing.scripted import ScriptedServer
from ternlane.testing.traffic import TrafficLog
from tests.gateway_cluster import (
    ENGINE_PROFILE,
    GatewayCluster,
    Reply,
    gateway_cluster,
    replace,
    scaled_request_classes,
    send_request,
    until,
)

SLOW = replace(ENGINE_PROFILE, token_ms=80.0, answer_tokens=(8, 8))


async def test_a_chat_is_prefilled_decoded_and_streamed() -> None:
    async with gateway_cluster() as w:
        reply = await w.ask(stream_options={"include_usage": True})
        assert (reply.status, reply.done, reply.broke) == (200, 1, False)
        assert len(reply.text.split()) == 6
        assert json.loads(reply.events[-2])["usage"]["completion_tokens"] == 6
        assert [v["stage"] for v in w.traffic_events("leg")] == ["read", "write"]
        await w.wait_until_idle()


async def test_a_plain_answer_has_the_same_text_as_a_streamed_one() -> None:
    async with gateway_cluster() as w:
        streamed, plain = await w.ask(), await w.ask(stream=False)
        body = json.loads(plain.body)
        assert body["choices"][0]["message"]["content"] == streamed.text
        assert body["usage"]["completion_tokens"] == 6


async def test_a_mixed_server_prefills_and_decodes_in_one_attempt() -> None:
    async with gateway_cluster(("m0",)) as w:
        reply = await w.ask()
        assert reply.done == 1
        assert [v["stage"] for v in w.traffic_events("leg")] == ["whole"]


async def test_the_next_turn_goes_to_the_prefill_server_that_caches_the_conversation() -> None:
    async with gateway_cluster(("r0", "r1", "r2", "w0", "w1", "w2")) as w:
        messages = [{"role": "user", "content": "tell me of the bonus " * 100}]
        for turn in range(4):
            reply = await w.post({"model": "summary", "messages": messages, "stream": True})
            messages += [{"role": "assistant", "content": reply.text}, {"role": "user", "content": f"and {turn}?"}]
        assert len({v["id"] for v in w.traffic_events("leg", stage="read")}) == 1


# -- clients that disconnect or send invalid requests


async def send_and_disconnect(
    w: GatewayCluster,
    after_ms: float,
    text: str = "hello",
    model: str = "summary",
    stream: bool = True,
    headers: dict[str, str] | None = None,
) -> None:
    caller = await w.pool.connect(w.gateway.address)
    with trio.move_on_after(after_ms / 1000):
        await send_request(
            caller,
            {"model": model, "messages": [{"role": "user", "content": text}], "stream": stream},
            headers or {},
            "/v1/chat/completions",
        )
    caller.close_now()


async def test_a_client_that_leaves_midway_frees_its_decode_server() -> None:
    """A client disconnects while its answer streams. The attempt must be cancelled."""
    async with gateway_cluster(profile=SLOW) as w:
        await send_and_disconnect(w, 250)
        await w.wait_until_idle()
        assert [v["how"] for v in w.traffic_events("leg_end")] == ["read", "dropped"]


async def test_a_client_that_leaves_before_the_first_event_leaves_no_state_behind() -> None:
    """A client disconnects before the first event. A prefill server may hold state by then, which must be released."""
    async with gateway_cluster(profile=replace(ENGINE_PROFILE, prefill_tokens_per_s=2000.0)) as w:
        await send_and_disconnect(w, 100, text="x" * 1600)  # 200 ms to prefill
        await trio.sleep(0.15)
        await w.wait_until_idle()
        assert len(w.traffic_events("leg")) == 1


async def test_a_request_whose_client_leaves_while_it_is_queued_is_sent_nowhere() -> None:
    """A client disconnects while its request is queued. No attempt may be sent for it any more."""
    async with gateway_cluster(
        ("r0", "w0"), profile=replace(ENGINE_PROFILE, kv_capacity_tokens=3000.0, token_ms=60.0)
    ) as w:
        async with trio.open_nursery() as nursery:
            for _ in range(2):
                nursery.start_soon(w.ask, "summary", "y" * 4000)
            await until(lambda: len(w.traffic_events("leg")) >= 2, 2)
            await send_and_disconnect(w, 80, text="z" * 8000, headers={"X-Request-Id": "gone"})
            await until(lambda: "gone" not in w.gateway.runtime.idents, 1)
            assert w.traffic_events("leg", gen="gone") == []
        await w.wait_until_idle()


async def test_a_client_that_sends_a_second_request_early_is_answered_once_and_rejected_once() -> None:
    async with gateway_cluster() as w:
        body = json.dumps({"model": "summary", "messages": [{"role": "user", "content": "a"}]}).encode()
        request = b"POST /v1/chat/completions HTTP/1.1\r\nHost: g\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
        stream = await trio.open_tcp_stream("127.0.0.1", int(w.gateway.address.split(":")[1]))
        await stream.send_all(request + request)
        got = b""
        with trio.fail_after(2):
            while more := await stream.receive_some(65536):
                got += more
        assert got.count(b"HTTP/1.1 200") == 1 and got.count(b"HTTP/1.1 400") == 1 and b"pipelin" in got
        assert len(w.traffic_events("effect")) == 1


async def test_large_slow_and_broken_requests_are_rejected_with_a_reason() -> None:
    async with gateway_cluster(door=ServerLimits(body_bytes=2000, head_ms=80, body_ms=80)) as w:
        assert (await w.ask(text="x" * 3000)).status == 413
        for begun, status in (
            (b"POST /v1/chat/completions HTTP/1.1\r\nHo", b"408"),
            (b"POST /v1/chat/completions HTTP/1.1\r\nHost: g\r\nContent-Length: 50\r\n\r\n{", b"408"),
            (b"NONSENSE\r\n\r\n", b"400"),
        ):
            stream = await trio.open_tcp_stream("127.0.0.1", int(w.gateway.address.split(":")[1]))
            await stream.send_all(begun)
            with trio.fail_after(1):
                assert status in (await stream.receive_some(65536)).split(b"\r\n")[0]
            await stream.aclose()
        assert w.traffic_events("leg") == []


@pytest.mark.parametrize(
    "change, param, status",
    [
        ({"messages": None}, "messages", 400),
        ({"messages": []}, "messages", 400),
        ({"messages": [{"role": "robot", "content": "a"}]}, "messages[0].role", 400),
        ({"messages": [{"role": "user", "content": "a"}, {"role": "user"}]}, "messages[1].content", 400),
        (
            {"messages": [{"role": "user", "content": [{"type": "text", "text": 3}]}]},
            "messages[0].content[0].text",
            400,
        ),
        ({"max_tokens": 0}, "max_tokens", 400),
        ({"max_completion_tokens": "many"}, "max_completion_tokens", 400),
        ({"stream": "yes"}, "stream", 400),
        ({"stream": False, "stream_options": {"include_usage": True}}, "stream_options", 400),
        ({"n": 3}, "n", 400),
        ({"model": "nobody"}, "model", 404),
    ],
)
async def test_an_invalid_field_is_named_in_the_error(change: dict[str, Any], param: str, status: int) -> None:
    async with gateway_cluster() as w:
        body = {"model": "summary", "messages": [{"role": "user", "content": "a"}], "stream": True, "new_field": 1}
        reply = await w.post(body | change)
        assert (reply.status, reply.error and reply.error["param"]) == (status, param)
        assert (await w.post(body)).done == 1  # unknown fields are accepted


async def test_a_shorter_time_limit_of_the_client_is_kept() -> None:
    async with gateway_cluster(profile=replace(ENGINE_PROFILE, prefill_tokens_per_s=100.0)) as w:
        since = trio.current_time()
        reply = await w.ask(text="x" * 400, headers={"X-Ternlane-Time-Limit-Ms": "300"})
        assert reply.status in (429, 504) and trio.current_time() - since < 0.3


# -- failing engines


async def test_a_decode_server_that_stalls_after_its_first_event_ends_in_an_error_event() -> None:
    """A decode server stalls during a stream with its connection open. The client must not wait forever."""
    async with gateway_cluster(("r0", "w0"), profile=replace(ENGINE_PROFILE, token_ms=30.0)) as w:

        async def hang() -> None:
            while not w.traffic_events("effect"):
                await trio.sleep(0.005)
            await trio.sleep(0.06)
            w.engines["w0"].fault.hung = True

        w.nursery.start_soon(hang)
        reply = await w.ask("note")
        assert reply.status == 200 and reply.done == 0 and reply.error is not None and not reply.broke
        assert len(w.traffic_events("leg", stage="write")) == 1
        w.engines["w0"].fault.hung = False
        await w.wait_until_idle()


@pytest.mark.parametrize("model, served", [("summary", True), ("note", False), ("form", True)])
async def test_a_decode_server_that_dies_before_the_first_event(model: str, served: bool) -> None:
    """After the failure, an idempotent request is retried anywhere, a deduplicated one within its cell, a
    side-effecting one not at all."""
    async with gateway_cluster(("r0", "w0", "w0b"), profile=replace(ENGINE_PROFILE, token_ms=150.0)) as w:

        async def kill() -> None:
            while not w.traffic_events("effect"):
                await trio.sleep(0.005)
            w.engines[w.traffic_events("effect")[0]["id"]].die()

        w.nursery.start_soon(kill)
        reply = await w.ask(model)
        assert (reply.done == 1) is served
        if not served:
            assert reply.status in (502, 504) and len(w.traffic_events("effect")) == 1
        await w.wait_until_idle()


async def test_a_deduplicated_request_does_not_leave_its_cell() -> None:
    async with gateway_cluster(("r0", "r1", "w0", "w1"), profile=replace(ENGINE_PROFILE, token_ms=150.0)) as w:

        async def kill() -> None:
            while not w.traffic_events("effect"):
                await trio.sleep(0.005)
            w.engines[w.traffic_events("effect")[0]["id"]].die()

        w.nursery.start_soon(kill)
        reply = await w.ask("form")
        assert reply.status in (502, 504) and len(w.traffic_events("effect")) == 1


async def test_a_decode_server_that_dies_midway_ends_in_an_error_event() -> None:
    """A decode server dies during a stream that may not be resumed. The client gets an error event."""
    async with gateway_cluster(("r0", "w0", "w0b"), profile=replace(ENGINE_PROFILE, token_ms=40.0)) as w:

        async def kill() -> None:
            while not w.traffic_events("effect"):
                await trio.sleep(0.005)
            await trio.sleep(0.1)
            w.engines[w.traffic_events("effect")[0]["id"]].die()

        w.nursery.start_soon(kill)
        reply = await w.ask("note")
        assert reply.status == 200 and reply.done == 0 and reply.error is not None


@pytest.mark.parametrize("model", ["summary", "note"])
async def test_only_an_idempotent_request_is_decoded_again_after_a_lost_answer(model: str) -> None:
    """A decode server has run the request, and its answer is lost. A request with effects must not run again."""
    async with gateway_cluster(("r0", "w0", "w0b")) as w:
        for ident in ("w0", "w0b"):
            w.engines[ident].fault.lost_answer_share = 1.0
        since = trio.current_time()
        reply = await w.ask(model)
        assert reply.status in (429, 504) and trio.current_time() - since < 2.05
        assert len(w.traffic_events("effect")) == 1 if model == "note" else len(w.traffic_events("effect")) >= 1
        if model == "note":
            assert reply.status == 504  # 429 would claim that nothing ran
        await w.wait_until_idle()


async def test_a_prefill_server_that_dies_with_the_state_is_replaced() -> None:
    """A prefill server dies after its answer, before its state is fetched. Another one must prefill."""
    async with gateway_cluster(("r0", "r0b", "w0")) as w:
        w.engines["w0"].fault.slowdown = 1.0
        # The decode server queues the request before it fetches the state.
        w.engines["w0"].busy = w.engines["w0"].profile.slots

        async def kill() -> None:
            while not w.traffic_events("leg", stage="write"):
                await trio.sleep(0.005)
            w.engines[w.traffic_events("state")[0]["id"]].die()
            await trio.sleep(0.05)
            w.engines["w0"].busy = 1
            w.engines["w0"].free_slot()

        w.nursery.start_soon(kill)
        reply = await w.ask("note")
        assert reply.done == 1
        assert (
            len({v["id"] for v in w.traffic_events("leg", stage="read")}) == 2 and len(w.traffic_events("effect")) == 1
        )


async def test_a_decode_server_that_is_listed_but_dead_is_passed_over() -> None:
    """A decode server is listed but nothing listens at its address. Requests go to another one."""
    async with gateway_cluster(("r0", "w0", "w0b")) as w:
        w.engines["w0"].die()
        await trio.sleep(0.02)
        for _ in range(4):
            assert (await w.ask("note")).done == 1
        assert {v["id"] for v in w.traffic_events("effect")} == {"w0b"}


async def test_a_connect_that_hangs_times_out() -> None:
    with socket.socket() as deaf:  # its accept queue is full: more connects get no answer
        deaf.bind(("127.0.0.1", 0))
        deaf.listen(0)
        fill = [socket.socket() for _ in range(3)]
        for s in fill:
            s.setblocking(False)
            s.connect_ex(deaf.getsockname())
        pool = ConnectionPool(120, 1000)
        plan = AttemptPlan("127.0.0.1:%d" % deaf.getsockname()[1], [], b"{}", 5000, 100)
        since = trio.current_time()
        end = await prefill_attempt(pool, plan)
        assert end.outcome is AttemptOutcome.CONNECT_FAILED and trio.current_time() - since < 0.4
        for s in fill:
            s.close()


HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
PIECE = b'data: {"choices":[{"index":0,"delta":{"content":"a"}}]}\n\n'


def chunked(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


@pytest.mark.parametrize(
    "steps, outcome, begun",
    [
        ([HEAD, chunked(PIECE), b"40\r\ndata: {", "reset"], AttemptOutcome.RESET, True),
        ([HEAD, chunked(PIECE), "close"], AttemptOutcome.RESET, True),
        ([HEAD, chunked(PIECE) + b"0\r\n\r\n"], AttemptOutcome.RESET, True),
        ([HEAD, chunked(b"data: {not json}\n\n")], AttemptOutcome.ERROR, False),
        ([HEAD, chunked(PIECE), chunked(b"data: \xff\xfe\n\n")], AttemptOutcome.ERROR, True),
        ([HEAD, chunked(b'data: {"error":{"message":"out of memory"}}\n\n')], AttemptOutcome.ERROR, False),
        ([HEAD, b"zz\r\nrubbish"], AttemptOutcome.ERROR, False),
        ([b"HTTP/1.1 200 OK\r\nbad header\r\n\r\n"], AttemptOutcome.ERROR, False),
        ([b"SSH-2.0-OpenSSH\r\n\r\n"], AttemptOutcome.ERROR, False),
        ([b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"], AttemptOutcome.ERROR, False),
        (
            [b"HTTP/1.1 503 Busy\r\nx-ternlane-not-run: draining\r\nContent-Length: 0\r\n\r\n"],
            AttemptOutcome.OVERLOADED,
            False,
        ),
        ([b"HTTP/1.1 429 Busy\r\nContent-Length: 0\r\n\r\n"], AttemptOutcome.OVERLOADED, False),
        (["reset"], AttemptOutcome.RESET, False),
        (["hold"], AttemptOutcome.TIMED_OUT, False),
        ([HEAD, chunked(PIECE), "hold"], AttemptOutcome.TIMED_OUT, True),
        ([HEAD, chunked(b"data: [DONE]\n\n") + b"0\r\n\r\n"], AttemptOutcome.STREAMED, True),
    ],
)
async def test_the_outcome_of_an_attempt_follows_from_the_bytes_received(
    steps: list[Any], outcome: AttemptOutcome, begun: bool
) -> None:
    async with trio.open_nursery() as nursery:
        peer, pool, got = ScriptedServer(steps), ConnectionPool(200, 1000), []
        await peer.run(nursery)

        async def pass_on(text: str, first: bool) -> None:
            got.append(text)

        with trio.fail_after(2):
            end = await stream_attempt(pool, AttemptPlan(peer.address, [], b"{}", 150, 150), pass_on)
        assert (end.outcome, end.begun) == (outcome, begun)
        pool.close()
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize("body", [b"{}", b"[1]", b"{", b'{"kv_transfer_params": 7}'])
async def test_an_invalid_answer_of_a_prefill_server_is_an_error(body: bytes) -> None:
    async with trio.open_nursery() as nursery:
        peer = ScriptedServer([b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)])
        await peer.run(nursery)
        end = await prefill_attempt(ConnectionPool(200, 1000), AttemptPlan(peer.address, [], b"{}", 500, 100))
        assert end.outcome is AttemptOutcome.ERROR and end.state is None
        nursery.cancel_scope.cancel()


async def test_a_draining_decode_server_gets_no_attempt_and_the_state_goes_to_another() -> None:
    async with gateway_cluster(("r0", "w0", "w0b"), profile=replace(ENGINE_PROFILE, prefill_tokens_per_s=4000.0)) as w:
        async with trio.open_nursery() as nursery:

            async def drain() -> None:
                while not w.traffic_events("leg"):
                    await trio.sleep(0.005)
                home = next(iter(w.gateway.runtime.active_requests)).router_state.decode_server.server
                w.publish_endpoints(**{w.gateway.registry.endpoints[home].ident: "draining"})

            nursery.start_soon(drain)
            reply = await w.ask("note", "x" * 1600)
        drained = next(s for s in w.gateway.registry.servers.values() if s.status.name == "DRAINING")
        assert reply.done == 1
        assert w.traffic_events("effect")[0]["id"] != w.gateway.registry.endpoints[drained].ident


async def test_requests_are_rejected_while_the_endpoint_list_is_empty() -> None:
    async with gateway_cluster() as w:
        w.gateway.found([])
        reply = await w.ask()
        assert reply.status == 429 and int(reply.headers["retry-after"]) >= 1
        assert float(reply.headers["retry-after-ms"]) > 0
        w.publish_endpoints()
        assert (await w.ask()).done == 1


async def test_repeats_under_one_key_run_once() -> None:
    async with gateway_cluster(profile=replace(ENGINE_PROFILE, token_ms=30.0)) as w:
        key = {"Idempotency-Key": "folder-17"}
        async with trio.open_nursery() as nursery:
            got: list[Any] = []

            async def first() -> None:
                got.append(await w.ask("note", headers=key))

            nursery.start_soon(first)
            await trio.sleep(0.06)
            assert (await w.ask("note", headers=key)).status == 409
        attempts = len(w.traffic_events("leg"))
        again = await w.ask("note", headers=key)
        assert again.text == got[0].text and again.done == 1 and again.headers["idempotency-replayed"] == "true"
        assert (await w.ask("note", text="other", headers=key)).status == 422
        assert (await w.ask("note", headers=key)).done == 1  # the rejected request has not changed the stored answer
        assert len(w.traffic_events("effect")) == 1 and len(w.traffic_events("leg")) == attempts


async def test_a_repeat_of_a_request_that_may_have_run_gets_an_error() -> None:
    async with gateway_cluster(("r0", "w0", "w0b")) as w:
        for ident in ("w0", "w0b"):
            w.engines[ident].fault.lost_answer_share = 1.0
        key = {"Idempotency-Key": "folder-18"}
        assert (await w.ask("note", headers=key)).status == 504
        for ident in ("w0", "w0b"):
            w.engines[ident].fault.lost_answer_share = 0.0
        again = await w.ask("note", headers=key)
        assert again.status == 502 and again.headers["idempotency-replayed"] == "true"
        assert len(w.traffic_events("effect")) == 1


# -- start, drain and resources of the gateway


async def test_a_restarted_gateway_serves_from_its_cached_endpoint_list(tmp_path: Path) -> None:
    kept, nobody = str(tmp_path / "nodes"), ConsulSource(address="127.0.0.1:9", service="engines", retry_ms=50)
    async with gateway_cluster(state=kept) as w:
        await w.wait_until_idle()
        await until(lambda: os.path.exists(kept), 2)
        from ternlane.gateway import open_gateway

        config = replace_config(w.gateway.config, nodes=nobody)
        async with open_gateway(config) as second:
            w.gateway, first = second, w.gateway
            assert (await w.ask()).done == 1
            w.gateway = first
        raw = bytearray(Path(kept).read_bytes())
        raw[-9] ^= 1  # a corrupt cache is detected, ignored, and not fatal
        Path(kept).write_bytes(raw)
        async with open_gateway(config) as third:
            w.gateway = third
            assert (await w.ask()).status == 429
            w.gateway = first


def replace_config(config: Any, **changes: Any) -> Any:
    import msgspec

    return msgspec.structs.replace(config, **changes)


async def test_the_registry_is_watched_through_failures_restarts_and_invalid_answers() -> None:
    async with trio.open_nursery() as nursery:
        registry = FakeRegistry(TrafficLog(None))
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        nursery.start_soon(registry.serve, listeners)
        address = "127.0.0.1:%d" % listeners[0].socket.getsockname()[1]
        from ternlane.discovery import watch_consul

        found: list[list[NodeLine]] = []
        failed: list[str] = []
        nursery.start_soon(
            watch_consul,
            ConsulSource(address=address, service="engines", wait_ms=200, retry_ms=20),
            found.append,
            failed.append,
            "ternlane/test (g1)",
        )

        registry.put(RegisteredEndpoint("a", "127.0.0.1", 1, "read", "z", 0, 1e5))
        await until(lambda: found and [n.id for n in found[-1]] == ["a"], 2)
        registry.update("a", state="draining")
        await until(lambda: found[-1][0].state == "draining", 2)
        for how in ("errors", "garbage"):
            before, kept = len(failed), found[-1]
            registry.failing = how
            registry.notify()
            await until(lambda n=before: len(failed) > n, 2)
            assert found[-1] == kept
            registry.failing = None
        registry.restart()
        registry.put(RegisteredEndpoint("b", "127.0.0.1", 2, "write", "z", 0, 1e5))
        await until(lambda: {n.id for n in found[-1]} == {"a", "b"}, 2)
        # An invalid entry does not affect the others.
        registry.put(RegisteredEndpoint("c", "127.0.0.1", 3, "sideways", "z", 0, 1e5))
        await until(lambda: any("c:" in why for why in failed), 2)
        assert {n.id for n in found[-1]} == {"a", "b"}
        nursery.cancel_scope.cancel()


async def test_a_draining_gateway_finishes_its_open_requests() -> None:
    async with gateway_cluster(profile=replace(ENGINE_PROFILE, token_ms=40.0)) as w:
        got: list[Any] = []
        async with trio.open_nursery() as nursery:

            async def one() -> None:
                got.append(await w.ask())

            nursery.start_soon(one)
            await trio.sleep(0.08)
            await w.gateway.drain()
        assert got[0].done == 1
        with pytest.raises(Exception, match="Connection refused|Unconnected|OSError"):
            await w.ask()


async def test_requests_that_outlast_the_drain_time_fail() -> None:
    async with gateway_cluster(profile=replace(ENGINE_PROFILE, token_ms=400.0), door=ServerLimits(drain_ms=100)) as w:
        got: list[Any] = []
        async with trio.open_nursery() as nursery:

            async def one() -> None:
                got.append(await w.ask("note"))

            nursery.start_soon(one)
            await trio.sleep(0.05)
            await w.gateway.drain()
        assert got[0].status == 502
        await w.wait_until_idle()


async def test_no_descriptor_or_task_is_leaked() -> None:
    def count() -> tuple[int, int]:
        return len(os.listdir("/proc/self/fd")), trio.lowlevel.current_statistics().tasks_living

    async with gateway_cluster() as w:
        await w.ask()
    await trio.sleep(0.05)
    before = count()
    for _ in range(3):
        async with gateway_cluster(profile=SLOW) as w:
            await send_and_disconnect(w, 120)
            await w.ask("nobody")
            w.engines["w0"].die()
            await send_and_disconnect(w, 200)
    await trio.sleep(0.1)
    after = count()
    assert after[0] <= before[0] + 1 and after[1] <= before[1]


async def test_a_connection_closed_by_a_restarted_engine_is_replaced() -> None:
    async with gateway_cluster(("r0", "w0")) as w:
        assert (await w.ask()).done == 1
        w.engines["r0"].die()
        await trio.sleep(0.02)
        await w.restart_engine("r0")
        assert (await w.ask("note")).done == 1
        assert isinstance(await w.pool.connect(w.gateway.address), ClientConnection)


@pytest.mark.parametrize("model", ["summary", "note"])
async def test_a_later_prefill_shows_that_an_earlier_answer_is_lost(model: str) -> None:
    async with gateway_cluster(request_classes=scaled_request_classes(8)) as w, trio.open_nursery() as nursery:
        await w.ask(text="the same")
        prefill_server = w.engines[w.traffic_events("leg", stage="read")[0]["id"]]
        prefill_server.fault.script = "silent"
        replies: list[Reply] = []

        async def mute() -> None:
            replies.append(await w.ask(model, text="the same"))

        nursery.start_soon(mute)
        with trio.fail_after(3):  # less than the 3.2 s after which the prefill would time out
            while len(w.traffic_events("leg", stage="read", id=prefill_server.ident)) < 2:
                await trio.sleep(0.001)
            request = w.traffic_events("leg", stage="read")[-1]["gen"]
            prefill_server.fault.script = ""
            while not replies:
                await w.ask(text="the same")
        prefills = [line["id"] for line in w.traffic_events("leg", stage="read", gen=request)]
        assert len(prefills) == 2 and prefills[0] == prefill_server.ident != prefills[1]
        assert replies[0].done == 1 and len(w.traffic_events("leg", stage="write", gen=request)) == 1
        await w.wait_until_idle()


async def test_a_state_that_appears_after_its_release_is_released_again(monkeypatch: pytest.MonkeyPatch) -> None:
    async with gateway_cluster(("r0", "r0b", "w0")) as w:
        heard: list[str] = []
        for ident in ("r0", "r0b"):  # each gets its first release before it holds the state

            def too_early(request: str, how: str, ident: str = ident, real: Any = w.engines[ident].drop_state) -> bool:
                heard.append(ident)
                return heard.count(ident) > 1 and bool(real(request, how))

            monkeypatch.setattr(w.engines[ident], "drop_state", too_early)
            w.engines[ident].fault.lost_answer_share = 1.0
        reply = await w.ask()
        assert reply.status == 429 and w.traffic_events("state")
        await w.wait_until_idle()
        assert set(heard) == {line["id"] for line in w.traffic_events("state")} and set(Counter(heard).values()) == {2}

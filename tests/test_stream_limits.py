"""Streams that would go on for good are ended at the limits of what was asked for, and no sound stream is."""

from __future__ import annotations

import json
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack
from pathlib import Path
from typing import Any

import h11
import pytest
import trio
import trio.lowlevel
from hypothesis import given
from hypothesis import strategies as st

from ternlane.embed import FailedError, open_routing
from ternlane.engine import AttemptPlan, AttemptRequest, LocalTransport
from ternlane.engine.stream_attempt import stream_attempt
from ternlane.http1 import BodyTooLargeError, ConnectionPool
from ternlane.http1.body_size import BodySizeLimit
from ternlane.policy.messages import AttemptOutcome
from ternlane.policy.stream_limits import (
    EXTRA_PIECES,
    MAX_WAIT_MS,
    StreamLimitExceededError,
    StreamMeter,
    stream_limits,
)
from ternlane.recovery import ReplayBuffer, ResumeStrategy, StreamJoin
from ternlane.testing.platform import EVENT
from ternlane.testing.platform.answers import FAULTY_ANSWERS, encode_chunk
from ternlane.testing.scripted import ScriptedServer
from tests.gateway_cluster import gateway_cluster
from tests.hostile_peers import BLOCK_PAUSE_S, PACED_BYTES, POST, StreamEnd
from tests.platform_gateway import fault_always, platform
from tests.test_gateway import HEAD, PIECE, chunked
from tests.test_hostile_peers import (
    FORWARD_S,
    MAX_LATE_SHARE,
    chat_gateway_of,
    gateway_process,
    judge,
    process,
    read_line,
    serve_hostile,
)
from tests.test_recover import break_decode_servers, complete_reply, fleet_config, set_script_of_others
from tests.test_transports import REQUEST, FakeLocalEngine, gateway_config

# The platform's pages: a client's connection ends within 5 s of the spoilt place; every time limit is 50 ms longer.
END_S = 5.05
# What the requests of these tests ask for, as `max_out` or `max_tokens`.
MAX_TOKENS = 40
READERS = 40
READ_S = 12.0


# -- the limits


@given(
    max_tokens=st.integers(1, 10_000),
    answered=st.floats(0, 1),
    bytes_per_event=st.integers(60, 8000),
    tokens_per_event=st.integers(1, 5),
    others=st.integers(0, 60),
)
def test_sound_streams_stay_within_their_limits(
    max_tokens: int, answered: float, bytes_per_event: int, tokens_per_event: int, others: int
) -> None:
    events = int(max_tokens * answered / tokens_per_event) + others
    stream_limits(max_tokens).check(events, events * bytes_per_event)
    stream_limits(0).check(events, events * bytes_per_event)


def test_streams_beyond_their_limits_are_refused() -> None:
    limits = stream_limits(MAX_TOKENS)
    meter = StreamMeter(limits, 0.0)
    meter.count(int(limits.max_events), 1.0)
    with pytest.raises(StreamLimitExceededError):
        meter.count(1, 1.0)
    with pytest.raises(StreamLimitExceededError):
        limits.check(0, limits.max_bytes + 1)
    assert stream_limits(200).max_bytes < 3e9 and stream_limits(0).max_bytes < 3e9  # a chunk of 3 GB belongs to neither


@given(idle_ms=st.floats(100, 20_000), pauses_s=st.lists(st.floats(0.01, 3), max_size=9), client_s=st.floats(0, 9))
def test_comments_keep_a_stream_open_for_a_bounded_time(idle_ms: float, pauses_s: list[float], client_s: float) -> None:
    """They prolong the time to wait for an event, never shorten it; what a slow client takes does not count."""
    meter = StreamMeter(stream_limits(MAX_TOKENS), 0.0)
    meter.count(1, 1.0)
    assert meter.silent_at_s(1.0, idle_ms) == 1.0 + idle_ms / 1000
    meter.exclude(client_s)
    now_s = last_s = 1.0 + client_s
    for pause_s in pauses_s:
        now_s += pause_s
        silent_at_s = meter.silent_at_s(now_s, idle_ms)
        assert last_s + idle_ms / 1000 <= silent_at_s <= last_s + max(idle_ms, MAX_WAIT_MS) / 1000 + 1e-6


@given(st.data())
def test_stated_sizes_are_checked_wherever_reads_end(data: st.DataObject) -> None:
    """Chunks with extensions, and data that looks like the size of a chunk. One that states too much is refused before
    any of its data has come, and no other."""
    sizes = data.draw(st.lists(st.integers(1, 40), max_size=8))
    body = b"".join(
        b"%x%b\r\n%b\r\n" % (size, data.draw(st.sampled_from([b"", b";a=b", b" "])), (b"ffffffff\r\n0\r\n" * 4)[:size])
        for size in sizes
    )
    is_large = data.draw(st.booleans())
    sent = body + (b"c0000000\r\n" if is_large else b"0\r\n\r\n")
    cuts = sorted(data.draw(st.lists(st.integers(0, len(sent)), max_size=12)))
    limit, peer = BodySizeLimit(sum(sizes) + 100, is_chunked=True), h11.Connection(h11.SERVER)
    peer.receive_data(POST + b"Transfer-Encoding: chunked\r\n\r\n")
    assert isinstance(peer.next_event(), h11.Request)
    is_refused = False
    for begin, end in zip([0, *cuts], [*cuts, len(sent)], strict=True):
        if begin == end:
            continue
        peer.receive_data(sent[begin:end])
        event: Any = None
        while not is_refused and event not in (h11.NEED_DATA, h11.PAUSED):
            try:
                limit.check_next(peer.trailing_data[0])
            except BodyTooLargeError:
                is_refused = True
                break
            event = peer.next_event()
            if isinstance(event, h11.Data):
                limit.observe(event)
    assert is_refused is is_large


def test_a_body_longer_than_its_limit_is_refused_without_a_stated_size() -> None:
    limit = BodySizeLimit(10, is_chunked=False)
    limit.observe(h11.Data(data=b"x" * 10))
    with pytest.raises(BodyTooLargeError):
        limit.observe(h11.Data(data=b"x"))


# -- the gateways as processes, judged from outside


async def read_streams(kind: str, port: str) -> list[StreamEnd]:
    """How the answers to many requests at the same time ended."""
    readers = ("-m", "tests.hostile_peers", "readers", kind, port, str(READERS), str(READ_S))
    async with process(*readers) as reading:
        return [StreamEnd(**end) for end in json.loads(await read_line(reading))]


async def judge_streams(kind: str, port: str, path: str, pid: int) -> list[StreamEnd]:
    """The same, while the gateway must answer others."""
    ends: list[StreamEnd] = []

    async def read() -> None:
        ends.extend(await read_streams(kind, port))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(read)
        verdict = await judge(port, path, pid)
    assert verdict.late_share(FORWARD_S) <= MAX_LATE_SHARE, sorted(verdict.waits_s)[-9:]
    return ends


def longest_stream_s(kind: str) -> float:
    """How long a stream of this kind may last: until its spoilt place, and END_S. Of events, the first one that can't
    belong to the answer is the spoilt place."""
    is_counted = kind.startswith("events")
    return END_S + (stream_limits(MAX_TOKENS).max_events * BLOCK_PAUSE_S * 1.5 if is_counted else 0.0)


@pytest.mark.parametrize("kind", PACED_BYTES)
async def test_no_stream_of_a_model_server_goes_on_for_good(kind: str, tmp_path: Path) -> None:
    """Guards against streams that were passed on for as long as their server sent: a chunk said to have 3 GB, filled
    with well-formed events, for 20 s and more."""
    async with platform("r0") as p, AsyncExitStack() as stack:
        p.discovery.put("w9", await serve_hostile(kind, stack), "writer")
        async with gateway_process(p, tmp_path) as gateway:
            port = p.address.rpartition(":")[2]
            ends = await judge_streams("usual requests", port, "/health/ready", gateway.pid)
            assert gateway.poll() is None
    for end in ends:
        assert end.after_s is not None and end.after_s <= longest_stream_s(kind), (kind, end)
        assert end.status != "200" or not end.last_bytes.endswith("0\r\n\r\n"), (kind, end)
    if "first event" not in kind and "length" not in kind:
        assert any(end.status == "200" for end in ends)


@pytest.mark.parametrize("kind", PACED_BYTES)
async def test_no_stream_of_an_engine_goes_on_for_good(kind: str, tmp_path: Path) -> None:
    """The same at the chat gateway, which also kept all of the text in memory."""
    async with chat_gateway_of(kind, tmp_path) as (gateway, port):
        ends = await judge_streams("short chat requests", str(port), "/healthz", gateway.pid)
        assert gateway.poll() is None
    for end in ends:
        assert end.after_s is not None and end.after_s <= longest_stream_s(kind), (kind, end)
        assert "[DONE]" not in end.last_bytes, (kind, end)


# -- what a tripped limit causes


@pytest.mark.parametrize("fault", ["huge_chunk_of_events", "huge_stated_length"])
async def test_a_stream_beyond_its_limits_counts_against_its_server(fault: str) -> None:
    async with platform("r0", "w0", w0=fault_always(fault)) as p:
        reply = await p.ask(Request_Class="note")
        assert reply.status == (200 if fault == "huge_chunk_of_events" else 502) and not reply.done
        rules = p.gateway.runtime.router.scheduler.rules  # type: ignore[attr-defined]
        request_class = p.gateway.runtime.deployment.request_classes["note"]
        endpoint = p.gateway.runtime.endpoint_registry.servers["w0"].router_state
        assert rules.failures.rates.risk(request_class, endpoint, True, trio.current_time() * 1000) > 0
        if reply.status == 200:
            assert p.gateway.runtime.reporter.counts["stream broke LIMIT"] == 1
            ((_, line),) = p.log_lines("stream broke")
            assert line["reason"] == "LIMIT" and line["server"] == "w0" and "longer than asked for" in line["why"]
        await p.wait_until_idle()


async def test_a_stream_with_comments_between_its_events_is_whole(monkeypatch: pytest.MonkeyPatch) -> None:
    """Comments keep a stream open through a pause that is longer than the usual wait for an event."""
    answer = FAULTY_ANSWERS["later_silent"] + encode_chunk(b": working\n\n")
    rest = encode_chunk(EVENT) + encode_chunk(b"data: [DONE]\n\n") + b"0\r\n\r\n"
    async with platform("r0", "w0") as p:
        peer = ScriptedServer([answer, 700.0, encode_chunk(b": working\n\n"), 700.0, rest, "hold"])
        await peer.run(p.nursery)
        p.discovery.put("w0", peer.address, "writer")
        await trio.sleep(0.05)
        reply = await p.ask()
        assert reply.status == 200 and reply.done == 1 and not reply.broke


async def test_the_limits_follow_the_larger_of_header_and_body() -> None:
    """A request may state the length of its answer in its header, its body or not at all."""
    body = b'{"max_tokens":%s,"n":2,"messages":[]}'
    async with platform("r0", "w0") as p:
        p.servers["w0"].events = 90
        for stated, of_body in ((b"5", 10), (b"50", 100), (b'"no number"', 0), (b"null", 0)):
            for info, of_header in (("max_out=5", 5), ("max_out=50", 50), ("-", 0)):
                reply = await p.ask(body % stated, Request_Info=info)
                assert reply.done == (max(of_body, of_header) not in (5, 10)), (stated, info)
        await p.wait_until_idle()


# -- the chat gateway, resumed streams and the library


@pytest.mark.parametrize(
    "steps",
    [
        [HEAD, chunked(PIECE), b"c0000000\r\n" + PIECE, "hold"],
        [HEAD.replace(b"Transfer-Encoding: chunked", b"Content-Length: 3000000000"), PIECE, "hold"],
        [HEAD, chunked(PIECE) * 200, "hold"],
        [HEAD, chunked(PIECE), chunked(b'data: {"choices":[]}\n\n') * 200, "hold"],
    ],
)
async def test_an_engines_answer_beyond_its_limits_is_an_error(steps: list[Any]) -> None:
    async with trio.open_nursery() as nursery:
        peer, pool = ScriptedServer(steps), ConnectionPool(200, 1000)
        await peer.run(nursery)

        async def pass_on(text: str, first: bool) -> None:
            pass

        plan = AttemptPlan(peer.address, [], b"{}", 5000, 5000)
        with trio.fail_after(2):
            result = await stream_attempt(pool, plan, pass_on, stream_limits(MAX_TOKENS))
        assert result.outcome is AttemptOutcome.ERROR and result.why.startswith("longer than asked for")
        assert not pool.open
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize("at", [1, 3])
async def test_a_stream_that_goes_over_into_a_huge_chunk_is_resumed_elsewhere(at: int) -> None:
    """Its text so far is good. It waited for the rest of the chunk."""
    complete = await complete_reply()
    async with gateway_cluster(("r0", "w0", "w0b"), fleet=fleet_config()) as cluster:
        break_decode_servers(cluster, at, "huge_chunk")
        cluster.nursery.start_soon(set_script_of_others, cluster)
        with trio.fail_after(0.5):  # less than the time after which a stream counts as silent
            reply = await cluster.ask()
        assert reply.done == 1 and reply.error is None and reply.text == complete.text
        await cluster.wait_until_idle()


@pytest.mark.parametrize("strategy", [ResumeStrategy.CONTINUE, ResumeStrategy.REPLAY])
def test_resumed_attempts_together_bring_no_more_than_was_asked_for(strategy: ResumeStrategy) -> None:
    """Each engine reports no tokens and breaks off, so that every attempt could bring all tokens anew."""
    join = StreamJoin(strategy, "", ReplayBuffer(10**6, 10**6, 10**6), MAX_TOKENS)
    with pytest.raises(StreamLimitExceededError):
        for attempt in range(1, 99):
            for _ in range(attempt * 10 if strategy is ResumeStrategy.REPLAY else 10):
                join.take("a")
            join.fail_attempt(0)
    assert len(join.text) == MAX_TOKENS + EXTRA_PIECES + 1 and join.strategy is ResumeStrategy.END
    assert join.fail_attempt(0) is None


class EndlessEngine(FakeLocalEngine):
    async def write(self, ask: AttemptRequest) -> AsyncIterator[str]:
        self.effects += 1
        while True:
            yield self.fault
            await trio.lowlevel.checkpoint()


@pytest.mark.parametrize("piece", ["word ", ""])
async def test_the_library_ends_an_endless_answer(piece: str) -> None:
    engines = {"r0": FakeLocalEngine(), "w0": EndlessEngine()}
    engines["w0"].fault = piece
    async with open_routing(gateway_config("r0", "w0"), LocalTransport(dict(engines))) as routing:  # type: ignore[arg-type]
        received: list[str] = []
        with trio.fail_after(2), pytest.raises(FailedError):
            async with routing.request(REQUEST | {"max_tokens": MAX_TOKENS}) as stream:
                async for text in stream:
                    received.append(text)
        assert len(received) <= MAX_TOKENS + EXTRA_PIECES and engines["w0"].effects == 1

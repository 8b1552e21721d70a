"""Tests of the chat package (sessions, shared prefixes, idempotency keys), of load reports and of configuration
errors."""

from __future__ import annotations

import random
from array import array

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ternlane.chat import (
    BodyMismatch,
    FirstRequest,
    IdempotencyCache,
    PrefixIndex,
    RequestInProgress,
    RequestIntake,
    SessionIndex,
    StoredAnswer,
    parse_chat_request,
)
from ternlane.chat.prefixes import BLOCK, PrefixHashTable, blocks
from ternlane.config import ConfigError, GatewayConfig, read_text
from ternlane.engine.load_report import load_from_header
from ternlane.http1 import EventReader
from ternlane.policy.messages import Effect, Group, RequestClass


def request_class() -> RequestClass:
    return RequestClass(Effect.IDEMPOTENT, Group.ALL, 0, 400, 0, 60, 2000, 1, 0)


def ask(*contents: str, user: str = "u", key: str | None = None) -> object:
    import msgspec

    roles = ("user", "assistant")
    messages = [{"role": roles[i % 2], "content": c} for i, c in enumerate(contents)]
    body = {"model": "m", "messages": messages, "user": user}
    return parse_chat_request(msgspec.json.encode(body | ({"prompt_cache_key": key} if key else {})))


def intake(limit: int = 1000) -> RequestIntake:
    p = request_class()
    return RequestIntake({"m": p}, {p: 100}, limit)


def test_a_conversation_is_recognised_by_its_messages() -> None:
    chat_intake = intake()
    first = chat_intake.take(ask("hello there"), 1000)  # type: ignore[arg-type]
    chat_intake.learn_answer(first, {"role": "assistant", "content": "good day"})
    assert chat_intake.take(ask("hello there", "good day", "more"), 1000).session == first.session  # type: ignore[arg-type]
    assert chat_intake.take(ask("hello there", "other words", "more"), 1000).session == first.session  # type: ignore[arg-type]
    assert chat_intake.take(ask("hello there", user="v"), 1000).session != first.session  # type: ignore[arg-type]
    named = chat_intake.take(ask("x", key="folder"), 1000)  # type: ignore[arg-type]
    assert chat_intake.take(ask("y", key="folder"), 1000).session == named.session  # type: ignore[arg-type]


def test_canonical_text_is_independent_of_the_json_layout() -> None:
    plain = parse_chat_request(b'{"model":"m","messages":[{"role":"user","content":"a\\u00e9"}]}')
    parts = parse_chat_request(
        '{"messages":[{"content":[{"type":"text","text":"aé"}],"role":"user","name":null}],"model":"m"}'.encode()
    )
    assert plain.texts == parts.texts


def test_a_shared_prefix_is_found_across_sessions() -> None:
    chat_intake, shared = intake(), "the rules of the bonus " * 60
    requests = [chat_intake.take(ask(shared + c * 600), 1000).request for c in "abc"]  # type: ignore[arg-type]
    assert requests[0].prefix is None and requests[1].prefix == requests[2].prefix is not None
    assert 0 < requests[2].prefix_tokens <= requests[2].prompt_tokens
    assert abs(requests[2].prefix_tokens * 4 - len(shared)) <= BLOCK + 8


def test_token_estimates_follow_engine_reports_and_ignore_invalid_ones() -> None:
    chat_intake = intake()
    for _ in range(100):
        it = chat_intake.take(ask("w" * 1000), 1000)  # type: ignore[arg-type]
        chat_intake.learn_prompt(it, 500)
    for absurd in (-3, 0, 10**9):
        chat_intake.learn_prompt(it, absurd)
    assert chat_intake.take(ask("w" * 1000), 1000).request.prompt_tokens == pytest.approx(500, rel=0.05)  # type: ignore[arg-type]


def test_the_session_index_is_bounded() -> None:
    sessions = SessionIndex(50)
    for i in range(500):
        sessions.find_or_add([i.to_bytes(8, "big")])
    assert len(sessions.session_by_hash) == 50


runs = st.lists(st.tuples(st.integers(0, 3), st.lists(st.integers(0, 2), min_size=1, max_size=12)), max_size=40)


@settings(max_examples=150, deadline=None)
@given(runs)
def test_the_tree_agrees_with_a_hash_table_of_all_prefixes(prompts: list[tuple[int, list[int]]]) -> None:
    tree, plain = PrefixIndex(10**6), PrefixHashTable(10**6)
    for session, run in prompts:
        assert tree.match_and_add(array("Q", run), session) == plain.match_and_add(array("Q", run), session)
    assert tree.block_count == sum(len(n.run) for n in tree.walk())


@settings(max_examples=80, deadline=None)
@given(runs, st.integers(1, 12))
def test_the_tree_keeps_its_limit_and_lru_order(prompts: list[tuple[int, list[int]]], limit: int) -> None:
    tree = PrefixIndex(limit)
    for session, run in prompts:
        tree.match_and_add(array("Q", run), session)
        assert tree.block_count <= max(limit, 0) and tree.node_count == sum(1 for _ in tree.walk()) - 1
        listed, node = set(), tree.oldest
        while node is not None:
            listed.add(id(node))
            node = node.newer
        assert listed == {id(n) for n in tree.walk()} - {id(tree.root)}


def test_a_partial_block_is_left_out() -> None:
    assert len(blocks(b"x" * (3 * BLOCK + 1))) == 3


def test_a_key_is_in_progress_then_answered_then_forgotten() -> None:
    cache = IdempotencyCache(10_000)
    assert isinstance(cache.begin("k", b"1", 0), FirstRequest)
    assert isinstance(cache.begin("k", b"1", 0), RequestInProgress)
    assert isinstance(cache.begin("k", b"2", 0), BodyMismatch)
    cache.end("k", "answer", 6, until=100)
    found = cache.begin("k", b"1", 50)
    assert isinstance(found, StoredAnswer) and found.answer == "answer"
    assert isinstance(cache.begin("k", b"1", 100), FirstRequest)
    cache.end("k", None, 0, 0)  # rejected: the key is free again
    assert isinstance(cache.begin("k", b"3", 100), FirstRequest)


def test_stored_answers_are_bounded_and_keys_in_progress_are_kept() -> None:
    cache = IdempotencyCache(5_000)
    cache.begin("out", b"", 0)
    for i in range(100):
        cache.begin(str(i), b"", 0)
        cache.end(str(i), "x" * 500, 500, until=1e9)
    assert cache.bytes <= 5_000 and cache.bytes == sum(r.size_bytes for r in cache.ended.values())
    assert isinstance(cache.begin("out", b"", 0), RequestInProgress)


@settings(max_examples=100, deadline=None)
@given(
    st.lists(st.text(alphabet="ab \n", max_size=6).filter(lambda s: s.strip("\n") == s), min_size=1, max_size=5),
    st.sampled_from(["\n", "\r\n", "\r"]),
    st.randoms(use_true_random=False),
)
def test_events_are_parsed_however_their_bytes_are_split(said: list[str], end: str, rng: random.Random) -> None:
    raw = "".join("".join(f"data: {line}{end}" for line in s.split("\n")) + end for s in said).encode()
    event_reader, got = EventReader(), []
    while raw:
        n = rng.randint(1, 4)
        got += event_reader.feed(raw[:n])
        raw = raw[n:]
    got += event_reader.feed(b"\n") if end == "\r" else []  # a CR ends a line only once the next byte is no LF
    assert got == said


@pytest.mark.parametrize(
    "said, mem, out",
    [
        (
            'JSON {"named_metrics":{"kv_cache_usage_perc":0.4,"num_requests_running":3,"num_requests_waiting":2}}',
            0.4,
            5.0,
        ),
        ("TEXT mem_utilization=0.8, cpu_utilization=0.2", 0.8, None),
        ("TEXT named_metrics.kv_cache_usage_perc=0.25", 0.25, None),
        ('JSON {"named_metrics":{"kv_cache_usage_perc":-7,"num_requests_running":1}}', None, 1.0),
    ],
)
def test_load_reports_are_parsed_in_both_formats(said: str, mem: float | None, out: float | None) -> None:
    report = load_from_header(said)
    assert report is not None and (report.memory_share, report.open_requests) == (mem, out)


@pytest.mark.parametrize("said", [None, "", "TEXT a=b", "JSON {", "XML <a/>", "JSON [1]"])
def test_an_unreadable_load_report_is_ignored(said: str | None) -> None:
    assert load_from_header(said) is None


VALID_CONFIG = """{
  // a gateway
  name: "g1", listen: "127.0.0.1:8080",
  products: [
    {name: "summary", slo_ms: 500, limit_ms: 2000},
    {name: "note", slo_ms: 500, limit_ms: 2000},
  ],
  nodes: {from: "inline", nodes: []},
}"""


@pytest.mark.parametrize(
    "old, new, line, field",
    [
        ("slo_ms: 500", "slo_ms: -1", 5, "$.products[0].slo_ms"),
        ('name: "note"', 'name: "note", colour: 1', 6, "$.products[1].colour"),
        ('listen: "127.0.0.1:8080"', "listen: 8080", 3, "$.listen"),
        ("limit_ms: 2000},\n  ]", "limit_ms: 20},\n  ]", 6, "$.products[1]"),
        ('"note"', '"summary"', 1, "$"),
        ('from: "inline"', 'from: "etcd"', 8, "$.nodes.from"),
        ("nodes: []}", "nodes: [}", 8, ""),
    ],
)
def test_an_invalid_configuration_is_rejected_with_line_and_field(old: str, new: str, line: int, field: str) -> None:
    read_text(VALID_CONFIG, GatewayConfig)
    with pytest.raises(ConfigError) as bad:
        read_text(VALID_CONFIG.replace(old, new, 1), GatewayConfig, "gate.json5")
    assert (bad.value.where, bad.value.field) == (f"gate.json5:{line}", field)

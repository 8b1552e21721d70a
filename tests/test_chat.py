"""Requests become generations; conversations, shared openings and repeats are recognised, within bounds."""

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


def test_a_conversation_is_recognised_by_what_was_said() -> None:
    known = intake()
    first = known.take(ask("hello there"), 1000)  # type: ignore[arg-type]
    known.answered(first, {"role": "assistant", "content": "good day"})
    assert known.take(ask("hello there", "good day", "more"), 1000).session == first.session  # type: ignore[arg-type]
    assert known.take(ask("hello there", "other words", "more"), 1000).session == first.session  # type: ignore[arg-type]
    assert known.take(ask("hello there", user="v"), 1000).session != first.session  # type: ignore[arg-type]
    named = known.take(ask("x", key="folder"), 1000)  # type: ignore[arg-type]
    assert known.take(ask("y", key="folder"), 1000).session == named.session  # type: ignore[arg-type]


def test_how_a_message_is_laid_out_does_not_matter() -> None:
    plain = parse_chat_request(b'{"model":"m","messages":[{"role":"user","content":"a\\u00e9"}]}')
    parts = parse_chat_request(
        '{"messages":[{"content":[{"type":"text","text":"aé"}],"role":"user","name":null}],"model":"m"}'.encode()
    )
    assert plain.texts == parts.texts


def test_a_shared_prefix_is_what_another_session_began_with() -> None:
    known, shared = intake(), "the rules of the bonus " * 60
    requests = [known.take(ask(shared + c * 600), 1000).request for c in "abc"]  # type: ignore[arg-type]
    assert requests[0].prefix is None and requests[1].prefix == requests[2].prefix is not None
    assert 0 < requests[2].prefix_tokens <= requests[2].prompt_tokens
    assert abs(requests[2].prefix_tokens * 4 - len(shared)) <= BLOCK + 8


def test_token_counts_follow_what_engines_report_and_absurd_ones_do_not_count() -> None:
    known = intake()
    for _ in range(100):
        it = known.take(ask("w" * 1000), 1000)  # type: ignore[arg-type]
        known.learn_prompt(it, 500)
    for absurd in (-3, 0, 10**9):
        known.learn_prompt(it, absurd)
    assert known.take(ask("w" * 1000), 1000).request.prompt_tokens == pytest.approx(500, rel=0.05)  # type: ignore[arg-type]


def test_known_ends_of_conversations_are_bounded() -> None:
    sessions = SessionIndex(50)
    for i in range(500):
        sessions.find([i.to_bytes(8, "big")])
    assert len(sessions.ends) == 50


runs = st.lists(st.tuples(st.integers(0, 3), st.lists(st.integers(0, 2), min_size=1, max_size=12)), max_size=40)


@settings(max_examples=150, deadline=None)
@given(runs)
def test_the_tree_says_the_same_as_a_dict_of_all_beginnings(met: list[tuple[int, list[int]]]) -> None:
    tree, plain = PrefixIndex(10**6), PrefixHashTable(10**6)
    for session, run in met:
        assert tree.match_and_add(array("Q", run), session) == plain.match_and_add(array("Q", run), session)
    assert tree.held == sum(len(n.run) for n in tree.walk())


@settings(max_examples=80, deadline=None)
@given(runs, st.integers(1, 12))
def test_the_tree_keeps_its_bound_and_its_order(met: list[tuple[int, list[int]]], limit: int) -> None:
    tree = PrefixIndex(limit)
    for session, run in met:
        tree.match_and_add(array("Q", run), session)
        assert tree.held <= max(limit, 0) and tree.nodes == sum(1 for _ in tree.walk()) - 1
        listed, node = set(), tree.oldest
        while node is not None:
            listed.add(id(node))
            node = node.newer
        assert listed == {id(n) for n in tree.walk()} - {id(tree.root)}


def test_blocks_leave_out_what_is_not_whole() -> None:
    assert len(blocks(b"x" * (3 * BLOCK + 1))) == 3


def test_a_key_is_in_progress_then_answered_then_forgotten() -> None:
    repeats = IdempotencyCache(10_000)
    assert isinstance(repeats.begin("k", b"1", 0), FirstRequest)
    assert isinstance(repeats.begin("k", b"1", 0), RequestInProgress)
    assert isinstance(repeats.begin("k", b"2", 0), BodyMismatch)
    repeats.end("k", "answer", 6, until=100)
    found = repeats.begin("k", b"1", 50)
    assert isinstance(found, StoredAnswer) and found.answer == "answer"
    assert isinstance(repeats.begin("k", b"1", 100), FirstRequest)
    repeats.end("k", None, 0, 0)  # throttled: free again
    assert isinstance(repeats.begin("k", b"3", 100), FirstRequest)


def test_answers_kept_for_repeats_are_bounded_and_those_out_are_not_dropped() -> None:
    repeats = IdempotencyCache(5_000)
    repeats.begin("out", b"", 0)
    for i in range(100):
        repeats.begin(str(i), b"", 0)
        repeats.end(str(i), "x" * 500, 500, until=1e9)
    assert repeats.bytes <= 5_000 and repeats.bytes == sum(r.size_bytes for r in repeats.ended.values())
    assert isinstance(repeats.begin("out", b"", 0), RequestInProgress)


@settings(max_examples=100, deadline=None)
@given(
    st.lists(st.text(alphabet="ab \n", max_size=6).filter(lambda s: s.strip("\n") == s), min_size=1, max_size=5),
    st.sampled_from(["\n", "\r\n", "\r"]),
    st.randoms(use_true_random=False),
)
def test_events_are_read_however_their_bytes_are_cut(said: list[str], end: str, rng: random.Random) -> None:
    raw = "".join("".join(f"data: {line}{end}" for line in s.split("\n")) + end for s in said).encode()
    prefill_server, got = EventReader(), []
    while raw:
        n = rng.randint(1, 4)
        got += prefill_server.feed(raw[:n])
        raw = raw[n:]
    got += prefill_server.feed(b"\n") if end == "\r" else []  # a CR alone ends a line once it is no CRLF
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
def test_load_reports_are_read_in_both_forms(said: str, mem: float | None, out: float | None) -> None:
    report = load_from_header(said)
    assert report is not None and (report.memory_share, report.open_requests) == (mem, out)


@pytest.mark.parametrize("said", [None, "", "TEXT a=b", "JSON {", "XML <a/>", "JSON [1]"])
def test_an_unreadable_report_counts_as_none(said: str | None) -> None:
    assert load_from_header(said) is None


GOOD = """{
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
def test_a_wrong_document_is_refused_with_line_and_field(old: str, new: str, line: int, field: str) -> None:
    read_text(GOOD, GatewayConfig)
    with pytest.raises(ConfigError) as bad:
        read_text(GOOD.replace(old, new, 1), GatewayConfig, "gate.json5")
    assert (bad.value.where, bad.value.field) == (f"gate.json5:{line}", field)

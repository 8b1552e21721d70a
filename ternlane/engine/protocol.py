"""The messages between gateway and engines; docs/engine-protocol.md says which are public and which ours. No I/O."""

from __future__ import annotations

import re
from dataclasses import dataclass
from enum import Enum, auto
from typing import Any

import msgspec
from prometheus_client.parser import text_string_to_metric_families

from ternlane.policy.messages import Report, AttemptOutcome

CHAT_PATH = "/v1/chat/completions"
RELEASE_PATH = "/ternlane/v1/release"
HOLD_PATH = "/ternlane/v1/hold"
LOAD_PATH = "/metrics"  # public: Prometheus text, as engines of the field serve it
NOT_RUN = b"x-ternlane-not-run"  # ours: the engine vouches that nothing ran, and says why
LOAD = b"endpoint-load-metrics"  # ORCA (xDS custom load reports), as gateways of the field read it
DONE = "[DONE]"
SAYS_LOAD = re.compile(r"(\w+:)?(num_requests_running|num_requests_waiting|(kv|gpu)_cache_usage_perc)[ {]")


class Stage(Enum):
    """Which part of a generation a leg asks for."""

    PREFILL = auto()
    DECODE = auto()
    WHOLE = auto()  # a mixed server reads and writes in one leg


def read_body(raw: dict[str, Any]) -> bytes:
    """The prompt to a reader: one token, and the state kept for another engine to fetch."""
    body = {k: v for k, v in raw.items() if k not in ("stream_options", "max_completion_tokens")}
    body.update(
        stream=False,
        max_tokens=1,
        kv_transfer_params={
            "do_remote_decode": True,
            "do_remote_prefill": False,
            "remote_engine_id": None,
            "remote_block_ids": None,
            "remote_host": None,
            "remote_port": None,
        },
    )
    return msgspec.json.encode(body)


def write_body(raw: dict[str, Any], state: dict[str, Any], max_tokens: int) -> bytes:
    """To a writer: the reader's parameters come back with do_remote_prefill."""
    body = whole(raw, max_tokens)
    body["kv_transfer_params"] = {**state, "do_remote_decode": False, "do_remote_prefill": True}
    return msgspec.json.encode(body)


def whole(raw: dict[str, Any], max_tokens: int) -> dict[str, Any]:
    body = {k: v for k, v in raw.items() if k not in ("max_completion_tokens", "kv_transfer_params")}
    body.update(stream=True, max_tokens=max_tokens, stream_options={"include_usage": True})
    return body


class Details(msgspec.Struct):
    cached_tokens: int | None = None


class Usage(msgspec.Struct):
    """Tokens as an engine counted them, in the public API's form."""

    prompt_tokens: int = 0
    completion_tokens: int = 0
    total_tokens: int = 0
    prompt_tokens_details: Details | None = None

    def told(self) -> dict[str, Any]:
        """As the client is told."""
        out: dict[str, Any] = {
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": self.completion_tokens,
            "total_tokens": self.prompt_tokens + self.completion_tokens,
        }
        if self.prompt_tokens_details is not None:
            out["prompt_tokens_details"] = {"cached_tokens": self.prompt_tokens_details.cached_tokens or 0}
        return out


class ReadAnswer(msgspec.Struct):
    kv_transfer_params: dict[str, Any] | None = None
    usage: Usage | None = None


class DeltaIn(msgspec.Struct):
    content: str | None = None
    tool_calls: list[dict[str, Any]] | None = None
    refusal: str | None = None
    reasoning_content: str | None = None
    reasoning: str | None = None


class ChoiceIn(msgspec.Struct):
    delta: DeltaIn | None = None
    finish_reason: str | None = None
    logprobs: dict[str, Any] | None = None

    def more(self) -> dict[str, Any] | None:
        """What it has besides text, as chat.Beyond puts it together; None for nothing."""
        delta, out = self.delta, {}
        if delta is not None and (delta.tool_calls or delta.refusal or delta.reasoning_content or delta.reasoning):
            out["delta"] = {
                k: v for k in ("tool_calls", "refusal", "reasoning_content", "reasoning") if (v := getattr(delta, k))
            }
        if self.logprobs:
            out["logprobs"] = self.logprobs
        return out or None


class ChunkIn(msgspec.Struct):
    choices: list[ChoiceIn] = []
    usage: Usage | None = None
    error: Any = None


read_answer = msgspec.json.Decoder(ReadAnswer)
chunk_in = msgspec.json.Decoder(ChunkIn)


@dataclass(slots=True, frozen=True)
class RejectReason:
    outcome: AttemptOutcome
    state_lost: bool = False


def refusal_of(status: int, not_run: str | None) -> RejectReason:
    """What an answer without success proves. A 429 is a refusal by its meaning; other codes only with our header."""
    if not_run == "no-state":
        return RejectReason(AttemptOutcome.OVERLOADED, state_lost=True)
    if not_run is not None or status == 429:
        return RejectReason(AttemptOutcome.OVERLOADED)
    return RejectReason(AttemptOutcome.ERROR)


def load_told(text: str) -> Report | None:
    """The load in an engine's metrics (Prometheus text); the engine's own prefix does not matter."""
    figures: dict[str, float] = {}
    lines = [line for line in text.splitlines() if SAYS_LOAD.match(line)]  # of pages that hold thousands
    try:
        for family in text_string_to_metric_families("\n".join(lines) + "\n"):
            for sample in family.samples:
                name = sample.name.rpartition(":")[2]
                if name.startswith("num_requests"):  # one a model that it serves
                    figures[name] = figures.get(name, 0.0) + sample.value
                else:
                    figures["kv_cache_usage_perc"] = max(figures.get("kv_cache_usage_perc", 0.0), sample.value)
    except (ValueError, KeyError, IndexError):
        return None
    return report_of(figures)


def load_of(said: str | None) -> Report | None:
    """An ORCA header in its TEXT or JSON form. What can't be read counts as not said."""
    if not said:
        return None
    form, _, text = said.strip().partition(" ")
    figures: dict[str, float] = {}
    try:
        if form == "JSON":
            raw = msgspec.json.decode(text)
            for name, value in [*raw.items(), *(raw.get("named_metrics") or {}).items()]:
                if isinstance(value, (int, float)):
                    figures[name] = float(value)
        elif form == "TEXT":
            for part in text.split(","):
                name, _, value = part.strip().partition("=")
                figures[name.removeprefix("named_metrics.")] = float(value)
    except (msgspec.DecodeError, ValueError, AttributeError, TypeError):
        return None
    return report_of(figures)


def report_of(figures: dict[str, float]) -> Report | None:
    mem = figures.get("kv_cache_usage_perc", figures.get("mem_utilization"))
    running, waiting = figures.get("num_requests_running"), figures.get("num_requests_waiting")
    out = None if running is None and waiting is None else (running or 0.0) + (waiting or 0.0)
    if mem is not None and not 0.0 <= mem <= 1.5:  # absurd; a report is believed, so it must be possible
        mem = None
    return None if mem is None and out is None else Report(out, mem)

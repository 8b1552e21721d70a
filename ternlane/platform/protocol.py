"""What the platform's messages mean: outcomes, load reports, what a client asks for. Free of I/O."""

from __future__ import annotations

import re
from dataclasses import dataclass
from hashlib import blake2b
from math import isfinite
from typing import Any, Mapping

import msgspec

from ternlane.policy.messages import Role, Report, AttemptOutcome
from ternlane.deployment import Deployment

CHAT_PATH = "/v1/chat/completions"
LEASE_PATH = "/kv/leases/"
STATS_PATH = "/stats"
READY_PATH = "/health/ready"
BODY_BYTES = 256 * 1024
IDENT = re.compile(r"[0-9a-f]{16}")
FIGURES = {
    "inflight": "outstanding",
    "queue": "backlog",
    "util": "utilization",
    "latency_ms": "recent_ms",
    "qps": "throughput",
    "eps": "errors_per_s",
}  # by their names on the sockets and in the settings
NOT_STARTED, LOAD = b"not-started", b"server-load"


NAME_CHARS = 64  # of a session's or an opening's name


class Wrong(Exception):
    """A request that can't be read: never taken, never passed on."""

    def __init__(self, status: int, code: str, why: str) -> None:
        super().__init__(why)
        self.status, self.code, self.why = status, code, why


@dataclass(slots=True, frozen=True)
class Outcome:
    """What the head of an answer proves. Neither verdict nor lost state: a stream follows."""

    outcome: AttemptOutcome | None
    state_lost: bool = False


def outcome_of(status: int, not_started: bool, role: Role) -> Outcome:
    """A status that vouches for nothing may have run."""
    if status == 200 and role is not Role.PREFILL:
        return Outcome(None)
    if status == 202 and role is not Role.DECODE:
        return Outcome(AttemptOutcome.PREFILLED)
    if status in (503, 504) and not_started:
        return Outcome(AttemptOutcome.OVERLOADED)
    if status == 410 and not_started:
        return Outcome(AttemptOutcome.OVERLOADED, state_lost=True)
    return Outcome(AttemptOutcome.ERROR)


def load_of(said: str | None, deployment: Deployment) -> Report | None:
    """What can't be read counts as not said: a report never spoils the answer that carries it."""
    if not said or len(said) > 1024:
        return None
    figures: dict[str, float] = {}
    for part in said.split(","):
        name, _, text = part.partition("=")
        try:
            value = float(text)
        except ValueError:
            return None
        if not isfinite(value) or value < 0:
            return None
        figures[FIGURES.get(name.strip(), name.strip())] = value
    if figures.get("x0", 0.0) > 1.5:  # absurd; a report is believed, so it must be possible
        return None
    return deployment.report(figures)


class Details(msgspec.Struct):
    cached_tokens: float = 0.0


class Usage(msgspec.Struct):
    prompt_tokens_details: Details = msgspec.field(default_factory=Details)


class Said(msgspec.Struct):
    choices: list[dict[str, Any]]
    usage: Usage | None = None


class Kept(msgspec.Struct):
    cached_tokens: float = 0.0


said_in = msgspec.json.Decoder(Said)
kept_in = msgspec.json.Decoder(Kept)
body_in = msgspec.json.Decoder(dict[str, msgspec.Raw])


def kept_of(body: bytes) -> float:
    try:
        return max(0.0, kept_in.decode(body).cached_tokens)
    except msgspec.DecodeError:
        return 0.0


class Events:
    """The events of a stream, whole and unchanged. Raises ValueError on what is none, or is longer than one may be:
    noise, or a chunk that does not end, reaches no client and fills no memory."""

    LIMIT = 65536

    def __init__(self) -> None:
        self.rest = b""
        self.begun = self.done = False
        self.kept = 0.0
        self.load: str | None = None

    def feed(self, more: bytes) -> bytes:
        """The whole events so far that were not given before."""
        text = self.rest + more if self.rest else more
        end = text.rfind(b"\n\n") + 2
        if end < 2:
            end = 0
        whole, self.rest = text[:end], text[end:]
        if len(self.rest) > self.LIMIT:
            raise ValueError(f"an event of more than {self.LIMIT} bytes")
        for event in whole.split(b"\n\n")[:-1]:
            self._read(event)
        if self.rest and not b"data: ".startswith(self.rest[:6]) and not self.rest.startswith((b":", b"\n")):
            raise ValueError("not an event")
        return whole

    def put_back(self, comments: bytes) -> None:
        """Comments ahead of the first event wait for it. Raises ValueError where they have no end."""
        if len(comments) > self.LIMIT:
            raise ValueError(f"comments of more than {self.LIMIT} bytes ahead of the first event")
        self.rest = comments + self.rest

    def _read(self, event: bytes) -> None:
        for line in event.split(b"\n"):
            if line.startswith(b"data: "):
                self._data(line[6:])
            elif line.startswith(b": Server-Load: "):
                self.load = line[15:].decode("latin-1")
            elif line and not line.startswith(b":"):
                raise ValueError("not an event")

    def _data(self, data: bytes) -> None:
        if data == b"[DONE]":
            if not self.begun:
                raise ValueError("a stream of no events")
            self.done = True
        elif self.done:
            raise ValueError("an event behind the last")
        elif not self.begun or b'"usage"' in data:
            said = said_in.decode(data)  # the first must be understood before the client has a byte
            self.begun = True
            if said.usage is not None:
                self.kept = said.usage.prompt_tokens_details.cached_tokens
        elif not (data.startswith(b"{") and data.endswith(b"}")):
            raise ValueError("not an event")


@dataclass(slots=True)
class ParsedRequest:
    """What a client's head asks for."""

    ident: str
    request_class: str
    session: str | None
    prefix: str | None
    prefix_tokens: float
    prompt_tokens: float
    max_tokens: float
    client_timeout_ms: float | None
    tenant: str


def parse_request(headers: Mapping[bytes, str], body: bytes, deployment: Deployment) -> ParsedRequest:
    """Raises Wrong for what can't be read. No answer here says that a new try does no harm."""
    ident = headers.get(b"request-id", "")
    if not IDENT.fullmatch(ident):
        raise Wrong(400, "bad_id", "Request-Id must be sixteen hex digits")
    name = headers.get(b"request-class", "")
    if name not in deployment.request_classes:
        raise Wrong(400, "bad_class", "Request-Class names no class that is served here")
    patience = None
    if b"request-timeout" in headers:
        patience = figure(headers[b"request-timeout"], "Request-Timeout") * 1000
        if patience <= 0:
            raise Wrong(400, "bad_timeout", "Request-Timeout must be a positive number of seconds")
    info: dict[str, str] = {}
    for part in headers.get(b"request-info", "").split(","):
        key, eq, value = part.strip().partition("=")
        if part.strip() and (not eq or not value or key in info):
            raise Wrong(400, "bad_info", "Request-Info must be name=value, set apart by commas")
        if eq:
            info[key] = value
    try:
        body_in.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        raise Wrong(400, "bad_body", "the body is no JSON object") from None
    prompt = figure(info["prompt_len"], "prompt_len") if "prompt_len" in info else len(body) / 4
    return ParsedRequest(
        ident,
        name,
        short(headers.get(b"affinity-key")),
        short(info.get("prefix")),
        min(prompt, figure(info.get("prefix_len", "0"), "prefix_len")),
        prompt,
        figure(info.get("max_out", "0"), "max_out"),
        patience,
        headers.get(b"tenant", ""),
    )


def short(name: str | None) -> str | None:
    """Names are kept long after their generation: one of a head's length in each of thousands would fill the memory.
    The digest is the same at every gateway."""
    if name and len(name) > NAME_CHARS:
        return blake2b(name.encode(), digest_size=NAME_CHARS // 2).hexdigest()
    return name or None


def figure(text: str, name: str) -> float:
    try:
        value = float(text)
    except ValueError:
        value = -1.0
    if not 0 <= value < 1e9:  # so that no sum of them is beyond what can be counted
        raise Wrong(400, "bad_number", f"{name} must be a number, not negative and not absurd")
    return value

"""Maps the platform's protocol to the router's terms: statuses, load reports and clients' headers. Free of I/O.

Names of the wire are used only here and in the parsers of lists and event streams.
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass
from hashlib import blake2b
from math import isfinite

import msgspec

from ternlane.deployment import Deployment
from ternlane.platform.errors import InvalidRequestError
from ternlane.policy.messages import AttemptOutcome, Report, Role

CHAT_PATH = "/v1/chat/completions"
LEASE_PATH = "/kv/leases/"
STATS_PATH = "/stats"
READY_PATH = "/health/ready"
# Size limit of a client's body in the platform protocol.
MAX_BODY_BYTES = 256 * 1024
# Size limit of a load report; a longer one counts as invalid.
MAX_LOAD_REPORT_CHARS = 1024
# Size limit of a session's or a prefix's name; a longer one is replaced by its digest.
NAME_CHARS = 64
# Numbers in a client's headers must be below this, so that sums of them stay exact.
NUMBER_LIMIT = 1e9
# The largest share of KV memory in use that a load report may state. The router relies on reports, so one with an
# impossible value is ignored.
MEMORY_SHARE_LIMIT = 1.5
REQUEST_ID = re.compile(r"[0-9a-f]{16}")
NOT_STARTED_HEADER = b"not-started"  # of an answer: the attempt has not run
LOAD_HEADER = b"server-load"  # of an answer: the load report
# Names of a load report's values on the wire, with their names in the settings.
LOAD_REPORT_NAMES = {
    "inflight": "outstanding",
    "queue": "backlog",
    "util": "utilization",
    "latency_ms": "recent_ms",
    "qps": "throughput",
    "eps": "errors_per_s",
}

_body_decoder = msgspec.json.Decoder(dict[str, msgspec.Raw])
_count_decoder = msgspec.json.Decoder(int)


# -- answers of model servers


@dataclass(slots=True, frozen=True)
class ResponseClass:
    """The outcome that the head of an answer proves; None if a stream follows."""

    outcome: AttemptOutcome | None
    state_lost: bool = False


class PrefillResult(msgspec.Struct):
    """The body of a prefill's answer, with the field names of the wire."""

    cached_tokens: float = 0.0


_prefill_decoder = msgspec.json.Decoder(PrefillResult)


def classify_response(status: int, not_started: bool, role: Role) -> ResponseClass:
    """Classifies the status of an answer. ERROR if it does not prove that the attempt has not run."""
    if status == 200 and role is not Role.PREFILL:
        return ResponseClass(None)
    if status == 202 and role is not Role.DECODE:
        return ResponseClass(AttemptOutcome.PREFILLED)
    if status in (503, 504) and not_started:
        return ResponseClass(AttemptOutcome.OVERLOADED)
    if status == 410 and not_started:
        return ResponseClass(AttemptOutcome.OVERLOADED, state_lost=True)
    return ResponseClass(AttemptOutcome.ERROR)


def parse_load_report(text: str | None, deployment: Deployment) -> Report | None:
    """Parses a load report. None if it is invalid, which does not make the answer that carries it invalid."""
    if not text or len(text) > MAX_LOAD_REPORT_CHARS:
        return None
    values: dict[str, float] = {}
    for part in text.split(","):
        name, _, number = part.partition("=")
        try:
            value = float(number)
        except ValueError:
            return None
        if not isfinite(value) or value < 0:
            return None
        values[LOAD_REPORT_NAMES.get(name.strip(), name.strip())] = value
    if values.get("x0", 0.0) > MEMORY_SHARE_LIMIT:
        return None
    return deployment.report(values)


def parse_cached_tokens(body: bytes) -> float:
    """The prompt tokens that a prefill found cached; 0 if its answer is invalid."""
    try:
        return max(0.0, _prefill_decoder.decode(body).cached_tokens)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return 0.0


# -- requests of clients


@dataclass(slots=True)
class ParsedRequest:
    """A client's request as stated in its headers. `client_timeout_ms` is None if it states no timeout.

    `answer_tokens`: the most tokens that its answer may have, by its headers and its body; 0 if neither states it.
    """

    request_id: str
    request_class: str
    session: str | None
    prefix: str | None
    prefix_tokens: float
    prompt_tokens: float
    max_tokens: float
    answer_tokens: float
    client_timeout_ms: float | None
    tenant: str


def parse_request(headers: Mapping[bytes, str], body: bytes, deployment: Deployment) -> ParsedRequest:
    """Parses a request. Raises InvalidRequestError if it is invalid; that answer does not invite a retry."""
    request_id = headers.get(b"request-id", "")
    if not REQUEST_ID.fullmatch(request_id):
        raise InvalidRequestError(400, "bad_id", "Request-Id must be sixteen hex digits")
    request_class = headers.get(b"request-class", "")
    if request_class not in deployment.request_classes:
        raise InvalidRequestError(400, "bad_class", "Request-Class names no class that is served here")
    client_timeout_ms = _parse_timeout_ms(headers.get(b"request-timeout"))
    info = _parse_info(headers.get(b"request-info", ""))
    fields = _parse_body(body)
    # Without a stated prompt length: about four bytes of text are one token.
    prompt_tokens = _parse_number(info["prompt_len"], "prompt_len") if "prompt_len" in info else len(body) / 4
    prefix_tokens = _parse_number(info.get("prefix_len", "0"), "prefix_len")
    max_tokens = _parse_number(info.get("max_out", "0"), "max_out")
    return ParsedRequest(
        request_id=request_id,
        request_class=request_class,
        session=_shorten(headers.get(b"affinity-key")),
        prefix=_shorten(info.get("prefix")),
        prefix_tokens=min(prompt_tokens, prefix_tokens),
        prompt_tokens=prompt_tokens,
        max_tokens=max_tokens,
        answer_tokens=max(max_tokens, _answer_tokens(fields)),
        client_timeout_ms=client_timeout_ms,
        tenant=headers.get(b"tenant", ""),
    )


def _parse_timeout_ms(text: str | None) -> float | None:
    """Request-Timeout is in seconds."""
    if text is None:
        return None
    timeout_ms = _parse_number(text, "Request-Timeout") * 1000
    if timeout_ms <= 0:
        raise InvalidRequestError(400, "bad_timeout", "Request-Timeout must be a positive number of seconds")
    return timeout_ms


def _parse_info(text: str) -> dict[str, str]:
    """Request-Info is a comma-separated list of name=value."""
    info: dict[str, str] = {}
    for part in text.split(","):
        if not part.strip():
            continue
        key, equals, value = part.strip().partition("=")
        if not equals or not value or key in info:
            raise InvalidRequestError(400, "bad_info", "Request-Info must be name=value, set apart by commas")
        info[key] = value
    return info


def _parse_body(body: bytes) -> dict[str, msgspec.Raw]:
    """The undecoded fields of a body. Raises InvalidRequestError."""
    try:
        return _body_decoder.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        raise InvalidRequestError(400, "bad_body", "the body is no JSON object") from None


def _answer_tokens(fields: Mapping[str, msgspec.Raw]) -> float:
    """The most tokens that the body asks for, over all its choices; 0 if it states no limit."""
    tokens = max(_count(fields, "max_tokens"), _count(fields, "max_completion_tokens"))
    return tokens * max(1, _count(fields, "n"))


def _count(fields: Mapping[str, msgspec.Raw], name: str) -> int:
    """A count in the body; 0 if there is none. Whether it is valid is for the model server to say."""
    try:
        return max(0, _count_decoder.decode(fields[name]))
    except (KeyError, msgspec.DecodeError, UnicodeDecodeError):
        return 0


def _shorten(name: str | None) -> str | None:
    """Replaces a long name by its digest, which is the same at every gateway.

    Names are kept long after their request, and thousands as long as a request's head would fill the memory.
    """
    if name and len(name) > NAME_CHARS:
        return blake2b(name.encode(), digest_size=NAME_CHARS // 2).hexdigest()
    return name or None


def _parse_number(text: str, name: str) -> float:
    try:
        value = float(text)
    except ValueError:
        value = -1.0
    if not 0 <= value < NUMBER_LIMIT:
        raise InvalidRequestError(400, "bad_number", f"{name} must be a number, not negative and not absurd")
    return value

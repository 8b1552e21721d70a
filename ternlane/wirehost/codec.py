"""The simulator's lines, mapped to the router's terms. Free of I/O.

A line is words set apart by single spaces; "-" stands for "none". Names of the wire keep their form here, and only
here. What is malformed raises ValueError or IndexError.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from ternlane.policy.messages import AttemptOutcome, EndpointStatus, TimerKind

# Words for how an attempt or a probe ended; any other counts as ERROR.
OUTCOMES = {
    "S": AttemptOutcome.STREAMED,
    "E": AttemptOutcome.ERROR,
    "F": AttemptOutcome.OVERLOADED,
    "T": AttemptOutcome.TIMED_OUT,
    "C": AttemptOutcome.CONNECT_FAILED,
    "R": AttemptOutcome.RESET,
    "X": AttemptOutcome.CANCELLED,
    "N": AttemptOutcome.CLIENT_GONE,
    "prefilled": AttemptOutcome.PREFILLED,
}
# Words for an endpoint's status; any other counts as removed.
STATUSES = {
    "healthy": EndpointStatus.READY,
    "cordoned": EndpointStatus.DRAINING,
    "deregistered": EndpointStatus.REMOVED,
}
# Numbers of the router's two timers; any other number counts as its deadline.
TIMER_NUMBERS = {TimerKind.TICK: 0, TimerKind.DEADLINE: 1}
TIMER_KINDS = {number: kind for kind, number in TIMER_NUMBERS.items()}
# The end of an answer.
END = "YIELD"


class ListKind(Enum):
    """What a list of servers says, by its word."""

    ERROR = "Error"  # it could not be had
    PARTIAL = "Partial"  # it names what has changed


def parse_number(text: str, default: float = 0.0) -> float:
    """A number, or the default for none."""
    return default if text in ("-", "") else float(text)


def parse_name(text: str) -> str | None:
    """A name; "0", too, stands for none."""
    return None if text in ("-", "", "0") else text


def parse_outcome(word: str) -> AttemptOutcome:
    """How an attempt or a probe ended."""
    return OUTCOMES.get(word, AttemptOutcome.ERROR)


def format_ms(value: float) -> str:
    """A time in milliseconds."""
    return f"{value:.3f}"


@dataclass(slots=True, frozen=True)
class EndpointRow:
    """One server of a list."""

    server_id: str
    zone: str
    kind: str
    cell: int
    status: EndpointStatus
    size: float
    started_ms: float


def parse_endpoint_row(row: str) -> EndpointRow:
    """ROW id zone kind cell status size started"""
    _, server_id, zone, kind, cell, status, size, started = row.split(" ")[:8]
    return EndpointRow(
        server_id=server_id,
        zone=zone,
        kind=kind,
        cell=int(cell),
        status=STATUSES.get(status, EndpointStatus.REMOVED),
        size=parse_number(size, 1.0),
        started_ms=parse_number(started),
    )


@dataclass(slots=True, frozen=True)
class RequestLine:
    """A request that has arrived. Lengths are tokens."""

    number: int
    request_class: str
    session: str | None
    prefix: str | None
    prefix_tokens: float
    prompt_tokens: float
    max_tokens: float
    client_timeout_ms: float
    tenant: str


def parse_request_line(parts: list[str]) -> RequestLine:
    """WORK_ITEM gateway number prefix_tokens - prefix class prompt_tokens timeout - session max_tokens [tenant]"""
    _, _, number, prefix_tokens, _, prefix, request_class, prompt, timeout, _, session, longest, *rest = parts
    return RequestLine(
        number=int(number),
        request_class=request_class,
        session=parse_name(session),
        prefix=parse_name(prefix),
        prefix_tokens=parse_number(prefix_tokens),
        prompt_tokens=parse_number(prompt),
        max_tokens=parse_number(longest),
        client_timeout_ms=parse_number(timeout),
        tenant=rest[0] if rest else "",
    )


@dataclass(slots=True, frozen=True)
class AttemptEndedLine:
    """An attempt that has ended, behind its request, number and server."""

    outcome: AttemptOutcome
    took_ms: float
    request_over: bool
    cached_tokens: float
    state_lost: bool
    report: str  # the load report's figures, "-" for none


def parse_attempt_ended_line(parts: list[str]) -> AttemptEndedLine:
    """REPORT_BACK gateway request attempt server outcome took over [note [report]]

    The note is the tokens that were found cached, or whether the state was lost.
    """
    outcome = parse_outcome(parts[5])
    note = parse_number(parts[8]) if len(parts) > 8 else 0.0
    tells_cached = outcome in (AttemptOutcome.PREFILLED, AttemptOutcome.STREAMED)
    return AttemptEndedLine(
        outcome=outcome,
        took_ms=parse_number(parts[6]),
        request_over=parts[7] == "1",
        cached_tokens=note if tells_cached else 0.0,
        state_lost=outcome is AttemptOutcome.OVERLOADED and note == 1,
        report=parts[9] if len(parts) > 9 else "-",
    )


def malformed_line(parts: list[str], error: Exception) -> list[str]:
    """The answer to a batch with a line that can't be read."""
    gateway = parts[1] if len(parts) > 1 and parts[1].isdigit() else 0
    line = " ".join(parts)[:200]
    return ["", f"BUG {gateway} malformed line: {line!r} ({type(error).__name__}: {error})", END]


def fault_line(gateway: str, error: Exception, events: object) -> str:
    """A fault of the router, said aloud: it is never turned into some action."""
    return f"BUG {gateway} {type(error).__name__}: {error} in {events!r}"[:500].replace("\n", " ")

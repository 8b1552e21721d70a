"""Maps lines of the simulator's protocol to the router's terms. Free of I/O.

A line consists of words separated by single spaces; "-" stands for "none". Names of the wire are used only here and in
`instance.py` and `host.py`. Malformed lines raise ValueError or IndexError.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from ternlane.policy.messages import AttemptOutcome, EndpointStatus, TimerKind

# Outcomes of an attempt or a probe on the wire; any other counts as ERROR.
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
# An endpoint's status on the wire; any other counts as removed.
STATUSES = {
    "healthy": EndpointStatus.READY,
    "cordoned": EndpointStatus.DRAINING,
    "deregistered": EndpointStatus.REMOVED,
}
# Numbers of the router's two timers; any other number counts as DEADLINE.
TIMER_NUMBERS = {TimerKind.TICK: 0, TimerKind.DEADLINE: 1}
TIMER_KINDS = {number: kind for kind, number in TIMER_NUMBERS.items()}
# The last line of an answer.
END_OF_ANSWER = "YIELD"


class ListKind(Enum):
    """The kind of a list of servers, as named on the wire; any other kind names all servers."""

    ERROR = "Error"  # discovery could not deliver a list
    PARTIAL = "Partial"  # names the servers that have changed


def parse_number(text: str, default: float = 0.0) -> float:
    """Parses a number; the default for none."""
    return default if text in ("-", "") else float(text)


def parse_name(text: str) -> str | None:
    """Parses a name; "0" also stands for none."""
    return None if text in ("-", "", "0") else text


def parse_outcome(word: str) -> AttemptOutcome:
    """Parses the outcome of an attempt or a probe."""
    return OUTCOMES.get(word, AttemptOutcome.ERROR)


def format_ms(value: float) -> str:
    """Formats a time in milliseconds."""
    return f"{value:.3f}"


@dataclass(slots=True, frozen=True)
class EndpointRow:
    """A server of a list."""

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
    _, _, number, prefix_tokens, _, prefix, request_class, prompt, timeout, _, session, max_tokens, *rest = parts
    return RequestLine(
        number=int(number),
        request_class=request_class,
        session=parse_name(session),
        prefix=parse_name(prefix),
        prefix_tokens=parse_number(prefix_tokens),
        prompt_tokens=parse_number(prompt),
        max_tokens=parse_number(max_tokens),
        client_timeout_ms=parse_number(timeout),
        tenant=rest[0] if rest else "",
    )


@dataclass(slots=True, frozen=True)
class AttemptEndedLine:
    """The fields of an attempt that has ended which follow its request, number and server."""

    outcome: AttemptOutcome
    took_ms: float
    request_over: bool
    cached_tokens: float
    state_lost: bool
    report: str  # the values of the load report, "-" for none


def parse_attempt_ended_line(parts: list[str]) -> AttemptEndedLine:
    """REPORT_BACK gateway request attempt server outcome took over [note [report]]

    The note is the number of tokens found cached, or 1 if the state was lost.
    """
    outcome = parse_outcome(parts[5])
    note = parse_number(parts[8]) if len(parts) > 8 else 0.0
    has_cached_tokens = outcome in (AttemptOutcome.PREFILLED, AttemptOutcome.STREAMED)
    return AttemptEndedLine(
        outcome=outcome,
        took_ms=parse_number(parts[6]),
        request_over=parts[7] == "1",
        cached_tokens=note if has_cached_tokens else 0.0,
        state_lost=outcome is AttemptOutcome.OVERLOADED and note == 1,
        report=parts[9] if len(parts) > 9 else "-",
    )


def malformed_line(parts: list[str], error: Exception) -> list[str]:
    """The answer to a batch with a malformed line."""
    gateway = parts[1] if len(parts) > 1 and parts[1].isdigit() else 0
    line = " ".join(parts)[:200]
    return ["", f"BUG {gateway} malformed line: {line!r} ({type(error).__name__}: {error})", END_OF_ANSWER]


def fault_line(gateway: str, error: Exception, events: object) -> str:
    """The line that reports a programming error in the router, in place of actions."""
    return f"BUG {gateway} {type(error).__name__}: {error} in {events!r}"[:500].replace("\n", " ")

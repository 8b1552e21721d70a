"""Journal records of a gateway's requests, and the state after a crash that they add up to. No I/O.

An attempt is recorded before it is sent, an answer after it is final. A journal that stops at any point therefore errs
on the safe side: what may have run counts as having run.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

import msgspec

from ternlane.chat import RepeatPolicy, repeat_policy
from ternlane.policy.messages import Effect

EXPIRY_CHECK_PERIOD = 1024  # admitted requests; each check goes through all stored answers
MAY_HAVE_RUN = "the gateway was lost while it was out; it may have run"


class RequestAdmitted(msgspec.Struct, array_like=True, tag="t"):
    """A request was admitted. `ident`: its id in the journal; `name`: its id at engines; `key`: its Idempotency-Key
    with the key's owner, "" if none; `at`: time of admission; `expires_ms`: until when repeats are recognized. Times
    are ms of the wall clock."""

    ident: str
    name: str
    key: str
    body_digest: bytes
    effect: str
    at: float
    expires_ms: float


class AttemptSent(msgspec.Struct, array_like=True, tag="s"):
    """An attempt is about to be sent. `prefills`: it may leave a state at the server; `decodes`: it may run the
    request. For requests without a key only prefills are recorded, so that their states can be released."""

    ident: str
    name: str
    server: str
    address: str
    protocol: str
    prefills: bool
    decodes: bool


class StateReleased(msgspec.Struct, array_like=True, tag="f"):
    """All states held for a request were released."""

    ident: str


class RequestEnded(msgspec.Struct, array_like=True, tag="e"):
    """A request has ended. `kept`: repeats under its key get this answer, complete or as the reason of its end."""

    ident: str
    outcome: str
    kept: bool = False
    text: str = ""
    finish: str = ""
    usage: dict[str, int] = {}
    why: str = ""
    more: dict[str, Any] = {}


JournalRecord = RequestAdmitted | AttemptSent | StateReleased | RequestEnded
decode_journal_record = msgspec.msgpack.Decoder(JournalRecord).decode


class InFlightRequest(msgspec.Struct, array_like=True):
    """A request that has not ended, or for which servers still hold states."""

    taken: RequestAdmitted
    held: list[tuple[str, str, str]] = []  # server, address, protocol
    may_have_run: bool = False
    ended: bool = False

    def outcome_after_crash(self) -> RequestEnded:
        """How the request ends if its gateway crashed: as one whose client left, by the same rule for repeats."""
        kept = repeat_policy(Effect[self.taken.effect], "left", int(self.may_have_run)) is RepeatPolicy.OUTCOME_UNKNOWN
        return RequestEnded(self.taken.ident, "terminated" if kept else "lost", kept, why=MAY_HAVE_RUN if kept else "")


class RecoveredAnswer(msgspec.Struct, array_like=True):
    """The answer that repeats of a request get."""

    taken: RequestAdmitted
    ended: RequestEnded


class Snapshot(msgspec.Struct):
    """The form of a snapshot on disk, which saves a start from reading all segments."""

    seq: int
    opened: list[InFlightRequest]
    known: list[RecoveredAnswer]
    at: float


@dataclass
class InFlightRequests:
    """The state that the records of a journal add up to. Answers expire by `at`, the time of the latest record."""

    opened: dict[str, InFlightRequest] = field(default_factory=dict)
    known: dict[str, RecoveredAnswer] = field(default_factory=dict)
    at: float = 0.0
    admitted_count: int = 0

    def add(self, entry: JournalRecord) -> None:
        """Applies the next record of the journal."""
        match entry:
            case RequestAdmitted(ident=ident, at=at):
                self.at = max(self.at, at)
                self.opened[ident] = InFlightRequest(entry)
                if entry.key:
                    self.known.pop(entry.key, None)
                self.remove_expired()
            case AttemptSent(ident=ident, name=name) if ident in self.opened or entry.prefills:
                if ident not in self.opened:
                    self.opened[ident] = InFlightRequest(
                        RequestAdmitted(ident, name, "", b"", Effect.IDEMPOTENT.name, 0.0, 0.0), ended=True
                    )
                in_flight = self.opened[ident]
                if entry.prefills:
                    in_flight.held = [*in_flight.held, (entry.server, entry.address, entry.protocol)]
                in_flight.may_have_run = in_flight.may_have_run or entry.decodes
            case StateReleased(ident=ident) if ident in self.opened:
                self.opened[ident].held = []
                self.remove_finished(ident)
            case RequestEnded(ident=ident) if ident in self.opened:
                in_flight = self.opened[ident]
                in_flight.ended = True
                if in_flight.taken.key and entry.kept:
                    self.known[in_flight.taken.key] = RecoveredAnswer(in_flight.taken, entry)
                self.remove_finished(ident)
            case _:
                pass  # of a request that the snapshot no longer holds

    def remove_finished(self, ident: str) -> None:
        """Drops a request once it has ended and no server holds a state for it."""
        in_flight = self.opened[ident]
        if in_flight.ended and not in_flight.held:
            del self.opened[ident]

    def remove_expired(self) -> None:
        """Drops expired answers, once in EXPIRY_CHECK_PERIOD calls."""
        self.admitted_count += 1
        if self.admitted_count % EXPIRY_CHECK_PERIOD == 0:
            self.known = {key: answer for key, answer in self.known.items() if answer.taken.expires_ms > self.at}

    def dump(self, seq: int) -> bytes:
        """The content of a snapshot after `seq` records."""
        return msgspec.msgpack.encode(Snapshot(seq, list(self.opened.values()), list(self.known.values()), self.at))

    def load(self, raw: bytes) -> int:
        """Replaces the state by a snapshot; returns its number of records. Raises msgspec.DecodeError."""
        snapshot = msgspec.msgpack.decode(raw, type=Snapshot)
        self.opened = {request.taken.ident: request for request in snapshot.opened}
        self.known = {answer.taken.key: answer for answer in snapshot.known}
        self.at = snapshot.at
        return snapshot.seq

    # -- after a crash

    def answers(self, now: float) -> list[RecoveredAnswer]:
        """The answers for repeats after a crash: the stored ones, and for requests that may have run but have no
        answer, a termination that says so. Requests that cannot have run or may safely run again are not included."""
        answers = [answer for answer in self.known.values() if answer.taken.expires_ms > now]
        for in_flight in self.opened.values():
            if (
                in_flight.taken.key
                and not in_flight.ended
                and in_flight.taken.expires_ms > now
                and in_flight.outcome_after_crash().kept
            ):
                answers.append(RecoveredAnswer(in_flight.taken, in_flight.outcome_after_crash()))
        return answers

    def held(self) -> list[tuple[str, list[tuple[str, str, str]]]]:
        """The states that servers may still hold, by the request's id at engines."""
        return [(in_flight.taken.name, in_flight.held) for in_flight in self.opened.values() if in_flight.held]

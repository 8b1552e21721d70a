"""What a gateway had taken and not ended when it was lost: records of its journal, and what they come to. No I/O.

A record is written before what it tells of is done (an attempt is sent), or after (an answer is settled), so that the
worst reading of a journal that stops anywhere is the safe one: what may have run is taken to have run.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

import msgspec

from ternlane.chat import RepeatPolicy, repeat_policy
from ternlane.policy.messages import Effect

SWEEP_EVERY = 1024  # requests taken: a sweep looks at all known answers, and costs little so rarely
MAY_HAVE_RUN = "the gateway was lost while it was out; it may have run"


class RequestAdmitted(msgspec.Struct, array_like=True, tag="t"):
    """A request, by a name of the journal's own; `name` is what engines know it by. `key`: its Idempotency-Key with
    its owner, "" for none; `body_digest`: of the body; `at` and `expires_ms`: when, and how long a repeat is known, in
    ms of the wall clock."""

    ident: str
    name: str
    key: str
    body_digest: bytes
    effect: str
    at: float
    expires_ms: float


class AttemptSent(msgspec.Struct, array_like=True, tag="s"):
    """An attempt is about to be sent; without a key only prefills are noted, for what they hold. `prefills`: the server
    may hold a state from now on; `decodes`: it may run."""

    ident: str
    name: str
    server: str
    address: str
    protocol: str
    prefills: bool
    decodes: bool


class StateReleased(msgspec.Struct, array_like=True, tag="f"):
    """No server holds anything for it any more."""

    ident: str


class RequestEnded(msgspec.Struct, array_like=True, tag="e"):
    """Its final answer; `kept`: a repeat under its key hears it, a whole answer or why it was terminated."""

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


class OpenRequest(msgspec.Struct, array_like=True):
    """One request that has not come to its end, or that still holds something."""

    taken: RequestAdmitted
    held: list[tuple[str, str, str]] = []  # server, address, protocol
    may_have_run: bool = False
    ended: bool = False

    def outcome_after_crash(self) -> RequestEnded:
        """How it ends where its gateway was lost: as one whose client left, by the same rule for repeats."""
        kept = repeat_policy(Effect[self.taken.effect], "left", int(self.may_have_run)) is RepeatPolicy.OUTCOME_UNKNOWN
        return RequestEnded(self.taken.ident, "terminated" if kept else "lost", kept, why=MAY_HAVE_RUN if kept else "")


class RecoveredAnswer(msgspec.Struct, array_like=True):
    """What a repeat hears."""

    taken: RequestAdmitted
    ended: RequestEnded


class Snapshot(msgspec.Struct):
    """What is written beside the segments, so that a start need not read them all."""

    seq: int
    opened: list[OpenRequest]
    known: list[RecoveredAnswer]
    at: float


@dataclass
class InFlightRequests:
    """The fold of a journal. `at` follows the records' own time, so that what has run out is dropped as it grows."""

    opened: dict[str, OpenRequest] = field(default_factory=dict)
    known: dict[str, RecoveredAnswer] = field(default_factory=dict)
    at: float = 0.0
    adds: int = 0

    def add(self, entry: JournalRecord) -> None:
        """Takes in one record, in the order of the journal."""
        match entry:
            case RequestAdmitted(ident=ident, at=at):
                self.at = max(self.at, at)
                self.opened[ident] = OpenRequest(entry)
                if entry.key:
                    self.known.pop(entry.key, None)
                self.sweep()
            case AttemptSent(ident=ident, name=name) if ident in self.opened or entry.prefills:
                if ident not in self.opened:
                    self.opened[ident] = OpenRequest(
                        RequestAdmitted(ident, name, "", b"", Effect.IDEMPOTENT.name, 0.0, 0.0), ended=True
                    )
                it = self.opened[ident]
                if entry.prefills:
                    it.held = [*it.held, (entry.server, entry.address, entry.protocol)]
                it.may_have_run = it.may_have_run or entry.decodes
            case StateReleased(ident=ident) if ident in self.opened:
                self.opened[ident].held = []
                self.drop(ident)
            case RequestEnded(ident=ident) if ident in self.opened:
                it = self.opened[ident]
                it.ended = True
                if it.taken.key and entry.kept:
                    self.known[it.taken.key] = RecoveredAnswer(it.taken, entry)
                self.drop(ident)
            case _:
                pass  # of a request that a snapshot had dropped already

    def drop(self, ident: str) -> None:
        """Forgets a request that has ended and holds nothing."""
        it = self.opened[ident]
        if it.ended and not it.held:
            del self.opened[ident]

    def sweep(self) -> None:
        """Now and then drops answers whose time has run out."""
        self.adds += 1
        if self.adds % SWEEP_EVERY == 0:
            self.known = {k: v for k, v in self.known.items() if v.taken.expires_ms > self.at}

    def dump(self, seq: int) -> bytes:
        """The snapshot after `seq` records."""
        return msgspec.msgpack.encode(Snapshot(seq, list(self.opened.values()), list(self.known.values()), self.at))

    def load(self, raw: bytes) -> int:
        """Takes up a snapshot; gives the number of its records. Raises msgspec.DecodeError."""
        it = msgspec.msgpack.decode(raw, type=Snapshot)
        self.opened = {o.taken.ident: o for o in it.opened}
        self.known = {k.taken.key: k for k in it.known}
        self.at = it.at
        return it.seq

    # -- after the loss

    def answers(self, now: float) -> list[RecoveredAnswer]:
        """What repeats will hear from now on: stored answers, and of what may have run without one, that it may have.
        What can't have run, or may run again without harm, is free."""
        out = [v for v in self.known.values() if v.taken.expires_ms > now]
        for it in self.opened.values():
            if it.taken.key and not it.ended and it.taken.expires_ms > now and it.outcome_after_crash().kept:
                out.append(RecoveredAnswer(it.taken, it.outcome_after_crash()))
        return out

    def held(self) -> list[tuple[str, list[tuple[str, str, str]]]]:
        """States that servers may hold still, by the request's name there."""
        return [(it.taken.name, it.held) for it in self.opened.values() if it.held]

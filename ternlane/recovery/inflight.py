"""What a gateway had taken and not ended when it was lost: records of its journal, and what they come to. No I/O.

A record is written before what it tells of is done (a leg is sent), or after (an answer is settled), so that the worst
reading of a journal that stops anywhere is the safe one: what may have run is taken to have run.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

import msgspec

from ternlane.chat import Keep, kept_for_repeats
from ternlane.policy.messages import Effect

MAY_HAVE_RUN = "the gateway was lost while it was out; it may have run"


class Taken(msgspec.Struct, array_like=True, tag="t"):
    """A generation, by a name of the journal's own; `name` is what engines know it by. `key`: its Idempotency-Key with
    its owner, "" for none; `mark`: digest of the body; `at` and `until`: when, and how long a repeat is known, in ms of
    the wall clock."""

    ident: str
    name: str
    key: str
    mark: bytes
    effect: str
    at: float
    until: float


class Sent(msgspec.Struct, array_like=True, tag="s"):
    """A leg is about to be sent; without a key only reads are noted, for what they hold. `reads`: the server may hold a
    state from now on; `writes`: it may run."""

    ident: str
    name: str
    server: str
    address: str
    protocol: str
    prefills: bool
    decodes: bool


class Freed(msgspec.Struct, array_like=True, tag="f"):
    """No server holds anything for it any more."""

    ident: str


class Ended(msgspec.Struct, array_like=True, tag="e"):
    """Its final answer; `kept`: a repeat under its key hears it, a whole answer or why it was terminated."""

    ident: str
    outcome: str
    kept: bool = False
    text: str = ""
    finish: str = ""
    usage: dict[str, int] = {}
    why: str = ""
    more: dict[str, Any] = {}


Record = Taken | Sent | Freed | Ended
decode_record = msgspec.msgpack.Decoder(Record).decode


class Open(msgspec.Struct, array_like=True):
    """One generation that has not come to its end, or that still holds something."""

    taken: Taken
    held: list[tuple[str, str, str]] = []  # server, address, protocol
    may_have_run: bool = False
    ended: bool = False

    def lost(self) -> Ended:
        """How it ends where its gateway was lost: as one whose client left, by the same rule for repeats."""
        kept = kept_for_repeats(Effect[self.taken.effect], "left", int(self.may_have_run)) is Keep.UNSURE
        return Ended(self.taken.ident, "terminated" if kept else "lost", kept, why=MAY_HAVE_RUN if kept else "")


class Known(msgspec.Struct, array_like=True):
    """What a repeat hears."""

    taken: Taken
    ended: Ended


class Dump(msgspec.Struct):
    seq: int
    opened: list[Open]
    known: list[Known]
    at: float


@dataclass
class InFlight:
    """The fold of a journal. `at` follows the records' own time, so that what has run out is dropped as it grows."""

    opened: dict[str, Open] = field(default_factory=dict)
    known: dict[str, Known] = field(default_factory=dict)
    at: float = 0.0
    adds: int = 0

    def add(self, entry: Record) -> None:
        match entry:
            case Taken(ident=ident, at=at):
                self.at = max(self.at, at)
                self.opened[ident] = Open(entry)
                if entry.key:
                    self.known.pop(entry.key, None)
                self.sweep()
            case Sent(ident=ident, name=name) if ident in self.opened or entry.prefills:
                if ident not in self.opened:
                    self.opened[ident] = Open(Taken(ident, name, "", b"", Effect.IDEMPOTENT.name, 0.0, 0.0), ended=True)
                it = self.opened[ident]
                if entry.prefills:
                    it.held = [*it.held, (entry.server, entry.address, entry.protocol)]
                it.may_have_run = it.may_have_run or entry.decodes
            case Freed(ident=ident) if ident in self.opened:
                self.opened[ident].held = []
                self.drop(ident)
            case Ended(ident=ident) if ident in self.opened:
                it = self.opened[ident]
                it.ended = True
                if it.taken.key and entry.kept:
                    self.known[it.taken.key] = Known(it.taken, entry)
                self.drop(ident)
            case _:
                pass  # of a generation that a snapshot had dropped already

    def drop(self, ident: str) -> None:
        it = self.opened[ident]
        if it.ended and not it.held:
            del self.opened[ident]

    def sweep(self) -> None:
        """Now and then drops answers whose time has run out."""
        self.adds += 1
        if self.adds % 1024 == 0:
            self.known = {k: v for k, v in self.known.items() if v.taken.until > self.at}

    def dump(self, seq: int) -> bytes:
        return msgspec.msgpack.encode(Dump(seq, list(self.opened.values()), list(self.known.values()), self.at))

    def load(self, raw: bytes) -> int:
        it = msgspec.msgpack.decode(raw, type=Dump)
        self.opened = {o.taken.ident: o for o in it.opened}
        self.known = {k.taken.key: k for k in it.known}
        self.at = it.at
        return it.seq

    # -- after the loss

    def answers(self, now: float) -> list[Known]:
        """What repeats will hear from now on: stored answers, and of what may have run without one, that it may have.
        What can't have run, or may run again without harm, is free."""
        out = [v for v in self.known.values() if v.taken.until > now]
        for it in self.opened.values():
            if it.taken.key and not it.ended and it.taken.until > now and it.lost().kept:
                out.append(Known(it.taken, it.lost()))
        return out

    def held(self) -> list[tuple[str, list[tuple[str, str, str]]]]:
        """States that servers may hold still, by the generation's name there."""
        return [(it.taken.name, it.held) for it in self.opened.values() if it.held]

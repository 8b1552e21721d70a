"""Keeps the journal of what is in flight, and takes it up after a loss."""

from __future__ import annotations

import time
from itertools import count
from pathlib import Path
from typing import Any

import trio

from ternlane.engine import Transport
from ternlane.gateway.active_request import ActiveRequest, Failed, FinalAnswer, Streamed
from ternlane.ledger import Disk, GroupCommitWriter, LogFormat, SegmentedLog
from ternlane.policy.messages import Effect
from ternlane.recovery.inflight import (
    AttemptSent,
    InFlightRequests,
    JournalRecord,
    RecoveredAnswer,
    RequestAdmitted,
    RequestEnded,
    StateReleased,
    decode_journal_record,
)

JOURNAL: LogFormat[JournalRecord, InFlightRequests] = LogFormat(
    "takes", b"TLTAKES1", decode_journal_record, InFlightRequests
)
SEGMENT_BYTES = 4 << 20  # a start reads the last one: some tens of ms
COMMIT_DELAY_MS = 20.0  # what nobody waits for may share a sync


class JournalWriter:
    """`wait_durable` is waited for where an effect must not be doubled: such an attempt goes out only once the disk
    has it."""

    def __init__(self, folder: Path, log: Any) -> None:
        self.log = log
        self.store = SegmentedLog(JOURNAL, Disk(folder), SEGMENT_BYTES, keep_segments=1)
        self.writer: GroupCommitWriter[JournalRecord, InFlightRequests] = GroupCommitWriter(
            self.store, log, on_recovered=self.taken_up, entries_label="journal", commit_delay_ms=COMMIT_DELAY_MS
        )
        self.lost: InFlightRequests | None = None  # what the process before had open
        self.folder_is_ours = trio.Event()
        self.ready = False  # repeats know what they hear
        self.birth = f"{time.time_ns():x}"
        self.count = count(1)

    def taken_up(self, found: InFlightRequests) -> None:
        """The folder is this process's; `found` is what the one before had open."""
        self.lost = InFlightRequests(dict(found.opened), dict(found.known), found.at)
        self.folder_is_ours.set()

    # -- what happens

    def record_request(self, active_request: ActiveRequest) -> None:
        """A request was taken."""
        request_class = active_request.request.request_class
        now = time.time() * 1000
        if not active_request.repeat_key:  # nobody can ask for it again: only what it holds need be known
            active_request.journal_id = ""
            return
        active_request.journal_id = f"{self.birth}.{next(self.count)}"
        self.writer.add(
            RequestAdmitted(
                active_request.journal_id,
                active_request.ident,
                active_request.repeat_key,
                active_request.body_digest,
                request_class.effect.name,
                now,
                now + max(request_class.window_ms, request_class.deadline_ms),
            )
        )

    def record_attempt(
        self, active_request: ActiveRequest, server: str, address: str, protocol: str, prefills: bool, decodes: bool
    ) -> int | None:
        """Gives the number to wait for, where the attempt must not go out before it is kept."""
        if not active_request.repeat_key and not prefills:
            return None
        active_request.journal_id = active_request.journal_id or f"{self.birth}.{next(self.count)}"
        number = self.writer.add(
            AttemptSent(active_request.journal_id, active_request.ident, server, address, protocol, prefills, decodes)
        )
        needed = (
            decodes
            and active_request.repeat_key
            and active_request.request.request_class.effect is not Effect.IDEMPOTENT
        )
        return number if needed else None

    def record_state_released(self, active_request: ActiveRequest) -> None:
        """No server holds anything for it any more."""
        if active_request.journal_id:
            self.writer.add(StateReleased(active_request.journal_id))

    def record_end(self, active_request: ActiveRequest, outcome: str) -> None:
        """It has its final answer, or its client has left."""
        if not active_request.repeat_key:
            return
        kept = RequestEnded(active_request.journal_id, outcome)
        match active_request.answer_for_repeats():
            case Streamed(text, finish, usage, more):
                kept = RequestEnded(
                    active_request.journal_id,
                    outcome,
                    True,
                    text,
                    finish,
                    {k: v for k, v in usage.items() if isinstance(v, int)},
                    more=more or {},
                )
            case Failed(why):
                kept = RequestEnded(active_request.journal_id, "terminated", True, why=why)
        self.writer.add(kept)

    # -- after a loss

    async def take_up(self, transport: Transport, within_ms: float) -> list[RecoveredAnswer]:
        """Waits until the folder is this process's; releases what servers hold still. Gives what repeats hear."""
        await self.folder_is_ours.wait()
        lost = self.lost or InFlightRequests()
        self.lost = None
        answers = lost.answers(time.time() * 1000)  # before the ends below come to the same objects
        async with trio.open_nursery() as nursery:
            for ident, held in lost.held():
                nursery.start_soon(self.release, transport, ident, held, within_ms)
        for ident, it in lost.opened.items():
            if not it.ended:
                self.writer.add(it.outcome_after_crash())
            self.writer.add(StateReleased(ident))
        if lost.opened:
            self.log.warning("generations were open when the process before was lost", open=len(lost.opened))
        return answers

    async def release(
        self, transport: Transport, ident: str, held: list[tuple[str, str, str]], within_ms: float
    ) -> None:
        """Releases what servers hold still for a request of the process before."""
        for server, address, protocol in held:
            if not await transport.release(server, address, ident, within_ms, protocol):
                self.log.warning("release unheard", gen=ident, server=server)

    async def close(self, within_s: float = 2.0) -> None:
        """Keeps what waits. A disk that fails to the end keeps its lock on the folder."""
        if self.writer.owns_log and not await self.writer.flush(within_s):
            self.log.error("journal not kept at the end", waiting=self.writer.waiting)
            return
        self.store.close()


def final_of(known: RecoveredAnswer) -> FinalAnswer:
    """The answer that a repeat of this request hears."""
    it = known.ended
    if it.outcome != "streamed":
        return Failed(it.why)
    return Streamed(it.text, it.finish, dict(it.usage), it.more or None)

"""Writes the journal of requests in flight, and recovers from it after a crash."""

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
SEGMENT_BYTES = 4 << 20  # the last segment is read at start, which takes some tens of ms
COMMIT_DELAY_MS = 20.0  # records that no attempt waits for are synced in groups of this interval


class JournalWriter:
    """Journals requests with an Idempotency-Key, and prefills, which leave state at servers.

    If an effect must not happen twice, the caller waits with `writer.wait_durable` until the attempt's record is on
    disk before it sends the attempt."""

    def __init__(self, folder: Path, log: Any) -> None:
        self.log = log
        self.store = SegmentedLog(JOURNAL, Disk(folder), SEGMENT_BYTES, keep_segments=1)
        self.writer: GroupCommitWriter[JournalRecord, InFlightRequests] = GroupCommitWriter(
            self.store,
            log,
            on_recovered=self.on_lock_acquired,
            entries_label="journal",
            commit_delay_ms=COMMIT_DELAY_MS,
        )
        self.previous_requests: InFlightRequests | None = None  # what the previous process had open
        self.lock_acquired = trio.Event()
        self.ready = False  # recovery is complete: repeats can be answered
        self.id_prefix = f"{time.time_ns():x}"
        self.id_counter = count(1)

    def on_lock_acquired(self, found: InFlightRequests) -> None:
        """Called once this process holds the lock of the folder; `found` is what the previous one had open."""
        self.previous_requests = InFlightRequests(dict(found.opened), dict(found.known), found.at)
        self.lock_acquired.set()

    # -- records of requests and attempts

    def record_request(self, active_request: ActiveRequest) -> None:
        """Records that a request was admitted, if it has an Idempotency-Key."""
        request_class = active_request.request.request_class
        now_wall_ms = time.time() * 1000
        if not active_request.repeat_key:  # can't be repeated: only its prefills are recorded
            active_request.journal_id = ""
            return
        active_request.journal_id = f"{self.id_prefix}.{next(self.id_counter)}"
        self.writer.add(
            RequestAdmitted(
                active_request.journal_id,
                active_request.ident,
                active_request.repeat_key,
                active_request.body_digest,
                request_class.effect.name,
                now_wall_ms,
                now_wall_ms + max(request_class.window_ms, request_class.deadline_ms),
            )
        )

    def record_attempt(
        self, active_request: ActiveRequest, server: str, address: str, protocol: str, prefills: bool, decodes: bool
    ) -> int | None:
        """Records an attempt. Returns the record's number if the attempt must wait until the record is on disk."""
        if not active_request.repeat_key and not prefills:
            return None
        active_request.journal_id = active_request.journal_id or f"{self.id_prefix}.{next(self.id_counter)}"
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
        """Records that no server holds state for the request any more."""
        if active_request.journal_id:
            self.writer.add(StateReleased(active_request.journal_id))

    def record_end(self, active_request: ActiveRequest, outcome: str) -> None:
        """Records that the request has its final answer, or that its client has disconnected."""
        if not active_request.repeat_key:
            return
        record = RequestEnded(active_request.journal_id, outcome)
        match active_request.answer_for_repeats():
            case Streamed(text, finish, usage, more):
                record = RequestEnded(
                    active_request.journal_id,
                    outcome,
                    True,
                    text,
                    finish,
                    {k: v for k, v in usage.items() if isinstance(v, int)},
                    more=more or {},
                )
            case Failed(why):
                record = RequestEnded(active_request.journal_id, "terminated", True, why=why)
        self.writer.add(record)

    # -- recovery

    async def recover(self, transport: Transport, within_ms: float) -> list[RecoveredAnswer]:
        """Waits for the lock of the folder, and releases what servers still hold. Returns the answers for repeats."""
        await self.lock_acquired.wait()
        previous = self.previous_requests or InFlightRequests()
        self.previous_requests = None
        answers = previous.answers(time.time() * 1000)  # before the records added below change the same objects
        async with trio.open_nursery() as nursery:
            for ident, held in previous.held():
                nursery.start_soon(self.release, transport, ident, held, within_ms)
        for ident, open_request in previous.opened.items():
            if not open_request.ended:
                self.writer.add(open_request.outcome_after_crash())
            self.writer.add(StateReleased(ident))
        if previous.opened:
            self.log.warning("requests were in flight when the previous process was lost", open=len(previous.opened))
        return answers

    async def release(
        self, transport: Transport, ident: str, held: list[tuple[str, str, str]], within_ms: float
    ) -> None:
        """Releases what servers still hold for a request of the previous process."""
        for server, address, protocol in held:
            if not await transport.release(server, address, ident, within_ms, protocol):
                self.log.warning("release unheard", gen=ident, server=server)

    async def close(self, within_s: float = 2.0) -> None:
        """Writes pending records and closes the journal. If the disk fails until the time limit, the folder stays
        locked."""
        if self.writer.owns_log and not await self.writer.flush(within_s):
            self.log.error("journal not written at shutdown", waiting=self.writer.waiting)
            return
        self.store.close()


def final_of(known: RecoveredAnswer) -> FinalAnswer:
    """The answer for repeats of this request."""
    ended = known.ended
    if ended.outcome != "streamed":
        return Failed(ended.why)
    return Streamed(ended.text, ended.finish, dict(ended.usage), ended.more or None)

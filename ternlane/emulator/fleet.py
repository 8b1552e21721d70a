"""Emulated engines connected by links, with state transfers and events in order of time.

State moves over the prefill server's own port to a decode server of the same cell, and over the cell's shared link to
other cells; to another zone a token takes `zone_slowdown` times as long. Performs no I/O: in virtual time the caller
jumps to `next_at`, in real time it sleeps until then. All times are in milliseconds.
"""

from __future__ import annotations

import heapq
from dataclasses import dataclass
from math import inf

from ternlane.emulator.engine import EmulatedEngine, Job, JobEvent, JobEventKind
from ternlane.emulator.links import Link, LinkTransfer


@dataclass(slots=True, eq=False)
class PlacedEngine:
    """An engine with its location and its network port."""

    engine: EmulatedEngine
    zone: str
    cell: int
    network_port: Link

    def next_at(self) -> float:
        """Returns the time of the engine's next event."""
        return self.engine.next_at()


@dataclass(slots=True, eq=False)
class StateTransfer:
    """A pending or running transfer of state from a prefill server's job to a decode server's job."""

    source: PlacedEngine
    source_job: Job
    target: PlacedEngine
    target_job: Job
    link: Link | None = None
    transfer: LinkTransfer | None = None


class EmulatedFleet:
    """Engines with their network ports and cell links, advanced on one clock."""

    def __init__(self, port_rate: float, link_rate: float, zone_slowdown: float = 2.0) -> None:
        """`port_rate` and `link_rate`: of a prefill server's port and of a cell's link, in tokens per millisecond."""
        self.port_rate = port_rate
        self.link_rate = link_rate
        self.zone_slowdown = zone_slowdown
        self.engines: list[PlacedEngine] = []
        self.cell_links: dict[int, Link] = {}
        self.state_transfers: dict[Job, StateTransfer] = {}  # by decode job
        self.claimed: set[Job] = set()  # prefill jobs whose state a decode server awaits
        self.now_ms = 0.0
        self._schedule_heap: list[tuple[float, int, PlacedEngine | Link]] = []  # heap of (time, order, source)
        self._order = 0  # tie-breaker of entries with the same time

    def add(self, engine: EmulatedEngine, zone: str, cell: int) -> PlacedEngine:
        """Places an engine in a cell."""
        placed = PlacedEngine(engine, zone, cell, Link(self.port_rate))
        self.cell_links.setdefault(cell, Link(self.link_rate))
        self.engines.append(placed)
        return placed

    def _schedule(self, source: PlacedEngine | Link) -> None:
        """Pushes the source's next time. Outdated entries stay in the heap, and `next_at` drops them."""
        at_ms = source.next_at()
        if at_ms < inf:
            self._order += 1
            heapq.heappush(self._schedule_heap, (at_ms, self._order, source))

    # Requests

    def prefill(self, now_ms: float, placed: PlacedEngine, job: Job) -> bool:
        """Submits a prefill job whose state is held when it is done; False if the engine rejects the job."""
        job.sequence.keeps_state = True
        return self._submit(now_ms, placed, job)

    def decode(
        self,
        now_ms: float,
        placed: PlacedEngine,
        job: Job,
        source: PlacedEngine | None = None,
        source_job: Job | None = None,
    ) -> bool:
        """Submits a decode job that uses the state of `source_job` at `source`.

        If `source` and `source_job` are omitted, the engine prefills the prompt itself.

        Returns False if the engine rejects the job, or if the state is released or claimed already.
        """
        if source is not None and source_job is not None:
            if source_job not in source.engine.states or source_job in self.claimed:
                return False
            job.sequence.awaits_state = True
            self.state_transfers[job] = StateTransfer(source, source_job, placed, job)
            self.claimed.add(source_job)
        if not self._submit(now_ms, placed, job):
            self._cancel_transfer(now_ms, job)
            return False
        return True

    def _submit(self, now_ms: float, placed: PlacedEngine, job: Job) -> bool:
        accepted = placed.engine.submit(now_ms, job)
        self._schedule(placed)
        return accepted

    def cancel(self, now_ms: float, placed: PlacedEngine, job: Job) -> None:
        """Cancels a job and its state transfer."""
        self._cancel_transfer(now_ms, job)
        placed.engine.cancel(now_ms, job)
        self._schedule(placed)

    def release(self, now_ms: float, placed: PlacedEngine, source_job: Job) -> bool:
        """Frees held state; False if there is none or a decode server awaits it."""
        freed = source_job not in self.claimed and placed.engine.release(now_ms, source_job)
        self._schedule(placed)
        return freed

    def fault_changed(self, now_ms: float, placed: PlacedEngine) -> None:
        """Resumes work after a change of an engine's `fault`."""
        placed.engine.fault_changed(now_ms)
        self._schedule(placed)

    def _cancel_transfer(self, now_ms: float, job: Job) -> None:
        state_transfer = self.state_transfers.pop(job, None)
        if state_transfer is None:
            return
        self.claimed.discard(state_transfer.source_job)
        if state_transfer.link is not None and state_transfer.transfer is not None:
            state_transfer.link.cancel(now_ms, state_transfer.transfer)
            self._schedule(state_transfer.link)

    def crash(self, now_ms: float, placed: PlacedEngine) -> list[Job]:
        """Ends an engine's process; returns its lost jobs and the jobs elsewhere that awaited its state."""
        lost = placed.engine.crash(now_ms)
        for job, state_transfer in list(self.state_transfers.items()):
            if job not in lost and state_transfer.source is not placed:
                continue
            self._cancel_transfer(now_ms, job)
            if job not in lost:
                state_transfer.target.engine.cancel(now_ms, job)
                self._schedule(state_transfer.target)
                lost.append(job)
        return lost

    # Time

    def next_at(self) -> float:
        """Returns the time of the next event, provided that no calls intervene."""
        while self._schedule_heap:
            at_ms, _, source = self._schedule_heap[0]
            if at_ms == source.next_at():
                return at_ms
            heapq.heappop(self._schedule_heap)
        return inf

    def advance(self, now_ms: float) -> list[tuple[PlacedEngine, JobEvent]]:
        """Advances engines and links to `now_ms` and returns the engines' events in order of time.

        FETCHING is not among them: it starts a state transfer here.
        """
        events: list[tuple[PlacedEngine, JobEvent]] = []
        while (at_ms := self.next_at()) <= now_ms:
            source = heapq.heappop(self._schedule_heap)[2]
            if isinstance(source, Link):
                for ended_ms, transfer in source.take_ended(at_ms):
                    self._end_transfer(ended_ms, transfer)
            else:
                for event in source.engine.advance(at_ms):
                    if event.kind is JobEventKind.FETCHING:
                        self._begin_transfer(event)
                    else:
                        events.append((source, event))
            self._schedule(source)
        self.now_ms = max(self.now_ms, now_ms)
        return events

    def _begin_transfer(self, event: JobEvent) -> None:
        """Starts a state transfer once the decode server has allocated slot and memory."""
        state_transfer = self.state_transfers.get(event.job)
        if state_transfer is None:
            return
        same_cell = state_transfer.source.cell == state_transfer.target.cell
        link = state_transfer.source.network_port if same_cell else self.cell_links[state_transfer.source.cell]
        slowdown = 1.0 if state_transfer.source.zone == state_transfer.target.zone else self.zone_slowdown
        state_transfer.link = link
        state_transfer.transfer = link.begin(event.at_ms, event.job.sequence.prompt_tokens * slowdown, state_transfer)
        self._schedule(link)

    def _end_transfer(self, at_ms: float, transfer: LinkTransfer) -> None:
        state_transfer = transfer.owner
        assert isinstance(state_transfer, StateTransfer)
        self.state_transfers.pop(state_transfer.target_job, None)
        self.claimed.discard(state_transfer.source_job)
        state_transfer.source.engine.release(at_ms, state_transfer.source_job)
        self._schedule(state_transfer.source)
        state_transfer.target.engine.state_arrived(at_ms, state_transfer.target_job)
        self._schedule(state_transfer.target)

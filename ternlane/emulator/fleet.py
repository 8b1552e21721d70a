"""Engines and the links between them on one clock that is handed in: states move, and what happens comes in order.

A prefill server's state goes over its own port to a decode server of its cell, else over the one link of its cell; to
another zone a token takes `zone_slowdown` times as long. Free of I/O: who drives it in virtual time jumps to `next_at`,
in real time sleeps until it. All times are milliseconds.
"""

from __future__ import annotations

import heapq
from dataclasses import dataclass
from math import inf

from ternlane.emulator.engine import EmulatedEngine, Job, JobEvent, JobEventKind
from ternlane.emulator.links import Link, LinkTransfer


@dataclass(slots=True, eq=False)
class PlacedEngine:
    """An engine and where it stands."""

    engine: EmulatedEngine
    zone: str
    cell: int
    port: Link

    def next_at(self) -> float:
        """When something happens next at the engine."""
        return self.engine.next_at()


@dataclass(slots=True, eq=False)
class StateMove:
    """A state on its way, or about to be: from a prefill server's job to a decode server's."""

    source: PlacedEngine
    held: Job
    target: PlacedEngine
    job: Job
    link: Link | None = None
    transfer: LinkTransfer | None = None


class EmulatedFleet:
    """All engines and links."""

    def __init__(self, port_rate: float, link_rate: float, zone_slowdown: float = 2.0) -> None:
        """Rates are tokens a millisecond, of a prefill server's port and of a cell's link."""
        self.port_rate = port_rate
        self.link_rate = link_rate
        self.zone_slowdown = zone_slowdown
        self.engines: list[PlacedEngine] = []
        self.cell_links: dict[int, Link] = {}
        self.moves: dict[Job, StateMove] = {}  # by the decode server's job
        self.claimed: set[Job] = set()  # states that a decode server waits for
        self.now_ms = 0.0
        self._due: list[tuple[float, int, PlacedEngine | Link]] = []  # a heap
        self._order = 0  # of entries with the same time

    def add(self, engine: EmulatedEngine, zone: str, cell: int) -> PlacedEngine:
        """Places an engine in a cell."""
        placed = PlacedEngine(engine, zone, cell, Link(self.port_rate))
        self.cell_links.setdefault(cell, Link(self.link_rate))
        self.engines.append(placed)
        return placed

    def _schedule(self, source: PlacedEngine | Link) -> None:
        """Its next time may have changed. Old entries stay, and are found to be old when they come up."""
        at_ms = source.next_at()
        if at_ms < inf:
            self._order += 1
            heapq.heappush(self._due, (at_ms, self._order, source))

    # What is asked

    def prefill(self, now_ms: float, placed: PlacedEngine, job: Job) -> bool:
        """Has a prompt prefilled and its state kept; False where the engine is full."""
        job.sequence.keeps_state = True
        return self._submit(now_ms, placed, job)

    def decode(
        self,
        now_ms: float,
        placed: PlacedEngine,
        job: Job,
        source: PlacedEngine | None = None,
        held: Job | None = None,
    ) -> bool:
        """Has an answer decoded, from a state at `source` if it is still there, else from a prompt prefilled in place.

        False where the engine is full, or the state is gone.
        """
        if source is not None and held is not None:
            if held not in source.engine.states or held in self.claimed:
                return False
            job.sequence.awaits_state = True
            self.moves[job] = StateMove(source, held, placed, job)
            self.claimed.add(held)
        if not self._submit(now_ms, placed, job):
            self._stop_move(now_ms, job)
            return False
        return True

    def _submit(self, now_ms: float, placed: PlacedEngine, job: Job) -> bool:
        accepted = placed.engine.submit(now_ms, job)
        self._schedule(placed)
        return accepted

    def cancel(self, now_ms: float, placed: PlacedEngine, job: Job) -> None:
        """Nobody waits for it any more."""
        self._stop_move(now_ms, job)
        placed.engine.cancel(now_ms, job)
        self._schedule(placed)

    def release(self, now_ms: float, placed: PlacedEngine, held: Job) -> bool:
        """Frees a state that no decode server waits for; False where there is none such."""
        freed = held not in self.claimed and placed.engine.release(now_ms, held)
        self._schedule(placed)
        return freed

    def fault_changed(self, now_ms: float, placed: PlacedEngine) -> None:
        """What is wrong with an engine has changed."""
        placed.engine.fault_changed(now_ms)
        self._schedule(placed)

    def _stop_move(self, now_ms: float, job: Job) -> None:
        move = self.moves.pop(job, None)
        if move is None:
            return
        self.claimed.discard(move.held)
        if move.link is not None and move.transfer is not None:
            move.link.cancel(now_ms, move.transfer)
            self._schedule(move.link)

    def die(self, now_ms: float, placed: PlacedEngine) -> list[Job]:
        """The process is gone: gives the jobs lost with it, and those elsewhere that waited for a state of its."""
        lost = placed.engine.die(now_ms)
        for job, move in list(self.moves.items()):
            if job not in lost and move.source is not placed:
                continue
            self._stop_move(now_ms, job)
            if job not in lost:
                move.target.engine.cancel(now_ms, job)
                self._schedule(move.target)
                lost.append(job)
        return lost

    # Time

    def next_at(self) -> float:
        """When something happens next if nothing is asked."""
        while self._due:
            at_ms, _, source = self._due[0]
            if at_ms == source.next_at():
                return at_ms
            heapq.heappop(self._due)
        return inf

    def advance(self, now_ms: float) -> list[tuple[PlacedEngine, JobEvent]]:
        """What has happened until now, in order."""
        events: list[tuple[PlacedEngine, JobEvent]] = []
        while (at_ms := self.next_at()) <= now_ms:
            source = heapq.heappop(self._due)[2]
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
        """A decode server has slot and memory for it: its state begins to move."""
        move = self.moves.get(event.job)
        if move is None:
            return
        same_cell = move.source.cell == move.target.cell
        link = move.source.port if same_cell else self.cell_links[move.source.cell]
        slowdown = 1.0 if move.source.zone == move.target.zone else self.zone_slowdown
        move.link = link
        move.transfer = link.begin(event.at_ms, event.job.sequence.prompt_tokens * slowdown, move)
        self._schedule(link)

    def _end_transfer(self, at_ms: float, transfer: LinkTransfer) -> None:
        move = transfer.job
        assert isinstance(move, StateMove)
        self.moves.pop(move.job, None)
        self.claimed.discard(move.held)
        move.source.engine.release(at_ms, move.held)
        self._schedule(move.source)
        move.target.engine.state_arrived(at_ms, move.job)
        self._schedule(move.target)

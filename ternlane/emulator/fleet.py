"""Engines and the links between them on one clock that is handed in: states move, and what happens comes in order.

A reader's state goes over its own port to a writer of its cell, else over the one link of its cell; to another zone a
token takes `zone_slower` times as long. Free of I/O: who drives it in virtual time jumps to `next_at`, in real time
sleeps until it.
"""

from __future__ import annotations

import heapq
from dataclasses import dataclass
from math import inf

from ternlane.emulator.engine import Engine, Job, Told, What
from ternlane.emulator.links import Link, Transfer


@dataclass(slots=True, eq=False)
class Seat:
    """Where an engine stands."""

    engine: Engine
    zone: str
    cell: int
    port: Link


@dataclass(slots=True, eq=False)
class Move:
    """A state on its way, or about to be: from which reader's job to which writer's."""

    source: Seat
    held: Job
    target: Seat
    job: Job
    link: Link | None = None
    transfer: Transfer | None = None


class Fleet:
    """`port_rate`, `link_rate`: tokens a ms of a reader's port and of a cell's link."""

    def __init__(self, port_rate: float, link_rate: float, zone_slower: float = 2.0) -> None:
        self.port_rate, self.link_rate, self.zone_slower = port_rate, link_rate, zone_slower
        self.seats: list[Seat] = []
        self.cells: dict[int, Link] = {}
        self.moves: dict[Job, Move] = {}
        self.claimed: set[Job] = set()  # states that a writer waits for
        self.due: list[tuple[float, int, Seat | Link]] = []
        self.turn, self.now = 0, 0.0

    def add(self, engine: Engine, zone: str, cell: int) -> Seat:
        seat = Seat(engine, zone, cell, Link(self.port_rate))
        self.cells.setdefault(cell, Link(self.link_rate))
        self.seats.append(seat)
        return seat

    def watch(self, it: Seat | Link) -> None:
        """Its next time may have changed. Old entries stay, and are found to be old when they come up."""
        at = it.engine.next_at() if isinstance(it, Seat) else it.next_at()
        if at < inf:
            self.turn += 1
            heapq.heappush(self.due, (at, self.turn, it))

    # -- what is asked

    def read(self, now: float, seat: Seat, job: Job) -> bool:
        """Has a prompt read and its state kept; false where the engine is full."""
        job.course.stays = True
        return self.submit(now, seat, job)

    def write(self, now: float, seat: Seat, job: Job, source: Seat | None = None, held: Job | None = None) -> bool:
        """Has an answer written, from a state at `source` if it is still there, else from a prompt read in place. False
        where the engine is full, or the state is gone."""
        if source is not None and held is not None:
            if held not in source.engine.states or held in self.claimed:
                return False
            job.course.fetches = True
            self.moves[job] = Move(source, held, seat, job)
            self.claimed.add(held)
        if not self.submit(now, seat, job):
            self.stop_move(now, job)
            return False
        return True

    def submit(self, now: float, seat: Seat, job: Job) -> bool:
        taken = seat.engine.submit(now, job)
        self.watch(seat)
        return taken

    def cancel(self, now: float, seat: Seat, job: Job) -> None:
        self.stop_move(now, job)
        seat.engine.cancel(now, job)
        self.watch(seat)

    def release(self, now: float, seat: Seat, held: Job) -> bool:
        """Frees a state that no writer waits for; false where there is none such."""
        freed = held not in self.claimed and seat.engine.release(now, held)
        self.watch(seat)
        return freed

    def alter(self, now: float, seat: Seat) -> None:
        """What ails an engine has changed."""
        seat.engine.alter(now)
        self.watch(seat)

    def stop_move(self, now: float, job: Job) -> None:
        move = self.moves.pop(job, None)
        if move is not None:
            self.claimed.discard(move.held)
        if move is not None and move.link is not None and move.transfer is not None:
            move.link.cancel(now, move.transfer)
            self.watch(move.link)

    def die(self, now: float, seat: Seat) -> list[Job]:
        """The process is gone: the jobs lost with it, and those elsewhere that waited for a state of its."""
        lost = seat.engine.die(now)
        for job, move in list(self.moves.items()):
            if job in lost or move.source is seat:
                self.stop_move(now, job)
                if move.source is seat and job not in lost:
                    move.target.engine.cancel(now, job)
                    self.watch(move.target)
                    lost.append(job)
        return lost

    # -- time

    def next_at(self) -> float:
        while self.due:
            at, _, it = self.due[0]
            if at == (it.engine.next_at() if isinstance(it, Seat) else it.next_at()):
                return at
            heapq.heappop(self.due)
        return inf

    def advance(self, now: float) -> list[tuple[Seat, Told]]:
        """What has happened until now, in order."""
        out: list[tuple[Seat, Told]] = []
        while (at := self.next_at()) <= now:
            it = heapq.heappop(self.due)[2]
            if isinstance(it, Link):
                for ended, transfer in it.ended(at):
                    self.arrived(ended, transfer)
            else:
                for told in it.engine.advance(at):
                    if told.what is What.FETCH:
                        self.set_off(told)
                    else:
                        out.append((it, told))
            self.watch(it)
        self.now = max(self.now, now)
        return out

    def set_off(self, told: Told) -> None:
        """A writer has slot and memory for it: its state begins to move."""
        move = self.moves.get(told.job)
        if move is None:
            return
        near = move.source.cell == move.target.cell
        move.link = move.source.port if near else self.cells[move.source.cell]
        tokens = told.job.course.prompt * (1.0 if move.source.zone == move.target.zone else self.zone_slower)
        move.transfer = move.link.begin(told.at, tokens, move)
        self.watch(move.link)

    def arrived(self, at: float, transfer: Transfer) -> None:
        move = transfer.job
        assert isinstance(move, Move)
        self.moves.pop(move.job, None)
        self.claimed.discard(move.held)
        move.source.engine.release(at, move.held)
        self.watch(move.source)
        move.target.engine.came(at, move.job)
        self.watch(move.target)

"""Continuous batching: at each step every running sequence writes a token, and what is left of the step's tokens goes
to reading prompts, in chunks. Whoever comes joins at the next step; where memory runs out, the youngest is put back and
read anew. Free of I/O; a step says how long it takes, and whoever drives it has the clock."""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field

from ternlane.emulator.blocks import Blocks, HostedRequest, Key


@dataclass(frozen=True)
class Pace:
    """What a step takes, ms: `step_ms`, and for each sequence that writes, each token that is read, and each thousand
    tokens that are looked back at. The first `free_toks` of a step cost no reading: weights are fetched anyway."""

    step_ms: float = 6.0
    write_ms: float = 0.15
    read_ms: float = 0.02
    back_ms: float = 0.01
    free_tokens: int = 0

    def ms(self, wrote: int, read: int, back: int) -> float:
        """A step in which so many write, so many tokens are read, and so many are looked back at."""
        charged = max(0, wrote + read - self.free_tokens) if self.free_tokens else read
        return self.step_ms + self.write_ms * wrote + self.read_ms * charged + self.back_ms * back / 1000


@dataclass(frozen=True)
class Build:
    """Blocks of `block_toks` tokens; at most `slots` sequences at once, `step_toks` tokens a step, `queue` waiting."""

    blocks: int
    block_tokens: int = 16
    slots: int = 64
    step_tokens: int = 512
    queue: int = 1000
    pace: Pace = Pace()


@dataclass(slots=True, eq=False)
class Course:
    """A prompt of `prompt` tokens, of which full blocks have `keys`, and an answer of `answer` tokens; 0: read only."""

    prompt: int
    answer: int
    keys: Sequence[Key] = ()
    read: int = 0  # tokens of prompt, and of the answer so far after a preemption, that are in memory
    made: int = 0
    held: HostedRequest | None = None
    kept: int = 0  # tokens found kept when it was first let in
    preempted: int = 0
    ended: bool = False
    stays: bool = False  # its memory is kept once it is read, until it is released
    fetches: bool = False  # its prompt comes from elsewhere: it holds slot and memory until `came`

    @property
    def to_read(self) -> int:
        """What has to be in memory before the next token can be written."""
        return self.prompt + self.made


@dataclass(slots=True)
class Step:
    ms: float
    wrote: list[Course] = field(default_factory=list)  # a token each
    finished: list[Course] = field(default_factory=list)
    preempted: list[Course] = field(default_factory=list)
    read_tokens: int = 0


class Batch:
    def __init__(self, build: Build, memory: Blocks | None = None) -> None:
        self.build, self.memory = build, memory or Blocks(build.blocks)
        self.queue: deque[Course] = deque()
        self.running: list[Course] = []  # the oldest first
        self.entered: list[Course] = []  # let in, and waiting for what they fetch, since the driver last looked

    def blocks_for(self, tokens: int) -> int:
        return -(-tokens // self.build.block_tokens)

    def add(self, it: Course) -> bool:
        """False where the queue is full, or where it could never fit."""
        if len(self.queue) >= self.build.queue or self.blocks_for(it.prompt + it.answer) > self.memory.total:
            return False
        self.queue.append(it)
        return True

    def cancel(self, it: Course) -> None:
        """Its client has left, at whatever step."""
        if it in self.running:
            self.running.remove(it)
        elif it in self.queue:
            self.queue.remove(it)
        self.release(it)

    def release(self, it: Course) -> None:
        it.ended = True
        if it.held is not None:
            self.memory.give_back(it.held)
            it.held = None

    def let_in(self) -> None:
        """From the queue in order, while there are slots, and memory for what has to be read."""
        while self.queue and len(self.running) < self.build.slots:
            it = self.queue[0]
            held = self.memory.take(it.keys, self.blocks_for(it.to_read))
            if held is None:
                return
            self.queue.popleft()
            found = held.kept * self.build.block_tokens
            if it.fetches:
                self.entered.append(it)
            it.held, it.read = held, min(found, it.to_read - 1)  # at least one token is read: the next hangs on it
            it.kept = found if not it.preempted else it.kept
            self.running.append(it)

    def came(self, it: Course) -> None:
        """What it fetched is there: it writes from the next step on."""
        if it.fetches and it.held is not None:
            it.fetches, it.read = False, it.to_read

    def put_back(self, it: Course, step: Step) -> None:
        """Recomputed later: its memory goes, what it has written stays."""
        assert it.held is not None
        self.running.remove(it)
        self.memory.give_back(it.held)
        it.held, it.read = None, 0
        it.preempted += 1
        self.queue.appendleft(it)
        step.preempted.append(it)

    def room_for(self, it: Course, step: Step) -> bool:
        """A block for the token that `it` writes next, at the cost of the youngest others if need be."""
        assert it.held is not None
        while len(it.held.blocks) < self.blocks_for(it.read + 1):
            if self.memory.grow(it.held, 1):
                return True
            youngest = next(r for r in reversed(self.running) if not r.fetches)
            self.put_back(youngest, step)
            if youngest is it:
                return False
        return True

    def step(self) -> Step | None:
        """One step; None where there is nothing to do."""
        self.let_in()
        if all(it.fetches for it in self.running):
            return None
        out, budget, back = Step(0.0), self.build.step_tokens, 0
        for it in [r for r in self.running if r.read >= r.to_read and r.made < r.answer and not r.fetches]:
            if budget <= 0 or it not in self.running or not self.room_for(it, out):
                continue
            it.made += 1
            it.read += 1
            budget -= 1
            back += it.read
            out.wrote.append(it)
        for it in [r for r in self.running if r.read < r.to_read and not r.fetches]:
            chunk = min(budget, it.to_read - it.read)
            if it.held is None:  # put back by one before it
                continue
            if chunk <= 0:
                break
            it.read += chunk
            budget -= chunk
            out.read_tokens += chunk
            self.seal(it)
            if it.read == it.to_read and it.made < it.answer and self.room_for(it, out):
                it.made += 1  # the reading's last token gives the first of the answer
                it.read += 1
                out.wrote.append(it)
        for it in [r for r in self.running if r.made >= r.answer and r.read >= r.to_read and not r.fetches]:
            self.running.remove(it)
            if it.stays:
                it.ended = True
            else:
                self.release(it)
            out.finished.append(it)
        out.ms = self.build.pace.ms(len(out.wrote), out.read_tokens, back)
        return out

    def seal(self, it: Course) -> None:
        """Full blocks of the prompt that have been read are known from now on."""
        assert it.held is not None
        for at in range(it.held.kept, min(it.read // self.build.block_tokens, len(it.keys))):
            if self.memory.keys[it.held.blocks[at]] is None:
                self.memory.seal(it.held, at, it.keys[at])

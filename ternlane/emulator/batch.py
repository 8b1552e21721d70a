"""Continuous batching: at each step every running sequence decodes a token, and what is left of the step's tokens goes
to prefilling prompts, in chunks. Whoever comes joins at the next step; where memory runs out, the youngest is preempted
and recomputed later. Free of I/O; a step says how long it takes, and whoever drives it has the clock."""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field

from ternlane.emulator.blocks import BlockAllocation, BlockKey, BlockPool


@dataclass(frozen=True)
class StepCost:
    """What a step takes, in milliseconds."""

    step_ms: float = 6.0  # every step
    decode_ms: float = 0.15  # each sequence that decodes a token
    prefill_ms: float = 0.02  # each token that is prefilled
    context_ms: float = 0.01  # each thousand tokens of context that are attended to
    free_tokens: int = 0  # the first of a step cost no prefill time: weights are fetched anyway

    def ms(self, decoded: int, prefilled: int, context_tokens: int) -> float:
        """Of a step that decodes, prefills and attends to so many tokens."""
        charged = max(0, decoded + prefilled - self.free_tokens) if self.free_tokens else prefilled
        return (
            self.step_ms
            + self.decode_ms * decoded
            + self.prefill_ms * charged
            + self.context_ms * context_tokens / 1000
        )


@dataclass(frozen=True)
class BatchConfig:
    """The size of an engine."""

    blocks: int
    block_tokens: int = 16
    slots: int = 64  # sequences that run at once
    step_tokens: int = 512  # tokens that a step may decode and prefill
    queue: int = 1000  # sequences that may wait
    cost: StepCost = StepCost()


@dataclass(slots=True, eq=False)
class BatchSequence:
    """A prompt and the answer to it, as far as it has come."""

    prompt_tokens: int
    answer_tokens: int  # 0: prefill only
    keys: Sequence[BlockKey] = ()  # of the prompt's full blocks
    computed_tokens: int = 0  # of the prompt, and of the answer before a preemption, that are in memory
    output_tokens: int = 0
    allocation: BlockAllocation | None = None
    cached_tokens: int = 0  # found cached when it was first admitted
    preemptions: int = 0
    ended: bool = False
    keeps_state: bool = False  # its memory stays used once it is prefilled, until it is released
    awaits_state: bool = False  # its prompt comes from elsewhere: it has slot and memory until it has arrived

    @property
    def needed_tokens(self) -> int:
        """What has to be in memory before the next token can be decoded."""
        return self.prompt_tokens + self.output_tokens

    @property
    def is_prefilled(self) -> bool:
        """Whether the next token can be decoded."""
        return self.computed_tokens >= self.needed_tokens


@dataclass(slots=True)
class BatchStep:
    """What one step did."""

    ms: float = 0.0
    decoded: list[BatchSequence] = field(default_factory=list)  # a token each
    finished: list[BatchSequence] = field(default_factory=list)
    preempted: list[BatchSequence] = field(default_factory=list)
    prefilled_tokens: int = 0
    context_tokens: int = 0


class Batch:
    """The sequences of an engine."""

    def __init__(self, config: BatchConfig, memory: BlockPool | None = None) -> None:
        """Empty; `memory` is one of its own where none is given."""
        self.config = config
        self.memory = memory or BlockPool(config.blocks)
        self.queue: deque[BatchSequence] = deque()
        self.running: list[BatchSequence] = []  # the oldest first
        self.awaiting: list[BatchSequence] = []  # admitted since the driver last looked, and waiting for their state

    def _blocks_for(self, tokens: int) -> int:
        return -(-tokens // self.config.block_tokens)

    def add(self, sequence: BatchSequence) -> bool:
        """False where the queue is full, or where it could never fit."""
        blocks = self._blocks_for(sequence.prompt_tokens + sequence.answer_tokens)
        if len(self.queue) >= self.config.queue or blocks > self.memory.total:
            return False
        self.queue.append(sequence)
        return True

    def cancel(self, sequence: BatchSequence) -> None:
        """Its client has left, at whatever step."""
        if sequence in self.running:
            self.running.remove(sequence)
        elif sequence in self.queue:
            self.queue.remove(sequence)
        self.release(sequence)

    def release(self, sequence: BatchSequence) -> None:
        """Gives its memory back."""
        sequence.ended = True
        if sequence.allocation is not None:
            self.memory.give_back(sequence.allocation)
            sequence.allocation = None

    def state_arrived(self, sequence: BatchSequence) -> None:
        """What it waited for is there: it decodes from the next step on."""
        if sequence.awaits_state and sequence.allocation is not None:
            sequence.awaits_state = False
            sequence.computed_tokens = sequence.needed_tokens

    def step(self) -> BatchStep | None:
        """One step; None where there is nothing to do."""
        self._admit()
        if all(sequence.awaits_state for sequence in self.running):
            return None
        step = BatchStep()
        left_tokens = self._decode(step, self.config.step_tokens)
        self._prefill(step, left_tokens)
        self._finish(step)
        step.ms = self.config.cost.ms(len(step.decoded), step.prefilled_tokens, step.context_tokens)
        return step

    def _admit(self) -> None:
        """From the queue in order, while there are slots, and memory for what has to be prefilled."""
        while self.queue and len(self.running) < self.config.slots:
            sequence = self.queue[0]
            allocation = self.memory.allocate(sequence.keys, self._blocks_for(sequence.needed_tokens))
            if allocation is None:
                return
            self.queue.popleft()
            cached_tokens = allocation.cached * self.config.block_tokens
            if sequence.awaits_state:
                self.awaiting.append(sequence)
            sequence.allocation = allocation
            # At least one token is prefilled: the next one comes out of it.
            sequence.computed_tokens = min(cached_tokens, sequence.needed_tokens - 1)
            if not sequence.preemptions:
                sequence.cached_tokens = cached_tokens
            self.running.append(sequence)

    def _decode(self, step: BatchStep, budget_tokens: int) -> int:
        """A token for each sequence that is prefilled; gives what is left of the budget."""
        ready = [
            sequence
            for sequence in self.running
            if sequence.is_prefilled and sequence.output_tokens < sequence.answer_tokens and not sequence.awaits_state
        ]
        for sequence in ready:
            preempted = sequence not in self.running  # by one before it
            if budget_tokens <= 0 or preempted or not self._ensure_block(sequence, step):
                continue
            self._decode_token(sequence, step)
            step.context_tokens += sequence.computed_tokens
            budget_tokens -= 1
        return budget_tokens

    def _decode_token(self, sequence: BatchSequence, step: BatchStep) -> None:
        sequence.output_tokens += 1
        sequence.computed_tokens += 1
        step.decoded.append(sequence)

    def _prefill(self, step: BatchStep, budget_tokens: int) -> None:
        """Chunks of prompts, the oldest first."""
        unready = [sequence for sequence in self.running if not sequence.is_prefilled and not sequence.awaits_state]
        for sequence in unready:
            chunk = min(budget_tokens, sequence.needed_tokens - sequence.computed_tokens)
            if sequence.allocation is None:  # preempted by one before it
                continue
            if chunk <= 0:
                break
            sequence.computed_tokens += chunk
            budget_tokens -= chunk
            step.prefilled_tokens += chunk
            self._register_blocks(sequence)
            complete = sequence.computed_tokens == sequence.needed_tokens
            if complete and sequence.output_tokens < sequence.answer_tokens and self._ensure_block(sequence, step):
                self._decode_token(sequence, step)  # the prompt's last token gives the first of the answer

    def _finish(self, step: BatchStep) -> None:
        done = [
            sequence
            for sequence in self.running
            if sequence.output_tokens >= sequence.answer_tokens and sequence.is_prefilled and not sequence.awaits_state
        ]
        for sequence in done:
            self.running.remove(sequence)
            if sequence.keeps_state:
                sequence.ended = True
            else:
                self.release(sequence)
            step.finished.append(sequence)

    def _ensure_block(self, sequence: BatchSequence, step: BatchStep) -> bool:
        """A block for the token that is decoded next, at the cost of the youngest others if need be.

        False where the sequence itself was the youngest, and was preempted.
        """
        assert sequence.allocation is not None
        while len(sequence.allocation.blocks) < self._blocks_for(sequence.computed_tokens + 1):
            if self.memory.grow(sequence.allocation, 1):
                return True
            youngest = next(other for other in reversed(self.running) if not other.awaits_state)
            self._preempt(youngest, step)
            if youngest is sequence:
                return False
        return True

    def _preempt(self, sequence: BatchSequence, step: BatchStep) -> None:
        """Its memory goes, and is recomputed later; what it has decoded stays."""
        assert sequence.allocation is not None
        self.running.remove(sequence)
        self.memory.give_back(sequence.allocation)
        sequence.allocation = None
        sequence.computed_tokens = 0
        sequence.preemptions += 1
        self.queue.appendleft(sequence)
        step.preempted.append(sequence)

    def _register_blocks(self, sequence: BatchSequence) -> None:
        """Full blocks of the prompt that have been prefilled are cached from now on."""
        allocation = sequence.allocation
        assert allocation is not None
        full_blocks = min(sequence.computed_tokens // self.config.block_tokens, len(sequence.keys))
        for index in range(allocation.cached, full_blocks):
            if self.memory.keys[allocation.blocks[index]] is None:
                self.memory.register(allocation, index, sequence.keys[index])

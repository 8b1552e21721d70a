"""Continuous batching with chunked prefill.

In each step every running sequence decodes a token, and the rest of the step's token budget goes to prefilling prompts
in chunks. New sequences join at the next step. When memory runs out, the most recently admitted sequence is preempted
and recomputed later. Performs no I/O: a step returns its duration, and the caller keeps the clock.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field

from ternlane.emulator.blocks import BlockAllocation, BlockKey, BlockPool


@dataclass(frozen=True)
class StepCost:
    """Duration of a step as a linear model, in milliseconds."""

    step_ms: float = 6.0  # per step
    decode_ms: float = 0.15  # per sequence that decodes a token
    prefill_ms: float = 0.02  # per prefilled token
    context_ms: float = 0.01  # per thousand tokens of attended context
    free_tokens: int = 0  # tokens of a step that cost no prefill time: reading the weights takes as long

    def duration_ms(self, decoded: int, prefilled: int, context_tokens: int) -> float:
        """Returns the duration of a step with these token counts."""
        charged = max(0, decoded + prefilled - self.free_tokens) if self.free_tokens else prefilled
        return (
            self.step_ms
            + self.decode_ms * decoded
            + self.prefill_ms * charged
            + self.context_ms * context_tokens / 1000
        )


@dataclass(frozen=True)
class BatchConfig:
    """Capacity and step costs of an engine."""

    blocks: int
    block_tokens: int = 16
    slots: int = 64  # maximum number of running sequences
    step_tokens: int = 512  # maximum number of tokens decoded and prefilled in a step
    queue: int = 1000  # maximum number of waiting sequences
    cost: StepCost = StepCost()


@dataclass(slots=True, eq=False)
class BatchSequence:
    """A prompt and the progress of its answer."""

    prompt_tokens: int
    answer_tokens: int  # 0: prefill only
    keys: Sequence[BlockKey] = ()  # of the prompt's full blocks
    computed_tokens: int = 0  # tokens in memory: of the prompt and of the answer so far
    output_tokens: int = 0
    allocation: BlockAllocation | None = None
    cached_tokens: int = 0  # cached prompt tokens at the first admission
    preemptions: int = 0
    ended: bool = False
    keeps_state: bool = False  # keeps its blocks after prefill until `release`
    awaits_state: bool = False  # waits in its slot, with memory, for state prefilled at another engine

    @property
    def needed_tokens(self) -> int:
        """Tokens that must be in memory before the next token can be decoded."""
        return self.prompt_tokens + self.output_tokens

    @property
    def is_prefilled(self) -> bool:
        """Whether the next token can be decoded."""
        return self.computed_tokens >= self.needed_tokens


@dataclass(slots=True)
class BatchStep:
    """Result of a step."""

    duration_ms: float = 0.0
    decoded: list[BatchSequence] = field(default_factory=list)  # each decoded one token
    finished: list[BatchSequence] = field(default_factory=list)
    preempted: list[BatchSequence] = field(default_factory=list)
    prefilled_tokens: int = 0
    context_tokens: int = 0


class Batch:
    """Running and waiting sequences of an engine."""

    def __init__(self, config: BatchConfig, memory: BlockPool | None = None) -> None:
        """`memory` defaults to a new pool of `config.blocks`."""
        self.config = config
        self.memory = memory or BlockPool(config.blocks)
        self.queue: deque[BatchSequence] = deque()
        self.running: list[BatchSequence] = []  # in order of admission
        self.awaiting: list[BatchSequence] = []  # admitted and waiting for state; the caller empties the list

    def _blocks_for(self, tokens: int) -> int:
        return -(-tokens // self.config.block_tokens)

    def add(self, sequence: BatchSequence) -> bool:
        """Queues a sequence; False if the queue is full or the sequence exceeds the total memory."""
        blocks = self._blocks_for(sequence.prompt_tokens + sequence.answer_tokens)
        if len(self.queue) >= self.config.queue or blocks > self.memory.total:
            return False
        self.queue.append(sequence)
        return True

    def cancel(self, sequence: BatchSequence) -> None:
        """Removes a sequence whose request was cancelled and frees its memory."""
        if sequence in self.running:
            self.running.remove(sequence)
        elif sequence in self.queue:
            self.queue.remove(sequence)
        self.release(sequence)

    def release(self, sequence: BatchSequence) -> None:
        """Frees the memory of an ended sequence."""
        sequence.ended = True
        if sequence.allocation is not None:
            self.memory.release(sequence.allocation)
            sequence.allocation = None

    def state_arrived(self, sequence: BatchSequence) -> None:
        """Marks the awaited state as received, so that the sequence decodes from the next step on."""
        if sequence.awaits_state and sequence.allocation is not None:
            sequence.awaits_state = False
            sequence.computed_tokens = sequence.needed_tokens

    def step(self) -> BatchStep | None:
        """Applies one step to the sequences; None if there is no work. The caller waits for `duration_ms`."""
        self._admit()
        if all(sequence.awaits_state for sequence in self.running):
            return None
        step = BatchStep()
        left_tokens = self._decode(step, self.config.step_tokens)
        self._prefill(step, left_tokens)
        self._finish(step)
        step.duration_ms = self.config.cost.duration_ms(len(step.decoded), step.prefilled_tokens, step.context_tokens)
        return step

    def _admit(self) -> None:
        """Admits queued sequences in FIFO order while a slot and memory for their prompts are available."""
        while self.queue and len(self.running) < self.config.slots:
            sequence = self.queue[0]
            allocation = self.memory.allocate(sequence.keys, self._blocks_for(sequence.needed_tokens))
            if allocation is None:
                return
            self.queue.popleft()
            cached_tokens = allocation.cached_blocks * self.config.block_tokens
            if sequence.awaits_state:
                self.awaiting.append(sequence)
            sequence.allocation = allocation
            # At least one token is prefilled, since its output is the next token.
            sequence.computed_tokens = min(cached_tokens, sequence.needed_tokens - 1)
            if not sequence.preemptions:
                sequence.cached_tokens = cached_tokens
            self.running.append(sequence)

    def _decode(self, step: BatchStep, budget_tokens: int) -> int:
        """Decodes a token of each prefilled sequence; returns the remaining budget."""
        ready = [
            sequence
            for sequence in self.running
            if sequence.is_prefilled and sequence.output_tokens < sequence.answer_tokens and not sequence.awaits_state
        ]
        for sequence in ready:
            preempted = sequence not in self.running  # by a sequence earlier in this step
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
        """Prefills chunks of prompts in order of admission."""
        waiting = [sequence for sequence in self.running if not sequence.is_prefilled and not sequence.awaits_state]
        for sequence in waiting:
            chunk = min(budget_tokens, sequence.needed_tokens - sequence.computed_tokens)
            if sequence.allocation is None:  # preempted earlier in this step
                continue
            if chunk <= 0:
                break
            sequence.computed_tokens += chunk
            budget_tokens -= chunk
            step.prefilled_tokens += chunk
            self._register_blocks(sequence)
            complete = sequence.computed_tokens == sequence.needed_tokens
            if complete and sequence.output_tokens < sequence.answer_tokens and self._ensure_block(sequence, step):
                self._decode_token(sequence, step)  # the prompt's last token yields the first answer token

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
        """Allocates a block for the next token, preempting the most recently admitted sequences if memory is short.

        Returns False if the sequence itself was preempted.
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
        """Frees a sequence's memory and puts it at the front of the queue.

        Its output tokens are kept; the state of prompt and output is recomputed.
        """
        assert sequence.allocation is not None
        self.running.remove(sequence)
        self.memory.release(sequence.allocation)
        sequence.allocation = None
        sequence.computed_tokens = 0
        sequence.preemptions += 1
        self.queue.appendleft(sequence)
        step.preempted.append(sequence)

    def _register_blocks(self, sequence: BatchSequence) -> None:
        """Adds the prefilled full blocks of the prompt to the prefix cache, unless they are in it."""
        allocation = sequence.allocation
        assert allocation is not None
        full_blocks = min(sequence.computed_tokens // self.config.block_tokens, len(sequence.keys))
        for index in range(allocation.cached_blocks, full_blocks):
            if self.memory.keys[allocation.blocks[index]] is None:  # not added by an earlier chunk
                self.memory.register(allocation, index, sequence.keys[index])

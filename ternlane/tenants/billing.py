"""What a request's tenant pays for, and what the operator bears. No I/O."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec


class TokenUsage(msgspec.Struct, array_like=True, frozen=True):
    """Tokens of the prompt, those of them that a server had cached, and tokens of the answer."""

    prompt: int = 0
    cached: int = 0
    answer: int = 0

    def plus(self, other: TokenUsage) -> TokenUsage:
        """The sum."""
        return TokenUsage(self.prompt + other.prompt, self.cached + other.cached, self.answer + other.answer)

    def less(self, other: TokenUsage) -> TokenUsage:
        """The difference; none of its counts is below zero."""
        return TokenUsage(
            max(0, self.prompt - other.prompt),
            max(0, self.cached - other.cached),
            max(0, self.answer - other.answer),
        )


class Bill(msgspec.Struct, frozen=True):
    """What the tenant is billed, and the rest that servers computed, which is the operator's cost. `note` says what was
    odd; it is empty where nothing was."""

    billed: TokenUsage
    unbilled: TokenUsage
    note: str = ""


class LedgerEntry(msgspec.Struct, array_like=True, frozen=True):
    """One settled request, as the ledger stores it: the order of the fields is the form on disk."""

    request: str
    tenant: str
    request_class: str
    period: str
    wall: float  # arrival, seconds since 1970
    outcome: str
    billed: TokenUsage
    unbilled: TokenUsage
    micros: int  # the amount, in micro-units of money
    attempts: int
    key: str = ""  # the client's Idempotency-Key, hashed
    note: str = ""


def bill_for(
    made: Sequence[TokenUsage],
    begun: bool,
    streamed: bool,
    pieces: int,
    prompt: int,
    attempts_before_break: int | None = None,
    answer_tokens: int = 0,
) -> Bill:
    """The bill by what each attempt made, in their order. All counts but `attempts_before_break` are tokens.

    An answer that was streamed is billed once, whatever it took. One that broke, or was left by its client, midway
    (`begun`) is billed for the prompt and the `pieces` that were passed on. Where the client got nothing, nothing is
    billed. The rest is the operator's. A server that reports no usage does not make an answer free: then the reserved
    `prompt` and the pieces count. A stream that broke after `attempts_before_break` attempts and went on is billed as if it had not:
    its prompt as first read, its answer of `answer_tokens` tokens over all attempts.
    """
    whole = TokenUsage()
    for usage in made:
        whole = whole.plus(usage)
    if not begun:
        return Bill(TokenUsage(), whole)
    prefill = next((usage for usage in reversed(made[:attempts_before_break]) if usage.prompt), None)
    answer = _answer_tokens(made, streamed, pieces, attempts_before_break, answer_tokens)
    if prefill is not None and (answer or not pieces):
        billed = TokenUsage(prefill.prompt, prefill.cached, answer)
        return Bill(billed, whole.less(billed))
    read = prefill or TokenUsage(prompt)
    billed = TokenUsage(read.prompt, read.cached, max(answer, pieces))
    return Bill(billed, whole.less(billed), "usage missing: reserved prompt, pieces counted")


def _answer_tokens(
    made: Sequence[TokenUsage], streamed: bool, pieces: int, attempts_before_break: int | None, answer_tokens: int
) -> int:
    if not streamed or not made:
        return pieces
    return made[-1].answer if attempts_before_break is None else answer_tokens

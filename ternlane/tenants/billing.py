"""Splits the tokens of a request into those billed to the tenant and those paid by the operator. No I/O."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec


class TokenUsage(msgspec.Struct, array_like=True, frozen=True):
    """Prompt tokens, those of them found in a server's prefix cache, and answer tokens."""

    prompt: int = 0
    cached: int = 0
    answer: int = 0

    def plus(self, other: TokenUsage) -> TokenUsage:
        """The sum."""
        return TokenUsage(self.prompt + other.prompt, self.cached + other.cached, self.answer + other.answer)

    def minus(self, other: TokenUsage) -> TokenUsage:
        """The difference, with negative counts replaced by zero."""
        return TokenUsage(
            max(0, self.prompt - other.prompt),
            max(0, self.cached - other.cached),
            max(0, self.answer - other.answer),
        )


class Bill(msgspec.Struct, frozen=True):
    """Tokens billed to the tenant, and the other tokens that servers processed, which the operator pays for. `note`
    names irregularities; usually it is empty."""

    billed: TokenUsage
    unbilled: TokenUsage
    note: str = ""


class LedgerEntry(msgspec.Struct, array_like=True, frozen=True):
    """A settled request as the ledger stores it: an array on disk, in the order of the fields."""

    request: str
    tenant: str
    request_class: str
    period: str
    wall: float  # time of arrival, in seconds since 1970
    outcome: str
    billed: TokenUsage
    unbilled: TokenUsage
    micros: int  # the price, in millionths of the currency unit
    attempts: int
    key: str = ""  # hash of the client's Idempotency-Key
    note: str = ""


def bill_for(
    usage_by_attempt: Sequence[TokenUsage],
    begun: bool,
    streamed: bool,
    pieces: int,
    prompt: int,
    attempts_before_break: int | None = None,
    answer_tokens: int = 0,
) -> Bill:
    """Computes the bill from the usage of each attempt, in their order. Counts are tokens, except
    `attempts_before_break`.

    A completely streamed answer is billed once, regardless of the number of attempts. An answer that failed or whose
    client disconnected after it had `begun` is billed for the prompt and the `pieces` that were forwarded. If the
    client received nothing, nothing is billed. The operator pays for the rest. Usage that servers did not report is
    replaced by the reserved `prompt` and the number of pieces, so that the answer is not free. A stream that broke
    after `attempts_before_break` attempts and was resumed is billed as if it had not broken: the prompt of its first
    prefill, and `answer_tokens` over all attempts.
    """
    total = TokenUsage()
    for usage in usage_by_attempt:
        total = total.plus(usage)
    if not begun:
        return Bill(TokenUsage(), total)
    prefill = next((usage for usage in reversed(usage_by_attempt[:attempts_before_break]) if usage.prompt), None)
    answer = _answer_tokens(usage_by_attempt, streamed, pieces, attempts_before_break, answer_tokens)
    if prefill is not None and (answer or not pieces):
        billed = TokenUsage(prefill.prompt, prefill.cached, answer)
        return Bill(billed, total.minus(billed))
    prefill_usage = prefill or TokenUsage(prompt)
    billed = TokenUsage(prefill_usage.prompt, prefill_usage.cached, max(answer, pieces))
    return Bill(billed, total.minus(billed), "usage missing: reserved prompt, pieces counted")


def _answer_tokens(
    usage_by_attempt: Sequence[TokenUsage],
    streamed: bool,
    pieces: int,
    attempts_before_break: int | None,
    answer_tokens: int,
) -> int:
    if not streamed or not usage_by_attempt:
        return pieces
    return usage_by_attempt[-1].answer if attempts_before_break is None else answer_tokens

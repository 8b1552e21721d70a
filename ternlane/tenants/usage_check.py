"""Usage figures of a faulty server are not billed: those that can't be are replaced, and the ledger entry says so."""

from __future__ import annotations

from ternlane.tenants.billing import TokenUsage
from ternlane.tenants.reservation import BudgetReservation

# A prompt of more than this many times what was counted at arrival is a faulty server's: tokenizers differ less.
MAX_PROMPT_FACTOR = 16
# Of a short prompt a server's template may be the greater part, so shorter ones are judged as if they had so many.
MIN_PROMPT_TOKENS = 64


def plausible_usage(reservation: BudgetReservation, usage: TokenUsage, pieces: int | None) -> tuple[TokenUsage, str]:
    """The usage with impossible figures replaced by the prompt that was reserved and the pieces that came (None: not
    known), and a note that names them; it is empty where all can be."""
    notes: list[str] = []
    prompt = usage.prompt
    if not 0 <= prompt <= MAX_PROMPT_FACTOR * max(reservation.prompt, MIN_PROMPT_TOKENS):
        notes.append(f"prompt {prompt}")
        prompt = reservation.prompt
    answer = usage.answer
    if not 0 <= answer <= reservation.max_answer:
        notes.append(f"answer {answer}")
        answer = min(reservation.answer if pieces is None else pieces, reservation.max_answer)
    cached = usage.cached
    if not 0 <= cached <= prompt:
        notes.append(f"kept {cached}")
        cached = 0
    note = "usage not believed: " + ", ".join(notes) if notes else ""
    return TokenUsage(prompt, cached, answer), note

"""Replaces impossible usage reported by a faulty server, so that it is not billed. The ledger entry notes it."""

from __future__ import annotations

from ternlane.tenants.billing import TokenUsage
from ternlane.tenants.reservation import BudgetReservation

# Limit on reported prompt tokens, as a multiple of those counted at arrival: tokenizers differ by less.
MAX_PROMPT_FACTOR = 16
# Shorter prompts are treated as having this many tokens, as most of theirs may come from the server's chat template.
MIN_PROMPT_TOKENS = 64


def plausible_usage(reservation: BudgetReservation, usage: TokenUsage, pieces: int | None) -> tuple[TokenUsage, str]:
    """Returns the usage, with impossible counts replaced by the reserved prompt tokens and the number of `pieces` that
    were streamed (None: unknown), and a note that names the replaced counts; it is empty if there are none."""
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

"""What a generation's tenant pays for, and what is the house's cost. Free of I/O."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec


class Used(msgspec.Struct, array_like=True, frozen=True):
    """Tokens: read, found kept, written."""

    prompt: int = 0
    kept: int = 0
    answer: int = 0

    def plus(self, other: Used) -> Used:
        return Used(self.prompt + other.prompt, self.kept + other.kept, self.answer + other.answer)

    def less(self, other: Used) -> Used:
        return Used(
            max(0, self.prompt - other.prompt), max(0, self.kept - other.kept), max(0, self.answer - other.answer)
        )


class Billed(msgspec.Struct, frozen=True):
    """`note` says what was odd."""

    bill: Used
    house: Used
    note: str = ""


def bill_for(
    made: Sequence[Used],
    begun: bool,
    streamed: bool,
    pieces: int,
    prompt: int,
    broke_at: int | None = None,
    answered: int = 0,
) -> Billed:
    """The bill by what each leg made, in their order.

    Streamed: billed once, whatever it took. Broken off, or left by its client, midway (`begun`): for the prompt and the
    `pieces` that were passed on. Of which the client got nothing: not at all. The rest is the house's. An engine that
    says nothing of its usage does not make an answer free: then the reserved `prompt` and the pieces count. A stream
    that broke after `broke_at` legs and went on is billed as if it had not: its prompt as first read, its answer of
    `answered` tokens over all legs.
    """
    whole = Used()
    for it in made:
        whole = whole.plus(it)
    if not begun:
        return Billed(Used(), whole)
    read = next((it for it in reversed(made[:broke_at]) if it.prompt), None)
    answer = pieces if not streamed or not made else made[-1].answer if broke_at is None else answered
    if read is None or (pieces and not answer):
        bill = Used(prompt if read is None else read.prompt, 0 if read is None else read.kept, max(answer, pieces))
        return Billed(bill, whole.less(bill), "usage missing: reserved prompt, pieces counted")
    bill = Used(read.prompt, read.kept, answer)
    return Billed(bill, whole.less(bill))

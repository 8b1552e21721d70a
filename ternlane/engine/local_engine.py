"""A model server in the same process, as a library's user writes one."""

from __future__ import annotations

from collections.abc import AsyncIterator
from dataclasses import dataclass
from typing import Any, Protocol

from ternlane.engine.attempt import AttemptRequest
from ternlane.policy.messages import Report


@dataclass(slots=True)
class PrefillResult:
    """What a local engine gives for a prompt it has read: a state to hand on, and how much it had to read."""

    state: dict[str, Any]
    prompt_tokens: int
    kept_tokens: int = 0
    report: Report | None = None


class LocalEngine(Protocol):
    """A model server in the same process: three calls, no bytes. Errors of its own mean that it may have run."""

    async def read(self, ask: AttemptRequest) -> PrefillResult:
        """Reads the prompt of `ask.raw` and keeps its state until written or released. Where `ask.goes_on` its last
        message is the beginning of the answer, and counts as read."""

    def write(self, ask: AttemptRequest) -> AsyncIterator[str]:
        """Writes the answer from `ask.state`, or from the prompt where that is None; a piece counts as a token.
        Where `ask.goes_on`, only what comes after the last message."""

    async def release(self, ident: str) -> None:
        """Drops what is kept for a request; nothing kept is no error."""

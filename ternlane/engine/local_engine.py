"""The interface of a model server in the same process, which users of the library implement."""

from __future__ import annotations

from collections.abc import AsyncIterator
from dataclasses import dataclass
from typing import Any, Protocol

from ternlane.engine.attempt import AttemptRequest
from ternlane.policy.messages import Report


@dataclass(slots=True)
class PrefillResult:
    """The result of a local engine's prefill: the state for the decode server, and the token counts."""

    state: dict[str, Any]
    prompt_tokens: int
    kept_tokens: int = 0
    report: Report | None = None


class LocalEngine(Protocol):
    """A model server in the same process. After an exception that is not this package's the attempt may have run."""

    async def read(self, ask: AttemptRequest) -> PrefillResult:
        """Prefills the prompt of `ask.raw` and keeps the state until it is used by `write` or released. If
        `ask.goes_on`, the last message is the beginning of the answer and is prefilled too."""

    def write(self, ask: AttemptRequest) -> AsyncIterator[str]:
        """Generates the answer from `ask.state`, or from the prompt if that is None; each piece counts as a token.
        If `ask.goes_on`, only the text after the last message."""

    async def release(self, ident: str) -> None:
        """Releases the state of a request; no error if there is none."""

"""Joins the text of several legs into the one stream that a client sees: nothing twice, nothing left out."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from ternlane.recovery.resume_strategy import ResumeStrategy

TORN = "\ufffd"  # an engine's mark for a character of which only some bytes had come


class Differs(Exception):
    """A repeat gave another text than the client has."""


@dataclass(slots=True)
class ReplayBuffer:
    """How much text may be kept for streams that might break, of one stream and of all, in bytes of UTF-8."""

    tokens: int
    each: int
    most: int
    used: int = 0
    dropped: int = 0  # streams that outgrew it


class StreamJoin:
    """One generation's text over its legs. Tokens are counted by pieces, or by the engine where it says how many.

    `way` may turn to END: when the text outgrows the shelf, or a repeat differs. The client then keeps its stream as
    long as the leg lasts, but a loss ends it.
    """

    def __init__(
        self, way: ResumeStrategy, why: str, replay_buffer: ReplayBuffer, max_tokens: int, stop: Any = None
    ) -> None:
        self.way, self.why, self.replay_buffer, self.max_tokens = way, why, replay_buffer, max_tokens
        self.pieces: list[str] = []
        self.bytes = self.tokens = 0  # kept; and tokens that the client has by legs that are over
        self.attempt_pieces = 0  # of the present leg
        self.attempts = 0  # that broke after their first piece
        self.skip = ""  # what a repeat has still to say before anything new
        self.stopped = self.differs = False
        self.ahead = 0  # characters that the client has of a run that is not known here
        stops = [stop] if isinstance(stop, str) else stop if isinstance(stop, list) else []
        self.stops = [s for s in stops if isinstance(s, str) and s]

    @property
    def text(self) -> str:
        return "".join(self.pieces)

    @property
    def resumed(self) -> bool:
        return self.attempts > 0

    def left(self) -> int:
        """Tokens that the answer may still have."""
        return self.max_tokens - self.tokens if self.way is ResumeStrategy.GO_ON else self.max_tokens

    def take(self, piece: str) -> str:
        """A piece of the present leg; gives what of it is new to the client. Raises Differs."""
        if self.differs:
            raise Differs
        if self.stopped:
            return ""
        self.attempt_pieces += 1
        if self.skip:
            known, piece = piece[: len(self.skip)], piece[len(self.skip) :]
            if not self.skip.startswith(known):
                self.other()
                raise Differs
            self.skip = self.skip[len(known) :]
        elif self.resumed and self.way is ResumeStrategy.GO_ON and self.stops and not self.stopped:
            piece = self.up_to_stop(piece)
        if piece:
            self.keep(piece)
        if self.ahead and piece:
            had = min(self.ahead, len(piece))
            self.ahead, piece = self.ahead - had, piece[had:]
        return piece

    def up_to_stop(self, piece: str) -> str:
        """A stop string that began before the loss: the engine that goes on can't see it whole."""
        reach = max(map(len, self.stops)) - 1
        tail = ""
        for kept in reversed(self.pieces):
            if len(tail) >= reach:
                break
            tail = kept + tail
        tail = tail[-reach:] if reach else ""
        both = tail + piece
        ends = [at for s in self.stops if 0 <= (at := both.find(s)) < len(tail) < at + len(s)]
        if not ends:
            return piece
        self.stopped = True
        return ""

    def keep(self, piece: str) -> None:
        size = len(piece.encode("utf-8", "surrogatepass"))
        self.pieces.append(piece)
        self.bytes += size
        self.replay_buffer.used += size
        if self.way is not ResumeStrategy.END and (
            self.bytes > self.replay_buffer.each
            or self.replay_buffer.used > self.replay_buffer.most
            or self.tokens + self.attempt_pieces > self.replay_buffer.tokens
        ):
            self.replay_buffer.dropped += 1
            self.end("it outgrew what is kept for a loss")

    def other(self) -> None:
        self.differs = True
        self.end("a repeat gave another answer")

    def ends(self) -> bool:
        """The present leg has ended well; false where it is a repeat that said less than the client has."""
        if self.skip or self.ahead:
            self.other()
        return not self.differs

    def took_in(self, prompt: int, first: int) -> bool:
        """Did a reader take in what the client has? One that doesn't know `continue_final_message` reads the prompt
        alone, and its writer would begin the answer anew. By its count of tokens and that of the first reading."""
        goes_on = self.resumed and self.way is ResumeStrategy.GO_ON
        return not (goes_on and prompt and first) or prompt >= first + self.tokens / 2

    def beyond(self) -> None:
        """The client has more than text, which no other leg can go on from."""
        if self.way is not ResumeStrategy.END:
            self.end("it had more than text")

    def end(self, why: str) -> None:
        self.way, self.why = ResumeStrategy.END, why

    def broke(self, made: int | None) -> int | None:
        """The present leg is lost after its first piece; `made` tokens by its engine's word. Gives the tokens that have
        to be read anew besides the prompt; None where it can't go on."""
        if self.way is ResumeStrategy.END:
            return None
        self.attempts += 1
        if self.way is ResumeStrategy.REPLAY:
            self.skip = self.text
        else:
            self.tokens += self.attempt_pieces if made is None else max(made, 0)
        self.attempt_pieces = 0
        if self.way is ResumeStrategy.GO_ON and self.pieces and self.pieces[-1].endswith(TORN):
            self.end("it broke within a character")
            return None
        return self.tokens if self.way is ResumeStrategy.GO_ON else 0

    def over(self) -> None:
        """Nothing can break any more: its bytes count no longer."""
        self.replay_buffer.used -= self.bytes
        self.bytes = 0

    def request(self, raw: dict[str, Any]) -> dict[str, Any]:
        """What the next leg is asked for."""
        if not self.resumed or self.way is not ResumeStrategy.GO_ON:
            return raw
        messages, last = list(raw["messages"]), raw["messages"][-1]
        if last.get("role") == "assistant" and raw.get("continue_final_message"):
            messages[-1] = {**last, "content": plain(last.get("content")) + self.text}
        else:
            messages.append({"role": "assistant", "content": self.text})
        return {**raw, "messages": messages, "continue_final_message": True, "add_generation_prompt": False}

    def usage(self, prompt: int, kept: int, said: dict[str, Any]) -> dict[str, Any]:
        """The usage of the whole from the last leg's: the `prompt` as first read, `kept` of it found kept then (which a
        writer that took a state over can't know), and all tokens of the answer."""
        answer = said["completion_tokens"] + (self.tokens if self.way is ResumeStrategy.GO_ON else 0)
        if not prompt:
            return {**said, "completion_tokens": answer, "total_tokens": said["prompt_tokens"] + answer}
        out = {**said, "prompt_tokens": prompt, "completion_tokens": answer, "total_tokens": prompt + answer}
        if "prompt_tokens_details" in said:
            out["prompt_tokens_details"] = {"cached_tokens": kept}
        return out


def plain(content: Any) -> str:
    if isinstance(content, list):
        return "".join(p.get("text", "") for p in content if isinstance(p, dict))
    return content or ""

"""Joins the text of several attempts into the one stream that a client sees: nothing twice, nothing left out."""

from __future__ import annotations

from typing import Any

from ternlane.recovery.errors import ReplayMismatchError
from ternlane.recovery.replay_buffer import ReplayBuffer
from ternlane.recovery.resume_strategy import ResumeStrategy

INCOMPLETE_CHARACTER = "\ufffd"  # an engine's mark for a character of which only some bytes had come


class StreamJoin:
    """One request's text over its attempts. Tokens are counted by pieces, or by the engine where it says how many.

    `strategy` may turn to END: when the text outgrows the replay buffer, or a replay differs. The client then keeps its
    stream as long as the attempt lasts, but a loss ends it.
    """

    def __init__(
        self, strategy: ResumeStrategy, why: str, replay_buffer: ReplayBuffer, max_tokens: int, stop: Any = None
    ) -> None:
        self.strategy = strategy
        self.why = why
        self.replay_buffer = replay_buffer
        self.max_tokens = max_tokens
        self.pieces: list[str] = []
        self.kept_bytes = 0
        self.tokens = 0  # that the client has by attempts that are over
        self.attempt_pieces = 0  # of the present attempt
        self.attempts = 0  # that broke after their first piece
        self.replay_rest = ""  # what a replay has still to say before anything new
        self.characters_to_skip = 0  # that the client has of a run that is not known here
        self.stopped = False
        self.mismatched = False
        stops = [stop] if isinstance(stop, str) else stop if isinstance(stop, list) else []
        self.stops = [s for s in stops if isinstance(s, str) and s]

    @property
    def text(self) -> str:
        """All that the client has."""
        return "".join(self.pieces)

    @property
    def resumed(self) -> bool:
        """Has an attempt broken after its first piece?"""
        return self.attempts > 0

    @property
    def continues(self) -> bool:
        """Does the present attempt go on with a text that an earlier one began?"""
        return self.resumed and self.strategy is ResumeStrategy.CONTINUE

    def remaining_tokens(self) -> int:
        """Tokens that the answer may still have."""
        return self.max_tokens - self.tokens if self.strategy is ResumeStrategy.CONTINUE else self.max_tokens

    def take(self, piece: str) -> str:
        """A piece of the present attempt; gives what of it is new to the client. Raises ReplayMismatchError."""
        if self.mismatched:
            raise ReplayMismatchError
        if self.stopped:
            return ""
        self.attempt_pieces += 1
        if self.replay_rest:
            piece = self.skip_replayed(piece)
        elif self.continues and self.stops:
            piece = self.up_to_stop(piece)
        if piece:
            self.keep(piece)
        return self.skip_known(piece)

    def skip_replayed(self, piece: str) -> str:
        """What of a replay's piece lies beyond the text that the client has. Raises ReplayMismatchError."""
        known = piece[: len(self.replay_rest)]
        new = piece[len(self.replay_rest) :]
        if not self.replay_rest.startswith(known):
            self.mismatch()
            raise ReplayMismatchError
        self.replay_rest = self.replay_rest[len(known) :]
        return new

    def skip_known(self, piece: str) -> str:
        """What of a new run's piece comes after the characters that the client has of an earlier one."""
        known = min(self.characters_to_skip, len(piece))
        self.characters_to_skip -= known
        return piece[known:]

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
        """Keeps a piece for a replay; a stream that outgrows the buffer can't be resumed from here on."""
        size = len(piece.encode("utf-8", "surrogatepass"))
        self.pieces.append(piece)
        self.kept_bytes += size
        self.replay_buffer.add(size)
        if self.strategy is ResumeStrategy.END:
            return
        if self.replay_buffer.is_exceeded_by(self.kept_bytes, self.tokens + self.attempt_pieces):
            self.replay_buffer.dropped += 1
            self.disable("it outgrew what is kept for a loss")

    def mismatch(self) -> None:
        """A replay gave another text: the client's stream can't be joined."""
        self.mismatched = True
        self.disable("a repeat gave another answer")

    def disable(self, why: str) -> None:
        """From here on a loss ends the stream."""
        self.strategy = ResumeStrategy.END
        self.why = why

    def disable_for_extras(self) -> None:
        """The client has more than text, which no other attempt can go on from."""
        if self.strategy is not ResumeStrategy.END:
            self.disable("it had more than text")

    def attempt_completed(self) -> bool:
        """The present attempt has ended well; false where it is a replay that said less than the client has."""
        if self.replay_rest or self.characters_to_skip:
            self.mismatch()
        return not self.mismatched

    def prefill_covers_text(self, prompt_tokens: int, first_prompt_tokens: int) -> bool:
        """Did a prefill server take in what the client has? One that doesn't know `continue_final_message` reads the
        prompt alone, and its decode server would begin the answer anew. By its count of tokens and the first one's."""
        if not self.continues or not prompt_tokens or not first_prompt_tokens:
            return True
        return prompt_tokens >= first_prompt_tokens + self.tokens / 2

    def attempt_failed(self, completion_tokens: int | None) -> int | None:
        """The present attempt is lost after its first piece; `completion_tokens` by its engine's word. Gives the tokens
        that have to be prefilled anew besides the prompt; None where the stream can't be resumed."""
        if self.strategy is ResumeStrategy.END:
            return None
        self.attempts += 1
        if self.strategy is ResumeStrategy.REPLAY:
            self.replay_rest = self.text
            self.attempt_pieces = 0
            return 0
        self.tokens += self.attempt_pieces if completion_tokens is None else max(completion_tokens, 0)
        self.attempt_pieces = 0
        if self.pieces and self.pieces[-1].endswith(INCOMPLETE_CHARACTER):
            self.disable("it broke within a character")
            return None
        return self.tokens

    def release_buffer(self) -> None:
        """Nothing can break any more: its bytes count no longer."""
        self.replay_buffer.free(self.kept_bytes)
        self.kept_bytes = 0

    def request(self, raw: dict[str, Any]) -> dict[str, Any]:
        """The request body of the next attempt."""
        if not self.continues:
            return raw
        messages = list(raw["messages"])
        last = messages[-1]
        if last.get("role") == "assistant" and raw.get("continue_final_message"):
            messages[-1] = {**last, "content": plain(last.get("content")) + self.text}
        else:
            messages.append({"role": "assistant", "content": self.text})
        return {**raw, "messages": messages, "continue_final_message": True, "add_generation_prompt": False}

    def usage(self, prompt: int, kept: int, said: dict[str, Any]) -> dict[str, Any]:
        """The usage of the whole from the last attempt's: the `prompt` as first read, `kept` of it cached then (which a
        decode server that took a state over can't know), and all tokens of the answer."""
        answer = said["completion_tokens"] + (self.tokens if self.strategy is ResumeStrategy.CONTINUE else 0)
        if not prompt:
            return {**said, "completion_tokens": answer, "total_tokens": said["prompt_tokens"] + answer}
        out = {**said, "prompt_tokens": prompt, "completion_tokens": answer, "total_tokens": prompt + answer}
        if "prompt_tokens_details" in said:
            out["prompt_tokens_details"] = {"cached_tokens": kept}
        return out


def plain(content: Any) -> str:
    """The text of a message's content."""
    if isinstance(content, list):
        return "".join(p.get("text", "") for p in content if isinstance(p, dict))
    return content or ""

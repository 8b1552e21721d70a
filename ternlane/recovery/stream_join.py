"""Joins the text of several attempts into one stream for the client, without duplicates or gaps."""

from __future__ import annotations

from typing import Any

from ternlane.policy.stream_limits import StreamLimitExceededError, text_limits
from ternlane.recovery.errors import ReplayMismatchError
from ternlane.recovery.replay_buffer import ReplayBuffer
from ternlane.recovery.resume_strategy import ResumeStrategy

INCOMPLETE_CHARACTER = "\ufffd"  # sent by an engine for a character of which it has only some bytes


class StreamJoin:
    """The text of a request over all its attempts. Tokens are those that the engine reports, otherwise one per piece.

    `strategy` changes to END if the text exceeds the replay buffer or a replay differs. The present attempt then goes
    on, but its failure ends the client's stream.
    """

    def __init__(
        self, strategy: ResumeStrategy, why: str, replay_buffer: ReplayBuffer, max_tokens: int, stop: Any = None
    ) -> None:
        self.strategy = strategy
        self.why = why
        self.replay_buffer = replay_buffer
        self.max_tokens = max_tokens
        self.limits = text_limits(max_tokens)  # of the text of all attempts together
        self.pieces: list[str] = []
        self.buffered_bytes = 0
        self.delivered_tokens = 0  # that the client has from attempts that are over
        self.attempt_pieces = 0  # of the present attempt
        self.failed_attempts = 0  # that failed after their first piece
        self.replay_remaining = ""  # text that a replay has to repeat before anything new
        self.characters_to_skip = 0  # that the client has from a run that this gateway does not know
        self.stopped = False
        self.mismatched = False
        stop_strings = [stop] if isinstance(stop, str) else stop if isinstance(stop, list) else []
        self.stop_strings = [s for s in stop_strings if isinstance(s, str) and s]

    @property
    def text(self) -> str:
        """All text that the client has."""
        return "".join(self.pieces)

    @property
    def resumed(self) -> bool:
        """Whether an attempt has failed after its first piece."""
        return self.failed_attempts > 0

    @property
    def continues(self) -> bool:
        """Whether the present attempt continues the text of an earlier one."""
        return self.resumed and self.strategy is ResumeStrategy.CONTINUE

    def remaining_tokens(self) -> int:
        """How many more tokens the answer may have."""
        return self.max_tokens - self.delivered_tokens if self.strategy is ResumeStrategy.CONTINUE else self.max_tokens

    def take(self, piece: str) -> str:
        """Takes a piece of the present attempt; returns what is new to the client.

        Raises ReplayMismatchError, and StreamLimitExceededError if the attempts together bring more than was asked for.
        """
        if self.mismatched:
            raise ReplayMismatchError
        if self.stopped:
            return ""
        self.attempt_pieces += 1
        if self.replay_remaining:
            piece = self.skip_replayed(piece)
        elif self.continues and self.stop_strings:
            piece = self.drop_after_stop(piece)
        if piece:
            self.buffer_piece(piece)
        return self.skip_delivered(piece)

    def skip_replayed(self, piece: str) -> str:
        """The part of a replay's piece that goes beyond the client's text. Raises ReplayMismatchError."""
        replayed = piece[: len(self.replay_remaining)]
        new = piece[len(self.replay_remaining) :]
        if not self.replay_remaining.startswith(replayed):
            self.record_mismatch()
            raise ReplayMismatchError
        self.replay_remaining = self.replay_remaining[len(replayed) :]
        return new

    def skip_delivered(self, piece: str) -> str:
        """The part of a rerun's piece that goes beyond the characters that the client has from an earlier run."""
        delivered = min(self.characters_to_skip, len(piece))
        self.characters_to_skip -= delivered
        return piece[delivered:]

    def drop_after_stop(self, piece: str) -> str:
        """Ends the text if this piece completes a stop string that began in earlier text; the engine cannot recognize
        one that began in an earlier attempt. The piece is dropped."""
        overlap = max(map(len, self.stop_strings)) - 1
        tail = ""
        for earlier_piece in reversed(self.pieces):
            if len(tail) >= overlap:
                break
            tail = earlier_piece + tail
        tail = tail[-overlap:] if overlap else ""
        joined = tail + piece
        starts = [at for s in self.stop_strings if 0 <= (at := joined.find(s)) < len(tail) < at + len(s)]
        if not starts:
            return piece
        self.stopped = True
        return ""

    def buffer_piece(self, piece: str) -> None:
        """Buffers a piece for a resume; a stream that exceeds the buffer can no longer be resumed."""
        size = len(piece.encode("utf-8", "surrogatepass"))
        self.pieces.append(piece)
        self.buffered_bytes += size
        self.replay_buffer.add(size)
        self.check_length()
        if self.strategy is ResumeStrategy.END:
            return
        if self.replay_buffer.is_exceeded_by(self.buffered_bytes, self.delivered_tokens + self.attempt_pieces):
            self.replay_buffer.overflowed_streams += 1
            self.disable("it outgrew what is kept for a loss")

    def check_length(self) -> None:
        """Raises StreamLimitExceededError if the text is longer than what was asked for. It is not to be trusted then,
        and no other attempt continues it."""
        try:
            self.limits.check(len(self.pieces), self.buffered_bytes)
        except StreamLimitExceededError:
            self.disable("it is longer than what was asked for")
            raise

    def record_mismatch(self) -> None:
        """A replay produced another text, which cannot be joined to the client's."""
        self.mismatched = True
        self.disable("a repeat gave another answer")

    def disable(self, why: str) -> None:
        """Disables resuming: a failed attempt then ends the stream. `why` can reach the client."""
        self.strategy = ResumeStrategy.END
        self.why = why

    def disable_for_extras(self) -> None:
        """The client has received more than text, which no other attempt can continue."""
        if self.strategy is not ResumeStrategy.END:
            self.disable("it had more than text")

    def complete_attempt(self) -> bool:
        """Ends the present attempt as completed; false if it was a replay shorter than the client's text."""
        if self.replay_remaining or self.characters_to_skip:
            self.record_mismatch()
        return not self.mismatched

    def prefill_covers_text(self, prompt_tokens: int, first_prompt_tokens: int) -> bool:
        """Whether a prefill server has read the client's text along with the prompt, by its token count and that of the
        first prefill. A server that does not support `continue_final_message` reads the prompt alone, and the decode
        server would start the answer again."""
        if not self.continues or not prompt_tokens or not first_prompt_tokens:
            return True
        return prompt_tokens >= first_prompt_tokens + self.delivered_tokens / 2

    def fail_attempt(self, completion_tokens: int | None) -> int | None:
        """Ends the present attempt as failed after its first piece; `completion_tokens`: as its engine counted them.
        Returns how many tokens a resume prefills besides the prompt; None if the stream cannot be resumed."""
        if self.strategy is ResumeStrategy.END:
            return None
        self.failed_attempts += 1
        if self.strategy is ResumeStrategy.REPLAY:
            self.replay_remaining = self.text
            self.attempt_pieces = 0
            return 0
        self.delivered_tokens += self.attempt_pieces if completion_tokens is None else max(completion_tokens, 0)
        self.attempt_pieces = 0
        if self.pieces and self.pieces[-1].endswith(INCOMPLETE_CHARACTER):
            self.disable("it broke within a character")
            return None
        return self.delivered_tokens

    def release_buffer(self) -> None:
        """Releases the request's share of the replay buffer once it has ended."""
        self.replay_buffer.free(self.buffered_bytes)
        self.buffered_bytes = 0

    def request_body(self, raw: dict[str, Any]) -> dict[str, Any]:
        """The request body of the next attempt, extended by the client's text if the attempt continues it."""
        if not self.continues:
            return raw
        messages = list(raw["messages"])
        last = messages[-1]
        if last.get("role") == "assistant" and raw.get("continue_final_message"):
            messages[-1] = {**last, "content": content_text(last.get("content")) + self.text}
        else:
            messages.append({"role": "assistant", "content": self.text})
        return {**raw, "messages": messages, "continue_final_message": True, "add_generation_prompt": False}

    def usage(self, prompt_tokens: int, cached: int, reported: dict[str, Any]) -> dict[str, Any]:
        """The usage of the complete request, from that `reported` for the last attempt. `prompt_tokens` and the
        `cached` ones among them are those of the first prefill, as a decode server that fetched a state does not know
        them; the tokens of the answer are those of all attempts."""
        answer_tokens = reported["completion_tokens"] + (
            self.delivered_tokens if self.strategy is ResumeStrategy.CONTINUE else 0
        )
        if not prompt_tokens:
            return {
                **reported,
                "completion_tokens": answer_tokens,
                "total_tokens": reported["prompt_tokens"] + answer_tokens,
            }
        out = {
            **reported,
            "prompt_tokens": prompt_tokens,
            "completion_tokens": answer_tokens,
            "total_tokens": prompt_tokens + answer_tokens,
        }
        if "prompt_tokens_details" in reported:
            out["prompt_tokens_details"] = {"cached_tokens": cached}
        return out


def content_text(content: Any) -> str:
    """The text of a message's content, which may be a list of parts."""
    if isinstance(content, list):
        return "".join(p.get("text", "") for p in content if isinstance(p, dict))
    return content or ""

"""Splits a decode server's event stream into complete events and checks them, unchanged. Free of I/O."""

from __future__ import annotations

from typing import Any

import msgspec

# Size limit of one event, or of the comments before the first: invalid bytes or an endless event must not fill the
# memory.
MAX_EVENT_BYTES = 65536

LOAD_COMMENT = b": Server-Load: "
DATA_FIELD = b"data: "
LAST_EVENT = b"[DONE]"


class PromptTokensDetails(msgspec.Struct):
    """Part of `Usage`, with the field names of the wire."""

    cached_tokens: float = 0.0


class Usage(msgspec.Struct):
    """The token counts in an event, with the field names of the wire."""

    prompt_tokens_details: PromptTokensDetails = msgspec.field(default_factory=PromptTokensDetails)


class StreamEvent(msgspec.Struct):
    """The parsed part of an event's data."""

    choices: list[dict[str, Any]]
    usage: Usage | None = None


_event_decoder = msgspec.json.Decoder(StreamEvent)


class EventStreamParser:
    """Splits a stream into complete events and checks each of them.

    Raises ValueError on bytes that are no event and on an event that is too long: neither reaches the client. `begun`
    is set by the first event, `done` by the last; `cached_tokens` and `load` are the latest values in the stream.
    `event_count` counts events with data.
    """

    def __init__(self) -> None:
        self.begun = False
        self.done = False
        self.event_count = 0
        self.cached_tokens = 0.0
        self.load: str | None = None
        self._rest = bytearray()  # of an incomplete event
        self._comments = bytearray()  # ahead of the first event

    @property
    def held_bytes(self) -> int:
        """What is held of events that are not complete, or ahead of the first."""
        return len(self._rest) + len(self._comments)

    def feed(self, data: bytes) -> bytes:
        """Returns the events that these bytes complete. Comments before the first event are held back until that
        arrives."""
        searched = max(0, len(self._rest) - 1)  # an empty line does not end before this
        self._rest += data
        end = self._rest.rfind(b"\n\n", searched) + 2
        if end < 2:
            end = 0
        complete = bytes(self._rest[:end])
        del self._rest[:end]
        if len(self._rest) > MAX_EVENT_BYTES:
            raise ValueError(f"an event of more than {MAX_EVENT_BYTES} bytes")
        for event in complete.split(b"\n\n")[:-1]:
            self._read_event(event)
        self._check_rest()
        return self._with_comments(complete)

    def _with_comments(self, complete: bytes) -> bytes:
        """Holds back comments until the first event, and puts them before it. Raises ValueError if they grow too
        long."""
        if self.begun and not self._comments:
            return complete
        self._comments += complete
        if not self.begun:
            if len(self._comments) > MAX_EVENT_BYTES:
                raise ValueError(f"comments of more than {MAX_EVENT_BYTES} bytes ahead of the first event")
            return b""
        held = bytes(self._comments)
        self._comments.clear()
        return held

    def _check_rest(self) -> None:
        """Checks the incomplete rest. Raises ValueError if it cannot become an event: its end may never arrive."""
        may_be_data = DATA_FIELD.startswith(self._rest[: len(DATA_FIELD)])
        may_be_comment = self._rest.startswith((b":", b"\n"))
        if self._rest and not may_be_data and not may_be_comment:
            raise ValueError("not an event")

    def _read_event(self, event: bytes) -> None:
        for line in event.split(b"\n"):
            if line.startswith(DATA_FIELD):
                self._read_data(line[len(DATA_FIELD) :])
            elif line.startswith(LOAD_COMMENT):
                self.load = line[len(LOAD_COMMENT) :].decode("latin-1")
            elif line and not line.startswith(b":"):
                raise ValueError("not an event")

    def _read_data(self, data: bytes) -> None:
        self.event_count += 1
        if data == LAST_EVENT:
            if not self.begun:
                raise ValueError("a stream of no events")
            self.done = True
        elif self.done:
            raise ValueError("an event behind the last")
        elif not self.begun or b'"usage"' in data:
            event = _decode_event(data)  # the first event must be valid before the client is sent a byte
            self.begun = True
            if event.usage is not None:
                self.cached_tokens = event.usage.prompt_tokens_details.cached_tokens
        elif not (data.startswith(b"{") and data.endswith(b"}")):
            raise ValueError("not an event")


def _decode_event(data: bytes) -> StreamEvent:
    """Decodes an event's data. Raises ValueError if it is invalid."""
    try:
        return _event_decoder.decode(data)
    except RecursionError:
        raise ValueError("an event that is nested too deeply") from None

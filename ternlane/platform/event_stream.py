"""A decode server's event stream: whole events, checked and unchanged. Free of I/O."""

from __future__ import annotations

from typing import Any

import msgspec

# Of one event, or of the comments ahead of the first: noise, or an event without an end, must not fill the memory.
EVENT_BYTES = 65536

LOAD_COMMENT = b": Server-Load: "
DATA_FIELD = b"data: "
LAST_EVENT = b"[DONE]"


class PromptTokensDetails(msgspec.Struct):
    """Part of `Usage`, by its names on the wire."""

    cached_tokens: float = 0.0


class Usage(msgspec.Struct):
    """What an event says of tokens, by its names on the wire."""

    prompt_tokens_details: PromptTokensDetails = msgspec.field(default_factory=PromptTokensDetails)


class StreamEvent(msgspec.Struct):
    """What is read of an event's data."""

    choices: list[dict[str, Any]]
    usage: Usage | None = None


_event_decoder = msgspec.json.Decoder(StreamEvent)


class EventStreamParser:
    """Splits a stream into whole events and checks each of them.

    Raises ValueError on what is no event, or longer than one may be: neither reaches the client. `begun` is set by the
    first event, `done` by the last; `cached_tokens` and `load` are what the stream has said of them so far.
    """

    def __init__(self) -> None:
        self.begun = False
        self.done = False
        self.cached_tokens = 0.0
        self.load: str | None = None
        self._rest = b""

    def feed(self, more: bytes) -> bytes:
        """The whole events so far that were not given before."""
        text = self._rest + more if self._rest else more
        end = text.rfind(b"\n\n") + 2
        if end < 2:
            end = 0
        whole = text[:end]
        self._rest = text[end:]
        if len(self._rest) > EVENT_BYTES:
            raise ValueError(f"an event of more than {EVENT_BYTES} bytes")
        for event in whole.split(b"\n\n")[:-1]:
            self._read_event(event)
        self._check_rest()
        return whole

    def put_back(self, comments: bytes) -> None:
        """Comments ahead of the first event wait for it. Raises ValueError where they have no end."""
        if len(comments) > EVENT_BYTES:
            raise ValueError(f"comments of more than {EVENT_BYTES} bytes ahead of the first event")
        self._rest = comments + self._rest

    def _check_rest(self) -> None:
        """An event that has begun to come must look like one: noise without an end is not waited for."""
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
        if data == LAST_EVENT:
            if not self.begun:
                raise ValueError("a stream of no events")
            self.done = True
        elif self.done:
            raise ValueError("an event behind the last")
        elif not self.begun or b'"usage"' in data:
            event = _event_decoder.decode(data)  # the first must be understood before the client has a byte
            self.begun = True
            if event.usage is not None:
                self.cached_tokens = event.usage.prompt_tokens_details.cached_tokens
        elif not (data.startswith(b"{") and data.endswith(b"}")):
            raise ValueError("not an event")

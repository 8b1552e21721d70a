"""Server-sent events, from the WHATWG HTML standard's event-stream format. Free of I/O."""

from __future__ import annotations

# Of one event, in bytes: many times what a stream of tokens needs, and a bound on what a peer can make us keep.
EVENT_LIMIT = 4 * 2**20


class EventReader:
    """Bytes in, data fields out. A chunk may end anywhere; CR, LF and CRLF all end lines.

    Raises ValueError on an event longer than `limit` bytes or on text that is not UTF-8.
    """

    def __init__(self, limit: int = EVENT_LIMIT) -> None:
        self.limit = limit
        self._rest = b""
        self._data: list[bytes] = []  # of the event that has begun

    @property
    def unfinished(self) -> bool:
        """Are bytes of an event that did not end left, as after a broken stream?"""
        return bool(self._rest.strip() or self._data)

    def feed(self, more: bytes) -> list[str]:
        """The data of the events that have ended with these bytes."""
        *lines, self._rest = _with_plain_line_ends(self._rest + more).split(b"\n")
        if len(self._rest) + sum(map(len, self._data)) > self.limit:
            raise ValueError(f"an event is longer than {self.limit} bytes")
        events: list[str] = []
        for line in lines:
            if line.startswith(b"data:"):
                self._data.append(line[6:] if line[5:6] == b" " else line[5:])
            elif not line and self._data:
                events.append(b"\n".join(self._data).decode("utf-8"))
                self._data = []
        return events


def _with_plain_line_ends(text: bytes) -> bytes:
    """CR and CRLF become LF, but for a CR at the very end, which may be half of a CRLF."""
    if b"\r" not in text:
        return text
    tail = b"\r" if text.endswith(b"\r") else b""
    body = text[: len(text) - len(tail)]
    return body.replace(b"\r\n", b"\n").replace(b"\r", b"\n") + tail


def encode_event(data: bytes, ident: int | None = None) -> bytes:
    """One event, with its id if it has one."""
    event_id = b"" if ident is None else b"id: %d\n" % ident
    return event_id + b"data: " + data + b"\n\n"

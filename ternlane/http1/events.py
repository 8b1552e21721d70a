"""Server-sent events in the event-stream format of the WHATWG HTML standard. Does no I/O."""

from __future__ import annotations

# Largest event in bytes: far more than a token stream needs, and a bound on the memory that a peer can make us use.
EVENT_LIMIT = 4 * 2**20


class EventReader:
    """Incremental parser that returns the data fields. Chunks may end anywhere; CR, LF and CRLF all end lines.

    Raises ValueError for an event longer than `limit` bytes or for text that is not UTF-8.
    """

    def __init__(self, limit: int = EVENT_LIMIT) -> None:
        self.limit = limit
        self._rest = b""
        self._data: list[bytes] = []  # data lines of the incomplete event

    @property
    def unfinished(self) -> bool:
        """Whether an incomplete event is buffered, as after a broken stream."""
        return bool(self._rest.strip() or self._data)

    def feed(self, more: bytes) -> list[str]:
        """Returns the data of each event that these bytes complete."""
        *lines, self._rest = _normalize_line_ends(self._rest + more).split(b"\n")
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


def _normalize_line_ends(text: bytes) -> bytes:
    """Converts CR and CRLF to LF, except for a trailing CR, which may be the first half of a CRLF."""
    if b"\r" not in text:
        return text
    tail = b"\r" if text.endswith(b"\r") else b""
    body = text[: len(text) - len(tail)]
    return body.replace(b"\r\n", b"\n").replace(b"\r", b"\n") + tail


def encode_event(data: bytes, ident: int | None = None) -> bytes:
    """Encodes one event, with its id if it has one."""
    event_id = b"" if ident is None else b"id: %d\n" % ident
    return event_id + b"data: " + data + b"\n\n"

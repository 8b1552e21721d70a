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
        self._rest = bytearray()  # of an incomplete line
        self._ends_with_cr = False  # the last byte was a CR, which may be the first half of a CRLF
        self._data = bytearray()  # data lines of the incomplete event, each with its line end

    @property
    def held_bytes(self) -> int:
        """What is held of an incomplete event."""
        return len(self._rest) + len(self._data)

    @property
    def unfinished(self) -> bool:
        """Whether an incomplete event is buffered, as after a broken stream."""
        return bool(self._rest.strip() or self._data)

    def feed(self, more: bytes) -> list[str]:
        """Returns the data of each event that these bytes complete."""
        *line_ends, rest = self._normalize_line_ends(more).split(b"\n")
        events: list[str] = []
        for line_end in line_ends:
            self._rest += line_end
            line = bytes(self._rest)
            self._rest.clear()
            if line.startswith(b"data:"):
                self._add_data(line[6:] if line[5:6] == b" " else line[5:])
            elif not line and self._data:
                events.append(self._data[:-1].decode("utf-8"))
                self._data = bytearray()
        self._rest += rest
        self._check_length()
        return events

    def _add_data(self, data: bytes) -> None:
        self._data += data
        self._data += b"\n"
        self._check_length()

    def _check_length(self) -> None:
        if self.held_bytes > self.limit:
            raise ValueError(f"an event is longer than {self.limit} bytes")

    def _normalize_line_ends(self, text: bytes) -> bytes:
        """Converts CR and CRLF to LF, except for a CR at the end, which is kept for the next bytes."""
        if self._ends_with_cr:
            text = b"\r" + text
            self._ends_with_cr = False
        if b"\r" not in text:
            return text
        if text.endswith(b"\r"):
            self._ends_with_cr = True
            text = text[:-1]
        return text.replace(b"\r\n", b"\n").replace(b"\r", b"\n")


def encode_event(data: bytes, ident: int | None = None) -> bytes:
    """Encodes one event, with its id if it has one."""
    event_id = b"" if ident is None else b"id: %d\n" % ident
    return event_id + b"data: " + data + b"\n\n"

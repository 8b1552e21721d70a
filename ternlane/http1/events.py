"""Server-sent events, from the WHATWG HTML standard's event-stream format. Free of I/O."""

from __future__ import annotations

EVENT_LIMIT = 4 * 2**20


class EventReader:
    """Bytes in, data fields out. A chunk may end anywhere; CR, LF and CRLF all end lines.

    `unfinished` tells whether bytes of an event that did not end are left, as after a broken stream.
    Raises ValueError on an event longer than `limit` bytes or on text that is not UTF-8.
    """

    def __init__(self, limit: int = EVENT_LIMIT) -> None:
        self.limit = limit
        self.rest = b""
        self.data: list[bytes] = []

    @property
    def unfinished(self) -> bool:
        return bool(self.rest.strip() or self.data)

    def feed(self, more: bytes) -> list[str]:
        text = self.rest + more
        if b"\r" in text:  # a CR at the very end may be half of a CRLF
            tail = b"\r" if text.endswith(b"\r") else b""
            text = text[: len(text) - len(tail)].replace(b"\r\n", b"\n").replace(b"\r", b"\n") + tail
        *lines, self.rest = text.split(b"\n")
        if len(self.rest) + sum(map(len, self.data)) > self.limit:
            raise ValueError(f"an event is longer than {self.limit} bytes")
        out = []
        for line in lines:
            if not line:
                if self.data:
                    out.append(b"\n".join(self.data).decode("utf-8"))
                    self.data = []
            elif line.startswith(b"data:"):
                self.data.append(line[6:] if line[5:6] == b" " else line[5:])
        return out


def event_bytes(data: bytes, ident: int | None = None) -> bytes:
    return (b"" if ident is None else b"id: %d\n" % ident) + b"data: " + data + b"\n\n"

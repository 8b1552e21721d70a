"""Discovery's lists of model servers, as they come over a watch. Free of I/O."""

from __future__ import annotations

import re

import msgspec

from ternlane.policy.messages import EndpointStatus

# The words on the wire for an endpoint's status.
STATUSES = {"SERVING": EndpointStatus.READY, "DRAINING": EndpointStatus.DRAINING, "DELETED": EndpointStatus.REMOVED}
# Of one list: thousands of servers fit in it, and an endless one must not fill the memory.
LIST_BYTES = 4 * 2**20
# A JSON string, which never goes on beyond its line.
TEXT = re.compile(rb'"(?:[^"\\]|\\.)*"')


class EndpointEntry(msgspec.Struct, frozen=True):
    """One server of a list, by its names on the wire."""

    name: str
    address: str
    zone: str = ""
    type: str = ""
    group: int = 0
    status: str = "SERVING"
    weight: float = 1.0
    since_ms: float = 0.0  # when it started, by its wall clock; 0: long ago


class EndpointList(msgspec.Struct):
    """A list, or what has changed since the one before. `snapshot`: it names all servers."""

    index: int
    endpoints: list[EndpointEntry]
    snapshot: bool = False


_list_decoder = msgspec.json.Decoder(EndpointList)


class EndpointListParser:
    """Splits the bytes of a watch into its lists. Each stands on a line, or is indented over several; an empty line
    between two lists is a heartbeat."""

    def __init__(self) -> None:
        self._rest = b""
        self._lines: list[bytes] = []
        self._depth = 0  # of braces that are open

    @property
    def unfinished(self) -> bool:
        """Has a list begun whose end is still to come?"""
        return bool(self._rest.strip() or self._lines)

    def feed(self, more: bytes) -> list[bytes]:
        """The lists that have ended with these bytes. Raises ValueError for what can be no list."""
        complete: list[bytes] = []
        *lines, self._rest = (self._rest + more).split(b"\n")
        for line in lines:
            self._add_line(line)
            if self._lines and not self._depth:
                complete.append(b"\n".join(self._lines))
                self._lines = []
        if len(self._rest) + sum(map(len, self._lines)) > LIST_BYTES:
            raise ValueError("a list without end")
        return complete

    def _add_line(self, line: bytes) -> None:
        without_text = TEXT.sub(b"", line)
        self._depth += without_text.count(b"{") - without_text.count(b"}")
        if line.strip():
            self._lines.append(line)
        elif self._lines:
            raise ValueError("a beat within a list of servers")  # its end is not to come
        begins_with_brace = not self._lines or self._lines[0].lstrip().startswith(b"{")
        if self._depth < 0 or not begins_with_brace:
            raise ValueError("no list of servers")


def parse_endpoint_list(raw: bytes | msgspec.Raw) -> EndpointList:
    """Raises ValueError for what is no list: it is used whole or not at all."""
    try:
        endpoint_list = _list_decoder.decode(raw)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise ValueError(f"list of servers: {error}") from None
    for entry in endpoint_list.endpoints:
        if not _is_usable(entry):
            raise ValueError(f"list of servers: entry {entry.name!r} can't be used")
    return endpoint_list


def _is_usable(entry: EndpointEntry) -> bool:
    if entry.status not in STATUSES or not entry.name:
        return False
    if STATUSES[entry.status] is EndpointStatus.REMOVED:
        return True  # its address is of no use any more
    host, _, port = entry.address.rpartition(":")
    return bool(host) and port.isdecimal() and int(port) <= 65535

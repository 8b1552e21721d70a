"""Parses discovery's lists of model servers from the bytes of a watch. Free of I/O."""

from __future__ import annotations

import re

import msgspec

from ternlane.policy.messages import EndpointStatus

# Values of an endpoint's status on the wire.
STATUSES = {"SERVING": EndpointStatus.READY, "DRAINING": EndpointStatus.DRAINING, "DELETED": EndpointStatus.REMOVED}
# Size limit of one list: fits thousands of servers, and keeps an endless one from filling the memory.
MAX_LIST_BYTES = 4 * 2**20
# A JSON string, which never extends beyond its line. It matches without backtracking, also where no quote ends it.
JSON_STRING = re.compile(rb'"(?:[^"\\]|\\.)*+"?')


class EndpointEntry(msgspec.Struct, frozen=True):
    """An entry of a list, with the field names of the wire."""

    name: str
    address: str
    zone: str = ""
    type: str = ""
    group: int = 0
    status: str = "SERVING"
    weight: float = 1.0
    since_ms: float = 0.0  # when it started, by its wall clock; 0 means long ago


class EndpointList(msgspec.Struct):
    """A list of servers. `snapshot`: it names all servers; otherwise those that have changed since the last list."""

    index: int
    endpoints: list[EndpointEntry]
    snapshot: bool = False


_list_decoder = msgspec.json.Decoder(EndpointList)


class EndpointListParser:
    """Splits the bytes of a watch into lists. Each list is one line, or is indented over several; an empty line between
    two lists is a heartbeat."""

    def __init__(self) -> None:
        self._rest = bytearray()  # of an incomplete line
        self._list = bytearray()  # the complete lines of the incomplete list
        self._depth = 0  # number of open braces

    @property
    def held_bytes(self) -> int:
        """What is held of an incomplete list."""
        return len(self._rest) + len(self._list)

    @property
    def has_partial_list(self) -> bool:
        """Whether a list has begun that is not complete yet."""
        return bool(self._list) or (bool(self._rest) and not self._rest.isspace())

    def feed(self, data: bytes) -> list[bytes]:
        """The lists that these bytes complete. Raises ValueError if the bytes cannot be part of a list."""
        complete: list[bytes] = []
        *line_ends, rest = data.split(b"\n")
        for line_end in line_ends:
            self._rest += line_end
            line = bytes(self._rest)
            self._rest.clear()
            self._add_line(line)
            if self._list and not self._depth:
                complete.append(bytes(self._list))
                self._list.clear()
        self._rest += rest
        if self.held_bytes > MAX_LIST_BYTES:
            raise ValueError("endpoint list is too long")
        return complete

    def _add_line(self, line: bytes) -> None:
        without_strings = JSON_STRING.sub(b"", line)
        self._depth += without_strings.count(b"{") - without_strings.count(b"}")
        if line.strip():
            self._list += line if self._list else line.lstrip()
            self._list += b"\n"
        elif self._list:
            raise ValueError("heartbeat within an endpoint list")  # the rest of the list will not arrive
        begins_with_brace = not self._list or self._list.startswith(b"{")
        if self._depth < 0 or not begins_with_brace:
            raise ValueError("not an endpoint list")


def parse_endpoint_list(raw: bytes | msgspec.Raw) -> EndpointList:
    """Decodes a list. Raises ValueError if any part of it is invalid: a list is applied completely or not at all."""
    try:
        endpoint_list = _list_decoder.decode(raw)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise ValueError(f"endpoint list: {error}") from None
    for entry in endpoint_list.endpoints:
        if not _is_usable(entry):
            raise ValueError(f"endpoint list: entry {entry.name!r} is invalid")
    return endpoint_list


def _is_usable(entry: EndpointEntry) -> bool:
    if entry.status not in STATUSES or not entry.name:
        return False
    if STATUSES[entry.status] is EndpointStatus.REMOVED:
        return True  # the address of a removed server is not used
    host, _, port = entry.address.rpartition(":")
    return bool(host) and port.isdecimal() and int(port) <= 65535

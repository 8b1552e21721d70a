"""Discovery's lists become the Server objects that the decisions share. Free of I/O."""

from __future__ import annotations

import re
from dataclasses import dataclass
from math import inf

import msgspec

from ternlane.deployment import Deployment
from ternlane.platform.wall_clock import WallClock
from ternlane.policy.messages import EndpointStatus, EndpointsUpdated, Server

BEHIND_MS = 6000.0  # what discovery has to tell has been told by then, says the page
STATUSES = {"SERVING": EndpointStatus.READY, "DRAINING": EndpointStatus.DRAINING, "DELETED": EndpointStatus.REMOVED}


class Entry(msgspec.Struct, frozen=True):
    name: str
    address: str
    zone: str = ""
    type: str = ""
    group: int = 0
    status: str = "SERVING"
    weight: float = 1.0
    since_ms: float = 0.0


class EndpointList(msgspec.Struct):
    index: int
    endpoints: list[Entry]
    snapshot: bool = False


listing_in = msgspec.json.Decoder(EndpointList)
LIST_BYTES = 4 * 2**20
TEXT = re.compile(rb'"(?:[^"\\]|\\.)*"')


class Lists:
    """Bytes of a watch in, its lists out. Each stands on a line, or is indented over several; empty lines are beats."""

    def __init__(self) -> None:
        self.rest, self.lines, self.depth = b"", list[bytes](), 0

    @property
    def unfinished(self) -> bool:
        """Has a list begun whose end is still to come?"""
        return bool(self.rest.strip() or self.lines)

    def feed(self, more: bytes) -> list[bytes]:
        """Raises ValueError for what can be no list."""
        out = []
        *lines, self.rest = (self.rest + more).split(b"\n")
        for line in lines:
            bare = TEXT.sub(b"", line)  # no text goes on beyond its line
            self.depth += bare.count(b"{") - bare.count(b"}")
            if line.strip():
                self.lines.append(line)
            elif self.lines:
                raise ValueError("a beat within a list of servers")  # its end is not to come
            if self.depth < 0 or (self.lines and not self.lines[0].lstrip().startswith(b"{")):
                raise ValueError("no list of servers")
            if self.lines and not self.depth:
                out.append(b"\n".join(self.lines))
                self.lines = []
        if len(self.rest) + sum(map(len, self.lines)) > LIST_BYTES:
            raise ValueError("a list without end")
        return out


def read_listing(raw: bytes | msgspec.Raw) -> EndpointList:
    """Raises ValueError for what is no list: it is used whole or not at all."""
    try:
        listing = listing_in.decode(raw)
    except (msgspec.DecodeError, UnicodeDecodeError) as why:
        raise ValueError(f"list of servers: {why}") from None
    for entry in listing.endpoints:
        host, _, port = entry.address.rpartition(":")
        if (
            entry.status not in STATUSES
            or not entry.name
            or (entry.status != "DELETED" and (not host or not port.isdecimal() or int(port) > 65535))
        ):
            raise ValueError(f"list of servers: entry {entry.name!r} can't be used")
    return listing


@dataclass(slots=True, eq=False)
class Endpoint:
    """A server's name and address, for the sockets and the log alone."""

    name: str
    address: str
    entry: Entry


class EndpointRegistry:
    """The servers by name. A name is an identity; an address may change. What is gone is forgotten."""

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self.index, self.behind_since = 0, inf
        self.clock = WallClock()
        self.servers: dict[str, Server] = {}
        self.endpoints: dict[Server, Endpoint] = {}

    def take(self, listing: EndpointList, wall_ms: float, now: float) -> EndpointsUpdated:
        """What is new. `wall_ms` and `now` are one moment by the two clocks; a start time is turned from one into the
        other once, as it would seem to move otherwise, and by what is known of the wall clock's steps. A list older
        than what is known, as another agent may give that is behind, undoes nothing. Where that goes on for longer than
        an agent may be behind, the count itself has begun anew: raises ValueError, and the whole list is asked for."""
        self.clock.observe(wall_ms, now)
        if listing.index < self.index:
            self.behind_since = min(self.behind_since, now)
            if now < self.behind_since + BEHIND_MS:
                return EndpointsUpdated(())
            self.index, self.behind_since = 0, inf
            raise ValueError(f"lists have begun to count anew, at {listing.index}")
        self.behind_since = inf
        news: list[Server] = []
        for entry in listing.endpoints:
            server = self.servers.get(entry.name)
            if server is not None and self.endpoints[server].entry == entry:
                continue
            status = STATUSES[entry.status]
            if server is None:
                if status is EndpointStatus.REMOVED:
                    continue
                server = self.servers[entry.name] = self.deployment.server(
                    entry.name, entry.zone, entry.type, entry.group
                )
                self.endpoints[server] = Endpoint(entry.name, entry.address, entry)
                server.started_ms = self.started(entry, now)
            endpoint = self.endpoints[server]
            if endpoint.entry.since_ms != entry.since_ms:
                server.started_ms = self.started(entry, now)
            endpoint.address, endpoint.entry = entry.address, entry
            server.size, server.status = entry.weight, status
            news.append(server)
        if listing.snapshot:
            named = {entry.name for entry in listing.endpoints}
            for name, server in self.servers.items():
                if name not in named:
                    server.status = EndpointStatus.REMOVED
                    news.append(server)
        for server in news:
            if server.status is EndpointStatus.REMOVED:
                del self.servers[self.endpoints.pop(server).name]
        self.index = listing.index
        return EndpointsUpdated(tuple(news))

    def started(self, entry: Entry, now: float) -> float:
        """When it started by the monotonic clock; 0 for long ago."""
        return self.clock.began_ms(entry.since_ms, now) if entry.since_ms > 0 else 0.0

    def alter(self, deployment: Deployment) -> None:
        """Other settings: kinds of servers may have other memory."""
        self.deployment = deployment
        for server, endpoint in self.endpoints.items():
            server.kv_capacity_tokens = deployment.mem.get(endpoint.entry.type, 0.0)

"""Discovery's lists become the Server objects that the decisions share. Free of I/O."""
from __future__ import annotations

from dataclasses import dataclass

import msgspec

from ternlane.deployment import Deployment
from ternlane.port import Life, Listed, Server

LIVES = {"SERVING": Life.UP, "DRAINING": Life.DRAINING, "DELETED": Life.GONE}


class Entry(msgspec.Struct, frozen=True):
    name: str
    address: str
    zone: str = ""
    type: str = ""
    group: int = 0
    status: str = "SERVING"
    weight: float = 1.0
    since_ms: float = 0.0


class Listing(msgspec.Struct):
    index: int
    endpoints: list[Entry]
    snapshot: bool = False


listing_in = msgspec.json.Decoder(Listing)


def read_listing(raw: bytes | msgspec.Raw) -> Listing:
    """Raises ValueError for what is no list: it is used whole or not at all."""
    try:
        listing = listing_in.decode(raw)
    except (msgspec.DecodeError, UnicodeDecodeError) as why:
        raise ValueError(f"list of servers: {why}") from None
    for entry in listing.endpoints:
        host, _, port = entry.address.rpartition(":")
        if entry.status not in LIVES or not entry.name or (entry.status != "DELETED" and (
                not host or not port.isdecimal() or int(port) > 65535)):
            raise ValueError(f"list of servers: entry {entry.name!r} can't be used")
    return listing


@dataclass(slots=True, eq=False)
class Spot:
    """A server's name and address, for the sockets and the log alone."""
    name: str
    address: str
    entry: Entry


class Roster:
    """The servers by name. A name is an identity; an address may change. What is gone is forgotten."""

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self.index = 0
        self.servers: dict[str, Server] = {}
        self.spots: dict[Server, Spot] = {}

    def take(self, listing: Listing, wall_ms: float, now: float) -> Listed:
        """What is new. `wall_ms` and `now` are one moment by the two clocks; a start time is turned from one into the
        other once, as it would seem to move otherwise."""
        news: list[Server] = []
        for entry in listing.endpoints:
            server = self.servers.get(entry.name)
            if server is not None and self.spots[server].entry == entry:
                continue
            life = LIVES[entry.status]
            if server is None:
                if life is Life.GONE:
                    continue
                server = self.servers[entry.name] = self.deployment.server(entry.name, entry.zone, entry.type,
                                                                          entry.group)
                self.spots[server] = Spot(entry.name, entry.address, entry)
                server.started_ms = started(entry, wall_ms, now)
            spot = self.spots[server]
            if spot.entry.since_ms != entry.since_ms:
                server.started_ms = started(entry, wall_ms, now)
            spot.address, spot.entry = entry.address, entry
            server.size, server.life = entry.weight, life
            news.append(server)
        if listing.snapshot:
            named = {entry.name for entry in listing.endpoints}
            for name, server in self.servers.items():
                if name not in named:
                    server.life = Life.GONE
                    news.append(server)
        for server in news:
            if server.life is Life.GONE:
                del self.servers[self.spots.pop(server).name]
        self.index = listing.index
        return Listed(tuple(news))

    def alter(self, deployment: Deployment) -> None:
        """Other settings: kinds of servers may have other memory."""
        self.deployment = deployment
        for server, spot in self.spots.items():
            server.mem_toks = deployment.mem.get(spot.entry.type, 0.0)


def started(entry: Entry, wall_ms: float, now: float) -> float:
    return now - (wall_ms - entry.since_ms) if entry.since_ms > 0 else 0.0

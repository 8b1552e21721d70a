"""Node lines become the Server objects that host and decisions share. Free of I/O."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Iterable
from zlib import crc32

from ternlane.config import NodeLine
from ternlane.policy.messages import Role, EndpointStatus, EndpointsUpdated, Server

ROLES = {"read": Role.PREFILL, "write": Role.DECODE, "both": Role.BOTH}
STATUSES = {"up": EndpointStatus.READY, "draining": EndpointStatus.DRAINING, "gone": EndpointStatus.REMOVED}


@dataclass(slots=True, eq=False)
class Place:
    """A server's id and address, for the door and the legs alone."""

    ident: str
    address: str
    line: NodeLine


class EndpointRegistry:
    """`wall` gives seconds since 1970 and `now` the router's milliseconds, both of the same moment."""

    def __init__(self) -> None:
        self.servers: dict[str, Server] = {}
        self.places: dict[Server, Place] = {}

    def whole(self, lines: Iterable[NodeLine], wall: float, now: float) -> EndpointsUpdated:
        """A whole list: what it leaves out is gone. Only what changed is told."""
        news, named = [], set()
        for line in lines:
            named.add(line.id)
            server = self.servers.get(line.id)
            place = None if server is None else self.places[server]
            if server is not None and place is not None and place.line == line:
                continue
            if server is None or server.role is not ROLES[line.role]:  # another duty makes it another server
                if server is not None:
                    server.status = EndpointStatus.REMOVED
                    news.append(server)
                server = self.servers[line.id] = Server(
                    line.zone, line.cell, ROLES[line.role], line.kv_capacity_tokens, hash_key=crc32(line.id.encode())
                )
            server.zone, server.cell, server.kv_capacity_tokens, server.size = (
                line.zone,
                line.cell,
                line.kv_capacity_tokens,
                line.size,
            )
            server.started_ms = max(0.0, now - (wall - line.started) * 1000) if line.started else 0.0
            server.status = STATUSES[line.state]
            self.places[server] = Place(line.id, line.address, line)
            news.append(server)
        for ident, server in self.servers.items():
            if ident not in named and server.status is not EndpointStatus.REMOVED:
                server.status = EndpointStatus.REMOVED
                self.places[server].line = NodeLine(
                    id=ident, address=self.places[server].address, role="both", kv_capacity_tokens=1, state="gone"
                )
                news.append(server)
        return EndpointsUpdated(tuple(news))

    def lines(self) -> list[NodeLine]:
        return [self.places[s].line for s in self.servers.values() if s.status is not EndpointStatus.REMOVED]

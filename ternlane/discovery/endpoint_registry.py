"""Maps node lines to the Server objects that the runtime and the router share. Does no I/O."""

from __future__ import annotations

from collections.abc import Iterable, Set
from dataclasses import dataclass
from zlib import crc32

from ternlane.config import NodeLine
from ternlane.policy.messages import EndpointStatus, EndpointsUpdated, Role, Server

ROLES = {"read": Role.PREFILL, "write": Role.DECODE, "both": Role.BOTH}
STATUSES = {"up": EndpointStatus.READY, "draining": EndpointStatus.DRAINING, "gone": EndpointStatus.REMOVED}


@dataclass(slots=True, eq=False)
class Endpoint:
    """A server's id and address, which the router does not see."""

    ident: str
    address: str
    line: NodeLine


class EndpointRegistry:
    """All servers that were ever listed, by id, and their endpoints; removed ones have the status REMOVED.

    `wall_s` (since 1970) and `now_ms` (the router's clock), parameters of `update` and `apply`, denote the same moment.
    """

    def __init__(self) -> None:
        self.servers: dict[str, Server] = {}
        self.endpoints: dict[Server, Endpoint] = {}
        # Those that the latest list has taken from a server, perhaps for another one: open connections to them may lead
        # to the former server.
        self.handed_over_addresses: set[str] = set()

    def update(self, lines: Iterable[NodeLine], wall_s: float, now_ms: float) -> EndpointsUpdated:
        """Applies a complete list, removing servers that it omits. Returns only the servers that changed, each once. Of
        several lines of one server, the last applies."""
        holders = self._address_holders()
        changed: list[Server] = []
        listed = {line.id: line for line in lines}
        for line in listed.values():
            server = self.servers.get(line.id)
            if server is not None and self.endpoints[server].line == line:
                continue
            if server is None or server.role is not ROLES[line.role]:  # a server with another role is a new server
                if server is not None:
                    server.status = EndpointStatus.REMOVED
                    changed.append(server)
                server = self.add(line)
            self.apply(server, line, wall_s, now_ms)
            changed.append(server)
        changed.extend(self.remove_unlisted(listed.keys()))
        remaining = self._address_holders()
        self.handed_over_addresses = {
            address for address, before in holders.items() if before - remaining.get(address, set())
        }
        return EndpointsUpdated(tuple(changed))

    def _address_holders(self) -> dict[str, set[tuple[Server, float]]]:
        """The listed servers at each address, with their start times."""
        holders: dict[str, set[tuple[Server, float]]] = {}
        for server in self.servers.values():
            if server.status is not EndpointStatus.REMOVED:
                endpoint = self.endpoints[server]
                holders.setdefault(endpoint.address, set()).add((server, endpoint.line.started))
        return holders

    def add(self, line: NodeLine) -> Server:
        """Adds a server that was not listed before, or not in this role. `apply` must follow, which sets its
        endpoint."""
        server = Server(
            line.zone, line.cell, ROLES[line.role], line.kv_capacity_tokens, hash_key=crc32(line.id.encode())
        )
        self.servers[line.id] = server
        return server

    def apply(self, server: Server, line: NodeLine, wall_s: float, now_ms: float) -> None:
        """Copies the fields of a node line to its server."""
        server.zone = line.zone
        server.cell = line.cell
        server.kv_capacity_tokens = line.kv_capacity_tokens
        server.size = line.size
        server.started_ms = max(0.0, now_ms - (wall_s - line.started) * 1000) if line.started else 0.0
        server.status = STATUSES[line.state]
        self.endpoints[server] = Endpoint(line.id, line.address, line)

    def remove_unlisted(self, listed: Set[str]) -> list[Server]:
        """Marks the servers that the list omits as removed.

        Their line is replaced by a placeholder, so that a server that is listed again counts as changed.
        """
        removed = []
        for ident, server in self.servers.items():
            if ident in listed or server.status is EndpointStatus.REMOVED:
                continue
            server.status = EndpointStatus.REMOVED
            endpoint = self.endpoints[server]
            endpoint.line = NodeLine(
                id=ident, address=endpoint.address, role="both", kv_capacity_tokens=1, state="gone"
            )
            removed.append(server)
        return removed

    def lines(self) -> list[NodeLine]:
        """Returns the lines of all listed servers."""
        listed = (server for server in self.servers.values() if server.status is not EndpointStatus.REMOVED)
        return [self.endpoints[server].line for server in listed]

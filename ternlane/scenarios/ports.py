"""Reserves ports for the processes of a run."""

from __future__ import annotations

import socket
from contextlib import ExitStack
from types import TracebackType

from ternlane.scenarios.errors import RunError

# Below the range from which the system assigns ephemeral ports.
FIRST_PORT = 20000
LAST_PORT = 31000


class PortReservation:
    """Consecutive ports that no other reservation contains until it is closed or its process ends.

    A server that sets SO_REUSEADDR can listen on them. `first` is the first port.
    """

    def __init__(self, first: int, sockets: ExitStack) -> None:
        self.first = first
        self._sockets = sockets

    def close(self) -> None:
        """Gives the ports back."""
        self._sockets.close()

    def __enter__(self) -> PortReservation:
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        self.close()


def reserve_ports(count: int) -> PortReservation:
    """Reserves `count` consecutive ports that no process listens on. Raises RunError if there are none."""
    first = FIRST_PORT
    while first + count <= LAST_PORT:
        with ExitStack() as sockets:
            taken = next((port for port in range(first, first + count) if not _reserve(port, sockets)), None)
            if taken is None:
                return PortReservation(first, sockets.pop_all())
        first = taken + 1
    raise RunError(f"no {count} consecutive free ports between {FIRST_PORT} and {LAST_PORT}")


def _reserve(port: int, sockets: ExitStack) -> bool:
    """Binds a socket to the port, which stays bound until `sockets` is closed. False if the port is in use.

    Two sockets that both set SO_REUSEADDR before they are bound would get the same port. Set afterwards, the option
    lets only a server listen on the port.
    """
    holder = sockets.enter_context(socket.socket())
    try:
        holder.bind(("0.0.0.0", port))
    except OSError:
        return False
    holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    return True

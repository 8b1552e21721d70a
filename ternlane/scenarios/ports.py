"""Free ports for the processes of a run."""

from __future__ import annotations

import socket

from ternlane.scenarios.errors import RunError

# Below the range from which the system assigns ephemeral ports.
FIRST_PORT = 20000
LAST_PORT = 31000


def free_ports(count: int) -> int:
    """The first of `count` consecutive ports that no process listens on. Raises RunError if there are none."""
    first = FIRST_PORT
    while first + count < LAST_PORT:
        taken = next((port for port in range(first, first + count) if not _is_free(port)), None)
        if taken is None:
            return first
        first = taken + 1
    raise RunError(f"no {count} consecutive free ports between {FIRST_PORT} and {LAST_PORT}")


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind(("0.0.0.0", port))
        except OSError:
            return False
    return True

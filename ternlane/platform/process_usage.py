"""What this process uses of the machine, for the operators' report."""

from __future__ import annotations

import os
import resource


def open_descriptors() -> int:
    """How many are open; -1 where that can't be told, as where none is left to look with."""
    try:
        return len(os.listdir("/proc/self/fd"))
    except OSError:
        return -1


def memory_mb() -> float:
    """Resident memory in MiB; the largest so far where the present one can't be told."""
    try:
        with open("/proc/self/statm") as pages:
            return int(pages.read().split()[1]) * resource.getpagesize() / 2**20
    except (OSError, ValueError, IndexError):
        return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024

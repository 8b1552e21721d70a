"""File descriptors and memory that this process uses, for the regular report."""

from __future__ import annotations

import os
import resource


def open_descriptors() -> int:
    """The number of open file descriptors; -1 if it can't be read, for example because no descriptor is left."""
    try:
        return len(os.listdir("/proc/self/fd"))
    except OSError:
        return -1


def memory_mb() -> float:
    """Resident memory in MiB; the peak so far if the current value can't be read."""
    try:
        with open("/proc/self/statm") as pages:
            return int(pages.read().split()[1]) * resource.getpagesize() / 2**20
    except (OSError, ValueError, IndexError):
        return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024

"""Reads batches of the simulator from standard input until it ends, and writes the answers to standard output."""

import gc
import sys

from ternlane.wirehost.host import Host

# The last line of a batch.
END_OF_BATCH = "EOB"


def main() -> int:
    """Serves the simulator; returns the exit status."""
    gc.freeze()
    host = Host()
    batch: list[str] = []
    for text in sys.stdin:
        line = text.rstrip("\n")
        if line == END_OF_BATCH:
            sys.stdout.write("\n".join(host.answer(batch)) + "\n")
            sys.stdout.flush()
            batch = []
        elif line:
            batch.append(line)
    return 0


if __name__ == "__main__":
    sys.exit(main())

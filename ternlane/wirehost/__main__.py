"""Reads batches from standard input until it ends, and answers each on standard output."""

import gc
import sys

from ternlane.wirehost.host import Host


def main() -> int:
    gc.freeze()
    host = Host()
    out = sys.stdout
    batch: list[str] = []
    for line in sys.stdin:
        line = line.rstrip("\n")
        if line == "EOB":
            out.write("\n".join(host.answer(batch)) + "\n")
            out.flush()
            batch = []
        elif line:
            batch.append(line)
    return 0


if __name__ == "__main__":
    sys.exit(main())

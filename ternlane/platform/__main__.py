"""Starts a gateway on the platform. Signals are seen to before the rest is read in, which takes a moment."""

import signal
import sys

if __name__ == "__main__":
    told_early: list[int] = []
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # neither may end a program that is only just starting
    signal.signal(signal.SIGTERM, lambda number, _: told_early.append(number))
    from ternlane.platform.process import main

    sys.exit(main(told_early))

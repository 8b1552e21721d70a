"""Starts a gateway on the platform. Signals are seen to before the rest is read in, which takes a moment."""

import signal
import sys
import time

if __name__ == "__main__":
    end_signals_at: list[float] = []  # when told to end, s by the monotonic clock
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # neither may end a program that is only just starting
    signal.signal(signal.SIGTERM, lambda *_: end_signals_at.append(time.monotonic()))
    from ternlane.platform.process import main

    sys.exit(main(end_signals_at))

"""Starts a platform gateway. Signal handlers are installed before the other modules are imported, which takes time."""

import signal
import sys
import time

if __name__ == "__main__":
    end_signal_times_s: list[float] = []  # when SIGTERM arrived, by the monotonic clock
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # neither signal may kill the process while it starts
    signal.signal(signal.SIGTERM, lambda *_: end_signal_times_s.append(time.monotonic()))
    from ternlane.platform.process import main

    sys.exit(main(end_signal_times_s))

"""A gateway process whose event loop falls behind: each choice of servers keeps it busy for a while.

`python -m tests.slow_gateway platform MS` and `python -m tests.slow_gateway chat MS CONFIG`.
"""

from __future__ import annotations

import sys
import time
from typing import Any

from ternlane.policy.placement import Placement


def slow_down_choices(busy_ms: float) -> None:
    """Makes each choice use the processor for this long."""
    best_pair = Placement.best_pair

    def slow_best_pair(placement: Placement, *arguments: Any) -> Any:
        end_s = time.thread_time() + busy_ms / 1000
        while time.thread_time() < end_s:
            pass
        return best_pair(placement, *arguments)

    Placement.best_pair = slow_best_pair  # type: ignore[method-assign]


def main(kind: str, busy_ms: str, *arguments: str) -> None:
    """Runs the gateway."""
    slow_down_choices(float(busy_ms))
    if kind == "platform":
        from ternlane.platform.process import main as serve_platform

        sys.exit(serve_platform([]))
    from ternlane.cli import main as command_line

    sys.argv = ["ternlane", "serve", *arguments]
    command_line()


if __name__ == "__main__":
    main(*sys.argv[1:])

"""Compares budget admission, answer-length estimates, quotas and the ledger with simple alternatives.

python -m bench.budget [decisions|lengths|parts|ledger] [--entries 1000000]
"""

from __future__ import annotations

import argparse
from collections.abc import Callable
from functools import partial

from bench.budget_decisions import print_decisions
from bench.budget_ledger import print_ledger
from bench.budget_lengths import print_lengths
from bench.budget_quotas import print_quotas


def main() -> None:
    """Runs the comparisons named on the command line, by default all."""
    parser = argparse.ArgumentParser()
    parser.add_argument("what", nargs="*", default=["decisions", "lengths", "parts", "ledger"])
    parser.add_argument("--entries", type=int, default=1_000_000)
    options = parser.parse_args()
    comparisons: dict[str, Callable[[], None]] = {
        "decisions": print_decisions,
        "lengths": print_lengths,
        "parts": print_quotas,
        "ledger": partial(print_ledger, options.entries),
    }
    for name in options.what:
        comparisons[name]()
        print()


if __name__ == "__main__":
    main()

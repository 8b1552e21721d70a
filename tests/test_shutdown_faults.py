"""Shutdowns of a gateway process under random faults (`tests/shutdown_scenario.py`), one per seed.

To run more seeds: `TERNLANE_SHUTDOWN_SEEDS=1-60 python -m pytest tests/test_shutdown_faults.py`.
"""

from __future__ import annotations

import os
from pathlib import Path

import pytest

from tests.shutdown_scenario import run_shutdown

FIRST, _, LAST = os.environ.get("TERNLANE_SHUTDOWN_SEEDS", "1-4").partition("-")


@pytest.mark.parametrize("seed", range(int(FIRST), int(LAST or FIRST) + 1))
async def test_a_shutdown_under_random_faults_breaks_no_rule(seed: int, tmp_path: Path) -> None:
    shutdown_run, violations = await run_shutdown(seed, tmp_path)
    assert not violations, f"seed {seed}, faults {shutdown_run.plan.faults}"
    assert len(shutdown_run.sent) >= shutdown_run.plan.clients // 2  # enough requests for a meaningful check

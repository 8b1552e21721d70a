"""Shutdowns of a gateway process under faults that seeds draw (`tests/shutdown_scenario.py`).

More seeds by hand: `TERNLANE_SHUTDOWN_SEEDS=1-60 python -m pytest tests/test_shutdown_faults.py`.
"""

from __future__ import annotations

import os
from pathlib import Path

import pytest

from tests.shutdown_scenario import play_shutdown

FIRST, _, LAST = os.environ.get("TERNLANE_SHUTDOWN_SEEDS", "1-4").partition("-")


@pytest.mark.parametrize("seed", range(int(FIRST), int(LAST or FIRST) + 1))
async def test_no_shutdown_under_drawn_faults_breaks_a_rule(seed: int, tmp_path: Path) -> None:
    played, broken = await play_shutdown(seed, tmp_path)
    assert not broken, f"seed {seed}, faults {played.plan.faults}"
    assert len(played.sent) >= played.plan.users // 2  # enough of them to judge

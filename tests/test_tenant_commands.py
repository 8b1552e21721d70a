"""The operators' commands on the file of tenants and on ledgers, as programs."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from pathlib import Path

import pytest

from ternlane.ledger import BillingLedger, Disk
from tests.tenant_data import entry

ROOT = Path(__file__).parent.parent


class Commands:
    """`python -m ternlane` in a folder of its own."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder

    def run(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        return subprocess.run(
            [sys.executable, "-m", "ternlane", *arguments],
            capture_output=True,
            text=True,
            timeout=60,
            cwd=self.folder,
            env={**os.environ, "PYTHONPATH": str(ROOT)},
        )

    def code(self, *arguments: str) -> int:
        return self.run(*arguments).returncode


@pytest.fixture
def commands(tmp_path: Path) -> Commands:
    return Commands(tmp_path)


def test_a_tenants_key_and_budget_are_set_shown_and_ended(commands: Commands) -> None:
    """The secret of a key is printed once, and stands neither in the file nor in what is shown."""
    assert commands.code("tenant", "add", "noto", "--zone", "Europe/Rome", "--period", "day") == 0
    key = commands.run("tenant", "key", "new", "noto").stdout.strip()
    assert key.startswith("tl-")
    assert commands.code("tenant", "budget", "set", "noto", "--minute", "5000", "--overdraft", "100") == 0
    assert commands.code("tenant", "key", "revoke", key, "--in", "60") == 0
    shown = commands.run("tenant", "show").stdout
    assert "minute 5000" in shown and "retiring" in shown
    secret = key.split("-", 2)[2]
    assert secret not in shown
    assert secret not in (commands.folder / "tenants.json5").read_text()


@pytest.mark.parametrize(
    "wrong",
    [
        ("add", "noto"),
        ("add", "x", "--zone", "Mars/Base"),
        ("budget", "set", "noto", "--minute", "-5"),
        ("budget", "set", "nobody", "--minute", "5"),
    ],
    ids=["twice", "no such zone", "below zero", "no such tenant"],
)
def test_a_change_that_can_not_be_is_refused(commands: Commands, wrong: tuple[str, ...]) -> None:
    """Gateways follow the file: a wrong one would stop all changes at all of them."""
    assert commands.code("tenant", "add", "noto", "--zone", "Europe/Rome", "--period", "day") == 0
    before = (commands.folder / "tenants.json5").read_bytes()
    assert commands.code("tenant", *wrong) == 65
    assert (commands.folder / "tenants.json5").read_bytes() == before


def test_bills_are_summed_and_reconciled_with_servers_counts(commands: Commands) -> None:
    """Three bills agree with what servers counted; then one answer is 50 tokens longer than its bill."""
    store = BillingLedger(Disk(commands.folder / "ledger"))
    for i in range(1, 4):
        store.append(entry(i))
    store.commit()
    rows = json.loads(commands.run("bill", "--ledger", "ledger", "--format", "json").stdout)
    assert sum(row["micros"] for row in rows) == 5 * 6
    assert commands.run("bill", "--ledger", "ledger").stdout.count("\n") == 6
    counts = [{"gen": f"g{i}", "prompt": i + 1, "kept": 0, "answer": 2 * i} for i in range(1, 4)]
    assert reconcile(commands, counts).returncode == 0
    counts[1]["answer"] += 50
    wrong = reconcile(commands, counts)
    assert wrong.returncode == 1 and "differs    g2" in wrong.stdout


def reconcile(commands: Commands, counts: list[dict[str, object]]) -> subprocess.CompletedProcess[str]:
    (commands.folder / "made.jsonl").write_text("\n".join(map(json.dumps, counts)))
    return commands.run("bill", "--ledger", "ledger", "reconcile", "--engines", "made.jsonl")

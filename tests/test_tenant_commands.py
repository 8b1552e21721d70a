"""Tests the commands for the tenants file and for ledgers, run as separate processes."""

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


class CommandRunner:
    """Runs `python -m ternlane` in a folder."""

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

    def exit_code(self, *arguments: str) -> int:
        return self.run(*arguments).returncode


@pytest.fixture
def commands(tmp_path: Path) -> CommandRunner:
    return CommandRunner(tmp_path)


def test_a_tenants_key_and_budget_are_set_shown_and_revoked(commands: CommandRunner) -> None:
    """The secret of a key is printed once. It is not in the tenants file and not in the output of `tenant show`."""
    assert commands.exit_code("tenant", "add", "noto", "--zone", "Europe/Rome", "--period", "day") == 0
    key = commands.run("tenant", "key", "new", "noto").stdout.strip()
    assert key.startswith("tl-")
    assert commands.exit_code("tenant", "budget", "set", "noto", "--minute", "5000", "--overdraft", "100") == 0
    assert commands.exit_code("tenant", "key", "revoke", key, "--in", "60") == 0
    shown = commands.run("tenant", "show").stdout
    assert "minute 5000" in shown and "retiring" in shown
    secret = key.split("-", 2)[2]
    assert secret not in shown
    assert secret not in (commands.folder / "tenants.json5").read_text()


@pytest.mark.parametrize(
    "invalid_change",
    [
        ("add", "noto"),
        ("add", "x", "--zone", "Mars/Base"),
        ("budget", "set", "noto", "--minute", "-5"),
        ("budget", "set", "nobody", "--minute", "5"),
    ],
    ids=["duplicate", "unknown time zone", "negative", "unknown tenant"],
)
def test_an_invalid_change_is_rejected(commands: CommandRunner, invalid_change: tuple[str, ...]) -> None:
    """Gateways reload the file: with an invalid one, no later change would take effect on any of them."""
    assert commands.exit_code("tenant", "add", "noto", "--zone", "Europe/Rome", "--period", "day") == 0
    before = (commands.folder / "tenants.json5").read_bytes()
    assert commands.exit_code("tenant", *invalid_change) == 65
    assert (commands.folder / "tenants.json5").read_bytes() == before


def test_bills_are_summed_and_reconciled_with_the_counts_of_servers(commands: CommandRunner) -> None:
    """Three bills agree with the counts of the servers; then one answer is 50 tokens longer than billed."""
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
    differing = reconcile(commands, counts)
    assert differing.returncode == 1 and "differs    g2" in differing.stdout


def reconcile(commands: CommandRunner, counts: list[dict[str, object]]) -> subprocess.CompletedProcess[str]:
    (commands.folder / "made.jsonl").write_text("\n".join(map(json.dumps, counts)))
    return commands.run("bill", "--ledger", "ledger", "reconcile", "--engines", "made.jsonl")

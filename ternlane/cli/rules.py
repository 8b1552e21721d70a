"""`ternlane rules`: checks recorded traffic for violations of the rules."""

from __future__ import annotations

import json
import sys
from pathlib import Path

import click

from ternlane.cli.common import ExitCode


@click.group()
def rules() -> None:
    """The five rules that a gateway must keep, checked on recorded traffic."""


@rules.command("check")
@click.argument("folder", type=click.Path(exists=True, file_okay=False))
@click.option("--lines/--no-lines", default=False, help="show the recorded lines of each violation")
def rules_check(folder: str, lines: bool) -> None:
    """Checks the traffic recorded as JSON lines in FOLDER."""
    from ternlane.rules import check_folder

    findings = check_folder(Path(folder))
    click.echo("judged: " + ", ".join(f"{count} {name}" for name, count in findings.judged_counts.items()))
    for violation in findings.violations:
        click.echo(f"rule {violation.rule}  {violation.request}  {violation.why}")
        for line in violation.lines if lines else ():
            click.echo(f"    {json.dumps(line)}")
    click.echo("all five kept" if findings.passed else f"{len(findings.violations)} times broken")
    sys.exit(ExitCode.OK if findings.passed else ExitCode.CHECK_FAILED)

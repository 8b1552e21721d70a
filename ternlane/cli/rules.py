"""`ternlane rules`: recorded traffic judged by the rules."""

from __future__ import annotations

import json
import sys
from pathlib import Path

import click

from ternlane.cli.common import ExitCode


@click.group()
def rules() -> None:
    """The five rules, judged by what crossed the sockets."""


@rules.command("check")
@click.argument("folder", type=click.Path(exists=True, file_okay=False))
@click.option("--lines/--no-lines", default=False, help="show the offending lines")
def rules_check(folder: str, lines: bool) -> None:
    """Judges the JSON lines in FOLDER again."""
    from ternlane.rules import check_folder

    findings = check_folder(Path(folder))
    click.echo("judged: " + ", ".join(f"{count} {name}" for name, count in findings.judged_counts.items()))
    for found in findings.violations:
        click.echo(f"rule {found.rule}  {found.request}  {found.why}")
        for line in found.lines if lines else ():
            click.echo(f"    {json.dumps(line)}")
    click.echo("all five kept" if findings.passed else f"{len(findings.violations)} times broken")
    sys.exit(ExitCode.OK if findings.passed else ExitCode.BROKEN)

"""`ternlane bill`: bills out of ledgers, and their reconciliation."""

from __future__ import annotations

import json
import sys
from collections.abc import Iterable
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

from ternlane.cli.common import ExitCode, fail

if TYPE_CHECKING:
    from ternlane.ledger.reconciliation import Reconciliation


@click.group(invoke_without_command=True)
@click.option(
    "--ledger",
    "ledgers",
    multiple=True,
    type=click.Path(exists=True, file_okay=False),
    help="a gateway's ledger folder; name all of them",
)
@click.option("--tenant", "who")
@click.option("--period")
@click.option("--format", "form", type=click.Choice(["table", "csv", "json"]), default="table")
@click.pass_context
def bill(ctx: click.Context, ledgers: tuple[str, ...], who: str | None, period: str | None, form: str) -> None:
    """Bills by tenant, product and period, summed over gateways' ledgers."""
    if ctx.invoked_subcommand is not None:
        ctx.obj = ledgers
        return
    from ternlane.ledger import CorruptLedgerError
    from ternlane.ledger.billing_report import bill_rows, format_rows

    try:
        click.echo(format_rows(bill_rows([Path(p) for p in ledgers], who, period), form))
    except CorruptLedgerError as error:
        fail(error, ExitCode.DATA)


@bill.command("reconcile")
@click.option(
    "--engines",
    "files",
    multiple=True,
    required=True,
    type=click.Path(exists=True, dir_okay=False),
    help="JSON lines of the engines' counts: gen, prompt, kept, answer",
)
@click.option("--within", type=float, default=0.01, help="part of the engines' tokens that may be off")
@click.pass_context
def bill_reconcile(ctx: click.Context, files: tuple[str, ...], within: float) -> None:
    """Holds ledgers against the engines' counts and names each generation that does not add up."""
    from ternlane.ledger.billing_report import read_entries
    from ternlane.ledger.reconciliation import reconcile

    found = reconcile(read_entries([Path(p) for p in ctx.obj]), read_counts(files))
    print_reconciliation(found)
    sys.exit(ExitCode.OK if found.unexplained_share <= within and not found.duplicates else ExitCode.BROKEN)


def read_counts(files: Iterable[str]) -> list[dict[str, Any]]:
    """The lines with counts; such files hold other lines too, and the last one may be torn."""
    counts = []
    for file in files:
        for raw in Path(file).read_text().splitlines():
            try:
                line = json.loads(raw)
            except ValueError:
                continue
            if "gen" in line and "answer" in line and "prompt" in line:
                counts.append(line)
    return counts


def print_reconciliation(found: Reconciliation) -> None:
    """The sums, then each request that does not add up, then how far all of it is off."""
    for what, usage in (("engines made", found.counted), ("billed", found.billed), ("house", found.unbilled)):
        click.echo(f"{what:<16}{usage.prompt:>12} prompt{usage.answer:>12} answer")
    for request, (made, told) in sorted(found.differing.items()):
        click.echo(
            f"differs    {request}  made {made.prompt} + {made.answer}, billed and house {told.prompt} + {told.answer}"
        )
    for request, made in sorted(found.unsettled.items()):
        click.echo(f"unsettled  {request}  made {made.prompt} + {made.answer}")
    for request in found.duplicates:
        click.echo(f"doubled    {request}")
    click.echo(f"off by {found.unexplained_share:.3%}")

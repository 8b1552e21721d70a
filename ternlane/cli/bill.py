"""`ternlane bill`: computes bills from ledgers and reconciles ledgers with the servers' token counts."""

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
    help="ledger folder of a gateway; repeat for each gateway",
)
@click.option("--tenant", "tenant_name")
@click.option("--period")
@click.option("--format", "output_format", type=click.Choice(["table", "csv", "json"]), default="table")
@click.pass_context
def bill(
    ctx: click.Context, ledgers: tuple[str, ...], tenant_name: str | None, period: str | None, output_format: str
) -> None:
    """Prints bills by tenant, product and period, summed over the ledgers of all gateways."""
    if ctx.invoked_subcommand is not None:
        ctx.obj = ledgers
        return
    from ternlane.ledger import CorruptLedgerError
    from ternlane.ledger.billing_report import bill_rows, format_rows

    try:
        click.echo(format_rows(bill_rows([Path(p) for p in ledgers], tenant_name, period), output_format))
    except CorruptLedgerError as error:
        fail(error, ExitCode.DATA)


@bill.command("reconcile")
@click.option(
    "--engines",
    "files",
    multiple=True,
    required=True,
    type=click.Path(exists=True, dir_okay=False),
    help="file with the token counts of the engines as JSON lines: gen, prompt, kept, answer",
)
@click.option("--within", type=float, default=0.01, help="tolerated difference, as a share of the engines' tokens")
@click.pass_context
def bill_reconcile(ctx: click.Context, files: tuple[str, ...], within: float) -> None:
    """Compares the ledgers with the token counts of the engines and prints each request that differs."""
    from ternlane.ledger.billing_report import read_entries
    from ternlane.ledger.reconciliation import reconcile

    result = reconcile(read_entries([Path(p) for p in ctx.obj]), read_counts(files))
    print_reconciliation(result)
    sys.exit(ExitCode.OK if result.unexplained_share <= within and not result.duplicates else ExitCode.CHECK_FAILED)


def read_counts(files: Iterable[str]) -> list[dict[str, Any]]:
    """The lines with token counts. Other lines and an incomplete last line are skipped."""
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


def print_reconciliation(result: Reconciliation) -> None:
    """Prints the sums, each request that differs, and the unexplained share of the tokens."""
    for label, usage in (("engines made", result.counted), ("billed", result.billed), ("house", result.unbilled)):
        click.echo(f"{label:<16}{usage.prompt:>12} prompt{usage.answer:>12} answer")
    for request, (counted, recorded) in sorted(result.differing.items()):
        click.echo(
            f"differs    {request}  made {counted.prompt} + {counted.answer}, "
            f"billed and house {recorded.prompt} + {recorded.answer}"
        )
    for request, counted in sorted(result.unsettled.items()):
        click.echo(f"unsettled  {request}  made {counted.prompt} + {counted.answer}")
    for request in result.duplicates:
        click.echo(f"doubled    {request}")
    click.echo(f"off by {result.unexplained_share:.3%}")

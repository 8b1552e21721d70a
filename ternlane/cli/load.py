"""`ternlane load`: generates load on a loopback address and measures response times."""

from __future__ import annotations

import json
from contextlib import ExitStack
from typing import TYPE_CHECKING, Any

import click
import trio

from ternlane.cli.common import ExitCode, fail, load_document

if TYPE_CHECKING:
    from ternlane.load.generator import LoadGenerator

PROGRESS_INTERVAL_S = 1.0


@click.command()
@click.argument("file", type=click.Path(dir_okay=False))
@click.argument("url")
@click.option("--out", type=click.Path(dir_okay=False), help="file for JSON lines, one per finished request")
@click.option("--quiet", is_flag=True, help="no progress line")
def load(file: str, url: str, out: str | None, quiet: bool) -> None:
    """Sends the load described in FILE to URL, a loopback address with an OpenAI-compatible API, and prints the
    response times as JSON.

    Times are measured from the scheduled start of each request. If the tool could not keep its schedule, it prints no
    times and exits with code 75."""
    from ternlane.load import LoadConfig
    from ternlane.load.generator import LoadGenerator, NotLoopbackError, ScheduleMissedError

    config = load_document(file, LoadConfig)
    with ExitStack() as stack:
        sink = stack.enter_context(open(out, "w", encoding="utf-8")) if out else None

        def write_line(line: dict[str, Any]) -> None:
            if sink is not None:
                sink.write(json.dumps(line) + "\n")

        try:
            run = LoadGenerator(config, url, write_line)
        except NotLoopbackError as error:
            raise click.UsageError(str(error)) from None
        try:
            trio.run(run_with_progress, run, quiet)
        except* ScheduleMissedError as group:
            fail(group.exceptions[0], ExitCode.TEMPORARY)
    click.echo(json.dumps(run.tally.summary()))


async def run_with_progress(run: LoadGenerator, quiet: bool) -> None:
    """Runs the load, with a progress line on standard error unless `quiet`."""
    async with trio.open_nursery() as nursery:
        if not quiet:
            nursery.start_soon(show_progress, run)
        try:
            await run.run()
        finally:
            nursery.cancel_scope.cancel()
            if not quiet:
                click.echo(err=True)


async def show_progress(run: LoadGenerator) -> None:
    """Updates the progress line until cancelled."""
    while True:
        await trio.sleep(PROGRESS_INTERVAL_S)
        click.echo(f"\r{run.now_s():6.0f} s  {run.open} open  {dict(run.tally.outcomes)}", nl=False, err=True)

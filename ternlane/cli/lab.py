"""`ternlane lab`: emulated engines fitted to described latency curves."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

import click

from ternlane.cli.common import ExitCode, fail, load_document

if TYPE_CHECKING:
    from ternlane.emulator.engine_kind import EngineKind
    from ternlane.emulator.fit import FittedEngine


@click.group()
def lab() -> None:
    """The laboratory: emulated engines."""


@lab.command("fit")
@click.argument("files", nargs=-1, required=True, type=click.Path(dir_okay=False))
@click.option(
    "--within",
    nargs=2,
    type=float,
    default=(0.05, 0.10),
    show_default=True,
    help="parts by which medians and 99th percentiles may be off at points held out",
)
def lab_fit(files: tuple[str, ...], within: tuple[float, float]) -> None:
    """Fits emulated engines to described latency curves and holds them against the points left out of the fit."""
    from ternlane.emulator.engine_kind import EngineKind

    kinds = [load_document(file, EngineKind) for file in files]
    try:
        from ternlane.emulator.fit import fit
    except ImportError as error:
        fail(f"{error}: install ternlane[lab]", ExitCode.UNAVAILABLE)
    all_within = True
    for file, kind in zip(files, kinds, strict=True):
        try:
            found = fit(kind)
        except ValueError as error:
            fail(f"{file}: {error}", ExitCode.DATA)
        print_fit(kind, found)
        median, tail = print_worst(found)
        all_within = all_within and median <= within[0] and tail <= within[1]
    sys.exit(ExitCode.OK if all_within else ExitCode.BROKEN)


def print_fit(kind: EngineKind, found: FittedEngine) -> None:
    """The fitted pace of an engine, and how far it is off at each point."""
    cost = found.config.cost
    click.echo(
        f"{kind.name}: a step {cost.step_ms:.3f} ms, {cost.decode_ms:.4f} a writer, {cost.prefill_ms:.4f} a "
        f"token read beyond {cost.free_tokens}, {cost.context_ms:.4f} a thousand looked back at; spread "
        f"{found.traits.jitter:.1%}"
    )
    click.echo("  at once  prompt  answer       first token    between tokens   off: median, 99th percentile")
    for point, off in found.errors:
        click.echo(
            f"{point.at_once:>9}{point.prompt:>8}{point.answer:>8}{point.first_ms[0]:>9.1f}"
            f"{point.first_ms[1]:>9.1f}{point.between_ms[0]:>9.2f}{point.between_ms[1]:>9.2f}   "
            + " ".join(f"{part:>+7.1%}" for part in off)
            + ("  held out" if point.held_out else "")
        )


def print_worst(found: FittedEngine) -> tuple[float, float]:
    """Prints and returns the largest errors of medians and 99th percentiles, at points held out if there are any."""
    held_out = any(point.held_out for point, _ in found.errors)
    median, tail = found.worst(held_out)
    where = "held out" if held_out else "of the fit"
    click.echo(f"  worst {where}: {median:.1%} at medians, {tail:.1%} at 99th percentiles")
    return median, tail

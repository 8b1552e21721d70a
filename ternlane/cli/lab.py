"""`ternlane lab`: fits emulated engines to given latency curves."""

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
    """Emulated engines."""


@lab.command("fit")
@click.argument("files", nargs=-1, required=True, type=click.Path(dir_okay=False))
@click.option(
    "--within",
    nargs=2,
    type=float,
    default=(0.05, 0.10),
    show_default=True,
    help="tolerated relative errors of medians and 99th percentiles at held-out points",
)
def lab_fit(files: tuple[str, ...], within: tuple[float, float]) -> None:
    """Fits emulated engines to latency curves, and prints the errors at the points held out of the fit."""
    from ternlane.emulator.engine_kind import EngineKind

    kinds = [load_document(file, EngineKind) for file in files]
    try:
        from ternlane.emulator.fit import fit
    except ImportError as error:
        fail(f"{error}: install ternlane[lab]", ExitCode.UNAVAILABLE)
    all_within = True
    for file, kind in zip(files, kinds, strict=True):
        try:
            fitted = fit(kind)
        except ValueError as error:
            fail(f"{file}: {error}", ExitCode.DATA)
        print_fit(kind, fitted)
        median, tail = print_worst(fitted)
        all_within = all_within and median <= within[0] and tail <= within[1]
    sys.exit(ExitCode.OK if all_within else ExitCode.CHECK_FAILED)


def print_fit(kind: EngineKind, fitted: FittedEngine) -> None:
    """Prints the fitted costs of an engine and the relative errors of its latencies at each point of the curve."""
    cost = fitted.config.cost
    click.echo(
        f"{kind.name}: costs in ms: {cost.step_ms:.3f} per step, {cost.decode_ms:.4f} per decoding sequence, "
        f"{cost.prefill_ms:.4f} per prefilled token beyond {cost.free_tokens}, {cost.context_ms:.4f} per thousand "
        f"context tokens; jitter {fitted.traits.jitter:.1%}"
    )
    click.echo(
        "  latencies in ms               first token    between tokens    relative errors of these\n"
        "  at once  prompt  answer      p50      p99      p50      p99       p50     p99     p50     p99"
    )
    for point, errors in fitted.errors:
        click.echo(
            f"{point.at_once:>9}{point.prompt:>8}{point.answer:>8}{point.first_ms[0]:>9.1f}"
            f"{point.first_ms[1]:>9.1f}{point.between_ms[0]:>9.2f}{point.between_ms[1]:>9.2f}   "
            + " ".join(f"{error:>+7.1%}" for error in errors)
            + ("  held out" if point.held_out else "")
        )


def print_worst(fitted: FittedEngine) -> tuple[float, float]:
    """Prints and returns the largest errors of medians and 99th percentiles, at held-out points if there are any."""
    held_out = any(point.held_out for point, _ in fitted.errors)
    median, tail = fitted.worst(held_out)
    points = "points held out of the fit" if held_out else "points of the fit"
    click.echo(f"  largest errors at {points}: {median:.1%} at medians, {tail:.1%} at 99th percentiles")
    return median, tail

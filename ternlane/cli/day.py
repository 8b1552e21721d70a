"""`ternlane day`: scripted days of faults, through real sockets."""

from __future__ import annotations

import json
import signal
import sys
from pathlib import Path
from typing import TYPE_CHECKING

import click
import trio

from ternlane.cli.common import ExitCode, fail, load_document

if TYPE_CHECKING:
    from ternlane.scenarios.scenario import Scenario


@click.group()
def day() -> None:
    """Bad days from a script, through real sockets."""


@day.command("play")
@click.argument("file")
@click.option("--out", help="folder for everything the run writes (found/days/NAME)")
@click.option("--seed", type=int, help="another seed than the script's")
@click.option("--chooser", default="", help="module:name of a baseline to measure against")
@click.option("--without", multiple=True, help="leave out troubles of this kind")
@click.option("--quiet", is_flag=True)
def day_play(file: str, out: str | None, seed: int | None, chooser: str, without: tuple[str, ...], quiet: bool) -> None:
    """Plays FILE and judges it: exit code 1 if a rule was broken."""
    from ternlane.scenarios.errors import RunError
    from ternlane.scenarios.runner import ScenarioRunner
    from ternlane.scenarios.scenario import Scenario

    script = load_document(file, Scenario)
    text = Path(file).read_text()
    if seed is not None or without:
        script, text = changed_script(script, seed, without)
    folder = Path(out) if out else Path("found") / "days" / script.name
    runner = ScenarioRunner(script, text, folder, chooser, (lambda _: None) if quiet else click.echo)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(ExitCode.TERMINATED))  # so that every process started is ended
    try:
        report = trio.run(runner.run)
    except* RunError as group:
        fail(f"the day could not be played: {group.exceptions[0]}", ExitCode.UNAVAILABLE)
    click.echo(f"report: {runner.folder / 'report.json'}")
    sys.exit(ExitCode.OK if report["rules_kept"] else ExitCode.BROKEN)


def changed_script(script: Scenario, seed: int | None, without: tuple[str, ...]) -> tuple[Scenario, str]:
    """The script with another seed (None: its own) and without faults of these kinds, and its text."""
    import msgspec

    troubles = [fault for fault in script.troubles if str(fault.__struct_config__.tag) not in without]
    changed = msgspec.structs.replace(script, seed=script.seed if seed is None else seed, troubles=troubles)
    return changed, msgspec.json.encode(changed).decode()


@day.command("check")
@click.argument("files", nargs=-1, required=True)
def day_check(files: tuple[str, ...]) -> None:
    """Checks scripts and shows what they come to."""
    from ternlane.scenarios.fault_plan import fault_actions_of
    from ternlane.scenarios.fleet_plan import engines_of
    from ternlane.scenarios.scenario import Scenario

    for file in files:
        script = load_document(file, Scenario)
        click.echo(
            f"{file}: good; {script.gateways} gateways, {len(engines_of(script))} engines, "
            f"{script.rate:g} generations a second for {script.length_s:g} s, seed {script.seed}"
        )
        for act in fault_actions_of(script):
            click.echo(f"  {act.at_ms / 1000:7.2f} s  {act.what:<22} {' '.join(map(str, act.on))}")


@day.command("from-bench")
@click.argument("file")
@click.option("--engines", type=click.IntRange(2), default=16, help="scale the fleet down to about so many")
@click.option("--gateways", type=click.IntRange(1), default=4)
@click.option("--rate", type=click.FloatRange(min=1), default=40.0, help="generations a second")
@click.option("--speed", type=click.FloatRange(min=0.1), default=2.0, help="times faster than the day was drawn")
def day_from_bench(file: str, engines: int, gateways: int, rate: float, speed: float) -> None:
    """Turns a bench day's description (JSON) into a script, scaled down to one machine."""
    from ternlane.scenarios.bench_import import scenario_from_bench

    try:
        raw = json.loads(Path(file).read_text())
        click.echo(scenario_from_bench(raw, engines, gateways, rate, speed))
    except (OSError, ValueError, KeyError, TypeError) as error:
        fail(f"{file} is no bench day that can be turned: {error!r}", ExitCode.DATA)


@day.command("part", hidden=True)
@click.argument("kind")
@click.argument("folder")
@click.argument("index", type=int)
@click.argument("of", type=int)
def day_part(kind: str, folder: str, index: int, of: int) -> None:
    """One process of a day that `day play` starts."""
    from ternlane.scenarios.processes import PROCESSES

    trio.run(PROCESSES[kind], Path(folder), index, of)

"""`ternlane day`: runs fault-injection scenarios with real processes and sockets."""

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
    """Fault-injection scenarios with real processes and sockets."""


@day.command("play")
@click.argument("file")
@click.option("--out", help="folder for all files of the run (default: found/days/NAME)")
@click.option("--seed", type=int, help="seed, instead of the scenario's")
@click.option("--chooser", default="", help="module:name of a baseline policy for the gateways, instead of their own")
@click.option("--without", multiple=True, help="omit faults of this kind")
@click.option("--quiet", is_flag=True)
def day_play(file: str, out: str | None, seed: int | None, chooser: str, without: tuple[str, ...], quiet: bool) -> None:
    """Runs the scenario FILE and checks the recorded traffic against the rules of ternlane.rules. The exit code is 1
    if a rule was broken."""
    from ternlane.scenarios.errors import RunError
    from ternlane.scenarios.runner import ScenarioRunner
    from ternlane.scenarios.scenario import Scenario

    scenario = load_document(file, Scenario)
    text = Path(file).read_text()
    if seed is not None or without:
        scenario, text = modified_scenario(scenario, seed, without)
    folder = Path(out) if out else Path("found") / "days" / scenario.name
    runner = ScenarioRunner(scenario, text, folder, chooser, (lambda _: None) if quiet else click.echo)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(ExitCode.TERMINATED))  # so that all started processes are ended
    try:
        report = trio.run(runner.run)
    except* RunError as group:
        fail(f"the scenario could not be run: {group.exceptions[0]}", ExitCode.UNAVAILABLE)
    click.echo(f"report: {runner.folder / 'report.json'}")
    sys.exit(ExitCode.OK if report["rules_kept"] else ExitCode.CHECK_FAILED)


def modified_scenario(scenario: Scenario, seed: int | None, without: tuple[str, ...]) -> tuple[Scenario, str]:
    """The scenario with this seed (None: unchanged) and without faults of these kinds, and the same as JSON text. Kinds
    that the scenario does not contain are ignored."""
    import msgspec

    faults = [fault for fault in scenario.troubles if str(fault.__struct_config__.tag) not in without]
    changed = msgspec.structs.replace(scenario, seed=scenario.seed if seed is None else seed, troubles=faults)
    return changed, msgspec.json.encode(changed).decode()


@day.command("check")
@click.argument("files", nargs=-1, required=True)
def day_check(files: tuple[str, ...]) -> None:
    """Checks scenarios and prints their size and their faults."""
    from ternlane.scenarios.fault_plan import fault_actions_of
    from ternlane.scenarios.fleet_plan import engines_of
    from ternlane.scenarios.scenario import Scenario

    for file in files:
        scenario = load_document(file, Scenario)
        click.echo(
            f"{file}: valid; {scenario.gateways} gateways, {len(engines_of(scenario))} engines, "
            f"{scenario.rate:g} requests per second for {scenario.length_s:g} s, seed {scenario.seed}"
        )
        for action in fault_actions_of(scenario):
            click.echo(f"  {action.at_ms / 1000:7.2f} s  {action.what:<22} {' '.join(map(str, action.on))}")


@day.command("from-bench")
@click.argument("file")
@click.option("--engines", type=click.IntRange(2), default=16, help="approximate number of engines to scale down to")
@click.option("--gateways", type=click.IntRange(1), default=4)
@click.option("--rate", type=click.FloatRange(min=1), default=40.0, help="requests per second")
@click.option(
    "--speed", type=click.FloatRange(min=0.1), default=2.0, help="how many times faster than the day the scenario runs"
)
def day_from_bench(file: str, engines: int, gateways: int, rate: float, speed: float) -> None:
    """Converts the JSON description of a benchmark day (a simulated workload with faults) to a scenario that fits one
    machine, and prints the scenario."""
    from ternlane.scenarios.bench_import import scenario_from_bench

    try:
        raw = json.loads(Path(file).read_text())
        click.echo(scenario_from_bench(raw, engines, gateways, rate, speed))
    except (OSError, ValueError, KeyError, TypeError) as error:
        fail(f"{file} cannot be converted to a scenario: {error!r}", ExitCode.DATA)


@day.command("part", hidden=True)
@click.argument("kind")
@click.argument("folder")
@click.argument("index", type=int)
@click.argument("of", type=int)
def day_part(kind: str, folder: str, index: int, of: int) -> None:
    """Runs process `index` of the `of` processes of a kind; started by `day play`."""
    from ternlane.scenarios.processes import PROCESSES

    trio.run(PROCESSES[kind], Path(folder), index, of)

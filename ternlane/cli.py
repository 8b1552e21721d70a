"""ternlane's commands. Exit codes follow sysexits: 0 well, 1 a rule was broken, 64 usage, 65 bad data, 69 can't run."""
from __future__ import annotations

import importlib
import json
import logging
import signal
import sys
from functools import partial
from pathlib import Path
from typing import Any, Callable, TypeVar

import click
import structlog
import trio

from ternlane import __version__
from ternlane.paper import GatewayPaper, PaperError, read_paper

USAGE, DATA, UNAVAILABLE = 64, 65, 69
T = TypeVar("T")


def paper(path: str, into: type[T]) -> T:
    """Reads a document; a wrong one ends the program with the place and the field."""
    try:
        return read_paper(path, into)
    except PaperError as why:
        click.echo(f"ternlane: {why}", err=True)
        sys.exit(DATA)


def log_to_stderr(level: str) -> None:
    structlog.configure(
        processors=[structlog.contextvars.merge_contextvars, structlog.processors.add_log_level,
                    structlog.processors.TimeStamper(fmt="iso", utc=True), structlog.processors.format_exc_info,
                    structlog.processors.JSONRenderer()],
        wrapper_class=structlog.make_filtering_bound_logger(logging.getLevelNamesMapping()[level.upper()]),
        logger_factory=structlog.WriteLoggerFactory(file=sys.stderr), cache_logger_on_first_use=True)


@click.group()
@click.version_option(__version__)
def main() -> None:
    """A router for language-model servers that read and write in two stages."""


@main.command()
@click.argument("file")
@click.option("--log", "level", default="info", type=click.Choice(["debug", "info", "warning", "error"]))
@click.option("--chooser", default="", hidden=True, help="module:name of a baseline to measure against")
def serve(file: str, level: str, chooser: str) -> None:
    """Runs one gateway by the document FILE until SIGTERM, which drains it; SIGHUP reads FILE again."""
    from ternlane.gateway.daemon import run_gateway
    log_to_stderr(level)
    choose: Callable[..., Any] | None = None
    if chooser:
        module, _, name = chooser.partition(":")
        choose = getattr(importlib.import_module(module), name)
    try:
        trio.run(partial(run_gateway, file, paper(file, GatewayPaper), choose))
    except* OSError as group:
        click.echo(f"ternlane: {group.exceptions[0]}", err=True)
        sys.exit(UNAVAILABLE)


@main.group()
def config() -> None:
    """Documents of gateways."""


@config.command("check")
@click.argument("files", nargs=-1, required=True)
def config_check(files: tuple[str, ...]) -> None:
    """Checks documents; says the line and the field of what is wrong."""
    for file in files:
        paper(file, GatewayPaper)
        click.echo(f"{file}: good")


@main.group()
def day() -> None:
    """Bad days from a script, through real sockets."""


def run_folder(name: str, out: str | None) -> Path:
    return Path(out) if out else Path("found") / "days" / name


@day.command("play")
@click.argument("file")
@click.option("--out", help="folder for everything the run writes (found/days/NAME)")
@click.option("--seed", type=int, help="another seed than the script's")
@click.option("--chooser", default="", help="module:name of a baseline to measure against")
@click.option("--quiet", is_flag=True)
def day_play(file: str, out: str | None, seed: int | None, chooser: str, quiet: bool) -> None:
    """Plays FILE and judges it: exit code 1 if a rule was broken."""
    import msgspec

    from ternlane.days.play import CantPlay, Player
    from ternlane.days.script import DayScript
    script = paper(file, DayScript)
    text = Path(file).read_text()
    if seed is not None:
        script = msgspec.structs.replace(script, seed=seed)
        text = msgspec.json.encode(script).decode()
    player = Player(script, text, run_folder(script.name, out), chooser,
                    (lambda _: None) if quiet else click.echo)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(143))    # so that every process started is ended
    try:
        report = trio.run(player.play)
    except* CantPlay as group:
        click.echo(f"ternlane: the day could not be played: {group.exceptions[0]}", err=True)
        sys.exit(UNAVAILABLE)
    click.echo(f"report: {player.folder / 'report.json'}")
    sys.exit(0 if report["rules_kept"] else 1)


@day.command("check")
@click.argument("files", nargs=-1, required=True)
def day_check(files: tuple[str, ...]) -> None:
    """Checks scripts and shows what they come to."""
    from ternlane.days.plan import acts_of, engines_of
    from ternlane.days.script import DayScript
    for file in files:
        script = paper(file, DayScript)
        click.echo(f"{file}: good; {script.gateways} gateways, {len(engines_of(script))} engines, "
                   f"{script.rate:g} generations a second for {script.length_s:g} s, seed {script.seed}")
        for act in acts_of(script):
            click.echo(f"  {act.at_ms / 1000:7.2f} s  {act.what:<22} {' '.join(map(str, act.on))}")


@day.command("from-bench")
@click.argument("file")
@click.option("--engines", type=click.IntRange(2), default=16, help="scale the fleet down to about so many")
@click.option("--gateways", type=click.IntRange(1), default=4)
@click.option("--rate", type=click.FloatRange(min=1), default=40.0, help="generations a second")
@click.option("--speed", type=click.FloatRange(min=0.1), default=2.0, help="times faster than the day was drawn")
def day_from_bench(file: str, engines: int, gateways: int, rate: float, speed: float) -> None:
    """Turns a bench day's description (JSON) into a script, scaled down to one machine."""
    from ternlane.days.bench import script_from_bench
    try:
        raw = json.loads(Path(file).read_text())
        click.echo(script_from_bench(raw, engines, gateways, rate, speed))
    except (OSError, ValueError, KeyError, TypeError) as why:
        click.echo(f"ternlane: {file} is no bench day that can be turned: {why!r}", err=True)
        sys.exit(DATA)


@day.command("part", hidden=True)
@click.argument("kind")
@click.argument("folder")
@click.argument("index", type=int)
@click.argument("of", type=int)
def day_part(kind: str, folder: str, index: int, of: int) -> None:
    from ternlane.days.parts import PARTS
    trio.run(PARTS[kind], Path(folder), index, of)


@main.group()
def rules() -> None:
    """The five rules, judged by what crossed the sockets."""


@rules.command("check")
@click.argument("folder", type=click.Path(exists=True, file_okay=False))
@click.option("--lines/--no-lines", default=False, help="show the offending lines")
def rules_check(folder: str, lines: bool) -> None:
    """Judges the JSON lines in FOLDER again."""
    from ternlane.rules import check_folder
    findings = check_folder(Path(folder))
    click.echo("judged: " + ", ".join(f"{v} {k}" for k, v in findings.counted.items()))
    for found in findings.broken:
        click.echo(f"rule {found.rule}  {found.gen}  {found.why}")
        for line in found.lines if lines else ():
            click.echo(f"    {json.dumps(line)}")
    click.echo("all five kept" if findings.kept else f"{len(findings.broken)} times broken")
    sys.exit(0 if findings.kept else 1)

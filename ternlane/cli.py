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
from ternlane.log_output import log_file
from ternlane.config import GatewayConfig, ConfigError, read_config

USAGE, DATA, UNAVAILABLE = 64, 65, 69
T = TypeVar("T")


def load_document(path: str, into: type[T]) -> T:
    """Reads a document; a wrong one ends the program with the place and the field."""
    try:
        return read_config(path, into)
    except ConfigError as why:
        click.echo(f"ternlane: {why}", err=True)
        sys.exit(DATA)


def log_to_stderr(level: str) -> None:
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.getLevelNamesMapping()[level.upper()]),
        logger_factory=structlog.WriteLoggerFactory(file=log_file(sys.stderr)),
        cache_logger_on_first_use=True,
    )


@click.group()
@click.version_option(__version__)
def main() -> None:
    """A router for language-model servers that read and write in two stages."""


@main.command()
@click.argument("file")
@click.option("--log", "level", default="info", type=click.Choice(["debug", "info", "warning", "error"]))
@click.option("--chooser", default="", hidden=True, help="module:name of a baseline to measure against")
@click.option("--pid-file", help="file that holds the process id while it serves")
def serve(file: str, level: str, chooser: str, pid_file: str | None) -> None:
    """Runs one gateway by the document FILE until SIGTERM, which drains it; SIGHUP reads FILE again."""
    from ternlane.gateway.daemon import run_gateway
    from ternlane.ledger import Damaged

    log_to_stderr(level)
    choose: Callable[..., Any] | None = None
    if chooser:
        module, _, name = chooser.partition(":")
        choose = getattr(importlib.import_module(module), name)
    try:
        trio.run(partial(run_gateway, file, load_document(file, GatewayConfig), choose, pid_file))
    except* OSError as group:
        click.echo(f"ternlane: {group.exceptions[0]}", err=True)
        sys.exit(UNAVAILABLE)
    except* (Damaged, ConfigError) as group:
        click.echo(f"ternlane: {group.exceptions[0]}", err=True)
        sys.exit(DATA)


@main.group()
def config() -> None:
    """Documents of gateways."""


@config.command("check")
@click.argument("files", nargs=-1, required=True)
def config_check(files: tuple[str, ...]) -> None:
    """Checks documents; says the line and the field of what is wrong."""
    for file in files:
        load_document(file, GatewayConfig)
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
@click.option("--without", multiple=True, help="leave out troubles of this kind")
@click.option("--quiet", is_flag=True)
def day_play(file: str, out: str | None, seed: int | None, chooser: str, without: tuple[str, ...], quiet: bool) -> None:
    """Plays FILE and judges it: exit code 1 if a rule was broken."""
    import msgspec

    from ternlane.scenarios.errors import RunError
    from ternlane.scenarios.runner import ScenarioRunner
    from ternlane.scenarios.scenario import Scenario

    script = load_document(file, Scenario)
    text = Path(file).read_text()
    if seed is not None or without:
        troubles = [t for t in script.troubles if str(t.__struct_config__.tag) not in without]
        script = msgspec.structs.replace(script, seed=script.seed if seed is None else seed, troubles=troubles)
        text = msgspec.json.encode(script).decode()
    runner = ScenarioRunner(
        script, text, run_folder(script.name, out), chooser, (lambda _: None) if quiet else click.echo
    )
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(143))  # so that every process started is ended
    try:
        report = trio.run(runner.run)
    except* RunError as group:
        click.echo(f"ternlane: the day could not be played: {group.exceptions[0]}", err=True)
        sys.exit(UNAVAILABLE)
    click.echo(f"report: {runner.folder / 'report.json'}")
    sys.exit(0 if report["rules_kept"] else 1)


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
    except (OSError, ValueError, KeyError, TypeError) as why:
        click.echo(f"ternlane: {file} is no bench day that can be turned: {why!r}", err=True)
        sys.exit(DATA)


@day.command("part", hidden=True)
@click.argument("kind")
@click.argument("folder")
@click.argument("index", type=int)
@click.argument("of", type=int)
def day_part(kind: str, folder: str, index: int, of: int) -> None:
    from ternlane.scenarios.processes import PROCESSES

    trio.run(PROCESSES[kind], Path(folder), index, of)


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
        click.echo(f"rule {found.rule}  {found.request}  {found.why}")
        for line in found.lines if lines else ():
            click.echo(f"    {json.dumps(line)}")
    click.echo("all five kept" if findings.kept else f"{len(findings.broken)} times broken")
    sys.exit(0 if findings.kept else 1)


@main.group()
def tenant() -> None:
    """Tenants, their keys and budgets, in the file that gateways follow."""


def change_roll(file: str, change: Callable[[Any], Any]) -> None:
    """Reads the roll, changes it, and puts the new file in the old one's place whole, under a lock."""
    import fcntl
    import os

    import msgspec

    from ternlane.tenants.tenant_registry import TenantRegistryConfig

    path = Path(file)
    with open(path.with_name(path.name + ".lock"), "w") as lock:
        fcntl.flock(lock, fcntl.LOCK_EX)
        roll = load_document(file, TenantRegistryConfig) if path.exists() else TenantRegistryConfig()
        try:
            roll = change(roll)
            raw = msgspec.json.format(msgspec.json.encode(roll), indent=1)
            msgspec.json.decode(raw, type=TenantRegistryConfig)
        except (ValueError, KeyError) as why:
            click.echo(f"ternlane: {why.args[0] if why.args else why}", err=True)
            sys.exit(DATA)
        fresh = path.with_name(path.name + ".new")
        with open(fresh, "wb") as out:
            out.write(raw)
            out.flush()
            os.fsync(out.fileno())
        os.chmod(fresh, 0o600)
        os.replace(fresh, path)


def tenant_of(roll: Any, name: str) -> Any:
    found = next((t for t in roll.tenants if t.name == name), None)
    if found is None:
        raise KeyError(f"there is no tenant {name!r}")
    return found


ROLL = click.option("--file", "file", default="tenants.json5", show_default=True, help="the tenants' file")


@tenant.command("add")
@click.argument("name")
@click.option("--zone", default="UTC", help="of the billing period's edges")
@click.option("--period", type=click.Choice(["day", "month"]), default="month")
@ROLL
def tenant_add(name: str, zone: str, period: str, file: str) -> None:
    """Adds tenant NAME, without keys."""
    import msgspec

    from ternlane.tenants.tenant_registry import TenantLine

    def change(roll: Any) -> Any:
        if any(t.name == name for t in roll.tenants):
            raise KeyError(f"tenant {name!r} is there already")
        made = msgspec.convert({"name": name, "zone": zone, "period": period}, TenantLine)
        return msgspec.structs.replace(roll, tenants=[*roll.tenants, made])

    change_roll(file, change)


@tenant.group("key")
def tenant_key() -> None:
    """API keys."""


@tenant_key.command("new")
@click.argument("name")
@ROLL
def key_new(name: str, file: str) -> None:
    """Makes a key for tenant NAME and prints it: it is kept nowhere and not shown again."""
    import msgspec

    from ternlane.tenants import KeyLine, new_key
    from ternlane.tenants.tenant_registry import replace_tenant

    key, public, salt, kept = new_key()

    def change(roll: Any) -> Any:
        it = tenant_of(roll, name)
        return replace_tenant(
            roll, msgspec.structs.replace(it, keys=[*it.keys, KeyLine(name=public, salt=salt, hash=kept)])
        )

    change_roll(file, change)
    click.echo(key)


@tenant_key.command("revoke")
@click.argument("key")
@click.option("--in", "after_s", type=click.FloatRange(min=0), default=0.0, help="seconds until it ends; 0: at once")
@ROLL
def key_revoke(key: str, after_s: float, file: str) -> None:
    """Ends KEY, named whole or by its public part. Streams that run go on."""
    import time

    import msgspec

    from ternlane.tenants.keys import split_key
    from ternlane.tenants.tenant_registry import replace_tenant

    public = split_key(key)[0] or key

    def change(roll: Any) -> Any:
        for it in roll.tenants:
            for line in it.keys:
                if line.name == public:
                    ended = msgspec.structs.replace(
                        line, state="retiring" if after_s else "revoked", until=time.time() + after_s
                    )
                    return replace_tenant(
                        roll, msgspec.structs.replace(it, keys=[ended if k.name == public else k for k in it.keys])
                    )
        raise KeyError(f"there is no key {public!r}")

    change_roll(file, change)


@tenant.group("budget")
def tenant_budget() -> None:
    """What a tenant may spend."""


@tenant_budget.command("set")
@click.argument("name")
@click.option("--product", "request_class", default="", help="for this product alone, beside the budget for all")
@click.option("--minute", type=int, help="tokens a minute")
@click.option("--burst", type=int)
@click.option("--per-period", "period", type=int, help="tokens a billing period")
@click.option("--at-once", type=int)
@click.option("--overdraft", type=int)
@click.option("--cut/--no-cut", default=None, help="end streams that pass the overdraft")
@click.option("--clear", is_flag=True, help="forget what was set before")
@ROLL
def budget_set(name: str, request_class: str, clear: bool, file: str, **given: Any) -> None:
    """Changes the limits that are named; gateways take it over within a second, open generations keep theirs."""
    import msgspec

    from ternlane.tenants.tenant_registry import Budget, replace_tenant

    def change(roll: Any) -> Any:
        it = tenant_of(roll, name)
        old = Budget() if clear else (it.request_classes.get(request_class, Budget()) if request_class else it.budget)
        limits = msgspec.to_builtins(old) | {k: v for k, v in given.items() if v is not None}
        made = msgspec.convert(limits, Budget)
        changed = (
            {"request_classes": {**it.request_classes, request_class: made}} if request_class else {"budget": made}
        )
        return replace_tenant(roll, msgspec.structs.replace(it, **changed))

    change_roll(file, change)


@tenant.command("show")
@click.argument("name", required=False)
@ROLL
def tenant_show(name: str | None, file: str) -> None:
    """Shows tenants with their keys' public parts and budgets."""
    from ternlane.tenants.tenant_registry import TenantRegistryConfig

    for it in load_document(file, TenantRegistryConfig).tenants:
        if name in (None, it.name):
            b = it.budget
            click.echo(
                f"{it.name}  period {it.period} {it.zone}  minute {b.minute} burst {b.burst} period {b.period} "
                f"at once {b.at_once} overdraft {b.overdraft}"
            )
            for request_class, own in it.request_classes.items():
                click.echo(f"  {request_class}: minute {own.minute} period {own.period} at once {own.at_once}")
            for key in it.keys:
                click.echo(f"  key {key.name} {key.state}" + (f" until {key.until:.0f}" if key.until else ""))


@main.group(invoke_without_command=True)
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
    from ternlane.ledger import Damaged
    from ternlane.ledger.bills import rows_of, shown

    try:
        click.echo(shown(rows_of([Path(p) for p in ledgers], who, period), form))
    except Damaged as why:
        click.echo(f"ternlane: {why}", err=True)
        sys.exit(DATA)


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
    from ternlane.ledger.bills import entries_of, reconcile

    lines = []
    for file in files:
        for raw in Path(file).read_text().splitlines():
            try:
                line = json.loads(raw)
            except ValueError:
                continue
            if "gen" in line and "answer" in line and "prompt" in line:
                lines.append(line)
    found = reconcile(entries_of([Path(p) for p in ctx.obj]), lines)
    for what, it in (("engines made", found.made), ("billed", found.billed), ("house", found.house)):
        click.echo(f"{what:<16}{it.prompt:>12} prompt{it.answer:>12} answer")
    for request, (made, told) in sorted(found.differing.items()):
        click.echo(
            f"differs    {request}  made {made.prompt} + {made.answer}, billed and house {told.prompt} + {told.answer}"
        )
    for request, made in sorted(found.unsettled.items()):
        click.echo(f"unsettled  {request}  made {made.prompt} + {made.answer}")
    for request in found.doubled:
        click.echo(f"doubled    {request}")
    click.echo(f"off by {found.off:.3%}")
    sys.exit(0 if found.off <= within and not found.doubled else 1)


@main.group()
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
    except ImportError as why:
        click.echo(f"ternlane: {why}: install ternlane[lab]", err=True)
        sys.exit(UNAVAILABLE)
    well = True
    for file, kind in zip(files, kinds):
        try:
            found = fit(kind)
        except ValueError as why:
            click.echo(f"ternlane: {file}: {why}", err=True)
            sys.exit(DATA)
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
        held = any(point.held_out for point, _ in found.errors)
        median, tail = found.worst(held)
        click.echo(
            f"  worst {'held out' if held else 'of the fit'}: {median:.1%} at medians, {tail:.1%} at 99th percentiles"
        )
        well = well and median <= within[0] and tail <= within[1]
    sys.exit(0 if well else 1)


@main.command()
@click.argument("file", type=click.Path(dir_okay=False))
@click.argument("url")
@click.option("--out", type=click.Path(dir_okay=False), help="JSON lines, one for each request as it ends")
@click.option("--quiet", is_flag=True, help="no progress line")
def load(file: str, url: str, out: str | None, quiet: bool) -> None:
    """Sends the load of FILE to an OpenAI-style address URL on loopback and prints its times as JSON.

    Times count from when a request was due. Where the tool itself could not keep its schedule it says so, reports
    nothing and ends with 75."""
    from ternlane.load import LoadConfig
    from ternlane.load.generator import LoadGenerator, NotLoopbackError, ScheduleMissedError

    told = load_document(file, LoadConfig)
    sink = open(out, "w", encoding="utf-8") if out else None

    def line(said: dict[str, Any]) -> None:
        if sink is not None:
            sink.write(json.dumps(said) + "\n")

    async def play(it: LoadGenerator) -> None:
        async def progress() -> None:
            while True:
                await trio.sleep(1.0)
                click.echo(f"\r{it.now_s():6.0f} s  {it.open} open  {dict(it.tally.outcomes)}", nl=False, err=True)

        async with trio.open_nursery() as nursery:
            if not quiet:
                nursery.start_soon(progress)
            try:
                await it.run()
            finally:
                nursery.cancel_scope.cancel()
                if not quiet:
                    click.echo(err=True)

    try:
        it = LoadGenerator(told, url, line)
    except NotLoopbackError as why:
        raise click.UsageError(str(why)) from None
    try:
        trio.run(play, it)
    except* ScheduleMissedError as group:
        click.echo(f"ternlane: {group.exceptions[0]}", err=True)
        sys.exit(75)
    finally:
        if sink is not None:
            sink.close()
    click.echo(json.dumps(it.tally.summary()))

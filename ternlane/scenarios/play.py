"""Plays a day: starts every process, strikes as the script says, and judges what crossed the sockets."""

from __future__ import annotations

import json
import os
import shutil
import signal
import socket
import subprocess
import sys
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Callable

import msgspec
import trio

from ternlane.scenarios.parts import Scene, wall_of
from ternlane.scenarios.plan import GATEWAY_NET, Act, acts_of, address_of, engines_of, zones_of
from ternlane.scenarios.report import report_of, table_of
from ternlane.scenarios.script import BalancerRoll, DayScript, RegistryFails
from ternlane.config import GatewayConfig
from ternlane.config.gateway import ConsulSource
from ternlane.rules import check_folder
from ternlane.rules.limits import RuleLimits
from ternlane.testing.registry import RegisteredEndpoint, Registry
from ternlane.testing.traffic import Traffic, clock_ms
from ternlane.tenants import KeyLine, Prices, TenantLine, new_key
from ternlane.tenants.tenant_registry import TenantRegistryConfig

FIRST_PORT, LAST_PORT = 20000, 31000  # below what the system hands out by itself
START_MS = 4000.0
AFTER_S = 20.0  # for the last generations to end


class CantPlay(RuntimeError):
    """A day that could not be played; says nothing of the gateway."""


def free_ports(many: int) -> int:
    """The first of so many ports in a row that nobody listens on."""
    first = FIRST_PORT
    while first + many < LAST_PORT:
        for port in range(first, first + many):
            with socket.socket() as probe:
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                try:
                    probe.bind(("0.0.0.0", port))
                except OSError:
                    first = port + 1
                    break
        else:
            return first
    raise CantPlay(f"no {many} free ports in a row between {FIRST_PORT} and {LAST_PORT}")


def rules_of(day: DayScript) -> RuleLimits:
    """The figures by which the checker judges."""
    return {
        "release_ms": day.terms.release_ms,
        "drain_grace_ms": day.terms.drain_grace_ms,
        "connect_ms": day.terms.connect_ms,
        "fall_ms": day.terms.fall_ms,
        "products": {
            p.name: {
                "effect": p.effect,
                "group": p.group,
                "window_ms": p.window_ms,
                "slo_ms": p.slo_ms,
                "slo_per_ktok_ms": p.slo_per_1000_tokens_ms,
                "revenue": p.priority_weight,
                "limit_ms": p.deadline_ms,
                "late_share": p.late_value_share,
            }
            for p in day.request_classes
        },
    }


@dataclass
class Player:
    day: DayScript
    text: str  # of the script
    folder: Path
    chooser: str = ""  # module:name of a baseline to measure against
    say: Callable[[str], None] = print
    processes: dict[str, subprocess.Popen[bytes]] = field(default_factory=dict)
    relieved: list[subprocess.Popen[bytes]] = field(default_factory=list)  # by their next, and told to end
    doors: dict[str, socket.socket] = field(default_factory=dict)

    async def play(self) -> dict[str, Any]:
        """Gives the report; raises CantPlay."""
        self.scene = self.prepare()
        self.open_doors()
        self.traffic = Traffic(self.folder / "day.jsonl")
        self.registry = Registry(Traffic(self.folder / "registry.jsonl"))
        engines = engines_of(self.day)
        self.idents = {e.number: e.ident for e in engines}
        for e in engines:
            self.registry.put(
                RegisteredEndpoint(
                    e.ident,
                    e.host,
                    self.scene.engine_port + e.number,
                    e.role,
                    e.zone,
                    e.cell,
                    e.build.kv_capacity_tokens,
                )
            )
        try:
            async with trio.open_nursery() as nursery:
                host, port = self.scene.registry
                listeners = await trio.open_tcp_listeners(port, host=host, backlog=1024)
                nursery.start_soon(self.registry.serve, listeners)
                cores = os.cpu_count() or 2
                fleets, clients = max(1, min(3, len(engines) // 8, cores // 2)), max(1, min(2, cores // 3))
                for kind, many in (("fleet", fleets), ("front", 1), ("clients", clients)):
                    for i in range(many):
                        self.start(f"{kind}-{i}", "day", "part", kind, str(self.folder), str(i), str(many))
                for name in self.scene.gateways:
                    self.start_gateway(name)
                await self.ready(
                    [f"{k}-{i}" for k, m in (("fleet", fleets), ("front", 1), ("clients", clients)) for i in range(m)]
                )
                nursery.start_soon(self.strike, nursery)
                await self.watch(clients)
                nursery.cancel_scope.cancel()
        finally:
            self.stop_all()
            self.traffic.close()
            self.registry.traffic.close()
        findings = check_folder(self.folder, rules_of(self.day))
        report = report_of(self.folder, self.day, findings)
        (self.folder / "report.json").write_bytes(msgspec.json.format(msgspec.json.encode(report), indent=1))
        self.say(table_of(report))
        return report

    def prepare(self) -> Scene:
        self.folder.mkdir(parents=True, exist_ok=True)
        for old in self.folder.iterdir():
            if old.suffix in (".jsonl", ".ready", ".progress", ".log", ".nodes"):
                old.unlink()
        (self.folder / "day.json5").write_text(self.text)
        (self.folder / "rules.json").write_text(json.dumps(rules_of(self.day)))
        engines, zones = engines_of(self.day), zones_of(self.day)
        first = free_ports(len(engines) + self.day.gateways + 2)
        gateways = {
            f"g{i + 1}": (address_of(GATEWAY_NET, i % len(zones)), first + len(engines) + 2 + i)
            for i in range(self.day.gateways)
        }
        scene = Scene(
            self.folder,
            self.day,
            clock_ms() + START_MS,
            first,
            gateways,
            ("127.0.0.1", first + len(engines)),
            ("127.0.0.1", first + len(engines) + 1),
        )
        scene.save()
        self.open_accounts()
        for i, (name, (host, port)) in enumerate(gateways.items()):
            config = GatewayConfig(
                name=name,
                listen=f"{host}:{port}",
                source=host,
                zone=zones[i % len(zones)],
                gateways=self.day.gateways,
                seed=self.day.seed * 100 + i,
                state=str(self.folder / f"{name}.nodes"),
                request_classes=self.day.request_classes,
                nodes=ConsulSource(address=f"{scene.registry[0]}:{scene.registry[1]}", service="engines"),
                fleet=self.day.terms,
                door=self.day.door,
                streams=self.day.streams,
                tenants=str(self.folder / "tenants.json5") if self.day.tenants else None,
                ledger=str(self.folder / "ledgers" / name) if self.day.tenants else None,
                look_ms=500.0,
                lender=str(self.folder / "lender.json") if self.day.tenants and self.day.lent else None,
            )
            (self.folder / f"{name}.json5").write_bytes(msgspec.json.format(msgspec.json.encode(config), indent=1))
        return scene

    def open_accounts(self) -> None:
        """Tenants with a key each; the keys themselves go to the clients alone."""
        for old in ("keys.json", "lender.json", "ledgers"):
            path = self.folder / old
            if path.is_dir():
                shutil.rmtree(path)
            path.unlink(missing_ok=True)
        if not self.day.tenants:
            return
        lines, keys = [], []
        for i in range(self.day.tenants):
            key, name, salt, kept = new_key()
            lines.append(
                TenantLine(
                    name=f"t{i:03}",
                    keys=[KeyLine(name=name, salt=salt, hash=kept)],
                    budget=self.day.budget,
                    prices={"*": Prices(prompt=3, kept=1, answer=12)},
                )
            )
            keys.append((f"t{i:03}", key))
        (self.folder / "tenants.json5").write_bytes(msgspec.json.encode(TenantRegistryConfig(tenants=lines)))
        (self.folder / "keys.json").write_text(json.dumps(keys))

    def start(self, name: str, *args: str, door: socket.socket | None = None) -> None:
        """A process of the day. One that is given a listening socket finds it as its descriptor 3."""
        command, env = [sys.executable, "-m", "ternlane", *args], dict(os.environ)
        fds: tuple[int, ...] = ()
        if door is not None:
            fd = door.fileno()
            command = [
                sys.executable,
                "-c",
                f"import os, sys; os.dup2({fd}, 3); os.execv(sys.argv[1], sys.argv[1:])",
                *command,
            ]
            env |= {"LISTEN_FDS": "1", "NOTIFY_SOCKET": str(self.folder / "notify")}
            fds = (fd,)
        with open(self.folder / f"{name}.log", "ab") as log:
            self.processes[name] = subprocess.Popen(
                command, stdin=subprocess.DEVNULL, stdout=log, stderr=log, env=env, pass_fds=fds
            )

    def start_gateway(self, name: str) -> None:
        extra = ("--chooser", self.chooser) if self.chooser else ()
        self.start(name, "serve", str(self.folder / f"{name}.json5"), *extra, door=self.doors.get(name))
        self.traffic.line("gateway", gw=name, what="start")

    def open_doors(self) -> None:
        """Where sockets are handed over, they are this process's: they outlive every gateway."""
        if any(isinstance(t, BalancerRoll) and t.handover for t in self.day.troubles):
            self.doors = {
                name: socket.create_server(address, backlog=4096) for name, address in self.scene.gateways.items()
            }

    async def relieve(self, name: str) -> None:
        """Starts the next process on the same socket, waits for its READY=1, and tells the old one to end."""
        old = self.processes[name]
        with trio.socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM) as heard:
            path = self.folder / "notify"
            path.unlink(missing_ok=True)
            await heard.bind(str(path))
            self.start_gateway(name)
            with trio.fail_after(10):
                while b"READY=1" not in await heard.recv(4096):
                    pass
        self.relieved.append(old)
        old.send_signal(signal.SIGTERM)
        self.traffic.line("gateway", gw=name, what="relieved")

    async def ready(self, names: list[str]) -> None:
        with trio.move_on_after(START_MS / 1000 + 20):
            while not all((self.folder / f"{n}.ready").exists() for n in names):
                for name in names:
                    if self.processes[name].poll() is not None:
                        raise CantPlay(f"{name} did not start: {(self.folder / f'{name}.log').read_text()[-800:]}")
                await trio.sleep(0.05)
            return
        raise CantPlay("the stand-ins did not start in time")

    async def strike(self, nursery: trio.Nursery) -> None:
        """The troubles of gateways and registry; engines and clients strike themselves by the same plan."""
        names = list(self.scene.gateways)
        for act in acts_of(self.day):
            await self.scene.until(act.at_ms)
            self.traffic.line("trouble", what=act.what, on=list(act.on), trouble=str(act.trouble.__struct_config__.tag))
            if act.what.endswith("gateway"):
                for n in act.on:
                    await self.gateway_act(act, names[n])
            elif isinstance(act.trouble, RegistryFails):
                self.registry_act(act, act.trouble)
            elif act.what in ("drain", "die", "live"):
                nursery.start_soon(self.list_act, act)

    async def gateway_act(self, act: Act, name: str) -> None:
        process = self.processes[name]
        if act.what == "start gateway":
            with trio.move_on_after(5):
                while process.poll() is None:
                    await trio.sleep(0.02)
            self.start_gateway(name)
            return
        if act.what == "relieve gateway":
            await self.relieve(name)
            return
        self.traffic.line("gateway", gw=name, what="kill" if act.what == "kill gateway" else "stop")
        process.send_signal(signal.SIGKILL if act.what == "kill gateway" else signal.SIGTERM)

    def registry_act(self, act: Act, trouble: RegistryFails) -> None:
        if trouble.how == "restart":
            if act.what.startswith("begin"):
                self.registry.restart()
        elif trouble.how == "empty":
            if act.what.startswith("begin"):
                self.emptied = dict(self.registry.endpoints)
                self.registry.endpoints.clear()
            else:
                self.registry.endpoints.update(
                    {k: v for k, v in self.emptied.items() if k not in self.registry.endpoints}
                )
            self.registry.notify()
        else:
            self.registry.failing = trouble.how if act.what.startswith("begin") else None
            self.registry.notify()

    async def list_act(self, act: Act) -> None:
        """The registry hears late: soon of what is announced, later of what died silently."""
        started = wall_of(clock_ms())
        late = self.day.lists.silent_ms if act.what == "die" and not act.args else self.day.lists.notice_ms
        await trio.sleep(late / 1000)
        state = {"drain": "draining", "die": "gone", "live": "up"}[act.what]
        for n in act.on:
            if self.idents[n] in self.registry.endpoints:
                extra = {"started": started} if act.what == "live" else {}
                self.registry.update(self.idents[n], state=state, **extra)

    async def watch(self, clients: int) -> None:
        """Shows how it goes until all clients have ended."""
        names = [f"clients-{i}" for i in range(clients)]
        limit = self.scene.begin_ms + (self.day.length_s + AFTER_S) * 1000
        shown = 0.0
        while any(self.processes[n].poll() is None for n in names):
            await trio.sleep(0.2)
            for name, process in self.processes.items():
                if name not in self.scene.gateways and process.poll() not in (None, 0):
                    raise CantPlay(f"{name} ended: {(self.folder / f'{name}.log').read_text()[-800:]}")
            if clock_ms() > limit:
                raise CantPlay("clients did not end in time")
            if clock_ms() - shown > 2000:
                shown = clock_ms()
                self.say(self.progress(names))

    def progress(self, names: list[str]) -> str:
        total: dict[str, int] = {}
        for name in names:
            try:
                for key, n in json.loads((self.folder / f"{name}.progress").read_text().splitlines()[-1]).items():
                    total[key] = total.get(key, 0) + n
            except (OSError, ValueError, IndexError):
                continue
        at = (clock_ms() - self.scene.begin_ms) / 1000
        return f"{at:6.1f} s of {self.day.length_s:g}  " + "  ".join(f"{k} {v}" for k, v in total.items())

    def stop_all(self) -> None:
        """Ends the processes that this run started, by their ids."""
        for process in (*self.processes.values(), *self.relieved):
            if process.poll() is None:
                process.send_signal(signal.SIGTERM)
        for door in self.doors.values():
            door.close()
        for process in (*self.processes.values(), *self.relieved):
            try:
                process.wait(8)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait(5)


def fresh_folder(base: Path, name: str) -> Path:
    folder = base / name
    if folder.exists():
        shutil.rmtree(folder)
    return folder

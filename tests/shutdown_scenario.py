"""One shutdown of a gateway process under random faults, checked by what clients and model servers record.

The gateway serves for a while, receives SIGTERM, and is killed at the earliest time that the platform protocol allows.
Clients use every open connection until then. Model servers hang, fail, stall behind proxies, drain and recover;
discovery becomes silent; the gateway process is paused for moments. The same seed gives the same settings, clients and
faults.
"""

from __future__ import annotations

import json
import random
import signal
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import trio

from ternlane.testing.platform import DONE
from ternlane.testing.proxy import StallingProxy
from tests.platform_gateway import PLATFORM_SETTINGS, Platform, platform, wait_until_ready
from tests.race_helpers import RawClient, answer_end, client_request
from tests.test_platform_bounds import running

LONGEST_S, GRACE_S = 3.0, 0.7  # SIGKILL follows SIGTERM after min(3 s, longest deadline) + 0.7 s at the earliest
NEW_CONNECTIONS_S = 0.4  # clients open new connections for this long after SIGTERM
STALL_S = 0.15  # how long the gateway is paused
LATE_SLACK_S = 0.5  # an answer later than this after its request's time-out counts as missing
DISCONNECT_SLACK_S = 0.1  # an attempt may still begin this long after its client has disconnected
STATED_TIMEOUT_SLACK_S = 0.15  # the time-out stated to a server may exceed the remaining time by this much
HELD_SLACK_S = 0.3
CHECK_INTERVAL_S = 0.01  # between two measurements of this process's own delay
FLOOD_CONNECTIONS = 40
RETRY_AFTER_S = 0.5  # pause of a client after a rejection
NOT_STARTED = ("full_503", "full_504", "gone_410")
FAILING = ("status_500", "noise", "opening_cut", "later_cut", "later_silent", "full_503", "silent", "status_503")
PREFILL, DECODE = ("r0", "r1"), ("w0", "w1", "w2")


@dataclass(eq=False)
class SentRequest:
    """A request that a client has written completely, and its response."""

    ident: str
    request_class: str
    at: float
    timeout_s: float
    answer: bytes = b""
    ended_at: float | None = None  # when the response was complete or the connection ended
    disconnected_at: float | None = None

    @property
    def status(self) -> str:
        return self.answer[9:12].decode()

    @property
    def is_complete(self) -> bool:
        return answer_end(self.answer) >= 0 and (self.status != "200" or DONE in self.answer)


@dataclass(frozen=True)
class Attempt:
    """A request that a model server has received completely."""

    server: str
    ident: str
    at: float
    server_fault: str
    stated_timeout_s: float  # how long the gateway stated that it would wait


@dataclass
class Plan:
    """The settings, clients and faults drawn from one seed."""

    rng: random.Random
    settings: dict[str, Any] = field(init=False)
    clients: int = field(init=False)
    sigterm_after_s: float = field(init=False)
    faults: list[tuple[float, str, str]] = field(init=False)  # time in s, kind, server

    def __post_init__(self) -> None:
        rng = self.rng
        aim_ms = rng.choice([300.0, 1000.0, 2000.0])
        deadlines = [rng.choice([1000.0, 2500.0, 9000.0, 12000.0]) for _ in range(3)]
        window_ms = rng.choice([200.0, 1500.0, 10000.0])
        kinds = [("summary", "idempotent"), ("note", "at_most_once"), ("form", "deduplicated")]
        profiles = [
            {"aim": aim_ms, "deadline": deadline, "name": name, "semantics": semantics, "worth": 2.0}
            for (name, semantics), deadline in zip(kinds, deadlines, strict=False)
        ]
        profiles[2] |= {"key_ttl": window_ms, "group": "all"}
        self.settings = PLATFORM_SETTINGS | {
            "profiles": profiles,
            "limits": PLATFORM_SETTINGS["limits"]
            | {"most_tries": rng.randint(2, 5), "connect_timeout": rng.choice([150.0, 400.0])},
            "specifics": PLATFORM_SETTINGS["specifics"]
            | {"release": rng.choice([300.0, 500.0, 800.0]), "token_aim": [rng.choice([5.0, 20.0, 100.0])] * 2},
        }
        self.clients = rng.choice([6, 12, 20, 30])
        self.sigterm_after_s = rng.choice([rng.uniform(0.8, 2.0), rng.uniform(0.8, 2.0), rng.uniform(4.0, 8.0)])
        self.faults = sorted(self.fault() for _ in range(rng.randint(1, 4 + round(self.sigterm_after_s))))

    def fault(self) -> tuple[float, str, str]:
        """Draws one fault. Half of the faults occur around SIGTERM or after it."""
        kind = self.rng.choice(
            ["hang", "hang", "fail", "slow", "stall", "stall", "reset", "server down", "recover", "drain"]
            + ["watches silent", "agent silent", "agent resets", "pause", "pause", "signals", "flood"]
        )
        around = self.sigterm_after_s + self.rng.choice([-0.3, 0.0, 0.5, self.rng.uniform(-0.8, 3.2)])
        at = self.rng.choice([around, self.rng.uniform(0.0, self.sigterm_after_s + 3.0)])
        return max(0.0, at), kind, self.rng.choice([*DECODE, *DECODE, *PREFILL])

    @property
    def kill_delay_s(self) -> float:
        """Time between SIGTERM and SIGKILL."""
        longest = max(profile["deadline"] for profile in self.settings["profiles"]) / 1000
        return float(min(LONGEST_S, longest)) + GRACE_S


class ShutdownRun:
    """Runs one plan and keeps the records that `violations` checks."""

    def __init__(self, p: Platform, plan: Plan, process: trio.Process) -> None:
        self.p, self.plan, self.process = p, plan, process
        self.sent: list[SentRequest] = []
        self.attempts: list[Attempt] = []
        self.started_at = trio.current_time()
        self.sigterm_at = self.started_at + plan.sigterm_after_s
        self.killed_at = self.sigterm_at + plan.kill_delay_s
        self.unreliable: set[str] = set()  # servers whose streams may legitimately break
        self.drained_at: dict[str, float] = {}
        self.proxies: dict[str, StallingProxy] = {}
        self.server_faults = {name: "" for name in (*PREFILL, *DECODE)}
        self.longest_held_s = 0.0
        self.own_delay_s = 0.0  # largest scheduling delay of this process, which runs the clients and servers
        self.agent_healthy = True
        self.idle: list[RawClient] = []
        self.exit_status: int | None = None

    def fault_of(self, name: str) -> Callable[[str], str]:
        def server_fault(ident: str) -> str:
            stated_timeout_s = self.p.fleet.stated_timeouts_s[-1]  # of this attempt: no other task runs in between
            self.attempts.append(Attempt(name, ident, trio.current_time(), self.server_faults[name], stated_timeout_s))
            return self.server_faults[name]

        return server_fault

    async def run(self) -> None:
        async with trio.open_nursery() as nursery:
            for nth in range(self.plan.clients):
                nursery.start_soon(self.run_client, random.Random(f"{self.plan.rng.random()} {nth}"))
            nursery.start_soon(self.inject_faults)
            nursery.start_soon(self.measure_own_delay)
            await trio.sleep_until(self.sigterm_at)
            self.process.send_signal(signal.SIGTERM)
            self.sigterm_at = trio.current_time()
            self.killed_at = self.sigterm_at + self.plan.kill_delay_s
            await trio.sleep_until(self.killed_at - CHECK_INTERVAL_S)
            self.longest_held_s = self.p.fleet.longest_held_ms() / 1000
            await trio.sleep_until(self.killed_at)
            self.exit_status = self.process.poll()
            self.process.kill()
            await self.process.wait()
            await trio.sleep(0.2)  # clients read what has arrived
            nursery.cancel_scope.cancel()

    async def measure_own_delay(self) -> None:
        """Measures by how much the times recorded by this process may be late. The checks allow for that delay."""
        while True:
            due_at = trio.current_time() + CHECK_INTERVAL_S
            await trio.sleep_until(due_at)
            self.own_delay_s = max(
                self.own_delay_s, 3 * (trio.current_time() - due_at)
            )  # a transfer takes several scheduler cycles

    # -- faults

    async def inject_faults(self) -> None:
        for at, kind, server in self.plan.faults:
            await trio.sleep_until(self.started_at + at)
            await self.inject_fault(kind, server)

    async def inject_fault(self, kind: str, server: str) -> None:
        match kind:
            case "hang":
                self.server_faults[server] = "silent"
            case "fail":
                self.server_faults[server] = self.plan.rng.choice(FAILING)
                self.unreliable.add(server)
            case "slow":
                self.p.servers[server].prefill_ms = 400.0
                self.p.servers[server].event_ms = 120.0
            case "stall":
                self.unreliable.add(server)
                self.proxies[server].stall()
            case "reset":
                self.unreliable.add(server)
                self.proxies[server].reset_all()
            case "recover":
                self.server_faults[server] = ""
                self.unreliable.add(server)
                self.proxies[server].reset_all()  # the platform resets stalled connections on recovery
            case "server down":
                self.unreliable.add(server)
                self.p.servers[server].stop()
                self.proxies[server].reset_all()
            case "drain":
                kind = "reader" if server in PREFILL else "writer"
                self.p.discovery.put(server, self.proxies[server].address, kind, "DRAINING")
                if self.agent_healthy:
                    self.drained_at.setdefault(server, trio.current_time())
            case "watches silent":
                self.agent_healthy = False
                self.p.discovery.silence_open_watches()
            case "agent silent":
                self.agent_healthy = False
                self.p.discovery.silent = True
            case "agent resets":
                for stream in list(self.p.discovery.conns):
                    stream.socket.close()
            case "signals":
                for number in (signal.SIGHUP, signal.SIGUSR1, signal.SIGHUP):
                    with suppress(ProcessLookupError):
                        self.process.send_signal(number)
            case "flood":
                self.flood()
            case "pause":
                with suppress(ProcessLookupError):
                    self.process.send_signal(signal.SIGSTOP)
                await trio.sleep(STALL_S)
                with suppress(ProcessLookupError):
                    self.process.send_signal(signal.SIGCONT)

    def flood(self) -> None:
        """Opens many connections that stay idle, or send invalid or incomplete requests."""
        for nth in range(FLOOD_CONNECTIONS):
            with suppress(OSError):
                client = RawClient(self.p.address)
                self.idle.append(client)
                if nth % 2:
                    client.send(b"\x16\x03\x01 nonsense\r\n\r\n" if nth % 4 == 1 else b"POST /v1/chat")

    # -- clients

    async def run_client(self, rng: random.Random) -> None:
        """Sends requests repeatedly, on the same connection while it is open."""
        await trio.sleep(rng.uniform(0, 0.5) if rng.random() < 0.8 else rng.uniform(0, self.plan.sigterm_after_s + 0.4))
        while trio.current_time() < self.sigterm_at + NEW_CONNECTIONS_S:
            host, _, number = self.p.address.rpartition(":")
            try:
                stream = await trio.open_tcp_stream(host, int(number))
            except OSError:
                return
            with suppress(trio.BrokenResourceError, trio.ClosedResourceError):
                while await self.ask(rng, stream):
                    pass
            stream.socket.close()
            await trio.sleep(0.02)

    async def ask(self, rng: random.Random, stream: trio.SocketStream) -> bool:
        """Sends one request. Returns False if the connection can't be used further."""
        if rng.random() < 0.3 and await is_closed_within(stream, rng.choice([0.1, 0.4, 1.0])):
            return False
        request_class = rng.choice(["summary", "summary", "note", "form"])
        limit_s = next(p["deadline"] for p in self.plan.settings["profiles"] if p["name"] == request_class) / 1000
        timeout_s = rng.choice([limit_s, limit_s, min(limit_s, 0.6)])
        data = client_request(self.p, Request_Class=request_class, Request_Timeout=f"{timeout_s:.3f}")
        sent = SentRequest(f"{self.p.request_count:016x}", request_class, 0.0, timeout_s)
        if rng.random() < 0.25:  # a client that sends slowly
            cut = rng.randrange(1, len(data))
            await stream.send_all(data[:cut])
            await trio.sleep(rng.choice([0.05, 0.5, 1.5]))
            data = data[cut:]
        await stream.send_all(data)
        sent.at = trio.current_time()
        self.sent.append(sent)
        if rng.random() < 0.08:  # the client disconnects
            await trio.sleep(rng.uniform(0, 0.3))
            sent.disconnected_at = trio.current_time()
            return False
        try:
            while answer_end(sent.answer) < 0:
                chunk = await stream.receive_some(65536)
                if not chunk:
                    return False
                sent.answer += chunk
        finally:
            sent.ended_at = trio.current_time()
        if sent.status == "503":
            await trio.sleep(RETRY_AFTER_S)
        return b"\r\nconnection: close" not in sent.answer.lower()

    # -- checks

    def violations(self, log: str) -> list[str]:
        checks = (self.unanswered, self.duplicated, self.misrouted, self.overstated_timeouts, self.held_too_long)
        return [line for check in checks for line in check()] + self.internal_faults(log)

    def attempts_for(self, sent: SentRequest) -> list[Attempt]:
        return [attempt for attempt in self.attempts if attempt.ident == sent.ident]

    def describe(self, rule: str, sent: SentRequest, why: str) -> str:
        attempts = [
            f"{a.server} {a.server_fault or 'ok'} at {a.at - self.sigterm_at:+.3f}" for a in self.attempts_for(sent)
        ]
        after_s = sent.at - self.sigterm_at
        return (
            f"{rule}: {sent.ident} ({sent.request_class}, {sent.timeout_s} s) sent {after_s:+.3f} s: {why}; {attempts}"
        )

    def unanswered(self) -> list[str]:
        out = []
        for sent in self.sent:
            if sent.disconnected_at is not None:
                continue
            after_s, forwarded = sent.at - self.sigterm_at, self.attempts_for(sent)
            ended_at = self.killed_at if sent.ended_at is None else sent.ended_at
            at_kill = ended_at >= self.killed_at - CHECK_INTERVAL_S
            if not sent.answer and (forwarded or sent.at < self.sigterm_at - self.own_delay_s):
                out.append(
                    self.describe(
                        "unanswered", sent, f"no answer, connection ended {ended_at - self.sigterm_at:+.3f} s"
                    )
                )
            elif sent.answer and not sent.is_complete:
                servers = {attempt.server for attempt in forwarded}
                if at_kill and after_s > GRACE_S + self.own_delay_s:
                    out.append(self.describe("unanswered", sent, "stream truncated by the kill"))
                elif not at_kill and not servers & self.unreliable:
                    out.append(
                        self.describe("unanswered", sent, f"stream truncated at {ended_at - self.sigterm_at:+.3f} s")
                    )
            elif sent.is_complete and sent.status != "200":
                late_s = ended_at - sent.at - sent.timeout_s
                if late_s > LATE_SLACK_S + STALL_S + self.own_delay_s:
                    out.append(self.describe("unanswered", sent, f"answered {late_s:.3f} s late"))
            elif sent.is_complete and sent.status not in ("200", "502", "503"):
                out.append(self.describe("unanswered", sent, f"status {sent.status}"))
        return out

    def duplicated(self) -> list[str]:
        out = []
        for sent in self.sent:
            if sent.request_class == "summary":
                continue
            decodes = [a for a in self.attempts_for(sent) if a.server in DECODE and a.server_fault not in NOT_STARTED]
            may_have_run = [a for a in decodes if a.server_fault or self.p.fleet.run_counts[sent.ident]]
            if sent.request_class == "note" and self.p.fleet.run_counts[sent.ident] > 1:
                out.append(self.describe("duplicate", sent, "ran twice"))
            if sent.request_class == "note" and sent.status == "503" and may_have_run:
                out.append(self.describe("duplicate", sent, "rejected although it may have run"))
            if sent.request_class == "form" and may_have_run:
                window_s = self.plan.settings["profiles"][2]["key_ttl"] / 1000 + self.own_delay_s
                if any(a.at > may_have_run[0].at + window_s and a.server not in self.unreliable for a in decodes):
                    out.append(
                        self.describe("duplicate", sent, f"repeated after the deduplication window of {window_s:.3f} s")
                    )
        return out

    def overstated_timeouts(self) -> list[str]:
        """Attempts that stated more time to their server than remained. Attempts delayed by a stall are not checked."""
        slack_s = STATED_TIMEOUT_SLACK_S + self.own_delay_s
        return [
            self.describe("stated time-out", sent, f"{attempt.stated_timeout_s} s at {attempt.server}")
            for sent in self.sent
            for attempt in self.attempts_for(sent)
            if attempt.server not in self.unreliable
            and attempt.stated_timeout_s > sent.timeout_s - (attempt.at - sent.at) + slack_s
        ]

    def misrouted(self) -> list[str]:
        out = []
        grace_s = self.plan.settings["invariants"]["drain_grace"] / 1000
        for sent in self.sent:
            for attempt in self.attempts_for(sent):
                drained_at = self.drained_at.get(attempt.server)
                if drained_at is not None and attempt.at > drained_at + grace_s + self.own_delay_s:
                    out.append(self.describe("drain", sent, f"sent to {attempt.server}, which is draining"))
                if (
                    sent.disconnected_at is not None
                    and attempt.at > sent.disconnected_at + DISCONNECT_SLACK_S + self.own_delay_s
                ):
                    out.append(self.describe("disconnected", sent, "an attempt after its client had disconnected"))
        return out

    def held_too_long(self) -> list[str]:
        limit_s = self.plan.settings["specifics"]["release"] / 1000 + HELD_SLACK_S + self.own_delay_s
        if self.longest_held_s <= limit_s or len(self.unreliable | self.servers_with_faults()) >= len(
            self.server_faults
        ):
            return []
        return [f"held: state held for {self.longest_held_s:.3f} s, limit {limit_s:.3f} s"]

    def servers_with_faults(self) -> set[str]:
        return {name for name, server_fault in self.server_faults.items() if server_fault}

    def internal_faults(self, log: str) -> list[str]:
        """Returns internal errors of the gateway found in its log, and an unclean exit."""
        lines = [json.loads(line) for line in log.splitlines() if line.startswith("{")]
        out = [
            f"fault: {line}" for line in lines if line["event"] in ("fault", "connection", "attempt fault", "release")
        ]
        out += [f"fault: {line}" for line in log.splitlines() if line.startswith("Traceback")]
        if self.exit_status not in (None, 0):
            out.append(f"fault: exit status {self.exit_status}")
        return out


async def is_closed_within(stream: trio.SocketStream, within_s: float) -> bool:
    """Waits for up to `within_s` and returns whether the peer has closed the connection meanwhile."""
    with trio.move_on_after(within_s):
        await trio.lowlevel.wait_readable(stream.socket)
        return True
    return False


async def run_shutdown(seed: int, folder: Path) -> tuple[ShutdownRun, list[str]]:
    """Runs the plan of this seed. Returns the run's records and the rule violations."""
    plan = Plan(random.Random(seed))
    async with platform("r9", platform_settings=plan.settings) as p:
        p.discovery.put("r9", p.servers.pop("r9").address, "reader", "DELETED")
        proxies = {name: await p.add_behind_proxy(name) for name in (*PREFILL, *DECODE)}
        for name in DECODE:
            p.servers[name].events = plan.rng.choice([2, 10, 60])
            p.servers[name].event_ms = plan.rng.choice([1.0, 20.0, 50.0])
        async with running(p, folder, settings=plan.settings) as (process, log):
            await wait_until_ready(p)
            shutdown_run = ShutdownRun(p, plan, process)
            shutdown_run.proxies = proxies
            for name, server in p.servers.items():
                server.fault_of = shutdown_run.fault_of(name)
            await shutdown_run.run()
            return shutdown_run, shutdown_run.violations(log.read_text())

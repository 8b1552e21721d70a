"""One shutdown of a gateway process under faults that a seed draws, judged by what clients and servers saw.

The gateway serves for a while, is told to end, and is killed at the earliest time that the users' page allows. Clients
use every connection that is open until then. Model servers hang, fail, stall behind proxies, drain and come back;
discovery falls silent; the gateway stands still for moments. The same seed draws the same settings, clients and faults.
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

LONGEST_S, GRACE_S = 3.0, 0.7  # SIGKILL comes no sooner after SIGTERM than the longest deadline, cut to 3 s, and 0.7 s
NEW_CONNECTIONS_S = 0.4  # they come for so long after SIGTERM
STALL_S = 0.15  # the longest that the gateway stands still
LATE_S = 0.5  # an answer that comes so much after its request's time is lost
LEFT_S = 0.1  # an attempt may still begin so long after its client has gone
TOLD_SLACK_S = 0.15  # by which the time told to a server may exceed what is left
HELD_SLACK_S = 0.3
LOOK_S = 0.01  # between two looks at this process's own lateness
FLOOD = 40  # connections
RETRY_AFTER_S = 0.5  # for which a client waits that was rejected
NOT_STARTED = ("full_503", "full_504", "gone_410")
FAILING = ("status_500", "noise", "opening_cut", "later_cut", "later_silent", "full_503", "silent", "status_503")
PREFILL, DECODE = ("r0", "r1"), ("w0", "w1", "w2")


@dataclass(eq=False)
class Sent:
    """A request that a client has written to its last byte, and what came back."""

    ident: str
    request_class: str
    at: float
    timeout_s: float
    answer: bytes = b""
    ended_at: float | None = None  # when its answer was whole or its connection ended
    left_at: float | None = None

    @property
    def status(self) -> str:
        return self.answer[9:12].decode()

    @property
    def whole(self) -> bool:
        return answer_end(self.answer) >= 0 and (self.status != "200" or DONE in self.answer)


@dataclass(frozen=True)
class Attempt:
    """A request that has reached a model server whole."""

    server: str
    ident: str
    at: float
    way: str
    told_s: float  # how long the gateway said that it would wait


@dataclass
class Plan:
    """What a seed draws."""

    rng: random.Random
    settings: dict[str, Any] = field(init=False)
    users: int = field(init=False)
    told_after_s: float = field(init=False)
    faults: list[tuple[float, str, str]] = field(init=False)  # when, which, to whom

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
        self.users = rng.choice([6, 12, 20, 30])
        self.told_after_s = rng.choice([rng.uniform(0.8, 2.0), rng.uniform(0.8, 2.0), rng.uniform(4.0, 8.0)])
        self.faults = sorted(self.fault() for _ in range(rng.randint(1, 4 + round(self.told_after_s))))

    def fault(self) -> tuple[float, str, str]:
        """Half of them around the signal and after it."""
        kind = self.rng.choice(
            ["hang", "hang", "fail", "slow", "stall", "stall", "reset", "vanish", "mend", "drain"]
            + ["hush", "agent silent", "agent resets", "stop", "stop", "signals", "flood"]
        )
        around = self.told_after_s + self.rng.choice([-0.3, 0.0, 0.5, self.rng.uniform(-0.8, 3.2)])
        at = self.rng.choice([around, self.rng.uniform(0.0, self.told_after_s + 3.0)])
        return max(0.0, at), kind, self.rng.choice([*DECODE, *DECODE, *PREFILL])

    @property
    def kill_after_s(self) -> float:
        """After SIGTERM."""
        longest = max(profile["deadline"] for profile in self.settings["profiles"]) / 1000
        return float(min(LONGEST_S, longest)) + GRACE_S


class ShutdownPlay:
    """Plays one plan and keeps the records that `broken_rules` judges."""

    def __init__(self, p: Platform, plan: Plan, process: trio.Process) -> None:
        self.p, self.plan, self.process = p, plan, process
        self.sent: list[Sent] = []
        self.attempts: list[Attempt] = []
        self.told: dict[int, float] = {}
        self.began = trio.current_time()
        self.told_at = self.began + plan.told_after_s
        self.killed_at = self.told_at + plan.kill_after_s
        self.faulty: set[str] = set()  # servers whose streams may break
        self.drained_at: dict[str, float] = {}
        self.proxies: dict[str, StallingProxy] = {}
        self.ways = {name: "" for name in (*PREFILL, *DECODE)}
        self.longest_held_s = 0.0
        self.own_lateness_s = 0.0  # the most by which this process, which stands in for clients and servers, was late
        self.agent_well = True
        self.idle: list[RawClient] = []
        self.ended_by_itself: int | None = None

    def script(self, name: str) -> Callable[[str], str]:
        def way(ident: str) -> str:
            told_s = self.p.fleet.stated_timeouts_s[-1]  # its own: nothing comes between the two
            self.attempts.append(Attempt(name, ident, trio.current_time(), self.ways[name], told_s))
            return self.ways[name]

        return way

    async def run(self) -> None:
        async with trio.open_nursery() as nursery:
            for nth in range(self.plan.users):
                nursery.start_soon(self.user, random.Random(f"{self.plan.rng.random()} {nth}"))
            nursery.start_soon(self.break_things)
            nursery.start_soon(self.watch_own_lateness)
            await trio.sleep_until(self.told_at)
            self.process.send_signal(signal.SIGTERM)
            self.told_at = trio.current_time()
            self.killed_at = self.told_at + self.plan.kill_after_s
            await trio.sleep_until(self.killed_at - LOOK_S)
            self.longest_held_s = self.p.fleet.longest_held_ms() / 1000
            await trio.sleep_until(self.killed_at)
            self.ended_by_itself = self.process.poll()
            self.process.kill()
            await self.process.wait()
            await trio.sleep(0.2)  # clients read what has come
            nursery.cancel_scope.cancel()

    async def watch_own_lateness(self) -> None:
        """What this process records may be so much too late: its verdicts on times allow for that."""
        while True:
            due_at = trio.current_time() + LOOK_S
            await trio.sleep_until(due_at)
            self.own_lateness_s = max(self.own_lateness_s, 3 * (trio.current_time() - due_at))  # bytes take some turns

    # -- faults

    async def break_things(self) -> None:
        for at, kind, server in self.plan.faults:
            await trio.sleep_until(self.began + at)
            await self.break_one(kind, server)

    async def break_one(self, kind: str, server: str) -> None:
        match kind:
            case "hang":
                self.ways[server] = "silent"
            case "fail":
                self.ways[server] = self.plan.rng.choice(FAILING)
                self.faulty.add(server)
            case "slow":
                self.p.servers[server].prefill_ms = 400.0
                self.p.servers[server].event_ms = 120.0
            case "stall":
                self.faulty.add(server)
                self.proxies[server].stall()
            case "reset":
                self.faulty.add(server)
                self.proxies[server].reset_all()
            case "mend":
                self.ways[server] = ""
                self.faulty.add(server)
                self.proxies[server].reset_all()  # connections that were silent are reset once all is back (page)
            case "vanish":
                self.faulty.add(server)
                self.p.servers[server].stop()
                self.proxies[server].reset_all()
            case "drain":
                kind = "reader" if server in PREFILL else "writer"
                self.p.discovery.put(server, self.proxies[server].address, kind, "DRAINING")
                if self.agent_well:
                    self.drained_at.setdefault(server, trio.current_time())
            case "hush":
                self.agent_well = False
                self.p.discovery.silence_open_watches()
            case "agent silent":
                self.agent_well = False
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
            case "stop":
                with suppress(ProcessLookupError):
                    self.process.send_signal(signal.SIGSTOP)
                await trio.sleep(STALL_S)
                with suppress(ProcessLookupError):
                    self.process.send_signal(signal.SIGCONT)

    def flood(self) -> None:
        """Idle connections, and bytes that are no request."""
        for nth in range(FLOOD):
            with suppress(OSError):
                client = RawClient(self.p.address)
                self.idle.append(client)
                if nth % 2:
                    client.send(b"\x16\x03\x01 nonsense\r\n\r\n" if nth % 4 == 1 else b"POST /v1/chat")

    # -- clients

    async def user(self, rng: random.Random) -> None:
        """Asks again and again, on the same connection for as long as that is open."""
        await trio.sleep(rng.uniform(0, 0.5) if rng.random() < 0.8 else rng.uniform(0, self.plan.told_after_s + 0.4))
        while trio.current_time() < self.told_at + NEW_CONNECTIONS_S:
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
        """One request; False once the connection is of no more use."""
        if rng.random() < 0.3 and await ended_within(stream, rng.choice([0.1, 0.4, 1.0])):
            return False
        request_class = rng.choice(["summary", "summary", "note", "form"])
        limit_s = next(p["deadline"] for p in self.plan.settings["profiles"] if p["name"] == request_class) / 1000
        timeout_s = rng.choice([limit_s, limit_s, min(limit_s, 0.6)])
        data = client_request(self.p, Request_Class=request_class, Request_Timeout=f"{timeout_s:.3f}")
        sent = Sent(f"{self.p.count:016x}", request_class, 0.0, timeout_s)
        if rng.random() < 0.25:  # a slow writer
            cut = rng.randrange(1, len(data))
            await stream.send_all(data[:cut])
            await trio.sleep(rng.choice([0.05, 0.5, 1.5]))
            data = data[cut:]
        await stream.send_all(data)
        sent.at = trio.current_time()
        self.sent.append(sent)
        if rng.random() < 0.08:  # leaves
            await trio.sleep(rng.uniform(0, 0.3))
            sent.left_at = trio.current_time()
            return False
        try:
            while answer_end(sent.answer) < 0:
                piece = await stream.receive_some(65536)
                if not piece:
                    return False
                sent.answer += piece
        finally:
            sent.ended_at = trio.current_time()
        if sent.status == "503":
            await trio.sleep(RETRY_AFTER_S)
        return b"\r\nconnection: close" not in sent.answer.lower()

    # -- verdict

    def broken_rules(self, log: str) -> list[str]:
        checks = (self.lost, self.repeated, self.misplaced, self.overstated, self.held)
        return [line for check in checks for line in check()] + self.faults(log)

    def attempts_for(self, sent: Sent) -> list[Attempt]:
        return [attempt for attempt in self.attempts if attempt.ident == sent.ident]

    def said(self, rule: str, sent: Sent, why: str) -> str:
        attempts = [f"{a.server} {a.way or 'well'} at {a.at - self.told_at:+.3f}" for a in self.attempts_for(sent)]
        after_s = sent.at - self.told_at
        return (
            f"{rule}: {sent.ident} ({sent.request_class}, {sent.timeout_s} s) sent {after_s:+.3f} s: {why}; {attempts}"
        )

    def lost(self) -> list[str]:
        out = []
        for sent in self.sent:
            if sent.left_at is not None:
                continue
            after_s, forwarded = sent.at - self.told_at, self.attempts_for(sent)
            ended_at = self.killed_at if sent.ended_at is None else sent.ended_at
            at_kill = ended_at >= self.killed_at - LOOK_S
            if not sent.answer and (forwarded or sent.at < self.told_at - self.own_lateness_s):
                out.append(self.said("lost", sent, f"no answer, its connection ended {ended_at - self.told_at:+.3f} s"))
            elif sent.answer and not sent.whole:
                servers = {attempt.server for attempt in forwarded}
                if at_kill and after_s > GRACE_S + self.own_lateness_s:
                    out.append(self.said("lost", sent, "its stream is cut by the kill"))
                elif not at_kill and not servers & self.faulty:
                    out.append(self.said("lost", sent, f"its stream is cut at {ended_at - self.told_at:+.3f} s"))
            elif sent.whole and sent.status != "200":
                late_s = ended_at - sent.at - sent.timeout_s
                if late_s > LATE_S + STALL_S + self.own_lateness_s:
                    out.append(self.said("lost", sent, f"answered {late_s:.3f} s late"))
            elif sent.whole and sent.status not in ("200", "502", "503"):
                out.append(self.said("lost", sent, f"status {sent.status}"))
        return out

    def repeated(self) -> list[str]:
        out = []
        for sent in self.sent:
            if sent.request_class == "summary":
                continue
            began = [a for a in self.attempts_for(sent) if a.server in DECODE and a.way not in NOT_STARTED]
            may_have_run = [a for a in began if a.way or self.p.fleet.run_counts[sent.ident]]
            if sent.request_class == "note" and self.p.fleet.run_counts[sent.ident] > 1:
                out.append(self.said("duplicate", sent, "ran twice"))
            if sent.request_class == "note" and sent.status == "503" and may_have_run:
                out.append(self.said("duplicate", sent, "rejected though it may have run"))
            if sent.request_class == "form" and may_have_run:
                window_s = self.plan.settings["profiles"][2]["key_ttl"] / 1000 + self.own_lateness_s
                if any(a.at > may_have_run[0].at + window_s and a.server not in self.faulty for a in began):
                    out.append(self.said("duplicate", sent, f"repeated after its window of {window_s:.3f} s"))
        return out

    def overstated(self) -> list[str]:
        """Attempts that told their server more time than was left. What a stalled network delays is not judged."""
        slack_s = TOLD_SLACK_S + self.own_lateness_s
        return [
            self.said("time told", sent, f"{attempt.told_s} s at {attempt.server}")
            for sent in self.sent
            for attempt in self.attempts_for(sent)
            if attempt.server not in self.faulty and attempt.told_s > sent.timeout_s - (attempt.at - sent.at) + slack_s
        ]

    def misplaced(self) -> list[str]:
        out = []
        grace_s = self.plan.settings["invariants"]["drain_grace"] / 1000
        for sent in self.sent:
            for attempt in self.attempts_for(sent):
                drained_at = self.drained_at.get(attempt.server)
                if drained_at is not None and attempt.at > drained_at + grace_s + self.own_lateness_s:
                    out.append(self.said("drain", sent, f"sent to {attempt.server}, which drains"))
                if sent.left_at is not None and attempt.at > sent.left_at + LEFT_S + self.own_lateness_s:
                    out.append(self.said("left", sent, "an attempt after its client had gone"))
        return out

    def held(self) -> list[str]:
        limit_s = self.plan.settings["specifics"]["release"] / 1000 + HELD_SLACK_S + self.own_lateness_s
        if self.longest_held_s <= limit_s or len(self.faulty | self.hanging()) >= len(self.ways):
            return []
        return [f"held: a state for {self.longest_held_s:.3f} s, {limit_s:.3f} s are allowed"]

    def hanging(self) -> set[str]:
        return {name for name, way in self.ways.items() if way}

    def faults(self, log: str) -> list[str]:
        """Of the gateway's own program, as its log tells them, and an end that is no clean one."""
        lines = [json.loads(line) for line in log.splitlines() if line.startswith("{")]
        out = [
            f"fault: {line}" for line in lines if line["event"] in ("fault", "connection", "attempt fault", "release")
        ]
        out += [f"fault: {line}" for line in log.splitlines() if line.startswith("Traceback")]
        if self.ended_by_itself not in (None, 0):
            out.append(f"fault: ended with {self.ended_by_itself}")
        return out


async def ended_within(stream: trio.SocketStream, within_s: float) -> bool:
    """Rests, and tells whether the other side has ended the connection meanwhile."""
    with trio.move_on_after(within_s):
        await trio.lowlevel.wait_readable(stream.socket)
        return True
    return False


async def play_shutdown(seed: int, folder: Path) -> tuple[ShutdownPlay, list[str]]:
    """The records of this seed's play, and what broke a rule in it."""
    plan = Plan(random.Random(seed))
    async with platform("r9", platform_settings=plan.settings) as p:
        p.discovery.put("r9", p.servers.pop("r9").address, "reader", "DELETED")
        proxies = {name: await p.add_behind_proxy(name) for name in (*PREFILL, *DECODE)}
        for name in DECODE:
            p.servers[name].events = plan.rng.choice([2, 10, 60])
            p.servers[name].event_ms = plan.rng.choice([1.0, 20.0, 50.0])
        async with running(p, folder, settings=plan.settings) as (process, log):
            await wait_until_ready(p)
            played = ShutdownPlay(p, plan, process)
            played.proxies = proxies
            for name, server in p.servers.items():
                server.script = played.script(name)
            await played.run()
            return played, played.broken_rules(log.read_text())

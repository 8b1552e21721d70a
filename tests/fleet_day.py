"""A day of a whole fleet in virtual time: the true decisions of many gateways before emulated model servers.

Each gateway is a `Turns` loop around a `Router`, or around a baseline chooser, and shares nothing with the others. All
draws come from the day's seed, so that a day is the same each time it is played. What is counted is the value of the
requests whose first token came in time, by class, by third of the day and by tenant.
"""

from __future__ import annotations

import heapq
import random
import zlib
from collections import defaultdict, deque
from contextlib import contextmanager
from dataclasses import dataclass, field, replace
from itertools import count
from math import inf
from typing import Any, Callable, Iterator

from ternlane import port, turns
from ternlane.choice import Router
from ternlane.port import Duty, Effect, Generation, Group, Life, Product, Server, Tenant, Verdict
from tests.conftest import FACTS

CELL_SIZE = 6
TRANSFER_TOKENS_PER_MS = 250.0
FIRST_TOKEN_MS = 25.0
TOKEN_MS = 20.0
CONNECT_MS = 250.0
CONFIRM_MS = 2.0
LATE_VIEW_MS = 250.0  # the age of what the baseline sees
LATE_SHARE = 0.1


@dataclass(frozen=True)
class Scene:
    """What a day is like. `load` is the share of the prefill servers' capacity that the requests ask for."""

    gateways: int = 200
    readers: int = 36
    writers: int = 24
    zones: int = 1
    load: float = 0.6
    seconds: float = 20.0
    seed: int = 1
    unevenness: float = 0.8  # sigma of the log-normal weights of the gateways
    reader_tokens_per_ms: float = 21.0
    reader_slots: int = 8
    reader_queue: int = 45
    writer_slots: int = 90
    writer_queue: int = 28
    writer_memory: float = 200e3
    connections: float = inf  # that one model server accepts
    tenants: int = 0
    unsafe_share: float = 0.5
    prompt_tokens: float = 1800.0
    kept_share: float = 0.6  # of a prompt that a reader holds which read its session or opening before
    answer_tokens: float = 150.0
    openings: int = 12  # beginnings that sessions share, drawn by Zipf's law
    slo_ms: float = 2000.0
    limit_ms: float = 10000.0
    tries: int = 3
    cold_ms: float = 10e3
    cold_from: float = 0.35
    configured_gateways: int | None = None  # what the settings say, where that is not the truth


@dataclass(eq=False)
class Request:
    """What one client wants; its tries are counted as one."""

    product: Product
    tenant: Tenant | None
    session: str
    opening: str
    prompt: float
    answer: float
    came: float
    patience: float
    value: float
    tries: int = 0
    first_token: float = inf
    broken: bool = False
    outcomes: list[str] = field(default_factory=list)

    def served(self) -> float:
        if self.broken or self.first_token == inf:
            return 0.0
        late = self.first_token > self.came + self.product.slo_ms
        return self.value * (LATE_SHARE if late else 1.0)


@dataclass(eq=False)
class Job:
    """One attempt at one model server. `done` is told its end."""

    gateway: Gateway
    gen: Generation
    server: Server
    request: Request
    since: float
    timeout_at: float
    ended: bool = False
    begun: bool = False
    work: float = 0.0


class ModelServer:
    """What a model server truly does, whatever the gateways believe."""

    def __init__(self, day: Day, number: int, duty: Duty) -> None:
        self.day, self.number, self.duty = day, number, duty
        self.cell = number // CELL_SIZE
        self.zone = f"zone-{self.cell % day.scene.zones}"
        self.name = f"{duty.name}-{number}"
        self.up, self.silent, self.hung, self.bad, self.resetting = True, False, False, 0.0, 0.0
        self.slow = 1.0
        self.started = -inf
        self.waiting: deque[Job] = deque()
        self.running: list[Job] = []
        self.memory = 0.0
        self.kept: set[str] = set()
        self.connected: defaultdict[Gateway, int] = defaultdict(int)
        self.got = 0

    def warmth(self) -> float:
        scene = self.day.scene
        age = (self.day.now - self.started) / scene.cold_ms
        return min(1.0, scene.cold_from + (1 - scene.cold_from) * age)

    # -- what the baseline sees

    def backlog_ms(self) -> float:
        return (sum(j.work for j in self.waiting) + sum(j.work for j in self.running)) * self.slow / self.warmth()

    def fullness(self) -> float:
        scene = self.day.scene
        ahead = sum(j.request.prompt + j.request.answer for j in self.waiting)
        return max(
            (self.memory + ahead) / scene.writer_memory, (len(self.running) + len(self.waiting)) / scene.writer_slots
        )

    def healthy(self) -> bool:
        return self.up and not (self.silent or self.hung or self.bad or self.resetting) and self.slow < 3

    # -- attempts

    def take(self, job: Job) -> None:
        self.got += 1
        day, scene = self.day, self.day.scene
        if not self.up:
            return day.after(1.0, lambda: job.gateway.ended(job, Verdict.UNCONNECTED))
        if day.cut(job.gateway, self) or self.silent:
            linked = self.connected[job.gateway] > 0
            if linked:
                return  # an open connection that stays silent
            return day.after(CONNECT_MS, lambda: job.gateway.ended(job, Verdict.UNCONNECTED))
        if day.rng.random() < self.resetting:
            return day.after(5.0, lambda: job.gateway.ended(job, Verdict.RESET))
        self.connected[job.gateway] += 1
        if day.rng.random() < self.bad:
            return day.after(8.0, lambda: job.gateway.ended(job, Verdict.ERROR))
        limit = scene.reader_queue if self.duty is Duty.READ else scene.writer_queue
        if len(self.waiting) >= limit:
            return day.after(CONFIRM_MS, lambda: job.gateway.ended(job, Verdict.FULL))
        kept = {job.request.session, job.request.opening} & self.kept
        unread = job.request.prompt * ((1 - scene.kept_share) if kept else 1.0)
        job.work = unread / scene.reader_tokens_per_ms if self.duty is Duty.READ else 0.0
        self.waiting.append(job)
        self.go_on()

    def go_on(self) -> None:
        while self.waiting and not self.hung and self.up:
            if self.duty is Duty.READ:
                if self.running:
                    return
                job = self.waiting.popleft()
                self.running.append(job)
                took = (job.work + 4.0) * self.slow / self.warmth()
                self.day.after(took, lambda job=job: self.read(job))
            else:
                job = self.waiting[0]
                need = job.request.prompt + job.request.answer
                if len(self.running) >= self.day.scene.writer_slots * self.warmth():
                    return
                if self.running and self.memory + need > self.day.scene.writer_memory:
                    return
                self.waiting.popleft()
                self.running.append(job)
                self.memory += need
                took = (FIRST_TOKEN_MS + job.request.prompt / TRANSFER_TOKENS_PER_MS) * self.slow / self.warmth()
                self.day.after(took, lambda job=job: self.first(job))

    def read(self, job: Job) -> None:
        if job not in self.running or self.hung:
            return
        self.running.remove(job)
        self.kept |= {job.request.session, job.request.opening}
        if not self.silent and not self.day.cut(job.gateway, self):
            job.gateway.ended(job, Verdict.READ)
        self.go_on()

    def first(self, job: Job) -> None:
        if job not in self.running or self.hung:
            return
        if not self.silent and not self.day.cut(job.gateway, self):
            job.gateway.first_token(job)
        crowd = 1 + len(self.running) / self.day.scene.writer_slots
        took = job.request.answer * TOKEN_MS * crowd * self.slow / self.warmth()
        self.day.after(took, lambda: self.written(job))

    def written(self, job: Job) -> None:
        if job not in self.running or self.hung:
            return
        self.leave(job)
        if not self.silent and not self.day.cut(job.gateway, self):
            job.gateway.ended(job, Verdict.STREAMED)

    def leave(self, job: Job) -> None:
        """The attempt is cancelled or over."""
        if job in self.running:
            self.running.remove(job)
            if self.duty is not Duty.READ:
                self.memory -= job.request.prompt + job.request.answer
            self.go_on()
        elif job in self.waiting:
            self.waiting.remove(job)

    # -- faults

    def die(self) -> None:
        lost = [*self.running, *self.waiting]
        self.running.clear()
        self.waiting.clear()
        self.up, self.memory = False, 0.0
        self.kept.clear()
        self.connected.clear()
        for job in lost:
            job.gateway.ended(job, Verdict.RESET)

    def start(self) -> None:
        self.up, self.hung, self.silent, self.started = True, False, False, self.day.now
        self.day.listed(self)

    def resume(self) -> None:
        """What hung goes on; what stood is worked from now."""
        self.hung = False
        stood, self.running, self.memory = [*self.running], [], 0.0
        self.waiting.extendleft(reversed([j for j in stood if not j.ended]))
        self.go_on()


class Gateway(turns.Turns[Any]):
    """One gateway's loop on the day's clock."""

    def __init__(self, day: Day, number: int) -> None:
        self.day, self.number = day, number
        self.zone = f"zone-{number % day.scene.zones}"
        self.alive = True
        self.life = 0
        self.begin()

    def begin(self) -> None:
        """A process that has just started, with the list as discovery has it."""
        day = self.day
        self.life += 1
        super().__init__(day.chooser(self))
        self.requests: dict[Generation, Request] = {}
        self.jobs: dict[Generation, Job] = {}
        self.truth: dict[Server, ModelServer] = {}
        self.known: dict[ModelServer, Server] = {}
        for model in day.models:
            if model.up:
                self.know(model)
        self.tell(port.Listed(tuple(self.truth)))

    def know(self, model: ModelServer) -> Server:
        server = self.known.get(model)
        if server is None:
            memory = self.day.scene.writer_memory if model.duty is Duty.WRITE else 250e3
            server = Server(model.zone, model.cell, model.duty, memory, mark=zlib.crc32(model.name.encode()))
            self.known[model], self.truth[server] = server, model
        server.started_ms = max(0.0, model.started)
        server.life = Life.UP
        return server

    def kill(self) -> None:
        self.alive = False
        jobs, self.jobs = list(self.jobs.values()), {}
        for job in jobs:
            job.ended = True
            self.truth[job.server].leave(job)
        for request in list(self.requests.values()):
            if request.first_token < inf:
                request.broken = True
            else:
                self.day.again(request, "killed")
        self.requests.clear()
        self.tickets.clear()

    # -- the loop's side

    def at(self, when_ms: float, call: Callable[[], None]) -> None:
        life = self.life

        def due() -> None:
            if self.alive and life == self.life:
                call()
                if self.heard and not self.turning:
                    self.turn()

        self.day.at(when_ms, due)

    def arrive(self, request: Request) -> None:
        left = request.came + request.patience - self.day.now
        gen = Generation(
            request.product,
            request.session,
            request.opening,
            request.prompt * 0.5,
            request.prompt,
            4 * request.answer,
            left,
            tenant=request.tenant,
        )
        self.requests[gen] = request
        self.tickets[gen] = Ticket(gen)
        self.tell(port.Arrived(gen))

    def send(self, ticket: Any, server: Server, times: port.SendLeg) -> None:
        gen, now, life = times.gen, self.day.now, self.life
        job = Job(self, gen, server, self.requests[gen], now, now + times.timeout_ms)
        self.jobs[gen] = job
        ticket.leg = Attempt(self, job)
        self.day.sent.append((now, self.truth[server]))
        self.truth[server].take(job)

        def timeout() -> None:
            if self.alive and life == self.life and not job.begun:
                self.ended(job, Verdict.TIMED_OUT)

        self.day.at(job.timeout_at, timeout)

    def ended(self, job: Job, verdict: Verdict) -> None:
        if job.ended or not self.alive:
            return
        job.ended = True
        model = self.truth[job.server]
        model.leave(job)
        self.jobs.pop(job.gen, None)
        ticket = self.tickets.get(job.gen)
        if ticket is not None:
            ticket.leg = None
        request = self.requests.get(job.gen)
        over = verdict is Verdict.STREAMED or job.begun or request is None
        if over and verdict is not Verdict.STREAMED and request is not None and job.begun:
            request.broken = True
        if over:
            self.requests.pop(job.gen, None)
        self.day.verdicts[model.duty, verdict] += 1
        took = self.day.now - job.since
        kept = 0.0
        if verdict is Verdict.READ:
            kept = job.request.prompt - job.work * self.day.scene.reader_tokens_per_ms
        self.tell(port.LegEnded(job.gen, job.server, verdict, took, over, kept))
        if job.gen not in self.requests:
            self.tickets.pop(job.gen, None)

    def first_token(self, job: Job) -> None:
        if job.ended or job.gen not in self.requests:
            return
        job.begun = True
        job.request.first_token = self.day.now
        self.tickets[job.gen].flowing = True
        self.tell(port.FirstTok(job.gen, job.server, self.day.now - job.since))

    def settle(self, ticket: Any, final: turns.Throttled | turns.Terminated) -> None:
        request = self.requests.pop(ticket.gen, None)
        if request is None:
            return
        if isinstance(final, turns.Throttled):
            self.day.again(request, "rejected", final.pause_ms)
        elif request.product.effect is Effect.IDEMPOTENT:
            self.day.again(request, "failed")
        else:
            request.outcomes.append("failed")

    def carry_further(self, action: port.Action) -> None:
        pass

    def woken(self) -> None:
        pass


@dataclass(eq=False)
class Ticket:
    gen: Generation
    leg: Any = None
    flowing: bool = False
    why: str = ""
    trail: list[str] = field(default_factory=list)


@dataclass
class Attempt:
    gateway: Gateway
    job: Job

    def call_off(self) -> None:
        self.gateway.day.after(0.0, lambda: self.gateway.ended(self.job, Verdict.CALLED_OFF))


class LateSeeing:
    """The baseline: sees every server's true state, LATE_VIEW_MS old, and what all have sent since."""

    def __init__(self, gateway: Gateway) -> None:
        self.gateway, self.day = gateway, gateway.day
        self.attempts: defaultdict[Generation, int] = defaultdict(int)
        self.tried: defaultdict[Generation, set[ModelServer]] = defaultdict(set)
        self.ran: set[Generation] = set()

    def take(self, now: float, events: list[port.Event]) -> list[port.Action]:
        out: list[port.Action] = []
        for event in events:
            match event:
                case port.Arrived(gen):
                    out.append(self.next(gen, Duty.READ))
                case port.LegEnded(gen, server, verdict, _, over) if not over:
                    if verdict is Verdict.READ:
                        out.append(self.next(gen, Duty.WRITE))
                        continue
                    model = self.gateway.truth[server]
                    self.tried[gen].add(model)
                    if server.duty is Duty.WRITE and verdict not in (Verdict.UNCONNECTED, Verdict.FULL):
                        self.ran.add(gen)
                    out.append(self.next(gen, Duty.READ if server.duty is Duty.READ else Duty.WRITE))
        return out

    def next(self, gen: Generation, duty: Duty) -> port.Action:
        gateway, day = self.gateway, self.day
        request = gateway.requests[gen]
        left = request.came + request.patience - day.now
        unsafe = gen.product.effect is not Effect.IDEMPOTENT and gen in self.ran
        if unsafe:
            return port.Terminate(gen)
        able = [m for m in day.models if m.duty is duty and day.view(m).healthy and m not in self.tried[gen]]
        able = [m for m in able if not day.cut(gateway, m)]
        if left <= 0 or self.attempts[gen] >= 5 or not able:
            return port.Throttle(gen, 200.0)
        self.attempts[gen] += 1
        best = min(able, key=lambda m: (day.view(m).load, m.number))
        day.view(best).add(request)
        return port.SendLeg(gen, gateway.know(best), min(left, gen.product.slo_ms), inf, inf)


@dataclass
class View:
    healthy: bool
    load: float
    warmth: float
    duty: Duty
    scene: Scene

    def add(self, request: Request) -> None:
        if self.duty is Duty.READ:
            self.load += request.prompt / self.scene.reader_tokens_per_ms / self.warmth
        else:
            self.load += (request.prompt + request.answer) / self.scene.writer_memory / self.warmth


Fault = Callable[["Day"], None]


class Day:
    def __init__(self, scene: Scene, chooser: str = "router", faults: tuple[Fault, ...] = ()) -> None:
        self.scene, self.kind = scene, chooser
        self.rng = random.Random(scene.seed)
        self.now = 1000.0
        self.order = count()
        self.due: list[tuple[float, int, Callable[[], None]]] = []
        self.models = [ModelServer(self, n, Duty.READ) for n in range(scene.readers)]
        self.models += [ModelServer(self, n, Duty.WRITE) for n in range(scene.writers)]
        spread_cells(self.models)
        self.cuts: set[tuple[str, str]] = set()
        self.requests: list[Request] = []
        self.verdicts: defaultdict[tuple[Duty, Verdict], int] = defaultdict(int)
        self.sent: list[tuple[float, ModelServer]] = []
        self.seen: dict[ModelServer, View] = {}
        self.seen_at = -inf
        self.products = (
            Product(Effect.IDEMPOTENT, Group.ALL, 5000.0, scene.slo_ms, 40.0, 70.0, scene.limit_ms, 3.0, LATE_SHARE),
            Product(
                Effect.SIDE_EFFECTING,
                Group.ALL,
                5000.0,
                1.25 * scene.slo_ms,
                40.0,
                80.0,
                1.2 * scene.limit_ms,
                2.0,
                LATE_SHARE,
            ),
        )
        self.tenants = [Tenant() for _ in range(scene.tenants)]
        self.gateways: list[Gateway] = []
        weights = random.Random(scene.seed + 1)
        self.weights = [weights.lognormvariate(0.0, scene.unevenness) for _ in range(scene.gateways)]
        self.faults = faults

    # -- the clock

    def at(self, when: float, call: Callable[[], None]) -> None:
        heapq.heappush(self.due, (max(when, self.now), next(self.order), call))

    def after(self, ms: float, call: Callable[[], None]) -> None:
        self.at(self.now + ms, call)

    def play(self) -> Day:
        with virtual_clock(lambda: self.now):
            for number in range(self.scene.gateways):
                self.gateways.append(Gateway(self, number))
            self.arrivals()
            for fault in self.faults:
                fault(self)
            end = 1000.0 + self.scene.seconds * 1000
            while self.due and self.due[0][0] < end:
                self.now, _, call = heapq.heappop(self.due)
                call()
        return self

    # -- the parts that gateways and servers ask for

    def chooser(self, gateway: Gateway) -> Any:
        if self.kind == "late":
            return LateSeeing(gateway)
        scene = self.scene
        facts = replace(
            FACTS,
            seed=zlib.crc32(b"%d %d %d" % (scene.seed, gateway.number, gateway.life)),
            gateways=scene.configured_gateways or scene.gateways,
            zone=gateway.zone,
            products=self.products,
            may_probe=True,
            idle_ms=30e3,
            drain_grace_ms=2000.0,
            cold_ms=scene.cold_ms,
            cold_from=scene.cold_from,
            fall_multiple=4.0,
            fall_ms=3000.0,
        )
        return Router(facts)

    def cut(self, gateway: Gateway, model: ModelServer) -> bool:
        return (gateway.zone, model.zone) in self.cuts

    def view(self, model: ModelServer) -> View:
        if self.now - self.seen_at >= LATE_VIEW_MS:
            self.seen_at = self.now
            for m in self.models:
                load = m.backlog_ms() if m.duty is Duty.READ else m.fullness() / m.warmth()
                self.seen[m] = View(m.healthy(), load, m.warmth(), m.duty, self.scene)
        return self.seen[model]

    def listed(self, model: ModelServer, gone: bool = False, notice_ms: float = 0.0) -> None:
        """Discovery tells each gateway."""

        def told(gateway: Gateway) -> None:
            if not gateway.alive:
                return
            if gone:
                server = gateway.known.get(model)
                if server is not None:
                    server.life = Life.GONE
                    gateway.tell(port.Listed((server,)))
            else:
                gateway.tell(port.Listed((gateway.know(model),)))

        for gateway in self.gateways:
            self.after(notice_ms, lambda gateway=gateway: told(gateway))

    # -- clients

    def arrivals(self) -> None:
        scene, rng = self.scene, random.Random(self.scene.seed + 2)
        rate = (
            scene.load
            * scene.readers
            * scene.reader_tokens_per_ms
            / (scene.prompt_tokens * (1 - 0.55 * scene.kept_share))
        )
        when, end = self.now, self.now + scene.seconds * 1000
        sessions: list[tuple[str, str, int]] = []
        popularity = [1 / (n + 1) ** 0.8 for n in range(scene.openings)]
        while when < end:
            when += rng.expovariate(rate * self.burst(when))
            if sessions and rng.random() < 0.6:
                session, opening, kind = rng.choice(sessions[-400:])
            else:
                session, opening = f"s{len(sessions)}", f"o{rng.choices(range(scene.openings), popularity)[0]}"
                kind = int(rng.random() < scene.unsafe_share)
                sessions.append((session, opening, kind))
            product = self.products[kind]
            prompt = min(9000.0, scene.prompt_tokens * rng.lognormvariate(-0.2, 0.6))
            answer = max(4.0, scene.answer_tokens * rng.lognormvariate(-0.1, 0.4))
            tenant = rng.choice(self.tenants) if self.tenants else None
            patience = product.limit_ms * rng.uniform(0.5, 1.0)
            request = Request(
                product,
                tenant,
                session,
                opening,
                prompt,
                answer,
                when,
                patience,
                product.revenue * (prompt + 4 * answer),
            )
            self.at(when, lambda request=request: self.come(request))

    def burst(self, when: float) -> float:
        return 1.0

    def come(self, request: Request) -> None:
        if request.tries == 0:
            self.requests.append(request)
        request.tries += 1
        gateway = self.rng.choices(self.gateways, self.weights)[0]
        for _ in range(4):
            if gateway.alive:
                break
            gateway = self.rng.choices(self.gateways, self.weights)[0]
        if not gateway.alive:
            return self.again(request, "unreachable")
        gateway.arrive(request)

    def again(self, request: Request, why: str, pause: float = 0.0) -> None:
        request.outcomes.append(why)
        wait = max(pause, self.rng.uniform(50.0, 400.0))
        left = request.came + request.patience - self.now
        if request.tries < self.scene.tries and wait < left:
            self.after(wait, lambda: self.come(request))

    # -- the outcome

    def share(self, chosen: Callable[[Request], bool] = lambda _: True) -> float:
        mine = [r for r in self.counted() if chosen(r)]
        return sum(r.served() for r in mine) / max(1e-9, sum(r.value for r in mine))

    def counted(self) -> list[Request]:
        """Those whose time was over before the day's end."""
        end = 1000.0 + self.scene.seconds * 1000
        return [r for r in self.requests if r.came + r.product.slo_ms < end]

    def thirds(self) -> list[float]:
        part = self.scene.seconds * 1000 / 3
        return [self.share(lambda r, n=n: int((r.came - 1000.0) // part) == n) for n in range(3)]

    def shares(self) -> dict[str, float]:
        """By name: the whole day, each class, each third, each tenant."""
        out = {"day": self.share()}
        for n, product in enumerate(self.products):
            out[f"class {n}"] = self.share(lambda r, product=product: r.product is product)
        for n, share in enumerate(self.thirds()):
            out[f"third {n}"] = share
        for n, tenant in enumerate(self.tenants):
            out[f"tenant {n}"] = self.share(lambda r, tenant=tenant: r.tenant is tenant)
        return out


def spread_cells(models: list[ModelServer]) -> None:
    """Each cell has about the same mix of both duties."""
    by_duty: defaultdict[Duty, int] = defaultdict(int)
    cells = max(1, len(models) // CELL_SIZE)
    for model in models:
        model.cell = by_duty[model.duty] % cells
        model.zone = f"zone-{model.cell % model.day.scene.zones}"
        by_duty[model.duty] += 1


@contextmanager
def virtual_clock(now: Callable[[], float]) -> Iterator[None]:
    """`Turns` asks for the time by this name."""
    real = turns.now_ms
    turns.now_ms = now
    try:
        yield
    finally:
        turns.now_ms = real


# -- faults


def kill_gateways(part: float, at_ms: float, for_ms: float) -> Fault:
    """A part of the gateways die at once and come back later."""

    def begin(day: Day) -> None:
        draw = random.Random(day.scene.seed + 3)
        chosen = draw.sample(day.gateways, round(part * len(day.gateways)))
        for gateway in chosen:
            day.at(1000.0 + at_ms, gateway.kill)

            def back(gateway: Gateway = gateway) -> None:
                gateway.alive = True
                gateway.begin()

            day.at(1000.0 + at_ms + for_ms + draw.uniform(0, 2000), back)

    return begin


def ail(part: float, at_ms: float, for_ms: float, duty: Duty | None = None, **state: Any) -> Fault:
    """A part of the model servers have these fields for a while, as `bad=1.0` or `silent=True`."""

    def begin(day: Day) -> None:
        draw = random.Random(day.scene.seed + 4)
        able = [m for m in day.models if duty is None or m.duty is duty]
        chosen = draw.sample(able, round(part * len(able)))

        def set_all(values: dict[str, Any]) -> None:
            for model in chosen:
                for name, value in values.items():
                    setattr(model, name, value)
                if not model.hung:
                    model.resume()

        healthy = {name: {"slow": 1.0, "bad": 0.0, "resetting": 0.0}.get(name, False) for name in state}
        day.at(1000.0 + at_ms, lambda: set_all(state))
        day.at(1000.0 + at_ms + for_ms, lambda: set_all(healthy))

    return begin


def restart_servers(part: float, at_ms: float, over_ms: float, down_ms: float, notice_ms: float = 1000.0) -> Fault:
    """A part of the model servers die one after the other, and come back cold."""

    def begin(day: Day) -> None:
        draw = random.Random(day.scene.seed + 5)
        chosen = draw.sample(day.models, round(part * len(day.models)))
        for n, model in enumerate(chosen):
            when = 1000.0 + at_ms + over_ms * n / len(chosen)

            def back(model: ModelServer = model) -> None:
                model.start()

            day.at(when, model.die)
            day.at(when + down_ms, back)

    return begin


def cut_zone(at_ms: float, for_ms: float) -> Fault:
    """The first zone and the others do not reach each other."""

    def begin(day: Day) -> None:
        others = [f"zone-{n}" for n in range(1, day.scene.zones)]
        pairs = {(a, b) for z in others for a, b in (("zone-0", z), (z, "zone-0"))}
        day.at(1000.0 + at_ms, lambda: day.cuts.update(pairs))
        day.at(1000.0 + at_ms + for_ms, day.cuts.clear)

    return begin

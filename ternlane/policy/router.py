"""Every decision of ternlane's router: which pair of servers reads and writes a generation, and what then.

A host makes one Router(StartFacts) for each gateway and calls take(now, events) -> actions; the interface is
ternlane/policy/messages.py, the reasons are in docs/design.md. The Desk and an Engine for each server are actors that
talk by notes in inboxes only. Read first place (the ordinary path), leg_ended, send, finish and release.
"""

from __future__ import annotations

import heapq
import zlib
from collections import Counter, OrderedDict, defaultdict, deque
from math import exp, inf
from statistics import median
from typing import Any, Iterator

from ternlane.policy import messages
from ternlane.notes import (
    Actor,
    Beat,
    Booked,
    Course,
    Home,
    Attempt,
    Limits,
    Loop,
    Lost,
    News,
    Onward,
    Reported,
    Seat,
    Sent,
    StageEnded,
    Standing,
    Trouble,
    Unbooked,
)
from ternlane.policy.failure_rates import FailureRates
from ternlane.policy.lease import RELEASE_RESERVE, AttemptEnd, ReleaseSchedule
from ternlane.policy.shutdown import ShutdownSchedule
from ternlane.policy.messages import (
    Role,
    Effect,
    Event,
    Request,
    Group,
    EndpointStatus,
    RequestClass,
    RejectReason,
    ReleaseReason,
    Server,
    RouterConfig,
    AttemptOutcome,
)

STEP = 0.1  # score lost for each step between reader and writer (design page)
HOME_AGE_MS = 60e3  # a session idle for longer loses its home (design page)
CROWD = 2.0  # congested: open streams over this many times the median (design page)
MARGIN = 2.0  # usual times to the first token that must be left when a read begins
SICK = 0.4  # congested: progress under this part of the peers' median
DOUBT = 4.0  # legs at the peers' pace that a server is credited with before its own count
LOOK = 4  # beats between two looks at all servers
GAIN = 1 / 16  # weight of a new sample in a running mean
CARE = 0.6  # part of what the rule lets a cold server be sent that this router uses
CONFIRM = 2.0  # the guess of the others' load counts in full once half of the answers come late
WORTH = 4.0  # what reading a text anew weighs against room: the readers' time is everybody's
FEW = 64  # generations before this gateway's own count of an opening says much
LONG_READ = 1000.0  # tokens
LOT = 0.618  # of the way round between two draws of a generation, as far from all before as can be
OUT_SHARE = 0.25  # part of the longest answer that a generation is expected to fill
NEVER_RAN = {
    AttemptOutcome.OVERLOADED,
    AttemptOutcome.CONNECT_FAILED,
    AttemptOutcome.CLIENT_GONE,
    AttemptOutcome.NOT_STARTED,
    AttemptOutcome.PREFILLED,
}
NO_SIGN = {
    AttemptOutcome.TIMED_OUT,
    AttemptOutcome.ERROR,
    AttemptOutcome.OVERLOADED,
    AttemptOutcome.CANCELLED,
    AttemptOutcome.CLIENT_GONE,
    AttemptOutcome.NOT_STARTED,
}


def limits_from(router_config: RouterConfig) -> Limits:
    slo = min((p.slo_ms for p in router_config.request_classes if p.slo_ms), default=1000.0)
    return Limits(
        slo_ms=slo,
        span_ms=2 * slo,
        beat_ms=max(router_config.step_ms, slo / 20),
        share=router_config.gateways,
        cold_part=router_config.fall_multiple * router_config.slow_start_share * CARE,
        slow_start_ms=router_config.slow_start_ms,
        retry_ms=2 * router_config.connect_ms,
        idle_ms=router_config.idle_ms,
        max_attempts=router_config.max_attempts,
        hand_ms=max(0.0, router_config.release_ms - router_config.connect_ms)
        if router_config.holds_expire_unless_arrived
        else inf,
        guard_ms=(1 - RELEASE_RESERVE) * router_config.release_ms
        if router_config.holds_expire_unless_arrived and router_config.releases_spare_attempts
        else inf,
        pause_ms=router_config.max_retry_after_ms if router_config.may_send_retry_after else 0.0,
    )


class Engine(Seat):  # one model server as this gateway knows it
    def __init__(self, router: Loop, server: Server) -> None:
        super().__init__(router)
        self.server = server
        self.prefills, self.decodes = server.role is not Role.DECODE, server.role is not Role.PREFILL
        self.booked: dict[Course, tuple[float, float]] = {}  # when, how much of its memory
        self.attempts: dict[Attempt, None] = {}
        self.said: tuple[float, float, float | None] | None = None  # when, memory share, generations held
        self.done = self.due = self.cold_until = self.linked_until = 0.0
        self.strikes, self.shut_until, self.trial, self.answered = 0, 0.0, False, -inf
        self.beat_at, self.sent, self.fleet = router.now, 0.0, Beat()

    def handle(self, note: Any) -> None:
        now = self.router.now
        match note:
            case Booked(course, tokens):
                self.booked[course] = now, tokens / max(self.server.kv_capacity_tokens, 1.0)
                self.sent += 1
            case Unbooked(course):
                self.booked.pop(course, None)
            case Sent(attempt):
                self.attempts[attempt] = None
            case StageEnded(attempt, good, next_usual):
                self.count(attempt)
                if good is not False:
                    self.linked_until = now + self.limits.idle_ms
                self.done += good is True
                self.due += (good is False) * DOUBT / 2  # guards against one that fails fast and looks free
                if next_usual is None:
                    self.attempts.pop(attempt, None)
                    if good and not attempt.decodes:
                        self.answered = max(self.answered, attempt.sent)
                else:
                    attempt.since, attempt.usual_ms, attempt.counted = now, next_usual, 0.0
                if good and self.trial and now - attempt.since <= CROWD * attempt.usual_ms:
                    self.trial, self.strikes = False, 0
                elif good is False and self.trial:
                    self.shut(self.limits.retry_ms, "its trial failed")
            case Trouble(silent):
                if silent:
                    self.shut(self.limits.span_ms, "far behind its peers")
                else:
                    self.shut(self.limits.retry_ms, "not reached, or broke off")
                self.linked_until *= silent
            case Reported(memory_share, held):
                self.said = now, memory_share, held
            case Beat():
                fade = exp((self.beat_at - now) / self.limits.span_ms)
                self.sent *= fade ** (1 / LOOK)
                self.fleet = note
                for attempt in self.attempts:
                    self.count(attempt)
                self.done, self.due = self.done * fade, self.due * fade
                self.beat_at = now
            case News():
                start = self.server.started_ms
                self.cold_until = start + self.limits.slow_start_ms if start > 0 else 0.0
        self.overtaken()
        self.router.desk.post(self.standing())
        if isinstance(note, Onward):
            self.router.desk.post(note)

    def overtaken(self) -> None:
        """Guards against lost answers: prompts are read in turn, so what is overdue has been read too."""
        for attempt in self.attempts:
            if attempt.sent < min(self.answered, self.router.now - attempt.usual_ms) and not attempt.decodes:
                self.router.desk.post(Lost(attempt))

    def shut(self, wait: float, why: str) -> None:
        """Nothing more for a while, twice as long each time; then one leg at a time."""
        if self.router.now >= self.shut_until:
            self.strikes, wait = self.strikes + 1, min(wait * 2**self.strikes, self.limits.slow_start_ms)
            self.shut_until = self.router.now + wait
            self.router.out.append(messages.Log(self.server, f"ejected for {wait:.0f} ms (time {self.strikes}): {why}"))
            self.trial, self.done, self.due = True, 0.0, 0.0

    def count(self, attempt: Attempt) -> None:
        """Adds what the leg should have got done at its peers' pace; one leg alone can't condemn a server."""
        ought = min((self.router.now - attempt.since) / max(attempt.usual_ms, 1.0), 2 * DOUBT)
        self.due += ought - attempt.counted
        attempt.counted = ought

    def standing(self) -> Standing:
        now, own = self.router.now, sum(s for _, s in self.booked.values())
        # How much more than its peers all use it, as far as this one has seen it happen:
        crowding = (self.sent + CROWD) / (self.fleet.mean_sent + CROWD) * (1 - 1 / self.limits.share)
        used = own + self.fleet.level * crowding
        free, known = 1 - used, 1 - own
        queue = sum(
            attempt.work_ms for attempt in self.attempts if attempt.sent >= self.answered
        )  # a lost one is no load
        ahead = CROWD * queue + self.fleet.trust * (self.fleet.queue_ms * crowding)
        if self.said is not None:  # an old report says less than the mean does
            at, memory_share, held = self.said
            since = sum(share for when, share in self.booked.values() if when > at - self.limits.beat_ms)
            fresh = exp((at - now) / self.limits.span_ms)
            known = min(known, 1 - fresh * (memory_share + since))
            free = min(free, 1 - fresh * (memory_share + since) - (1 - fresh) * used)
            if held is not None:
                ahead = fresh * held * self.fleet.read_ms + (1 - fresh) * ahead
        if self.prefills:
            free = min(free, 1 - ahead / self.limits.slo_ms)
            known = min(known, 1 - queue / self.limits.slo_ms)
        return Standing(
            self,
            self.server.status is EndpointStatus.READY,
            free,
            known,
            queue,
            len(self.booked),
            (self.done + DOUBT) / (self.due + DOUBT),
            now < self.shut_until,
            self.trial,
            self.cold_until,
            own,
            self.sent,
            ahead,
            now < self.linked_until,
            self.fleet,
        )


class Desk(Actor):  # sessions' homes, generations' courses
    def __init__(self, router: Loop, router_config: RouterConfig) -> None:
        super().__init__(router)
        self.adopt(router_config)
        self.asking: list[Course] = []
        self.read_ms, self.asked, self.unmet = 0.0, False, 0.0  # part of new connections that fail
        self.seed, self.turn, self.beats, self.stuck = router_config.seed, 0, 0, inf  # no room for prompts so large
        self.board: dict[Seat, Standing] = {}
        self.lots: dict[Role, dict[Seat, tuple[float, float]]] = {d: {} for d in Role}  # of cold ones
        self.homes: OrderedDict[str, Home] = OrderedDict()
        self.waiting: list[tuple[float, float, int, Course]] = []
        self.releases: ReleaseSchedule[Course] = ReleaseSchedule()
        self.next_due = self.least = inf  # of those waiting: when the first must begin, the shortest prompt
        self.shutdown = ShutdownSchedule()
        self.unanswered: dict[Course, None] = {}  # requests without a first token and without a final answer
        self.usual: dict[tuple[RequestClass, str], float] = {}
        self.learnt_at: dict[RequestClass, float] = {}
        self.prompt: dict[RequestClass, float] = {}
        self.told: defaultdict[RequestClass, float] = defaultdict(lambda: 0.5)  # part kept at the agreed reader
        self.prefix_popularity: Counter[str | None] = Counter()  # generations of each opening
        self.token_ms = self.limits.slo_ms / 10e3
        self.fleets = {role: Beat() for role in Role}
        self.foreseen = self.took = self.limits.slo_ms / 8
        self.failures: FailureRates[Seat] = FailureRates()  # by product, tenant, or the verdict of silence
        self.late = {role: 0.0 for role in Role}  # part of the answers that came late, or were none
        self.trust = 1.0  # how long reads took, against what the readers' queues were believed to be

    def adopt(self, router_config: RouterConfig) -> None:
        self.may_cancel, self.must_subscribe = router_config.may_cancel, router_config.must_subscribe
        self.reports_on_probe = router_config.may_probe and router_config.reports_on_probe

    def handle(self, note: Any) -> None:
        match note:
            case Standing():
                self.board[note.engine] = note
            case messages.RequestArrived(request):
                self.arrived(request)
            case messages.FirstToken(request, _, took) if request.seat.attempt is not None:
                self.first_token(request.seat, request.seat.attempt, took)
            case messages.AttemptEnded():
                self.stuck = inf
                self.attempt_ended(note)
            case messages.ClientDisconnected(request) if request.seat and not request.seat.over:
                self.close(request.seat)
            case Onward(course):
                self.onward(course)
            case Lost(attempt):
                self.lost(attempt)
            case messages.ResumeStream(request) if not request.seat.over and request.seat.attempt is None:
                self.onward(request.seat)
            case messages.EndpointsUpdated(servers):
                for server in servers:
                    server.seat = server.seat or Engine(self.router, server)
                    self.lots[server.role].pop(server.seat, None)
                    server.seat.post(News())
            case messages.ProbeResult(server, _, report):
                self.checked(server.seat, report)
            case messages.ConfigChanged(router_config):
                self.router.limits, self.stuck = limits_from(router_config), inf
                self.adopt(router_config)
                kept = set(router_config.request_classes)  # what was learnt of those that are no more must not pile up
                self.usual = {kind: ms for kind, ms in self.usual.items() if kind[0] in kept}
                for table in (self.prompt, self.learnt_at, self.told):
                    for request_class in table.keys() - kept:
                        del table[request_class]
                for engine in self.board:
                    engine.post(News())
            case messages.ShutdownStarted(times):
                self.shutdown.begin(self.router.now, times)
                self.next_due, self.stuck = -inf, inf
                self.router.out.append(messages.StartTimer(self.shutdown.answers_by, False))
            case messages.EndpointListFailed():
                self.asked = False
            case messages.ReleaseConfirmed(request) if request.seat:
                request.seat.lease.release_heard()
            case messages.TimerFired(True):
                self.beat()
            case messages.TimerFired(False):
                self.release_due()
                self.answer_before_the_end()

    def arrived(self, request: Request) -> None:
        now, request_class = self.router.now, request.request_class
        slo = (
            request_class.slo_ms or request.client_timeout_ms
        ) + request_class.slo_per_1000_tokens_ms * request.prompt_tokens / 1000
        self.turn += 1
        lot = zlib.crc32(b"%d lot %d" % (self.seed, self.turn)) / 2**32
        request.seat = course = Course(request, now + slo, now + request.client_timeout_ms, lot)
        self.unanswered[course] = None
        mean = self.prompt.setdefault(request_class, max(request.prompt_tokens, 1.0))
        self.prompt[request_class] = mean + GAIN * (request.prompt_tokens - mean)
        self.prefix_popularity[request.prefix] += request.prefix is not None
        if now >= self.shutdown.admits_until:
            return self.finish(course, RejectReason.SHUTDOWN)
        if self.reports_on_probe and course.deadline > now + CROWD * self.limits.beat_ms:  # or time runs out
            course.agreed = self.agreed(request)
            course.asked = {e for e in course.agreed[: round(CROWD)] if self.ask(e)}
        if course.asked:
            self.asking.append(course)
        else:
            self.enter(course)

    def enter(self, course: Course) -> None:
        self.wait(course) if self.waiting and not course.attempts else self.place(course)

    def ask(self, engine: Seat) -> bool:
        """Probes it unless its last report is fresh."""
        stale = engine.said is None or self.router.now - engine.said[0] > self.limits.beat_ms
        if stale:
            self.router.out.append(messages.Probe(engine.server))
        return stale

    def checked(self, engine: Seat, report: messages.Report | None) -> None:
        """A report takes the place of the one in an answer; who waited for it is placed."""
        if report is not None and report.memory_share is not None:
            engine.post(Reported(report.memory_share, report.open_requests))
        for course in [c for c in self.asking if engine in c.asked]:
            course.asked.discard(engine)
            if not course.asked:
                self.asking.remove(course)
                if not course.over:
                    engine.post(Onward(course))

    def usable(self, engine: Seat, course: Course) -> bool:
        """May the course be sent to this server? Asked again by send(). Guards cold ones against the sum of
        all gateways: each gives a part by lot, as what all saved up could come at once."""
        s, (low, part) = self.board.get(engine), self.lots[engine.server.role].get(engine, (0.0, 0.0))
        if s is None or engine.server.status is not EndpointStatus.READY or engine in course.tried:
            return False
        drawn = (
            engine in (course.prefill_server, course.decode_server)
            or (course.lot + course.attempts * LOT - low) % 1 < part
        )
        return (drawn or s.cold_until <= self.router.now) and self.effect_allows(course, engine)

    def sound(self, s: Standing) -> bool:
        return not s.shut and not s.trial and s.progress >= SICK * s.fleet.pace

    def fit(self, s: Standing, course: Course) -> bool:
        if s.trial and not s.shut:  # one leg at a time finds out, and none that can't be made good
            barred = any(b[0] >= s.engine.shut_until for c, b in s.engine.booked.items() if c is not course)
            return not barred and (not s.engine.decodes or course.request.request_class.effect is Effect.IDEMPOTENT)
        return self.sound(s)

    def congested(self, s: Standing, course: Course) -> bool:
        """What own requests make a gateway guess of all the others' counts as far as answers come late."""
        free = s.known + min(1.0, CONFIRM * self.late[s.engine.server.role]) * (s.free - s.known)
        return (
            not self.fit(s, course)
            or s.open > CROWD * max(s.fleet.open, CROWD)
            or free * s.engine.server.kv_capacity_tokens <= self.tokens(course, s.engine)
        )

    def spent(self, course: Course) -> bool:
        return self.router.now >= course.deadline or course.attempts >= self.limits.max_attempts

    def too_few_attempts(self, course: Course) -> bool:
        """A prefill needs a decode after it, but where a server does both in one attempt."""
        two_stages = not any(e.prefills and e.decodes for e in self.board)
        return two_stages and course.attempts > 0 and course.attempts + 2 > self.limits.max_attempts

    def tokens(self, course: Course, engine: Seat) -> float:
        return course.request.prompt_tokens + (OUT_SHARE * course.request.max_tokens if engine.decodes else 0.0)

    def pairs(
        self, prefill_servers: list[Standing], decode_servers: list[Standing], lost: dict[Seat, float]
    ) -> Iterator[tuple[Standing, Standing]]:
        """Each reader with the best writer of its cell, of its zone and of all (no other scores more), a
        mixed one with itself. Equals go by chance, or all gateways would fill the first in the list."""
        freest: dict[Any, tuple[float, int, Standing]] = {}
        self.turn += 1
        draw = zlib.crc32(b"%d %d" % (self.seed, self.turn)) | 1
        for w in decode_servers:
            at = w.engine.server
            if w.engine.decodes and not w.engine.prefills:
                mine = w.free - lost[w.engine] - self.unmet * (not w.linked), draw * at.hash_key % 2**32, w
                for near in (at.cell, at.zone, None):
                    if near not in freest or mine[:2] > freest[near][:2]:
                        freest[near] = mine
        for r in prefill_servers:
            if r.engine.decodes and r.engine.prefills:
                yield r, r
            elif r.engine.prefills:
                at = r.engine.server
                yield from ((r, freest[by][2]) for by in (at.cell, at.zone, None) if by in freest)

    def work_ms(self, engine: Seat, course: Course) -> float:  # to read what it is not thought to keep
        request, agreed = course.request, course.agreed
        if engine not in agreed:
            return self.token_ms * request.prompt_tokens
        known = request.prefix_tokens + (request.prompt_tokens - request.prefix_tokens) / (1 + agreed.index(engine))
        return self.token_ms * (request.prompt_tokens - self.told[request.request_class] * known)

    def score(self, r: Standing, w: Standing, less: float) -> tuple[float, float]:
        a, b = r.engine.server, w.engine.server
        steps = 0 if a is b or a.cell == b.cell else 1 if a.zone == b.zone else 2
        strange = self.unmet * ((not r.linked) + (a is not b and not w.linked))
        return min(r.free, w.free) - STEP * steps - less - strange, r.free + w.free

    def best(self, course: Course, holder: Seat | None = None) -> tuple[Standing, Standing] | None:
        """The best pair that is not congested. With no server of a duty sound, the view is suspected."""
        able = [s for s in self.board.values() if self.usable(s.engine, course)]
        ill = {s.engine for s in able if self.ill(s.engine, course)} if self.failures else set()
        for role in Role if ill else ():  # where all are, it is not theirs
            if all(s.engine in ill for s in able if s.engine.server.role is role):
                ill = {e for e in ill if e.server.role is not role}
        calm = [s for s in able if s.engine not in ill and not self.congested(s, course)]
        for role in Role:
            if not any(s.listed and e.server.role is role and self.sound(s) for e, s in self.board.items()):
                calm += [s for s in able if s.engine.server.role is role and s not in calm]
        course.agreed, prefill_servers = self.agreed(course.request), [self.board[holder]] if holder else calm
        lost = {s.engine: self.loss(s.engine, course) if self.failures else 0.0 for s in calm}
        work = {r.engine: WORTH * self.work_ms(r.engine, course) / self.limits.slo_ms for r in prefill_servers}
        less = {r: work[r] + lost.get(r, 0.0) * (not r.decodes) for r in work}
        return max(
            self.pairs(prefill_servers, calm, lost),
            default=None,
            key=lambda p: self.score(p[0], p[1], less[p[0].engine] + lost[p[1].engine]),
        )

    def agreed(self, request: Request) -> list[Seat]:
        """The reader that every gateway holds nearest, as openings and sessions come to all of them.
        An opening has readers by its part of the traffic, the same everywhere; its sessions share them."""
        prefill_servers = [e for e, s in self.board.items() if e.prefills and s.listed and self.sound(s)]
        if request.prefix is not None:
            key = zlib.crc32(request.prefix.encode())
            prefill_servers.sort(key=lambda e: key * (e.server.hash_key | 1) % 2**32)
            part = (max(1, self.prefix_popularity[request.prefix]) - 1) / (
                self.prefix_popularity.total() + FEW
            )  # but this
            prefill_servers = prefill_servers[: round(CROWD + CROWD * len(prefill_servers) * part)]
        key = zlib.crc32((request.session or "").encode())
        return sorted(prefill_servers, key=lambda e: key * (e.server.hash_key | 1) % 2**32)

    def place(self, course: Course) -> None:
        """Home pair if it is calm, else the best calm pair; else the generation waits before its read."""
        now, request = self.router.now, course.request
        reject_reason = self.reject_reason(course)
        if reject_reason is not None:
            return self.finish(course, reject_reason)
        home = self.homes.get(request.session or "")
        if home and all(
            self.usable(e, course) and not self.congested(self.board[e], course) and not self.ill(e, course)
            for e in home[:2]
        ):
            prefill_server, decode_server = home[:2]
        else:
            pair = self.best(course)
            if pair is None:
                course.waited = True
                if self.served(course):
                    return self.wait(course)
                return self.finish(course, RejectReason.NO_SERVER)
            prefill_server, decode_server = pair[0].engine, pair[1].engine
        if request.session:
            self.homes[request.session] = Home(prefill_server, decode_server, now)
            self.homes.move_to_end(request.session)
        course.prefill_server, course.decode_server = prefill_server, decode_server
        for engine in {prefill_server: None, decode_server: None}:
            engine.post(Booked(course, self.tokens(course, engine)))
        if self.reports_on_probe and decode_server is not prefill_server:  # its report comes while the prompt is read
            self.ask(decode_server)
        self.send(course, prefill_server)

    def reject_reason(self, course: Course) -> RejectReason | None:
        """Why no prefill should begin for it any more."""
        if self.spent(course) or self.too_few_attempts(course):
            return RejectReason.ATTEMPTS_SPENT
        if self.hopeless(course):
            return RejectReason.DEADLINE_TOO_CLOSE
        if self.outweighed(course):
            return RejectReason.OVERLOAD
        return RejectReason.SHUTDOWN if self.cut_off(course) else None

    def record(self, engine: Seat, request: Request, outcome: AttemptOutcome, waited: float) -> None:
        """Guards against servers that look well and fail one product, refuse one tenant or lose answers."""
        if outcome in (
            AttemptOutcome.PREFILLED,
            AttemptOutcome.TIMED_OUT,
            AttemptOutcome.OVERLOADED,
        ):  # two such waits, and more is late
            late = outcome is AttemptOutcome.OVERLOADED or 2 * MARGIN * waited > request.request_class.slo_ms
            self.late[engine.server.role] += GAIN * (late - self.late[engine.server.role])
        decodes, now = engine.decodes, self.router.now
        for bad, kind in (
            (AttemptOutcome.ERROR, request.request_class),
            (AttemptOutcome.OVERLOADED, request.tenant),
            (AttemptOutcome.TIMED_OUT,) * 2,
        ):
            if kind is not None and outcome in (bad, AttemptOutcome.PREFILLED):
                self.failures.add(kind, engine, decodes, outcome is bad, now)

    def risk(self, engine: Seat, kind: Any) -> float:
        """The chance that this server fails this product or refuses this tenant, shrunk to that of all."""
        return self.failures.risk(kind, engine, engine.decodes, self.router.now)

    def loss(self, engine: Seat, course: Course) -> float:
        """What that risk costs: a leg's time, or all where an error of a writer ends it."""
        request = course.request
        last = engine.decodes and request.request_class.effect is not Effect.IDEMPOTENT
        fails = self.risk(engine, request.request_class) + self.risk(engine, AttemptOutcome.TIMED_OUT)
        return fails * (CROWD if last else SICK) + self.risk(engine, request.tenant) * SICK

    def ill(self, engine: Seat, course: Course) -> bool:
        """Has it failed this product, or refused this tenant, more often than not lately?"""
        kinds = (course.request.request_class, course.request.tenant)
        return any(self.failures.fails_mostly(kind, engine, self.router.now) for kind in kinds)

    def latest(self, course: Course) -> float:
        """The last time at which a read may begin and the first token still come within the SLO time."""
        request_class, end = course.request.request_class, min(course.slo_at, course.deadline) - self.limits.beat_ms
        return end - MARGIN * self.first_ms(request_class)

    def first_ms(self, request_class: RequestClass) -> float:
        return self.usual_ms(request_class, "read") + self.usual_ms(request_class, "open")

    def hopeless(self, course: Course) -> bool:
        """Guards against last tries, with less than the SLO time, whose reads could only be thrown away. What
        is usual is believed while it is fresh, or nobody would find out that all is well again."""
        request_class, now = course.request.request_class, self.router.now
        return (
            course.deadline < course.slo_at
            and now + MARGIN * self.first_ms(request_class) > course.deadline
            and now - self.learnt_at.get(request_class, -inf) < DOUBT * self.limits.span_ms
        )

    def outweighed(self, course: Course) -> bool:
        """Guards against reads for what is late already, where they make others late that earn more."""
        least = max(1.5 * GAIN, course.request.request_class.late_value_share)  # one late read in ten is no overload
        return self.router.now >= course.slo_at and self.late[Role.PREFILL] > least

    def cut_off(self, course: Course) -> bool:
        """Guards against streams that this gateway will not see to their end: another may, if asked now."""
        request_class = course.request.request_class
        usual_ms = self.first_ms(request_class) + self.usual_ms(request_class, "stream")
        return self.router.now + usual_ms > self.shutdown.ends_at

    def answer_before_the_end(self) -> None:
        """The final answer for all that have no first token shortly before this gateway may be killed. An attempt that
        is out is called off first: whether a request may be called rejected shows only once it has ended."""
        if self.router.now < self.shutdown.answers_by:
            return
        for course in list(self.unanswered):
            if course.attempt is not None and self.may_cancel:
                self.router.out.append(messages.CancelAttempt(course.request))  # it is answered when that has ended
                continue
            if course.attempt is not None and course.may_have_run is None:
                course.may_have_run = course.attempt.sent, course.attempt.engine.server
            self.finish(course, RejectReason.SHUTDOWN)

    def served(self, course: Course) -> bool:  # is anyone left who could read it, and who could write it?
        able = [
            e
            for e in self.board
            if e.server.status is EndpointStatus.READY and e not in course.tried and self.effect_allows(course, e)
        ]
        return any(e.prefills for e in able) and any(e.decodes for e in able)

    def wait(self, course: Course) -> None:
        """Waits before its read: what earns most for its work first, then what is due first."""
        if self.router.now >= self.latest(course):
            return self.finish(course, RejectReason.QUEUED_TOO_LONG)
        self.turn += 1
        latest = self.latest(course)
        heapq.heappush(self.waiting, (-course.request.request_class.priority_weight, latest, self.turn, course))
        self.next_due = min(self.next_due, latest)
        self.least = min(self.least, course.request.prompt_tokens * course.waited)

    def pump(self) -> bool:
        """Places the waiting generation that comes first and throws off, at once, what has waited too long.
        Smaller ones may pass a large one that finds no room; one must not have all the others thrown off."""
        if self.router.now < self.next_due and self.least >= self.stuck:
            return False  # lest a long line be gone through for each event
        queue, self.waiting = self.waiting, []
        while queue and not self.router.ready:
            entry = _, latest, _, course = heapq.heappop(queue)
            if latest <= self.router.now and not course.over:
                self.finish(course, RejectReason.QUEUED_TOO_LONG)
            elif course.request.prompt_tokens >= self.stuck and course.waited and not course.over:
                heapq.heappush(self.waiting, entry)
            elif not course.over:
                self.place(course)
                if course.attempt is None and not course.over:
                    self.stuck = course.request.prompt_tokens
        self.waiting += queue
        heapq.heapify(self.waiting)
        self.next_due = min((entry[1] for entry in self.waiting), default=inf)
        self.least = min((entry[3].request.prompt_tokens for entry in self.waiting), default=inf)
        return bool(self.router.ready)

    def send(self, course: Course, engine: Seat) -> None:
        assert not course.over and course.attempt is None and engine.server.status is EndpointStatus.READY
        now, request_class, s = self.router.now, course.request.request_class, self.board[engine]
        decodes, patience = engine is course.decode_server, course.deadline - now
        whole = patience if course.request.whole else inf  # lest a slow writer outlast its client
        course.attempts += 1
        course.lease.attempt_begins()
        work = 0.0 if decodes else self.work_ms(engine, course)
        usual = max(self.usual_ms(request_class, "open" if decodes else "read"), work + s.queue_ms)
        course.attempt = Attempt(
            engine, course, decodes, now, now, usual, work, work + s.ahead_ms / max(self.trust, GAIN), not s.linked
        )
        if course.attempts < self.limits.max_attempts and (not decodes or request_class.effect is Effect.IDEMPOTENT):
            slow = 1 / CROWD if decodes else CROWD if self.reports_on_probe else 1  # a told one is not mute
            patience = min(patience, max(slow * request_class.slo_ms, 4 * course.attempt.usual_ms))
        engine.post(Sent(course.attempt))
        quiet = max(self.limits.span_ms, DOUBT * request_class.token_slo_ms)  # a mute stream has broken
        self.router.out.append(
            messages.StartAttempt(course.request, engine.server, patience, quiet, whole, self.window_ms(course))
        )

    def finish(self, course: Course, why: RejectReason) -> None:
        """The one final answer, given at once: throttled wherever that promise is true, else terminated."""
        request_class, window = course.request.request_class, self.window_ms(course)
        pause = min(self.limits.pause_ms, request_class.slo_ms / 2)
        harmless = window == inf or (request_class.group is Group.ALL and window > pause)
        self.router.out.append(
            messages.Reject(course.request, pause, why) if harmless else messages.Fail(course.request, why)
        )
        self.close(course)

    def release(self, course: Course, why: ReleaseReason = ReleaseReason.REQUEST_OVER) -> None:
        lease = course.lease
        if lease.may_hold:  # also what a read may yet leave behind whose end was not heard: said to the last
            self.router.out.append(messages.Release(course.request, course.over and lease.unheard, why))
            lease.released(course.over)
        for engine in filter(None, (course.prefill_server, course.decode_server)):
            engine.post(Unbooked(course))

    def guard_lease(self, course: Course) -> None:
        """Has what may be held released in time, should nothing show by then that the next attempt has arrived."""
        at = course.lease.since + self.limits.guard_ms
        if self.releases.add(course, course.lease, at):
            self.router.out.append(messages.StartTimer(at, False))

    def release_due(self) -> None:
        """Releases what was neither taken nor released so far, though a decode attempt may be out for it. A prefill
        that is out would lose what it is about to leave, and gets its own release when it ends."""
        for course in self.releases.take_due(self.router.now):
            if course.attempt is not None and not course.attempt.decodes:
                continue
            course.lease.released_early()
            self.router.out.append(messages.Release(course.request, why=ReleaseReason.UNCONFIRMED))
        at = self.releases.next_at()
        if at < inf:
            self.router.out.append(messages.StartTimer(at, False))

    def close(self, course: Course) -> None:
        course.over = True
        self.unanswered.pop(course, None)
        if course.attempt is None:
            self.release(course)
        elif self.may_cancel:  # what the leg holds is released when it ends
            self.router.out.append(messages.CancelAttempt(course.request))

    def effect_allows(self, course: Course, engine: Seat) -> bool:
        """No effect twice: after a leg that may have run, only what its product's effect permits."""
        if course.may_have_run is None or self.window_ms(course) == inf:
            return True
        first, other = course.may_have_run[1], engine.server
        same = {Group.ALL: True, Group.ZONE: first.zone == other.zone, Group.CELL: first.cell == other.cell}
        return same[course.request.request_class.group] and self.window_ms(course) > 0

    def window_ms(self, course: Course) -> float:
        """For how long a repeat does no harm, where the servers know it as one."""
        request_class, ran = course.request.request_class, course.may_have_run
        if ran is None or request_class.effect is Effect.IDEMPOTENT:
            return inf
        return (
            ran[0] + request_class.window_ms - self.router.now if request_class.effect is Effect.DEDUPLICATED else -inf
        )

    def first_token(self, course: Course, attempt: Attempt, took: float) -> None:
        request_class = course.request.request_class
        course.lease.attempt_answered()
        self.unanswered.pop(course, None)
        self.learn(request_class, "open", took)
        if course.prefill_server is not None and course.prefill_server is not course.decode_server:
            course.prefill_server.post(Unbooked(course))
        self.record(attempt.engine, course.request, AttemptOutcome.PREFILLED, took)  # as good a sign
        attempt.engine.post(StageEnded(attempt, True, self.usual_ms(request_class, "stream")))

    def attempt_ended(self, note: messages.AttemptEnded) -> None:
        course: Course = note.request.seat
        attempt, course.attempt = course.attempt, None
        engine: Seat = note.server.seat
        if note.report is not None and note.report.memory_share is not None:
            engine.post(Reported(note.report.memory_share, note.report.open_requests))
        if attempt is None:
            return
        request_class, outcome = course.request.request_class, note.outcome
        if outcome is AttemptOutcome.STREAMED:
            self.learn(request_class, "stream", self.router.now - attempt.since)
        good = (
            True
            if outcome in (AttemptOutcome.PREFILLED, AttemptOutcome.STREAMED)
            else None
            if outcome in NO_SIGN
            else False
        )
        engine.post(StageEnded(attempt, good, None))
        if outcome in (AttemptOutcome.CONNECT_FAILED, AttemptOutcome.RESET):
            engine.post(Trouble(silent=False))
        if not note.state_lost:
            ended = AttemptOutcome.TIMED_OUT if attempt.lost and good is None else outcome
            self.record(engine, course.request, ended, note.took_ms - attempt.work_ms)
        if attempt.decodes and outcome not in NEVER_RAN and course.may_have_run is None:
            course.may_have_run = attempt.sent, note.server
        if attempt.fresh and good is not None:  # where these fail, the connected are nearer
            self.unmet += 4 * GAIN * ((outcome is AttemptOutcome.CONNECT_FAILED) - self.unmet)
        if not attempt.decodes and outcome in (AttemptOutcome.PREFILLED, AttemptOutcome.TIMED_OUT):
            self.read_took(course, attempt, note)
        elif outcome is AttemptOutcome.TIMED_OUT:
            self.learn(request_class, "open", note.took_ms)
        end = AttemptEnd(outcome, engine.prefills, note.state_lost)
        course.lease.attempt_ended(end, engine, self.router.now)
        course.over = course.over or note.over
        if course.over:
            self.unanswered.pop(course, None)
            return self.release(course)
        if self.limits.guard_ms < inf and course.lease.may_hold:
            self.guard_lease(course)
        if outcome is AttemptOutcome.CLIENT_GONE:
            return self.finish(course, RejectReason.CLIENT_LEFT)
        if outcome is not AttemptOutcome.PREFILLED and not note.state_lost:  # a full one is not asked again either
            course.tried.add(engine)
        if note.broken:  # only the time limit binds one whose client has a part; GoOn says when
            course.slo_at = course.deadline
            return self.release(course, ReleaseReason.STREAM_BROKE)
        engine.post(Onward(course))

    def lost(self, attempt: Attempt) -> None:
        """A read whose answer will not come is called off, if legs for another pair are left."""
        if (
            attempt.course.attempt is attempt
            and not attempt.lost
            and not attempt.course.over
            and self.may_cancel
            and attempt.course.attempts + 2 <= self.limits.max_attempts
        ):
            attempt.lost = True
            self.router.out.append(messages.CancelAttempt(attempt.course.request))

    def onward(self, course: Course) -> None:
        """The next leg, if the effect allows one: with the state at hand a writer, else a pair anew."""
        if self.router.now >= self.shutdown.answers_by:
            return self.finish(course, RejectReason.SHUTDOWN)
        if self.spent(course):
            return self.finish(course, RejectReason.ATTEMPTS_SPENT)
        if not any(self.effect_allows(course, e) for e in self.board):
            return self.finish(course, RejectReason.MAY_HAVE_RUN)
        if course.lease.held_at is not None and self.router.now <= course.lease.since + self.limits.hand_ms:
            return self.hand_on(course)
        # Lest one more connection that never comes up outlast its release time:
        self.release(course, ReleaseReason.BEFORE_NEW_PREFILL)
        self.enter(course)

    def read_took(self, course: Course, attempt: Attempt, note: messages.AttemptEnded) -> None:
        """One that ran out of time took at least as long; were it not counted, ever more would."""
        request, took, unread = course.request, note.took_ms, course.request.prompt_tokens - note.kept_tokens
        usual = took / max(1.0, request.prompt_tokens / self.prompt.get(request.request_class, request.prompt_tokens))
        if note.outcome is AttemptOutcome.PREFILLED or usual > self.usual_ms(
            request.request_class, "read"
        ):  # or it was cut
            self.learn(request.request_class, "read", usual)
        self.foreseen += GAIN * (attempt.foreseen - self.foreseen)
        self.took += GAIN * (took - self.took)
        self.trust = min(CROWD**2, self.took / self.foreseen)
        if note.outcome is AttemptOutcome.PREFILLED and attempt.engine in course.agreed[:1]:
            self.told[request.request_class] += GAIN * (
                1 - unread / max(request.prompt_tokens, 1.0) - self.told[request.request_class]
            )
        self.read_ms += GAIN * (self.token_ms * unread - self.read_ms)
        if note.outcome is AttemptOutcome.PREFILLED and unread > LONG_READ:  # short ones tell of steps and queues
            pace = took / unread
            self.token_ms += (pace - self.token_ms) * (4 * GAIN if pace < self.token_ms else GAIN / 4)

    def hand_on(self, course: Course) -> None:
        """The state goes to the home writer, or, if that has congested since, straight to the next best."""
        decode_server = course.decode_server
        assert decode_server is not None and course.prefill_server is not None  # chosen together
        s = self.board[decode_server]
        if (
            not self.usable(decode_server, course)
            or not self.fit(s, course)
            or self.ill(decode_server, course)
            or (self.reports_on_probe and self.congested(s, course))
        ):
            pair = self.best(course, course.lease.held_at)
            if pair is None and self.usable(decode_server, course) and self.fit(s, course):
                return self.send(course, decode_server)
            if pair is None:  # the state is released, and the prompt, now kept, read again
                course.lease.held_at = None
                return self.onward(course)
            decode_server.post(Unbooked(course))
            decode_server = course.decode_server = pair[1].engine
            decode_server.post(Booked(course, self.tokens(course, decode_server)))
            if course.request.session and course.request.session in self.homes:
                self.homes[course.request.session] = Home(course.prefill_server, decode_server, self.router.now)
        self.send(course, decode_server)

    def usual_ms(self, request_class: RequestClass, stage: str) -> float:
        first = request_class.token_slo_ms * 100 / CROWD if stage == "stream" else (request_class.slo_ms or 1000.0) / 8
        return self.usual.get((request_class, stage), first)

    def learn(self, request_class: RequestClass, stage: str, took: float) -> None:
        self.learnt_at[request_class] = self.router.now
        self.usual[request_class, stage] = (1 - GAIN) * self.usual_ms(request_class, stage) + GAIN * took

    def beat(self) -> None:
        now, out = self.router.now, self.router.out
        out.append(messages.StartTimer(now + self.limits.beat_ms, True))
        if self.must_subscribe and not self.asked:
            self.asked = True
            out.append(messages.WatchEndpoints())
        while self.homes and (
            len(self.homes) > CROWD * FEW**2 or next(iter(self.homes.values())).used < now - HOME_AGE_MS
        ):
            self.homes.popitem(last=False)
        self.beats += 1
        late, self.asking = [course for course in self.asking if not course.over], []
        for course in late:  # a server that does not answer holds nobody up
            self.onward(course)
        if self.beats % LOOK == 1:
            self.failures.fade(exp(-LOOK * self.limits.beat_ms / HOME_AGE_MS))
            for engine in [
                e for e in self.board if e.server.status is EndpointStatus.REMOVED and not (e.attempts or e.booked)
            ]:
                del self.board[engine]  # fleets change for ever; what is known of them must not grow
                self.failures.forget(engine)
            if len(self.prefix_popularity) > FEW**2:
                self.prefix_popularity = Counter({name: n // 2 for name, n in self.prefix_popularity.items() if n > 1})
        for role in Role if self.beats % LOOK == 1 else ():
            peers = [s for s in self.board.values() if s.engine.server.role is role and s.listed]
            if peers:
                self.look(role, peers)

    def look(self, role: Role, peers: list[Standing]) -> None:
        """Sums up the servers of one duty and lets each of them know."""
        old, ms, self.stuck = self.fleets[role], LOOK * self.limits.beat_ms, inf
        fit = [s for s in peers if not s.shut and not s.trial] or peers
        now, able = self.router.now, [e for e, s in self.board.items() if s.listed]
        warm = [s for s in fit if s.cold_until <= now] or fit  # lest the warm look as full as the cold
        even = self.limits.cold_part / sum(e.decodes if role is Role.DECODE else e.prefills for e in able)
        cold = [s for s in peers if s.cold_until > now]
        self.lots[role] = {
            s.engine: (
                i / len(cold),
                even * (1 + 3 * max(0.0, 1 - (s.cold_until - now) / max(self.limits.slow_start_ms, 1.0)) ** 2),
            )
            for i, s in enumerate(cold)
        }
        mid = median(s.open for s in fit)
        new = min(1.0, (1 + mid) * ms / self.limits.span_ms)  # the more of one's own, the sooner believed
        scale = new * self.limits.share / len(warm)
        level = (1 - new) * old.level + scale * sum(s.own for s in warm)
        queue = (1 - new) * old.queue_ms + scale * sum(s.queue_ms for s in warm)
        sent, pace = sum(s.sent for s in warm) / len(warm), min(1.0, median(s.progress for s in fit))
        self.fleets[role] = view = Beat(mid, pace, level, queue, sent, self.trust, self.read_ms)
        for i, s in enumerate(peers):
            if s.progress < SICK * view.pace and not s.shut and not s.trial:
                s.engine.post(Trouble(silent=True))
            stirred = s.open or s.shut or s.trial or s.cold_until > now
            if stirred or (i + self.beats // LOOK) % (len(peers) // (3 * LOOK) or 1) == 0:  # idle in turns
                s.engine.post(view)


class Router(Loop):
    """One gateway's decisions, without clock, loop or sockets. Nothing is shared between two of them."""

    def __init__(self, router_config: RouterConfig) -> None:
        self.now, self.limits = -inf, limits_from(router_config)  # the beat is asked for with the first batch
        self.ready: deque[Actor] = deque()
        self.out: list[messages.Action] = []
        self.desk: Desk = Desk(self, router_config)

    def take(self, now: float, events: list[Event]) -> list[messages.Action]:
        """What to do about `events`, in this order. `now` is in ms of any clock that never goes back."""
        heard = events if self.now > -inf else [messages.TimerFired(True), *events]
        self.now, self.out = now, []
        for event in heard:
            self.desk.post(event)
            self._empty()
        while self.desk.pump():  # once all is heard, lest thousands at once cost as many tries
            self._empty()
        return self.out

    def _empty(self) -> None:
        while self.ready:
            actor = self.ready.popleft()
            actor.handle(actor.inbox.popleft())

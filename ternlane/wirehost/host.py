"""Turns the lines of a batch into events, ids into objects, and actions into lines. It decides nothing."""

from __future__ import annotations

import json
from dataclasses import replace
from typing import Any, Iterator

from ternlane.policy.router import Router
from ternlane.deployment import Deployment
from ternlane.policy.messages import (
    Action,
    RequestArrived,
    CancelAttempt,
    ProbeResult,
    ClientDisconnected,
    Effect,
    Event,
    FirstToken,
    WatchEndpoints,
    Request,
    Group,
    Reserve,
    AttemptEnded,
    Release,
    EndpointStatus,
    EndpointsUpdated,
    EndpointListFailed,
    Log,
    ReservationResult,
    Probe,
    RequestClass,
    Report,
    StartAttempt,
    Server,
    Fail,
    Reject,
    AttemptOutcome,
    StartTimer,
    TimerFired,
    TimerKind,
)

OUTCOMES = {
    "S": AttemptOutcome.STREAMED,
    "E": AttemptOutcome.ERROR,
    "F": AttemptOutcome.OVERLOADED,
    "T": AttemptOutcome.TIMED_OUT,
    "C": AttemptOutcome.CONNECT_FAILED,
    "R": AttemptOutcome.RESET,
    "X": AttemptOutcome.CANCELLED,
    "N": AttemptOutcome.CLIENT_GONE,
    "prefilled": AttemptOutcome.PREFILLED,
}
STATUSES = {
    "healthy": EndpointStatus.READY,
    "cordoned": EndpointStatus.DRAINING,
    "deregistered": EndpointStatus.REMOVED,
}
BEAT, DUE = 0, 1


def number(text: str, default: float = 0.0) -> float:
    return default if text in ("-", "") else float(text)


def name(text: str) -> str | None:
    return None if text in ("-", "", "0") else text


def ms(value: float) -> str:
    return f"{value:.3f}"


class Instance:
    """One gateway's Router with the ids that its objects go by."""

    def __init__(self, seed: int, told: dict[str, Any]) -> None:
        self.deployment = Deployment(seed, told)
        self.request_classes = dict(self.deployment.request_classes)
        self.servers: dict[str, Server] = {}
        self.server_ids: dict[Server, str] = {}
        self.requests: dict[int, Request] = {}
        self.request_ids: dict[Request, int] = {}
        self.attempts: dict[Request, int] = {}
        self.attempts_ended: dict[Request, int] = {}
        self.closed: set[Request] = set()
        # Here any outcome begins the release time anew, also that of a connection that did not come up.
        self.router = Router(replace(self.deployment.router_config, holds_expire_unless_arrived=False))

    def server(self, sid: str) -> Server | None:
        return self.servers.get(sid)

    def list_entries(self, kind: str, rows: list[str]) -> Event:
        if kind == "Error":
            return EndpointListFailed()
        news: list[Server] = []
        for row in rows:
            _, sid, zone, flavor, cohort, state, units, started = row.split(" ")[:8]
            server = self.servers.get(sid)
            if server is None:
                server = self.servers[sid] = self.deployment.server(sid, zone, flavor, int(cohort))
                self.server_ids[server] = sid
            server.size, server.started_ms = number(units, 1.0), number(started)
            server.status = STATUSES.get(state, EndpointStatus.REMOVED)
            news.append(server)
        if kind != "Partial":
            named = set(news)
            for server in self.servers.values():
                if server not in named and server.status is not EndpointStatus.REMOVED:
                    server.status = EndpointStatus.REMOVED
                    news.append(server)
        return EndpointsUpdated(tuple(news))

    def report(self, text: str) -> Report | None:
        if text in ("-", ""):
            return None
        return self.deployment.report(dict(zip(self.deployment.columns, (number(v) for v in text.split(",")))))

    def forget(self, request: Request) -> None:
        """Drops the ids of a generation that is over and whose legs have all ended."""
        if request in self.closed and self.attempts_ended.get(request, 0) >= self.attempts.get(request, 0):
            self.requests.pop(self.request_ids.pop(request, -1), None)
            self.closed.discard(request)
            self.attempts.pop(request, None)
            self.attempts_ended.pop(request, None)

    def event(self, part: list[str]) -> Event | None:
        what = part[0]
        if what == "WORK_ITEM":
            _, _, corr, prefix_tokens, _, prefix, lane, prompt, patience, _, session, longest, *rest = part
            request_class = self.request_classes.get(lane)
            if request_class is None:  # never listed: nothing is promised of it, so nothing may be repeated
                request_class = self.request_classes[lane] = RequestClass(
                    Effect.SIDE_EFFECTING, Group.CELL, 0.0, 0.0, 0.0, 0.0, number(patience), 0.0, 0.0
                )
            request = self.deployment.request(
                request_class,
                name(session),
                name(prefix),
                number(prefix_tokens),
                number(prompt),
                number(longest),
                number(patience),
                rest[0] if rest else "",
            )
            self.requests[int(corr)], self.request_ids[request] = request, int(corr)
            return RequestArrived(request)
        if what == "DEADLINE_HIT":
            return TimerFired(TimerKind.TICK if int(part[2]) == BEAT else TimerKind.DEADLINE)
        if what == "CHECK_RESULT":
            server = self.server(part[3])
            return (
                None
                if server is None
                else ProbeResult(
                    server, OUTCOMES.get(part[4], AttemptOutcome.ERROR), self.report(part[5] if len(part) > 5 else "-")
                )
            )
        if what in ("SHUTDOWN", "WHISPER"):
            return None
        known = self.requests.get(int(part[2]))
        if known is None:
            return None
        request = known
        if what == "EXPIRED":
            self.closed.add(request)
            return ClientDisconnected(request)
        server = self.server(part[4])
        if server is None:
            return None
        if what == "FLOWING":
            return FirstToken(request, server, number(part[5]))
        if what == "NOTE":
            return ReservationResult(request, part[5] == "1")
        if what == "REPORT_BACK":
            outcome, note = OUTCOMES.get(part[5], AttemptOutcome.ERROR), number(part[8]) if len(part) > 8 else 0.0
            over = part[7] == "1"
            self.attempts_ended[request] = self.attempts_ended.get(request, 0) + 1
            if over:
                self.closed.add(request)
            kept = note if outcome in (AttemptOutcome.PREFILLED, AttemptOutcome.STREAMED) else 0.0
            return AttemptEnded(
                request,
                server,
                outcome,
                number(part[6]),
                over,
                kept,
                outcome is AttemptOutcome.OVERLOADED and note == 1,
                self.report(part[9] if len(part) > 9 else "-"),
            )
        return None

    def lines(self, number_: str, actions: list[Action]) -> Iterator[str]:
        for a in actions:
            match a:
                case StartAttempt(request, server, timeout):
                    self.attempts[request] = self.attempts.get(request, 0) + 1
                    yield f"FORWARD {number_} {self.request_ids[request]} {ms(timeout)} {self.server_ids[server]}"
                case CancelAttempt(request):
                    yield f"CALL_OFF {number_} {self.request_ids[request]} {self.attempts[request] - 1}"
                case Reject(request, pause):
                    yield f"BUSY {number_} {self.request_ids[request]} {ms(pause)}"
                    self.closed.add(request)
                case Fail(request):
                    yield f"DROP_REQUEST {number_} {self.request_ids[request]}"
                    self.closed.add(request)
                case Release(request):
                    yield f"DROP_STATE {number_} {self.request_ids[request]}"
                case Reserve(request, server):
                    yield f"RESERVE {number_} {self.request_ids[request]} {self.server_ids[server]}"
                case Probe(server):
                    yield f"ASK_LOAD {number_} {self.server_ids[server]}"
                case WatchEndpoints():
                    yield f"SUBSCRIBE {number_} 1"
                case StartTimer(at, timer):
                    yield f"ARM {number_} {BEAT if timer is TimerKind.TICK else DUE} {ms(at)}"
                case Log(server, text):
                    yield f"SAY_LOG {number_} {self.server_ids[server]} {text}"
        for request in list(self.closed):
            self.forget(request)


class Host:
    def __init__(self) -> None:
        self.instances: dict[str, Instance] = {}

    def answer(self, batch: list[str]) -> list[str]:
        now, out = 0.0, [""]
        heard: dict[str, list[Event]] = {}
        at, part = 0, [""]
        try:
            while at < len(batch):
                line = batch[at]
                at += 1
                part = line.split(" ")
                if part[0] == "MARK":
                    now = float(part[1])
                elif part[0] == "ENLIST":
                    _, gateway, seed, told = line.split(" ", 3)
                    self.instances[gateway] = Instance(int(seed), json.loads(told))
                    heard[gateway] = []
                elif part[0] == "SHUTDOWN":
                    self.instances.pop(part[1], None)
                    heard.pop(part[1], None)
                elif part[1] in self.instances:
                    instance = self.instances[part[1]]
                    event: Event | None
                    if part[0] == "ANNOUNCE":
                        count = int(part[4])
                        event = instance.list_entries(part[2], batch[at : at + count])
                        at += count
                    else:
                        event = instance.event(part)
                    if event is not None:
                        heard.setdefault(part[1], []).append(event)
        except (ValueError, IndexError, KeyError, TypeError, AttributeError) as why:
            return [
                "",
                f"BUG {part[1] if len(part) > 1 and part[1].isdigit() else 0} malformed line: "
                f"{' '.join(part)[:200]!r} ({type(why).__name__}: {why})",
                "YIELD",
            ]
        for gateway, events in heard.items():
            instance = self.instances[gateway]
            try:
                out.extend(instance.lines(gateway, instance.router.take(now, events)))
            except Exception as why:  # said aloud, never turned into some action
                out.append(f"BUG {gateway} {type(why).__name__}: {why} in {events!r}"[:500].replace("\n", " "))
        out.append("YIELD")
        return out[1:] if out[0] == "" else out

"""A simulated gateway: its router, and the ids of the router's objects on the wire."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import replace
from typing import Any

from ternlane.deployment import Deployment
from ternlane.policy import messages
from ternlane.policy.messages import (
    Action,
    Effect,
    EndpointStatus,
    Event,
    Group,
    Report,
    Request,
    RequestClass,
    Server,
    TimerKind,
)
from ternlane.policy.router import Router
from ternlane.wirehost.codec import (
    TIMER_KINDS,
    TIMER_NUMBERS,
    ListKind,
    format_ms,
    parse_attempt_ended_line,
    parse_endpoint_row,
    parse_number,
    parse_outcome,
    parse_request_line,
)


class GatewayInstance:
    """Decodes lines to events for the router, and encodes its actions as lines."""

    def __init__(self, seed: int, settings: dict[str, Any]) -> None:
        self.deployment = Deployment(seed, settings)
        self.request_classes = dict(self.deployment.request_classes)
        self.servers: dict[str, Server] = {}
        self.server_ids: dict[Server, str] = {}
        self.requests: dict[int, Request] = {}
        self.request_numbers: dict[Request, int] = {}
        self.attempts_started: dict[Request, int] = {}  # number of attempts
        self.attempts_ended: dict[Request, int] = {}  # number of attempts
        self.closed: set[Request] = set()  # finished requests, whose ids are dropped once all attempts have ended
        # In the simulator every ended attempt, even one that failed to connect, restarts the time after which a held
        # state expires.
        self.router = Router(replace(self.deployment.router_config, holds_expire_unless_arrived=False))

    # -- lines in

    def decode_list(self, kind: str, rows: list[str]) -> Event:
        """Decodes a list of servers. `kind`: a value of `ListKind`, or any other for a list that names all servers."""
        if kind == ListKind.ERROR.value:
            return messages.EndpointListFailed()
        changed = [self._apply_row(row) for row in rows]
        if kind != ListKind.PARTIAL.value:
            changed += self._remove_unlisted(set(changed))
        return messages.EndpointsUpdated(tuple(changed))

    def _apply_row(self, text: str) -> Server:
        row = parse_endpoint_row(text)
        server = self.servers.get(row.server_id)
        if server is None:
            server = self.deployment.server(row.server_id, row.zone, row.kind, row.cell)
            self.servers[row.server_id] = server
            self.server_ids[server] = row.server_id
        server.size = row.size
        server.started_ms = row.started_ms
        server.status = row.status
        return server

    def _remove_unlisted(self, listed: set[Server]) -> list[Server]:
        removed: list[Server] = []
        for server in self.servers.values():
            if server not in listed and server.status is not EndpointStatus.REMOVED:
                server.status = EndpointStatus.REMOVED
                removed.append(server)
        return removed

    def decode_event(self, parts: list[str]) -> Event | None:
        """Decodes one line; None if it does not concern the router."""
        match parts[0]:
            case "WORK_ITEM":
                return self._request_arrived(parts)
            case "DEADLINE_HIT":
                return messages.TimerFired(TIMER_KINDS.get(int(parts[2]), TimerKind.DEADLINE))
            case "CHECK_RESULT":
                return self._probe_result(parts)
            case "SHUTDOWN" | "WHISPER":
                return None
            case _:
                request = self.requests.get(int(parts[2]))
                return self._request_event(request, parts) if request is not None else None

    def _request_arrived(self, parts: list[str]) -> Event:
        line = parse_request_line(parts)
        request = self.deployment.request(
            self._request_class(line.request_class, line.client_timeout_ms),
            line.session,
            line.prefix,
            line.prefix_tokens,
            line.prompt_tokens,
            line.max_tokens,
            line.client_timeout_ms,
            line.tenant,
        )
        self.requests[line.number] = request
        self.request_numbers[request] = line.number
        return messages.RequestArrived(request)

    def _request_class(self, name: str, client_timeout_ms: float) -> RequestClass:
        """The request class of this name. One that the settings don't list makes no guarantees, so its requests may not
        be retried after they may have run."""
        if name not in self.request_classes:
            self.request_classes[name] = RequestClass(
                effect=Effect.SIDE_EFFECTING,
                group=Group.CELL,
                window_ms=0.0,
                slo_ms=0.0,
                slo_per_1000_tokens_ms=0.0,
                token_slo_ms=0.0,
                deadline_ms=client_timeout_ms,
                priority_weight=0.0,
                late_value_share=0.0,
            )
        return self.request_classes[name]

    def _probe_result(self, parts: list[str]) -> Event | None:
        server = self.servers.get(parts[3])
        if server is None:
            return None
        report = self.decode_report(parts[5] if len(parts) > 5 else "-")
        return messages.ProbeResult(server, parse_outcome(parts[4]), report)

    def _request_event(self, request: Request, parts: list[str]) -> Event | None:
        """Decodes a line about a known request; None if its server is unknown or no event corresponds to it. Part 0 is
        the kind of line, 2 the request's number, 4 the server's id and 5 a value that depends on the kind."""
        if parts[0] == "EXPIRED":
            self.closed.add(request)
            return messages.ClientDisconnected(request)
        server = self.servers.get(parts[4])
        if server is None:
            return None
        match parts[0]:
            case "FLOWING":
                return messages.FirstToken(request, server, parse_number(parts[5]))
            case "NOTE":
                return messages.ReservationResult(request, parts[5] == "1")  # 1: the capacity is reserved
            case "REPORT_BACK":
                return self._attempt_ended(request, server, parts)
        return None

    def _attempt_ended(self, request: Request, server: Server, parts: list[str]) -> Event:
        line = parse_attempt_ended_line(parts)
        self.attempts_ended[request] = self.attempts_ended.get(request, 0) + 1
        if line.request_over:
            self.closed.add(request)
        return messages.AttemptEnded(
            request,
            server,
            line.outcome,
            line.took_ms,
            line.request_over,
            line.cached_tokens,
            line.state_lost,
            self.decode_report(line.report),
        )

    def decode_report(self, text: str) -> Report | None:
        """Decodes a load report, whose values are in the order of the settings' columns; None for "-" or an empty text.
        Surplus values are ignored."""
        if text in ("-", ""):
            return None
        values = [parse_number(value) for value in text.split(",")]
        return self.deployment.report(dict(zip(self.deployment.columns, values, strict=False)))

    # -- lines out

    def encode(self, gateway: str, actions: list[Action]) -> Iterator[str]:
        """Encodes these actions as lines; `gateway` is this gateway's number on the wire."""
        for action in actions:
            line = self._encode_action(gateway, action)
            if line is not None:
                yield line
        for request in list(self.closed):
            self._forget(request)

    def _encode_action(self, gateway: str, action: Action) -> str | None:
        numbers = self.request_numbers
        match action:
            case messages.StartAttempt(request, server, timeout_ms):
                self.attempts_started[request] = self.attempts_started.get(request, 0) + 1
                return f"FORWARD {gateway} {numbers[request]} {format_ms(timeout_ms)} {self.server_ids[server]}"
            case messages.CancelAttempt(request):
                return f"CALL_OFF {gateway} {numbers[request]} {self.attempts_started[request] - 1}"
            case messages.Reject(request, pause_ms):
                self.closed.add(request)
                return f"BUSY {gateway} {numbers[request]} {format_ms(pause_ms)}"
            case messages.Fail(request):
                self.closed.add(request)
                return f"DROP_REQUEST {gateway} {numbers[request]}"
            case messages.Release(request):
                return f"DROP_STATE {gateway} {numbers[request]}"
            case messages.Reserve(request, server):
                return f"RESERVE {gateway} {numbers[request]} {self.server_ids[server]}"
            case messages.Probe(server):
                return f"ASK_LOAD {gateway} {self.server_ids[server]}"
            case messages.WatchEndpoints():
                return f"SUBSCRIBE {gateway} 1"
            case messages.StartTimer(at_ms, kind):
                return f"ARM {gateway} {TIMER_NUMBERS[kind]} {format_ms(at_ms)}"
            case messages.Log(server, text):
                return f"SAY_LOG {gateway} {self.server_ids[server]} {text}"
        return None

    def _forget(self, request: Request) -> None:
        """Drops the ids of a finished request once all its attempts have ended."""
        if self.attempts_ended.get(request, 0) < self.attempts_started.get(request, 0):
            return
        self.requests.pop(self.request_numbers.pop(request, -1), None)
        self.closed.discard(request)
        self.attempts_started.pop(request, None)
        self.attempts_ended.pop(request, None)

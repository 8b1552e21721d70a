"""One gateway between its sockets and the decisions: requests, their attempts, and what is held for them."""

from __future__ import annotations

import time
from collections import Counter, deque
from dataclasses import dataclass
from typing import Any, Iterator

import trio

from ternlane.policy import messages
from ternlane.deployment import Deployment
from ternlane.platform.engines import ClientGone, Engines, Attempt, AttemptResult
from ternlane.platform.held_states import HeldStateMonitor
from ternlane.platform.open_requests import OpenRequest
from ternlane.platform.request_history import RequestRecord
from ternlane.platform.endpoint_registry import EndpointList, EndpointRegistry
from ternlane.platform.active_request import Final, Streamed, ActiveRequest
from ternlane.policy.messages import EndpointStatus, Server, AttemptOutcome
from ternlane.wire_names import OUTCOME_NAMES
from ternlane.event_loop import RouterProtocol, EventLoop, make_start_check, now_ms

TRAILS = 512  # requests whose attempts and transitions are kept for who asks
RELEASE_TRIES = 4  # of a release that no server has heard, each given twice the time of the one before


class Node(EventLoop[ActiveRequest]):
    """Tells the decisions what happens on the sockets, and carries out on them what is decided."""

    def __init__(
        self, chooser: RouterProtocol, deployment: Deployment, engines: Engines, nursery: trio.Nursery, log: Any
    ) -> None:
        super().__init__(chooser)
        self.deployment, self.engines, self.nursery, self.log = deployment, engines, nursery, log
        self.endpoint_registry = EndpointRegistry(deployment)
        self.idents: dict[str, ActiveRequest] = {}
        self.ended: list[ActiveRequest] = []  # to be forgotten once the turn is over
        self.releasing = 0
        self.counts: Counter[str] = Counter()
        self.records: deque[RequestRecord] = deque(maxlen=TRAILS)
        self.held_states = HeldStateMonitor()
        self.sigterm_ms: float | None = None  # when this gateway was told to end

    # -- the loop's side

    def process_events(self) -> None:
        super().process_events()
        for active_request in self.ended:
            self.forget(active_request)
        self.ended.clear()

    def execute_host_action(self, action: messages.Action) -> None:
        match action:
            case messages.Release(request, again, why):
                active_request = self.active_requests.get(request)
                if active_request is not None:
                    self.releasing += 1
                    self.counts[f"release {why.name}"] += 1
                    active_request.note(f"release begins: {why.name}")
                    active_request.freeing = trio.Event()
                    self.nursery.start_soon(self.release, active_request, active_request.freeing, again)
            case messages.Reserve(request, server):
                active_request = self.active_requests.get(request)
                if active_request is not None and server in self.endpoint_registry.endpoints:
                    self.nursery.start_soon(self.hold, active_request, server)
            case messages.Probe(server):
                self.nursery.start_soon(self.probe, server)
            case messages.Log(server, text):
                endpoint = self.endpoint_registry.endpoints.get(server)
                self.log.info("server", server=endpoint.name if endpoint is not None else "gone", text=text)

    def on_timers_fired(self) -> None:
        self.endpoint_registry.clock.observe(time.time() * 1000, now_ms())
        self.engines.pool.sweep()
        for overdue in self.held_states.newly_overdue(now_ms(), self.deployment.router_config.release_ms):
            self.counts["held overdue"] += 1
            self.log.warning(
                "state held past its release time",
                gen=overdue.request_id,
                server=overdue.server,
                held_ms=round(overdue.held_ms, 1),
            )

    def on_fault(self, fault: Exception) -> None:
        self.counts["fault"] += 1
        self.log.error("fault", exc_info=fault)

    def abort_request(self, active_request: ActiveRequest, why: str) -> None:
        self.counts["overdue"] += 1
        super().abort_request(active_request, why)

    def listed(self, listing: EndpointList) -> None:
        news = self.endpoint_registry.take(listing, time.time() * 1000, now_ms())
        self.engines.known([endpoint.address for endpoint in self.endpoint_registry.endpoints.values()])
        if news.servers:
            self.dispatch(news)

    def alter(self, deployment: Deployment) -> None:
        self.deployment = self.engines.deployment = deployment
        self.endpoint_registry.alter(deployment)
        self.dispatch(messages.ConfigChanged(deployment.router_config))

    # -- generations

    def arrived(self, active_request: ActiveRequest) -> None:
        self.idents[active_request.ident] = active_request
        self.counts["taken"] += 1
        active_request.note(
            f"received, {active_request.request.client_timeout_ms:.0f} ms left{self.after_sigterm(active_request)}"
        )
        self.add_request(active_request)

    def after_sigterm_ms(self, active_request: ActiveRequest) -> float | None:
        """How long after the signal to end the request was received; None where it was received before, or there was
        none."""
        if self.sigterm_ms is None or active_request.since < self.sigterm_ms:
            return None
        return round(active_request.since - self.sigterm_ms, 1)

    def after_sigterm(self, active_request: ActiveRequest) -> str:
        """The same as the end of a sentence."""
        after_ms = self.after_sigterm_ms(active_request)
        return "" if after_ms is None else f", {after_ms:.0f} ms after SIGTERM"

    def open_requests(self) -> list[OpenRequest]:
        """Those without their whole answer, the oldest first."""
        now = now_ms()
        return [
            OpenRequest(
                active_request.ident,
                active_request.phase,
                round(now - active_request.since, 1),
                round(active_request.deadline_ms - now, 1),
                active_request.attempts,
                active_request.server_name if active_request.attempt is not None else "",
                self.after_sigterm_ms(active_request),
            )
            for active_request in self.active_requests.values()
            if not active_request.over
        ]

    def client_left(self, active_request: ActiveRequest) -> None:
        """Nothing is owed any more; a stream that nobody reads is given up."""
        if not active_request.over:
            active_request.left = True
            if active_request.attempt is not None and (
                active_request.streaming or not active_request.attempt.written
            ):  # it was never a begun attempt
                active_request.attempt.cancel()
            self.closed(active_request, "left")
            self.dispatch(messages.ClientDisconnected(active_request.request))

    def finish_request(self, active_request: ActiveRequest, final: Final) -> None:
        if active_request.over:
            return
        active_request.final = final
        active_request.watch.cancel()
        outcome = final.recorded_as
        if isinstance(final, Streamed):
            outcome = "streamed" if final.whole else "broken"
        else:
            self.counts[f"{outcome} {final.reject_reason.name}"] += 1
            active_request.note(f"{outcome}: {final.reject_reason.name}")
        if now_ms() > active_request.deadline_ms and not active_request.streaming:
            self.counts["late"] += 1
        self.closed(active_request, outcome)

    def closed(self, active_request: ActiveRequest, outcome: str) -> None:
        self.counts[outcome] += 1
        # While it shuts down each end of a request is told: who asks later finds no process to ask.
        log = self.log.debug if self.sigterm_ms is None else self.log.info
        log(
            "closed",
            gen=active_request.ident,
            outcome=outcome,
            phase=active_request.phase.value,
            refusal=getattr(active_request.final, "reject_reason", messages.RejectReason.UNKNOWN).name,
            attempts=active_request.attempt_log,
            after_sigterm_ms=self.after_sigterm_ms(active_request),
            took_ms=round(now_ms() - active_request.since, 1),
            patience_ms=round(active_request.request.client_timeout_ms),
        )
        active_request.note(f"closed: {outcome}")
        self.records.append(
            RequestRecord(active_request.ident, outcome, active_request.attempt_log, active_request.history)
        )
        self.ended.append(active_request)

    def forget(self, active_request: ActiveRequest) -> None:
        """It stays until its answer is settled and its last leg has ended."""
        if active_request.attempt is None and active_request.over:
            self.active_requests.pop(active_request.request, None)
            if self.idents.get(active_request.ident) is active_request:
                del self.idents[active_request.ident]

    # -- legs

    def start_attempt(self, active_request: ActiveRequest, server: Server, times: messages.StartAttempt) -> None:
        endpoint, exchange, now = (
            self.endpoint_registry.endpoints.get(server),
            active_request.exchange,
            trio.current_time(),
        )
        barred = make_start_check(server, times.start_within_ms, lambda: active_request.over or exchange.closed)
        attempt = active_request.attempt = Attempt(
            endpoint.address if endpoint is not None else "",
            server.role,
            exchange.method,
            exchange.request.target.decode("latin-1"),
            active_request.ident,
            active_request.body,
            now + times.timeout_ms / 1000,
            times.idle_timeout_ms,
            barred,
        )
        name = active_request.server_name = endpoint.name if endpoint is not None else "gone"
        if active_request.attempt_log:
            self.counts[f"retry after {active_request.last_outcome}"] += (
                active_request.last_outcome != OUTCOME_NAMES[AttemptOutcome.PREFILLED]
            )
        active_request.attempts += 1
        active_request.note(f"attempt {active_request.attempts} to {name} decided, {times.timeout_ms:.0f} ms for it")
        self.nursery.start_soon(self.run, active_request, server, attempt, name)

    async def run(self, active_request: ActiveRequest, server: Server, attempt: Attempt, name: str) -> None:
        since, end = now_ms(), AttemptResult()
        if active_request.freeing is not None:  # lest a late DELETE release what this leg has read
            attempt.release_wait.deadline = trio.current_time() + self.deployment.router_config.connect_ms / 1000
            with attempt.release_wait:
                await active_request.freeing.wait()
        try:
            end = await self.engines.run(attempt, Passing(self, active_request, server, since))
        except ClientGone:
            end = AttemptResult(AttemptOutcome.CANCELLED, begun=True, why="the client left")
            self.client_left(active_request)
        except Exception as why:  # a fault of this program must not take the other generations with it
            self.log.exception("leg")
            end = AttemptResult(AttemptOutcome.ERROR, begun=active_request.streaming, why=repr(why))
        if end.outcome is AttemptOutcome.CLIENT_GONE:
            self.client_left(active_request)
        if end.outcome is AttemptOutcome.STREAMED and not active_request.over:
            try:
                await active_request.exchange.end()
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                self.client_left(active_request)
            self.finish_request(active_request, Streamed(True))
        elif end.begun:
            self.finish_request(active_request, Streamed(False))
        self.attempt_ended(active_request, server, name, end, now_ms() - since)

    def attempt_ended(
        self, active_request: ActiveRequest, server: Server, name: str, end: AttemptResult, took: float
    ) -> None:
        attempt, active_request.attempt, active_request.streaming = active_request.attempt, None, False
        active_request.why = f"{OUTCOME_NAMES[end.outcome]}: {end.why}" if end.why else active_request.why
        kind = "read" if server.role is messages.Role.PREFILL else "write"
        active_request.attempt_log.append(
            f"{name} {kind} {OUTCOME_NAMES[end.outcome]} {took:.0f} ms {end.why}".rstrip()
        )
        written = "not written" if attempt is None or attempt.written_at is None else "written"
        ended = f"attempt {active_request.attempts} ended: {kind} {OUTCOME_NAMES[end.outcome]}, {written}: {end.why}"
        active_request.note(ended.rstrip(": "))
        if end.outcome is AttemptOutcome.PREFILLED:
            self.held_states.held(active_request.ident, name, now_ms())
        elif end.outcome is AttemptOutcome.STREAMED or end.state_lost:
            self.held_states.ended(active_request.ident, now_ms())
        self.counts[f"{kind} {OUTCOME_NAMES[end.outcome]}"] += 1
        self.log.debug(
            "attempt",
            gen=active_request.ident,
            server=name,
            kind=kind,
            verdict=OUTCOME_NAMES[end.outcome],
            took_ms=round(took, 1),
            begun=end.begun,
            kept=end.kept,
            prompt=active_request.request.prompt_tokens,
            why=end.why,
        )
        self.dispatch(
            messages.AttemptEnded(
                active_request.request,
                server,
                end.outcome,
                took,
                active_request.over,
                end.kept,
                end.state_lost,
                end.report,
            )
        )
        self.forget(active_request)

    def oldest_unanswered_ms(self) -> float:
        """For how long the attempt has waited that was written first of those without a byte of their answer's head."""
        written = [
            active_request.attempt.written_at
            for active_request in self.active_requests.values()
            if active_request.attempt and not active_request.streaming
        ]
        return max((trio.current_time() - at for at in written if at is not None), default=0.0) * 1000

    # -- what is held

    def addresses(self) -> Iterator[str]:
        """Of all servers, one after the other as they are asked for."""
        return (
            endpoint.address
            for server, endpoint in self.endpoint_registry.endpoints.items()
            if server.status is not EndpointStatus.REMOVED
        )

    async def release(self, active_request: ActiveRequest, done: trio.Event, again: bool) -> None:
        within = self.deployment.router_config.release_ms
        try:
            await self.release_until_heard(active_request, within)
            done.set()
            if again:
                await trio.sleep(within / 2000)
                await self.release_until_heard(active_request, within)
        except Exception:
            self.log.exception("release")
        finally:
            self.releasing -= 1
            done.set()

    async def release_until_heard(self, active_request: ActiveRequest, within_ms: float) -> None:
        """Asks servers to release what is held for the request until one has heard it. What nobody has heard within the
        release time is owed all the same: it is said again, a bounded number of times."""
        since = now_ms()
        for nth in range(RELEASE_TRIES):
            # Ever more slowly: servers that are too busy to hear it must not get busier by it.
            heard_by = await self.engines.release(active_request.ident, self.addresses(), within_ms * 2**nth)
            took = now_ms() - since
            if heard_by is not None:
                break
            self.counts["release unheard"] += 1
            active_request.note("release unheard")
            self.log.warning("release unheard", gen=active_request.ident, took_ms=round(took, 1))
        else:
            return
        self.counts["release heard"] += 1
        self.held_states.ended(active_request.ident, now_ms())
        active_request.note(f"release heard by {heard_by}")
        if not active_request.over:
            self.dispatch(messages.ReleaseConfirmed(active_request.request))
        self.log.debug("release heard", gen=active_request.ident, by=heard_by, took_ms=round(took, 1))

    async def hold(self, active_request: ActiveRequest, server: Server) -> None:
        held = await self.engines.hold(
            self.endpoint_registry.endpoints[server].address,
            active_request.ident,
            self.deployment.router_config.release_ms,
        )
        if not active_request.over:
            self.dispatch(messages.ReservationResult(active_request.request, held))

    async def probe(self, server: Server) -> None:
        outcome, report, endpoint = AttemptOutcome.CONNECT_FAILED, None, self.endpoint_registry.endpoints.get(server)
        if endpoint is not None:
            outcome, report = await self.engines.load(endpoint.address, self.deployment.router_config.connect_ms)
        self.dispatch(messages.ProbeResult(server, outcome, report))


@dataclass(slots=True)
class Passing:
    """A stream's way to its client; the decisions hear of its first token."""

    node: Node
    active_request: ActiveRequest
    server: Server
    since: float

    async def first(self, data: bytes) -> None:
        if self.active_request.over:
            raise ClientGone
        self.active_request.streaming, self.active_request.body = True, b""
        self.active_request.note("first event")
        self.node.held_states.ended(self.active_request.ident, now_ms())
        self.node.dispatch(messages.FirstToken(self.active_request.request, self.server, now_ms() - self.since))
        await self.active_request.first(data)

    async def more(self, data: bytes) -> None:
        if self.active_request.over:
            raise ClientGone
        await self.active_request.more(data)

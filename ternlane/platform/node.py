"""One gateway between its sockets and the decisions: requests, their attempts, and what is held for them."""

from __future__ import annotations

import time
from collections import Counter, deque
from dataclasses import dataclass
from typing import Any, Iterator

import trio

from ternlane import port
from ternlane.deployment import Deployment
from ternlane.platform.engines import ClientGone, Engines, Attempt, AttemptResult
from ternlane.platform.held_states import HeldStateMonitor
from ternlane.platform.open_requests import OpenRequest
from ternlane.platform.request_history import RequestRecord
from ternlane.platform.endpoint_registry import EndpointList, EndpointRegistry
from ternlane.platform.ticket import Final, Streamed, Ticket
from ternlane.port import EndpointStatus, Server, AttemptOutcome
from ternlane.turns import Chooser, Turns, begin_check, now_ms

TRAILS = 512  # requests whose attempts and transitions are kept for who asks
RELEASE_TRIES = 4  # of a release that no server has heard, each given twice the time of the one before


class Node(Turns[Ticket]):
    """Tells the decisions what happens on the sockets, and carries out on them what is decided."""

    def __init__(
        self, chooser: Chooser, deployment: Deployment, engines: Engines, nursery: trio.Nursery, log: Any
    ) -> None:
        super().__init__(chooser)
        self.deployment, self.engines, self.nursery, self.log = deployment, engines, nursery, log
        self.endpoint_registry = EndpointRegistry(deployment)
        self.idents: dict[str, Ticket] = {}
        self.ended: list[Ticket] = []  # to be forgotten once the turn is over
        self.releasing = 0
        self.counts: Counter[str] = Counter()
        self.records: deque[RequestRecord] = deque(maxlen=TRAILS)
        self.held_states = HeldStateMonitor()
        self.sigterm_ms: float | None = None  # when this gateway was told to end

    # -- the loop's side

    def turn(self) -> None:
        super().turn()
        for ticket in self.ended:
            self.forget(ticket)
        self.ended.clear()

    def carry_further(self, action: port.Action) -> None:
        match action:
            case port.Release(request, again, why):
                ticket = self.tickets.get(request)
                if ticket is not None:
                    self.releasing += 1
                    self.counts[f"release {why.name}"] += 1
                    ticket.note(f"release begins: {why.name}")
                    ticket.freeing = trio.Event()
                    self.nursery.start_soon(self.release, ticket, ticket.freeing, again)
            case port.Reserve(request, server):
                ticket = self.tickets.get(request)
                if ticket is not None and server in self.endpoint_registry.endpoints:
                    self.nursery.start_soon(self.hold, ticket, server)
            case port.Probe(server):
                self.nursery.start_soon(self.probe, server)
            case port.Log(server, text):
                endpoint = self.endpoint_registry.endpoints.get(server)
                self.log.info("server", server=endpoint.name if endpoint is not None else "gone", text=text)

    def woken(self) -> None:
        self.endpoint_registry.clock.observe(time.time() * 1000, now_ms())
        self.engines.pool.sweep()
        for overdue in self.held_states.newly_overdue(now_ms(), self.deployment.facts.release_ms):
            self.counts["held overdue"] += 1
            self.log.warning(
                "state held past its release time",
                gen=overdue.request_id,
                server=overdue.server,
                held_ms=round(overdue.held_ms, 1),
            )

    def faulted(self, fault: Exception) -> None:
        self.counts["fault"] += 1
        self.log.error("fault", exc_info=fault)

    def give_up(self, ticket: Ticket, why: str) -> None:
        self.counts["overdue"] += 1
        super().give_up(ticket, why)

    def listed(self, listing: EndpointList) -> None:
        news = self.endpoint_registry.take(listing, time.time() * 1000, now_ms())
        self.engines.known([endpoint.address for endpoint in self.endpoint_registry.endpoints.values()])
        if news.servers:
            self.tell(news)

    def alter(self, deployment: Deployment) -> None:
        self.deployment = self.engines.deployment = deployment
        self.endpoint_registry.alter(deployment)
        self.tell(port.ConfigChanged(deployment.facts))

    # -- generations

    def arrived(self, ticket: Ticket) -> None:
        self.idents[ticket.ident] = ticket
        self.counts["taken"] += 1
        ticket.note(f"received, {ticket.request.client_timeout_ms:.0f} ms left{self.after_sigterm(ticket)}")
        self.taken(ticket)

    def after_sigterm_ms(self, ticket: Ticket) -> float | None:
        """How long after the signal to end the request was received; None where it was received before, or there was
        none."""
        if self.sigterm_ms is None or ticket.since < self.sigterm_ms:
            return None
        return round(ticket.since - self.sigterm_ms, 1)

    def after_sigterm(self, ticket: Ticket) -> str:
        """The same as the end of a sentence."""
        after_ms = self.after_sigterm_ms(ticket)
        return "" if after_ms is None else f", {after_ms:.0f} ms after SIGTERM"

    def open_requests(self) -> list[OpenRequest]:
        """Those without their whole answer, the oldest first."""
        now = now_ms()
        return [
            OpenRequest(
                ticket.ident,
                ticket.phase,
                round(now - ticket.since, 1),
                round(ticket.deadline_ms - now, 1),
                ticket.attempts,
                ticket.server_name if ticket.attempt is not None else "",
                self.after_sigterm_ms(ticket),
            )
            for ticket in self.tickets.values()
            if not ticket.over
        ]

    def client_left(self, ticket: Ticket) -> None:
        """Nothing is owed any more; a stream that nobody reads is given up."""
        if not ticket.over:
            ticket.left = True
            if ticket.attempt is not None and (
                ticket.flowing or not ticket.attempt.written
            ):  # it was never a begun attempt
                ticket.attempt.cancel()
            self.closed(ticket, "left")
            self.tell(port.ClientDisconnected(ticket.request))

    def settle(self, ticket: Ticket, final: Final) -> None:
        if ticket.over:
            return
        ticket.final = final
        ticket.watch.cancel()
        outcome = type(final).__name__.lower()
        if isinstance(final, Streamed):
            outcome = "streamed" if final.whole else "broken"
        else:
            self.counts[f"{outcome} {final.reject_reason.name}"] += 1
            ticket.note(f"{outcome}: {final.reject_reason.name}")
        if now_ms() > ticket.deadline_ms and not ticket.flowing:
            self.counts["late"] += 1
        self.closed(ticket, outcome)

    def closed(self, ticket: Ticket, outcome: str) -> None:
        self.counts[outcome] += 1
        # While it shuts down each end of a request is told: who asks later finds no process to ask.
        log = self.log.debug if self.sigterm_ms is None else self.log.info
        log(
            "closed",
            gen=ticket.ident,
            outcome=outcome,
            phase=ticket.phase.value,
            refusal=getattr(ticket.final, "reject_reason", port.RejectReason.UNKNOWN).name,
            attempts=ticket.trail,
            after_sigterm_ms=self.after_sigterm_ms(ticket),
            took_ms=round(now_ms() - ticket.since, 1),
            patience_ms=round(ticket.request.client_timeout_ms),
        )
        ticket.note(f"closed: {outcome}")
        self.records.append(RequestRecord(ticket.ident, outcome, ticket.trail, ticket.history))
        self.ended.append(ticket)

    def forget(self, ticket: Ticket) -> None:
        """It stays until its answer is settled and its last leg has ended."""
        if ticket.attempt is None and ticket.over:
            self.tickets.pop(ticket.request, None)
            if self.idents.get(ticket.ident) is ticket:
                del self.idents[ticket.ident]

    # -- legs

    def send(self, ticket: Ticket, server: Server, times: port.StartAttempt) -> None:
        endpoint, exchange, now = self.endpoint_registry.endpoints.get(server), ticket.exchange, trio.current_time()
        barred = begin_check(server, times.begin_by_ms, lambda: ticket.over or exchange.closed)
        attempt = ticket.attempt = Attempt(
            endpoint.address if endpoint is not None else "",
            server.role,
            exchange.method,
            exchange.request.target.decode("latin-1"),
            ticket.ident,
            ticket.body,
            now + times.timeout_ms / 1000,
            times.quiet_ms,
            barred,
        )
        name = ticket.server_name = endpoint.name if endpoint is not None else "gone"
        if ticket.trail:
            self.counts[f"retry after {ticket.last_outcome}"] += ticket.last_outcome != AttemptOutcome.PREFILLED.name
        ticket.attempts += 1
        ticket.note(f"attempt {ticket.attempts} to {name} decided, {times.timeout_ms:.0f} ms for it")
        self.nursery.start_soon(self.run, ticket, server, attempt, name)

    async def run(self, ticket: Ticket, server: Server, attempt: Attempt, name: str) -> None:
        since, end = now_ms(), AttemptResult()
        if ticket.freeing is not None:  # lest a late DELETE release what this leg has read
            attempt.release_wait.deadline = trio.current_time() + self.deployment.facts.connect_ms / 1000
            with attempt.release_wait:
                await ticket.freeing.wait()
        try:
            end = await self.engines.run(attempt, Passing(self, ticket, server, since))
        except ClientGone:
            end = AttemptResult(AttemptOutcome.CANCELLED, begun=True, why="the client left")
            self.client_left(ticket)
        except Exception as why:  # a fault of this program must not take the other generations with it
            self.log.exception("leg")
            end = AttemptResult(AttemptOutcome.ERROR, begun=ticket.flowing, why=repr(why))
        if end.outcome is AttemptOutcome.CLIENT_GONE:
            self.client_left(ticket)
        if end.outcome is AttemptOutcome.STREAMED and not ticket.over:
            try:
                await ticket.exchange.end()
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                self.client_left(ticket)
            self.settle(ticket, Streamed(True))
        elif end.begun:
            self.settle(ticket, Streamed(False))
        self.attempt_ended(ticket, server, name, end, now_ms() - since)

    def attempt_ended(self, ticket: Ticket, server: Server, name: str, end: AttemptResult, took: float) -> None:
        attempt, ticket.attempt, ticket.flowing = ticket.attempt, None, False
        ticket.why = f"{end.outcome.name}: {end.why}" if end.why else ticket.why
        kind = "read" if server.role is port.Role.PREFILL else "write"
        ticket.trail.append(f"{name} {kind} {end.outcome.name} {took:.0f} ms {end.why}".rstrip())
        written = "not written" if attempt is None or attempt.written_at is None else "written"
        ticket.note(f"attempt {ticket.attempts} ended: {kind} {end.outcome.name}, {written}: {end.why}".rstrip(": "))
        if end.outcome is AttemptOutcome.PREFILLED:
            self.held_states.held(ticket.ident, name, now_ms())
        elif end.outcome is AttemptOutcome.STREAMED or end.state_lost:
            self.held_states.ended(ticket.ident, now_ms())
        self.counts[f"{kind} {end.outcome.name}"] += 1
        self.log.debug(
            "attempt",
            gen=ticket.ident,
            server=name,
            kind=kind,
            verdict=end.outcome.name,
            took_ms=round(took, 1),
            begun=end.begun,
            kept=end.kept,
            prompt=ticket.request.prompt_tokens,
            why=end.why,
        )
        self.tell(
            port.AttemptEnded(
                ticket.request, server, end.outcome, took, ticket.over, end.kept, end.state_lost, end.report
            )
        )
        self.forget(ticket)

    def oldest_unanswered_ms(self) -> float:
        """For how long the attempt has waited that was written first of those without a byte of their answer's head."""
        written = [
            ticket.attempt.written_at for ticket in self.tickets.values() if ticket.attempt and not ticket.flowing
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

    async def release(self, ticket: Ticket, done: trio.Event, again: bool) -> None:
        within = self.deployment.facts.release_ms
        try:
            await self.release_until_heard(ticket, within)
            done.set()
            if again:
                await trio.sleep(within / 2000)
                await self.release_until_heard(ticket, within)
        except Exception:
            self.log.exception("release")
        finally:
            self.releasing -= 1
            done.set()

    async def release_until_heard(self, ticket: Ticket, within_ms: float) -> None:
        """Asks servers to release what is held for the request until one has heard it. What nobody has heard within the
        release time is owed all the same: it is said again, a bounded number of times."""
        since = now_ms()
        for nth in range(RELEASE_TRIES):
            # Ever more slowly: servers that are too busy to hear it must not get busier by it.
            heard_by = await self.engines.release(ticket.ident, self.addresses(), within_ms * 2**nth)
            took = now_ms() - since
            if heard_by is not None:
                break
            self.counts["release unheard"] += 1
            ticket.note("release unheard")
            self.log.warning("release unheard", gen=ticket.ident, took_ms=round(took, 1))
        else:
            return
        self.counts["release heard"] += 1
        self.held_states.ended(ticket.ident, now_ms())
        ticket.note(f"release heard by {heard_by}")
        if not ticket.over:
            self.tell(port.ReleaseConfirmed(ticket.request))
        self.log.debug("release heard", gen=ticket.ident, by=heard_by, took_ms=round(took, 1))

    async def hold(self, ticket: Ticket, server: Server) -> None:
        held = await self.engines.hold(
            self.endpoint_registry.endpoints[server].address, ticket.ident, self.deployment.facts.release_ms
        )
        if not ticket.over:
            self.tell(port.ReservationResult(ticket.request, held))

    async def probe(self, server: Server) -> None:
        outcome, report, endpoint = AttemptOutcome.CONNECT_FAILED, None, self.endpoint_registry.endpoints.get(server)
        if endpoint is not None:
            outcome, report = await self.engines.load(endpoint.address, self.deployment.facts.connect_ms)
        self.tell(port.ProbeResult(server, outcome, report))


@dataclass(slots=True)
class Passing:
    """A stream's way to its client; the decisions hear of its first token."""

    node: Node
    ticket: Ticket
    server: Server
    since: float

    async def first(self, data: bytes) -> None:
        if self.ticket.over:
            raise ClientGone
        self.ticket.flowing, self.ticket.body = True, b""
        self.ticket.note("first event")
        self.node.held_states.ended(self.ticket.ident, now_ms())
        self.node.tell(port.FirstToken(self.ticket.request, self.server, now_ms() - self.since))
        await self.ticket.first(data)

    async def more(self, data: bytes) -> None:
        if self.ticket.over:
            raise ClientGone
        await self.ticket.more(data)

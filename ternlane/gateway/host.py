"""Tells the decisions what happens and carries out what they decide. It decides nothing.

One loop owns the Router: `tell` puts an event in, and whoever finds the loop idle empties it. Sockets, timers and the
node list all come through here.
"""

from __future__ import annotations

from typing import Any, Callable

import trio

from ternlane.policy import messages
from ternlane.chat import Intake
from ternlane.chat.beyond import More
from ternlane.engine import ClientGone, AttemptRequest, AttemptResult, AttemptPlan, Stage, Transport, Usage
from ternlane.gateway.router_config import Offer
from ternlane.gateway.metrics import OUTCOME_LABELS, STAGE_LABELS, GatewayMetrics
from ternlane.gateway.journal_writer import JournalWriter
from ternlane.gateway.active_request import Streamed, Failed, Rejected, ActiveRequest
from ternlane.discovery import EndpointRegistry
from ternlane.config import StreamConfig
from ternlane.policy.messages import Role, EndpointStatus, Server, RouterConfig, AttemptOutcome
from ternlane.recovery import Differs, RecoveryOutcome, StreamJoin, StreamRecovery, ResumeStrategy
from ternlane.tenants.billing import TokenUsage
from ternlane.wire_names import OUTCOME_NAMES
from ternlane.event_loop import RouterProtocol, EventLoop, make_start_check, now_ms


class Host(EventLoop[ActiveRequest]):
    def __init__(
        self,
        chooser: RouterProtocol,
        router_config: RouterConfig,
        transport: Transport,
        book: EndpointRegistry,
        intake: Intake,
        nursery: trio.Nursery,
        metrics: GatewayMetrics,
        log: Any,
        streams: StreamConfig | None = None,
    ) -> None:
        super().__init__(chooser)
        self.router_config, self.transport, self.book, self.intake = router_config, transport, book, intake
        self.nursery, self.metrics, self.log = nursery, metrics, log
        self.stream_recovery: StreamRecovery[ActiveRequest] = StreamRecovery(streams or StreamConfig(), router_config)
        self.resume_at = float("inf")
        self.idents: set[str] = set()
        self.releasing = 0
        self.mute: set[str] = set()  # servers that were asked for their load and did not say
        self.journal_writer: JournalWriter | None = None
        self.on_done: Callable[[ActiveRequest], None] = lambda _: None
        self.affords: Callable[[ActiveRequest], bool] = lambda _: True
        self.on_follow: Callable[[], None] = lambda: None

    # -- the loop

    def listed(self, news: messages.EndpointsUpdated) -> None:
        for server in news.servers:
            if server.status is EndpointStatus.REMOVED:
                self.stream_recovery.left(server)
        self.dispatch(news)

    def alter(self, offer: Offer) -> None:
        """Other settings from now on. Legs that are out end as they began; homes and what was learnt stay."""
        self.router_config = offer.router_config
        self.mute.clear()
        self.intake.offer(offer.models, offer.max_tokens)
        self.stream_recovery.alter(offer.router_config)
        self.dispatch(messages.ConfigChanged(offer.router_config))

    def execute_host_action(self, action: messages.Action) -> None:
        match action:
            case messages.Release(request):
                self.release_all(self.active_requests.get(request))
            case messages.WatchEndpoints():
                self.on_follow()
            case messages.Log(server, text):
                self.log.info("server", server=self.book.places[server].ident, text=text)
            case messages.Reserve(request, server):
                self.hold(self.active_requests.get(request), server)
            case messages.Probe(server):
                self.nursery.start_soon(self.probe, server)

    def on_timers_fired(self) -> None:
        self.transport.sweep()

    def on_fault(self, fault: Exception) -> None:
        self.log.error("fault", exc_info=fault)

    # -- generations

    def join_for(self, raw: dict[str, Any], request: messages.Request) -> StreamJoin:
        return self.stream_recovery.join(raw, request)

    def arrived(self, active_request: ActiveRequest) -> None:
        active_request.taken = now_ms()
        self.idents.add(active_request.ident)
        if self.journal_writer is not None:
            self.journal_writer.took(active_request)
        self.add_request(active_request)
        self.metrics.open.set(len(self.active_requests))

    def client_left(self, active_request: ActiveRequest) -> None:
        """The client has gone: nothing is owed any more, and everything held for it is freed."""
        if active_request.final is None and not active_request.left:
            active_request.left = True
            if active_request.attempt is not None and active_request.streaming:
                active_request.attempt.cancel()  # a stream that nobody reads
            self.dispatch(messages.ClientDisconnected(active_request.request))
            self.close(active_request, "left")

    def finish_request(self, active_request: ActiveRequest, final: Rejected | Failed | Streamed) -> None:
        if active_request.begun and isinstance(final, Rejected):  # its client has a part: nothing to come back for
            final = Failed(active_request.why or "nobody could go on with it")
        if not active_request.settle(final):
            return
        self.close(active_request, final.recorded_as)

    def close(self, active_request: ActiveRequest, outcome: str) -> None:
        took = now_ms() - active_request.since
        if self.journal_writer is not None:
            self.journal_writer.ended(active_request, outcome)
        self.metrics.outcomes.labels(active_request.ask.model, outcome).inc()
        self.log.info(
            "generation",
            gen=active_request.ident,
            model=active_request.ask.model,
            session=active_request.known.session,
            outcome=outcome,
            legs=active_request.attempt_log,
            took_ms=round(took, 1),
            why=active_request.why,
        )
        self.forget(active_request)

    def forget(self, active_request: ActiveRequest) -> None:
        """A ticket stays until its answer is settled, its last leg has ended and what it held is released."""
        if (
            active_request.attempt is None
            and (active_request.final is not None or active_request.left)
            and not active_request.holders
        ):
            if self.active_requests.pop(active_request.request, None) is not None:
                self.stream_recovery.ended(
                    active_request, active_request.join, isinstance(active_request.final, Streamed)
                )
                if self.resume_at < float("inf"):  # others wait, perhaps for its place
                    self.resume()
                self.idents.discard(active_request.ident)
                self.on_done(active_request)
            self.metrics.open.set(len(self.active_requests))

    # -- legs

    def start_attempt(self, active_request: ActiveRequest, server: Server, times: messages.StartAttempt) -> None:
        place = self.book.places[server]
        number = active_request.attempts
        active_request.attempts += 1
        stage = Stage.WHOLE
        if server.role is Role.PREFILL:
            stage = Stage.PREFILL
            active_request.holders[server] = None  # from now on: a read whose end is not heard may have left its state
        elif server.role is Role.DECODE and active_request.state is not None:
            stage = Stage.DECODE
        barred = make_start_check(
            server, times.start_within_ms, lambda: active_request.left or active_request.final is not None
        )
        active_request.attempt = AttemptPlan(
            place.address, [], b"", times.timeout_ms, times.idle_timeout_ms, times.total_timeout_ms, barred
        )
        join, goes_on = (
            active_request.join,
            active_request.join.resumed and active_request.join.way is ResumeStrategy.GO_ON,
        )
        first = None
        if self.journal_writer is not None:
            first = self.journal_writer.sends(
                active_request,
                place.ident,
                place.address,
                place.line.protocol,
                stage is Stage.PREFILL,
                stage is not Stage.PREFILL,
            )
        self.nursery.start_soon(
            self.run,
            active_request,
            server,
            first,
            AttemptRequest(
                place.ident,
                place.address,
                stage,
                active_request.ident,
                number,
                f"{active_request.key}.{join.attempts}"
                if goes_on
                else active_request.key,  # another request than the first: no repeat
                join.request(active_request.ask.raw),
                active_request.state,
                join.left(),
                active_request.attempt,
                place.line.protocol,
                goes_on,
            ),
        )

    async def run(
        self, active_request: ActiveRequest, server: Server, first_kept: int | None, ask: AttemptRequest
    ) -> None:
        since, stage, plan, last = now_ms(), ask.stage, ask.plan, 0.0
        longest, explores = plan.idle_timeout_ms, self.stream_recovery.stream_pacing.explores()

        async def pass_on(text: str, first: bool, more: More | None = None) -> None:
            nonlocal last
            if not first:
                self.stream_recovery.heard(server, now_ms() - last, explores)
            try:
                await pass_piece(text, first, more)
            finally:
                last = now_ms()  # a client that takes its time is not the engine's silence
            plan.idle_timeout_ms = self.stream_recovery.idle_timeout_ms(active_request.join, server, longest, explores)

        async def pass_piece(text: str, first: bool, more: More | None) -> None:
            if active_request.left or active_request.final is not None:
                raise ClientGone
            if first:
                active_request.streaming = True
                if active_request.holders and self.journal_writer is not None:
                    self.journal_writer.freed(active_request)
                active_request.holders.clear()  # the writer has fetched the state
                if not active_request.begun:
                    self.metrics.first.labels(active_request.ask.model).observe(
                        (now_ms() - active_request.since) / 1000
                    )
                paused = self.stream_recovery.first(active_request, now_ms(), active_request.taken)
                if paused is not None:
                    self.metrics.resumed.observe(paused / 1000)
                    self.resume()  # its place is free
                self.dispatch(messages.FirstToken(active_request.request, server, now_ms() - since))
            try:
                new = active_request.join.take(text)
            except Differs:
                active_request.why = active_request.join.why
                return plan.cancel()
            if active_request.join.stopped:
                return plan.cancel()
            if not self.affords(active_request):  # its tenant wants streams cut that pass the overdraft
                active_request.why = "over budget: the overdraft is used up"
                plan.cancel()
            head, active_request.begun = not active_request.begun, True
            if more is not None:
                active_request.beyond.add(more)
                active_request.join.beyond()
            elif not new and not head:
                return  # a repeat's, which the client has
            try:
                await (
                    active_request.response_writer.piece(new, head)
                    if more is None
                    else active_request.response_writer.piece(new, head, more)
                )
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                raise ClientGone from None

        if first_kept is not None and not await self.noted(first_kept, plan):
            return self.attempt_ended(
                active_request,
                server,
                stage,
                AttemptResult(
                    AttemptOutcome.CANCELLED if plan.cancelled else AttemptOutcome.OVERLOADED,
                    why="the journal can't be kept",
                ),
                now_ms() - since,
                plan,
            )
        try:
            end = await (self.transport.read(ask) if stage is Stage.PREFILL else self.transport.stream(ask, pass_on))
        except ClientGone:
            end = AttemptResult(AttemptOutcome.CANCELLED, begun=True, why="the client left")
            self.client_left(active_request)
        except Exception as fault:
            self.on_fault(fault)
            end = AttemptResult(AttemptOutcome.ERROR, begun=active_request.streaming, why=repr(fault))
        self.attempt_ended(active_request, server, stage, end, now_ms() - since, plan)

    async def noted(self, number: int, plan: AttemptPlan) -> bool:
        """Waits until the disk has it that this leg goes out; where it hasn't in time, the leg is not sent."""
        assert self.journal_writer is not None
        attempts_own, plan.scope = (
            plan.scope,
            trio.CancelScope(deadline=trio.current_time() + self.router_config.connect_ms / 1000),
        )
        with plan.scope:  # which a call-off ends
            await self.journal_writer.writer.until_kept(number)
        kept, plan.scope = not plan.scope.cancelled_caught, attempts_own
        return kept and not plan.cancelled

    def attempt_ended(
        self,
        active_request: ActiveRequest,
        server: Server,
        stage: Stage,
        end: AttemptResult,
        took: float,
        plan: AttemptPlan,
    ) -> None:
        active_request.attempt, active_request.streaming = None, False
        place = self.book.places[server]
        active_request.attempt_log.append(f"{place.ident} {STAGE_LABELS[stage].upper()} {OUTCOME_NAMES[end.outcome]}")
        self.metrics.attempts.labels(STAGE_LABELS[stage], OUTCOME_LABELS[end.outcome]).inc()
        self.log.debug(
            "leg",
            gen=active_request.ident,
            leg=active_request.attempts - 1,
            server=place.ident,
            stage=STAGE_LABELS[stage].upper(),
            verdict=OUTCOME_NAMES[end.outcome],
            took_ms=round(took, 1),
            why=end.why,
        )
        kept = 0.0
        if (
            end.outcome is AttemptOutcome.PREFILLED
            and end.usage is not None
            and not active_request.join.took_in(end.usage.prompt_tokens, active_request.prompt_said)
        ):
            end.outcome, end.why = (
                AttemptOutcome.ERROR,
                "it read no more than the prompt, and can't go on with the text",
            )
        active_request.made.append(made_of(stage, end, active_request.join.attempt_pieces))
        if end.usage is not None:
            if not active_request.join.resumed:
                self.intake.learn_prompt(active_request.known, end.usage.prompt_tokens)
                if stage is not Stage.DECODE:
                    active_request.prompt_said, active_request.kept_said = (
                        end.usage.prompt_tokens,
                        active_request.made[-1].cached,
                    )
                    self.stream_recovery.read(
                        now_ms(), active_request.made[-1].prompt - active_request.made[-1].cached, took
                    )
            details = end.usage.prompt_tokens_details
            kept = float(details.cached_tokens or 0) if details is not None else 0.0
        if end.outcome is AttemptOutcome.PREFILLED:
            active_request.state = end.state
        elif end.why:
            active_request.why = f"{place.ident}: {end.why}"
        broken = False
        if end.outcome is AttemptOutcome.STREAMED and not active_request.join.ends():
            self.finish_request(active_request, Failed(active_request.join.why))
        elif end.outcome is AttemptOutcome.STREAMED or active_request.join.stopped:
            self.streamed(active_request, "stop" if active_request.join.stopped else end.finish, end.usage)
        elif end.begun:
            broken = not plan.cancelled and not active_request.left and self.broke(active_request, end)
            if not broken:  # its client has part of the answer, and hears that there is no more
                self.finish_request(
                    active_request, Failed(active_request.why if plan.cancelled else end.why or "the stream broke")
                )
        over = active_request.final is not None or active_request.left
        never_ran = (
            AttemptOutcome.OVERLOADED,
            AttemptOutcome.CONNECT_FAILED,
            AttemptOutcome.CLIENT_GONE,
            AttemptOutcome.NOT_STARTED,
        )
        if end.outcome in never_ran and server.role is Role.PREFILL:
            active_request.holders.pop(server, None)  # it ran nothing, so it left nothing
        self.dispatch(
            messages.AttemptEnded(
                active_request.request, server, end.outcome, took, over, kept, end.state_lost, end.report, broken
            )
        )
        self.forget(active_request)
        if broken:
            self.resume()

    def streamed(self, active_request: ActiveRequest, finish: str, usage: Usage | None) -> None:
        join, said = active_request.join, (usage or Usage()).told()
        self.intake.answered(active_request.known, active_request.beyond.echoed(join.text))
        self.finish_request(
            active_request,
            Streamed(
                join.text,
                finish,
                join.usage(active_request.prompt_said, active_request.kept_said, said),
                active_request.beyond.whole() if active_request.beyond else None,
            ),
        )

    # -- streams that broke

    def broke(self, active_request: ActiveRequest, end: AttemptResult) -> bool:
        """Whether another leg may give the rest; if so it waits for its turn."""
        active_request.broke_at = (
            len(active_request.made) if active_request.broke_at is None else active_request.broke_at
        )
        recovery_outcome = self.stream_recovery.broke(
            active_request,
            active_request.join,
            active_request.request,
            None if end.usage is None else end.usage.completion_tokens,
            now_ms(),
            active_request.deadline_ms,
            sum(s.status is EndpointStatus.READY and s.role is not Role.DECODE for s in self.book.servers.values()),
        )
        self.metrics.breaks.labels(recovery_outcome.name.lower()).inc()
        if recovery_outcome is RecoveryOutcome.ENDS:
            end.why = f"{end.why or 'the stream broke'}; {active_request.join.why}"
        elif recovery_outcome is RecoveryOutcome.WHOLE:
            self.streamed(active_request, "length", Usage())
        return recovery_outcome is RecoveryOutcome.GOES_ON

    def resume(self) -> None:
        """Lets broken streams go on whose turn it is; those that have waited too long are given up."""
        go, late = self.stream_recovery.next(now_ms())
        for active_request in go:
            self.dispatch(messages.ResumeStream(active_request.request))
        for active_request in late:
            self.finish_request(active_request, Failed(active_request.why or "the stream broke"))
            self.dispatch(messages.ClientDisconnected(active_request.request))
        at = self.stream_recovery.due(now_ms())
        if at < self.resume_at:
            self.resume_at = at
            self.call_at(at, self.resume_due)

    def resume_due(self) -> None:
        self.resume_at = float("inf")
        self.resume()

    def release_all(self, active_request: ActiveRequest | None) -> None:
        if active_request is None:
            return
        active_request.state = None
        holders, active_request.holders = list(active_request.holders), {}
        for server in holders:
            self.releasing += 1
            self.nursery.start_soon(self.release, active_request, server)
        self.forget(active_request)

    def hold(self, active_request: ActiveRequest | None, server: Server) -> None:
        """A place ahead: released like a state, so the server counts as a holder from now on."""
        if active_request is not None:
            active_request.holders[server] = None
            self.nursery.start_soon(self.reserve_ahead, active_request, server)

    async def reserve_ahead(self, active_request: ActiveRequest, server: Server) -> None:
        place, request = self.book.places[server], active_request.request
        held = await self.transport.hold(
            place.ident,
            place.address,
            active_request.ident,
            request.prompt_tokens + request.max_tokens,
            self.router_config.release_ms,
            place.line.protocol,
        )
        if active_request.request in self.active_requests and not active_request.left and active_request.final is None:
            self.dispatch(messages.ReservationResult(request, held))

    async def probe(self, server: Server) -> None:
        """Asks an engine for its load; one that does not say is heard all the same, and named in the log once."""
        place = self.book.places[server]
        outcome, report = await self.transport.load(
            place.ident, place.address, self.router_config.connect_ms, place.line.protocol
        )
        self.metrics.probes.labels("told" if report is not None else OUTCOME_LABELS[outcome]).inc()
        if (
            report is None
            and outcome in (AttemptOutcome.STREAMED, AttemptOutcome.ERROR)
            and place.ident not in self.mute
        ):
            self.mute.add(place.ident)
            self.log.warning("load not told", server=place.ident, why="no metrics that can be read at /metrics")
        self.dispatch(messages.ProbeResult(server, outcome, report))

    async def release(self, active_request: ActiveRequest, server: Server) -> None:
        place = self.book.places[server]
        try:
            done = await self.transport.release(
                place.ident, place.address, active_request.ident, self.router_config.release_ms, place.line.protocol
            )
        finally:
            self.releasing -= 1
            if self.journal_writer is not None:
                self.journal_writer.freed(active_request)
        self.metrics.releases.labels("confirmed" if done else "unheard").inc()
        if not done:
            self.log.warning("release unheard", gen=active_request.ident, server=place.ident)


def made_of(stage: Stage, end: AttemptResult, pieces: int) -> TokenUsage:
    """What a leg is known to have made: by its usage, or, of a stream that broke, the pieces that came."""
    usage = end.usage
    details = usage.prompt_tokens_details if usage is not None else None
    kept = (details.cached_tokens or 0) if details is not None else 0
    if stage is Stage.PREFILL:
        return TokenUsage(usage.prompt_tokens, kept, 0) if usage is not None else TokenUsage()
    answer = usage.completion_tokens if usage is not None else pieces if end.begun else 0
    if stage is Stage.DECODE:
        return TokenUsage(0, 0, answer)
    return TokenUsage(usage.prompt_tokens, kept, answer) if usage is not None else TokenUsage(0, 0, answer)

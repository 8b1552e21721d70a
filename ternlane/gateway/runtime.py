"""The gateway's runtime: tells the decisions what happens and carries out what they decide. It decides nothing.

One loop owns the router: `tell` puts an event in, and whoever finds the loop idle empties it. Sockets, timers and the
endpoint list all come through here. Its parts: `attempts` (what is sent), `stream_forwarder` (text to the client),
`attempt_recorder` (what an attempt's end tells), `stream_resumer` (streams that broke), `server_calls` (releases,
reservations, probes).
"""

from __future__ import annotations

from collections.abc import Callable
from math import inf
from typing import Any

import trio

from ternlane.chat import RequestIntake
from ternlane.config import StreamConfig
from ternlane.discovery import EndpointRegistry
from ternlane.engine import (
    AttemptPlan,
    AttemptRequest,
    AttemptResult,
    ClientGone,
    Stage,
    Transport,
    Usage,
    cached_tokens,
)
from ternlane.event_loop import EventLoop, RouterProtocol, now_ms
from ternlane.gateway.active_request import ActiveRequest, Failed, Rejected, Streamed
from ternlane.gateway.attempt_recorder import AttemptRecorder
from ternlane.gateway.attempts import NOTHING_RAN, build_attempt, plan_attempt, stage_at
from ternlane.gateway.journal_writer import JournalWriter
from ternlane.gateway.metrics import GatewayMetrics
from ternlane.gateway.router_config import ConfiguredModels
from ternlane.gateway.server_calls import ServerCalls
from ternlane.gateway.stream_forwarder import StreamForwarder
from ternlane.gateway.stream_resumer import StreamResumer
from ternlane.policy import messages
from ternlane.policy.messages import AttemptOutcome, EndpointStatus, Role, RouterConfig, Server
from ternlane.recovery import StreamJoin, StreamRecovery


class GatewayRuntime(EventLoop[ActiveRequest]):
    """One gateway's requests in flight. `on_done` is called with each request that has ended and holds nothing,
    `affords` before each piece of text, `on_follow` when the decisions want the endpoint list watched."""

    def __init__(
        self,
        chooser: RouterProtocol,
        router_config: RouterConfig,
        transport: Transport,
        registry: EndpointRegistry,
        intake: RequestIntake,
        nursery: trio.Nursery,
        metrics: GatewayMetrics,
        log: Any,
        streams: StreamConfig | None = None,
    ) -> None:
        super().__init__(chooser)
        self.router_config = router_config
        self.transport = transport
        self.registry = registry
        self.intake = intake
        self.nursery = nursery
        self.metrics = metrics
        self.log = log
        self.stream_recovery: StreamRecovery[ActiveRequest] = StreamRecovery(streams or StreamConfig(), router_config)
        self.stream_resumer = StreamResumer(self)
        self.attempt_recorder = AttemptRecorder(self, intake)
        self.server_calls = ServerCalls(self)
        self.idents: set[str] = set()
        self.journal_writer: JournalWriter | None = None
        self.on_done: Callable[[ActiveRequest], None] = lambda _: None
        self.affords: Callable[[ActiveRequest], bool] = lambda _: True
        self.on_follow: Callable[[], None] = lambda: None

    # -- the loop

    def endpoints_changed(self, change: messages.EndpointsUpdated) -> None:
        """The endpoint list has changed."""
        for server in change.servers:
            if server.status is EndpointStatus.REMOVED:
                self.stream_recovery.server_removed(server)
        self.dispatch(change)

    def alter(self, configured: ConfiguredModels) -> None:
        """Other settings from now on. Attempts that are out end as they began; homes and what was learnt stay."""
        self.router_config = configured.router_config
        self.server_calls.silent.clear()
        self.intake.configure(configured.models, configured.max_tokens)
        self.stream_recovery.alter(configured.router_config)
        self.dispatch(messages.ConfigChanged(configured.router_config))

    def execute_host_action(self, action: messages.Action) -> None:
        """Carries out what only this gateway's transport can."""
        match action:
            case messages.Release(request):
                self.release_all(self.active_requests.get(request))
            case messages.WatchEndpoints():
                self.on_follow()
            case messages.Log(server, text):
                self.log.info("server", server=self.registry.endpoints[server].ident, text=text)
            case messages.Reserve(request, server):
                active_request = self.active_requests.get(request)
                if active_request is not None:
                    self.server_calls.reserve(active_request, server)
            case messages.Probe(server):
                self.server_calls.probe(server)

    def on_timers_fired(self) -> None:
        """Time to close what lay idle."""
        self.transport.sweep()

    def on_fault(self, fault: Exception) -> None:
        """A fault of this program: logged, and the other requests go on."""
        self.log.error("fault", exc_info=fault)

    # -- requests

    def join_for(self, raw: dict[str, Any], request: messages.Request) -> StreamJoin:
        """The text of a new request, over all its attempts."""
        return self.stream_recovery.join(raw, request)

    def arrived(self, active_request: ActiveRequest) -> None:
        """A request was admitted by the chat API: the decisions hear of it."""
        active_request.taken = now_ms()
        self.idents.add(active_request.ident)
        if self.journal_writer is not None:
            self.journal_writer.record_request(active_request)
        self.add_request(active_request)
        self.metrics.open.set(len(self.active_requests))

    def client_disconnected(self, active_request: ActiveRequest) -> None:
        """The client has gone: nothing is owed any more, and everything held for it is released."""
        if active_request.is_finished:
            return
        active_request.left = True
        if active_request.attempt is not None and active_request.streaming:
            active_request.attempt.cancel()  # a stream that nobody reads
        self.dispatch(messages.ClientDisconnected(active_request.request))
        self.close(active_request, "left")

    def finish_request(self, active_request: ActiveRequest, final: Rejected | Failed | Streamed) -> None:
        """Gives the one final answer; a second one is ignored."""
        if active_request.begun and isinstance(final, Rejected):  # its client has a part: nothing to come back for
            final = Failed(active_request.why or "nobody could go on with it")
        if active_request.settle(final):
            self.close(active_request, final.recorded_as)

    def settle_streamed(self, active_request: ActiveRequest, finish: str, usage: Usage | None) -> None:
        """Gives the whole answer; `usage` is the last attempt's."""
        join = active_request.join
        extras = active_request.extras
        self.intake.answered(active_request.intake_record, extras.echoed(join.text))
        told = join.usage(active_request.prompt_said, active_request.kept_said, (usage or Usage()).told())
        self.finish_request(active_request, Streamed(join.text, finish, told, extras.combined() if extras else None))

    def close(self, active_request: ActiveRequest, outcome: str) -> None:
        """Writes down how the request ended."""
        if self.journal_writer is not None:
            self.journal_writer.record_end(active_request, outcome)
        self.metrics.outcomes.labels(active_request.chat_request.model, outcome).inc()
        self.log.info(
            "generation",
            gen=active_request.ident,
            model=active_request.chat_request.model,
            session=active_request.intake_record.session,
            outcome=outcome,
            legs=active_request.attempt_log,
            took_ms=round(now_ms() - active_request.since, 1),
            why=active_request.why,
        )
        self.forget(active_request)

    def forget(self, active_request: ActiveRequest) -> None:
        """A request stays until its answer is settled, its last attempt has ended and what it held is released."""
        if active_request.attempt is not None or not active_request.is_finished or active_request.holders:
            return
        if self.active_requests.pop(active_request.request, None) is not None:
            complete = isinstance(active_request.final, Streamed)
            self.stream_recovery.ended(active_request, active_request.join, complete)
            if self.stream_resumer.due_ms < inf:  # others wait, perhaps for its place
                self.resume_streams()
            self.idents.discard(active_request.ident)
            self.on_done(active_request)
        self.metrics.open.set(len(self.active_requests))

    def release_all(self, active_request: ActiveRequest | None) -> None:
        """Releases what servers hold for a request."""
        if active_request is not None:
            self.server_calls.release(active_request)
            self.forget(active_request)

    def resume_streams(self) -> None:
        """Lets broken streams go on whose turn it is."""
        self.stream_resumer.resume()

    # -- attempts

    def start_attempt(self, active_request: ActiveRequest, server: Server, times: messages.StartAttempt) -> None:
        """Starts an attempt as a task of the nursery."""
        endpoint = self.registry.endpoints[server]
        number = active_request.attempts
        active_request.attempts += 1
        stage = stage_at(server, active_request)
        if stage is Stage.PREFILL:  # from now on: a prefill whose end is not heard may have left its state
            active_request.holders[server] = None
        plan = plan_attempt(active_request, server, endpoint, times)
        active_request.attempt = plan
        journal_number = None
        if self.journal_writer is not None:
            prefills = stage is Stage.PREFILL
            journal_number = self.journal_writer.record_attempt(
                active_request, endpoint.ident, endpoint.address, endpoint.line.protocol, prefills, not prefills
            )
        attempt_request = build_attempt(active_request, endpoint, stage, number, plan)
        self.nursery.start_soon(self.run_attempt, active_request, server, journal_number, attempt_request)

    async def run_attempt(
        self, active_request: ActiveRequest, server: Server, journal_number: int | None, ask: AttemptRequest
    ) -> None:
        """One attempt from its start to its end."""
        started_ms = now_ms()
        forwarder = StreamForwarder(self, active_request, server, ask.plan)
        if journal_number is not None and not await self.journalled(journal_number, ask.plan):
            outcome = AttemptOutcome.CANCELLED if ask.plan.cancelled else AttemptOutcome.OVERLOADED
            result = AttemptResult(outcome, why="the journal can't be kept")
        else:
            result = await self.exchange(active_request, ask, forwarder)
        self.attempt_ended(active_request, server, ask.stage, result, now_ms() - started_ms, ask.plan)

    async def exchange(
        self, active_request: ActiveRequest, ask: AttemptRequest, forwarder: StreamForwarder
    ) -> AttemptResult:
        """Has the transport carry the attempt; whatever happens there comes to a result."""
        try:
            if ask.stage is Stage.PREFILL:
                return await self.transport.read(ask)
            return await self.transport.stream(ask, forwarder.forward)
        except ClientGone:
            self.client_disconnected(active_request)
            return AttemptResult(AttemptOutcome.CANCELLED, begun=True, why="the client left")
        except Exception as fault:
            self.on_fault(fault)
            return AttemptResult(AttemptOutcome.ERROR, begun=active_request.streaming, why=repr(fault))

    async def journalled(self, number: int, plan: AttemptPlan) -> bool:
        """Waits until the disk has it that this attempt goes out; where it hasn't in time, the attempt is not sent.

        Without the wait a gateway that is killed could send an effect and not know of it after its restart. During the
        wait a scope of its own stands in the plan, so that a cancellation ends it."""
        assert self.journal_writer is not None
        attempt_scope = plan.scope
        plan.scope = trio.CancelScope(deadline=trio.current_time() + self.router_config.connect_ms / 1000)
        with plan.scope:
            await self.journal_writer.writer.wait_durable(number)
        kept = not plan.scope.cancelled_caught
        plan.scope = attempt_scope
        return kept and not plan.cancelled

    def attempt_ended(
        self,
        active_request: ActiveRequest,
        server: Server,
        stage: Stage,
        result: AttemptResult,
        took_ms: float,
        plan: AttemptPlan,
    ) -> None:
        """Learns from an attempt's end, settles the request where it is its end, and tells the decisions."""
        active_request.attempt = None
        active_request.streaming = False
        self.attempt_recorder.record(active_request, server, stage, result, took_ms)
        broken = self.settle_attempt(active_request, result, plan)
        if result.outcome in NOTHING_RAN and server.role is Role.PREFILL:
            active_request.holders.pop(server, None)  # it ran nothing, so it left nothing
        prompt_tokens_cached = float(cached_tokens(result.usage)) if result.usage is not None else 0.0
        self.dispatch(
            messages.AttemptEnded(
                active_request.request,
                server,
                result.outcome,
                took_ms,
                active_request.is_finished,
                prompt_tokens_cached,
                result.state_lost,
                result.report,
                broken,
            )
        )
        self.forget(active_request)
        if broken:
            self.resume_streams()

    def settle_attempt(self, active_request: ActiveRequest, result: AttemptResult, plan: AttemptPlan) -> bool:
        """Settles the request where its attempt's end is its own; true where its stream waits to be resumed."""
        join = active_request.join
        if result.outcome is AttemptOutcome.STREAMED and not join.attempt_completed():
            self.finish_request(active_request, Failed(join.why))
        elif result.outcome is AttemptOutcome.STREAMED or join.stopped:
            self.settle_streamed(active_request, "stop" if join.stopped else result.finish, result.usage)
        elif result.begun:
            may_resume = not plan.cancelled and not active_request.left
            if may_resume and self.stream_resumer.attempt_failed(active_request, result):
                return True
            # Its client has part of the answer, and hears that there is no more.
            why = active_request.why if plan.cancelled else result.why or "the stream broke"
            self.finish_request(active_request, Failed(why))
        return False

"""The gateway's runtime: dispatches events to the router and executes the router's actions. It decides nothing itself.

The event loop owns the router. Sockets, timers and the endpoint list reach the router only through this module. Its
parts: `attempts` (builds requests to servers), `stream_forwarder` (sends text to the client), `attempt_recorder`
(records results of attempts), `stream_resumer` (resumes broken streams), `server_calls` (releases, reservations,
probes).
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
from ternlane.gateway.attempts import NOT_RUN_OUTCOMES, build_attempt, plan_attempt, select_stage
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
    """The requests in flight of one gateway. `on_done` is called with each request that has ended and holds nothing
    more, `within_budget` before each piece of text, `on_watch_endpoints` when the router requests that the endpoint
    list be watched."""

    def __init__(
        self,
        router: RouterProtocol,
        router_config: RouterConfig,
        transport: Transport,
        registry: EndpointRegistry,
        intake: RequestIntake,
        nursery: trio.Nursery,
        metrics: GatewayMetrics,
        log: Any,
        streams: StreamConfig | None = None,
    ) -> None:
        super().__init__(router)
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
        self.within_budget: Callable[[ActiveRequest], bool] = lambda _: True
        self.on_watch_endpoints: Callable[[], None] = lambda: None

    # -- the event loop

    def endpoints_changed(self, change: messages.EndpointsUpdated) -> None:
        """Dispatches a change of the endpoint list."""
        for server in change.servers:
            if server.status is EndpointStatus.REMOVED:
                self.stream_recovery.server_removed(server)
        self.dispatch(change)

    def alter(self, configured: ConfiguredModels) -> None:
        """Applies a changed configuration. Attempts in flight keep the old one; home pairs and learned statistics
        are kept."""
        self.router_config = configured.router_config
        self.server_calls.servers_without_load.clear()
        self.intake.configure(configured.models, configured.max_tokens)
        self.stream_recovery.alter(configured.router_config)
        self.dispatch(messages.ConfigChanged(configured.router_config))

    def execute_host_action(self, action: messages.Action) -> None:
        """Executes the actions that this gateway's transport carries out."""
        match action:
            case messages.Release(request):
                self.release_all(self.active_requests.get(request))
            case messages.WatchEndpoints():
                self.on_watch_endpoints()
            case messages.Log(server, text):
                self.log.info("server", server=self.registry.endpoints[server].ident, text=text)
            case messages.Reserve(request, server):
                active_request = self.active_requests.get(request)
                if active_request is not None:
                    self.server_calls.reserve(active_request, server)
            case messages.Probe(server):
                self.server_calls.probe(server)

    def on_timers_fired(self) -> None:
        """Closes idle connections."""
        self.transport.sweep()

    def on_fault(self, fault: Exception) -> None:
        """Logs a defect in this program; other requests continue."""
        self.log.error("fault", exc_info=fault)

    # -- requests

    def join_for(self, raw: dict[str, Any], request: messages.Request) -> StreamJoin:
        """Creates the StreamJoin of a new request, which joins the text of all its attempts."""
        return self.stream_recovery.join(raw, request)

    def arrived(self, active_request: ActiveRequest) -> None:
        """Hands an admitted request to the router."""
        active_request.admitted_ms = now_ms()
        self.idents.add(active_request.ident)
        if self.journal_writer is not None:
            self.journal_writer.record_request(active_request)
        self.add_request(active_request)
        self.metrics.open.set(len(self.active_requests))

    def client_disconnected(self, active_request: ActiveRequest) -> None:
        """Ends a request whose client has disconnected. The router then releases what servers hold for it."""
        if active_request.is_finished:
            return
        active_request.client_gone = True
        if active_request.attempt is not None and active_request.streaming:
            # The rest of the stream has no reader. An attempt that does not stream is left to the router.
            active_request.attempt.cancel()
        self.dispatch(messages.ClientDisconnected(active_request.request))
        self.close(active_request, "left")

    def finish_request(self, active_request: ActiveRequest, final: Rejected | Failed | Streamed) -> None:
        """Sets the final answer; a second one is ignored."""
        if active_request.begun and isinstance(
            final, Rejected
        ):  # part of the answer was sent, so the client can't retry
            final = Failed(active_request.why or "nobody could go on with it")
        if active_request.settle(final):
            self.close(active_request, final.recorded_as)

    def settle_streamed(self, active_request: ActiveRequest, finish: str, usage: Usage | None) -> None:
        """Sets the complete answer as the final one; `usage` is that of the last attempt."""
        join = active_request.join
        extras = active_request.extras
        self.intake.learn_answer(active_request.intake_record, extras.next_turn_message(join.text))
        total_usage = join.usage(
            active_request.reported_prompt_tokens, active_request.reported_cached_tokens, (usage or Usage()).told()
        )
        self.finish_request(
            active_request, Streamed(join.text, finish, total_usage, extras.merged() if extras else None)
        )

    def close(self, active_request: ActiveRequest, outcome: str) -> None:
        """Records the request's outcome in the journal, the metrics and the log, and drops the request if nothing
        is held for it."""
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
            took_ms=round(now_ms() - active_request.received_ms, 1),
            why=active_request.why,
        )
        self.forget(active_request)

    def forget(self, active_request: ActiveRequest) -> None:
        """Drops a request once its final answer is set, its last attempt has ended and its state is released."""
        if active_request.attempt is not None or not active_request.is_finished or active_request.holders:
            return
        if self.active_requests.pop(active_request.request, None) is not None:
            complete = isinstance(active_request.final, Streamed)
            self.stream_recovery.ended(active_request, active_request.join, complete)
            if self.stream_resumer.due_ms < inf:  # other streams wait to be resumed, perhaps for this slot
                self.resume_streams()
            self.idents.discard(active_request.ident)
            self.on_done(active_request)
        self.metrics.open.set(len(self.active_requests))

    def release_all(self, active_request: ActiveRequest | None) -> None:
        """Releases what servers hold for the request."""
        if active_request is not None:
            self.server_calls.release(active_request)
            self.forget(active_request)

    def resume_streams(self) -> None:
        """Resumes the broken streams that are due."""
        self.stream_resumer.resume()

    # -- attempts

    def start_attempt(self, active_request: ActiveRequest, server: Server, times: messages.StartAttempt) -> None:
        """Starts an attempt as a task in the nursery."""
        endpoint = self.registry.endpoints[server]
        number = active_request.attempts
        active_request.attempts += 1
        stage = select_stage(server, active_request)
        if stage is Stage.PREFILL:  # a prefill whose result is lost may have left state
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
        self, active_request: ActiveRequest, server: Server, journal_number: int | None, attempt_request: AttemptRequest
    ) -> None:
        """Runs one attempt."""
        started_ms = now_ms()
        forwarder = StreamForwarder(self, active_request, server, attempt_request.plan)
        if journal_number is not None and not await self.wait_for_journal(journal_number, attempt_request.plan):
            outcome = AttemptOutcome.CANCELLED if attempt_request.plan.cancelled else AttemptOutcome.OVERLOADED
            result = AttemptResult(outcome, why="the journal can't be kept")
        else:
            result = await self.exchange(active_request, attempt_request, forwarder)
        self.attempt_ended(
            active_request, server, attempt_request.stage, result, now_ms() - started_ms, attempt_request.plan
        )

    async def exchange(
        self, active_request: ActiveRequest, attempt_request: AttemptRequest, forwarder: StreamForwarder
    ) -> AttemptResult:
        """Sends the attempt over the transport; any exception there becomes a result."""
        try:
            if attempt_request.stage is Stage.PREFILL:
                return await self.transport.read(attempt_request)  # has the prompt prefilled
            return await self.transport.stream(attempt_request, forwarder.forward)
        except ClientGone:
            self.client_disconnected(active_request)
            return AttemptResult(AttemptOutcome.CANCELLED, begun=True, why="the client left")
        except Exception as fault:
            self.on_fault(fault)
            return AttemptResult(AttemptOutcome.ERROR, begun=active_request.streaming, why=repr(fault))

    async def wait_for_journal(self, number: int, plan: AttemptPlan) -> bool:
        """Waits until the record of this attempt is on disk; returns False if it is not in time, or the attempt was
        cancelled.

        Without the wait, a gateway that is killed could have sent an attempt with an effect and not know of it after
        its restart. During the wait the plan holds a scope of its own, so that a cancellation ends the wait.
        """
        assert self.journal_writer is not None
        attempt_scope = plan.scope
        plan.scope = trio.CancelScope(deadline=trio.current_time() + self.router_config.connect_ms / 1000)
        with plan.scope:
            await self.journal_writer.writer.wait_durable(number)
        is_durable = not plan.scope.cancelled_caught
        plan.scope = attempt_scope
        return is_durable and not plan.cancelled

    def attempt_ended(
        self,
        active_request: ActiveRequest,
        server: Server,
        stage: Stage,
        result: AttemptResult,
        took_ms: float,
        plan: AttemptPlan,
    ) -> None:
        """Records an attempt's result, gives the final answer if the request ends with it, and dispatches the result to
        the router."""
        active_request.attempt = None
        active_request.streaming = False
        self.attempt_recorder.record(active_request, server, stage, result, took_ms)
        broken = self.settle_attempt(active_request, result, plan)
        if result.outcome in NOT_RUN_OUTCOMES and server.role is Role.PREFILL:
            active_request.holders.pop(server, None)  # nothing ran, so no state is left
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
        """Gives the final answer if the request ends with this attempt. Returns True if its stream now waits to be
        resumed. If nothing has been sent to the client, the router decides what comes next."""
        join = active_request.join
        if result.outcome is AttemptOutcome.STREAMED and not join.complete_attempt():  # the text does not match
            self.finish_request(active_request, Failed(join.why))
        elif result.outcome is AttemptOutcome.STREAMED or join.stopped:  # by a stop string that spans two attempts
            self.settle_streamed(active_request, "stop" if join.stopped else result.finish, result.usage)
        elif result.begun:
            may_resume = not plan.cancelled and not active_request.client_gone
            if may_resume and self.stream_resumer.try_resume(active_request, result):
                return True
            # The client has received part of the answer, so the stream ends with an error event.
            why = active_request.why if plan.cancelled else result.why or "the stream broke"
            self.finish_request(active_request, Failed(why))
        return False

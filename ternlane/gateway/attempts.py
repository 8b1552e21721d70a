"""Builds attempts from the router's actions, and derives the token usage of their results. No I/O."""

from __future__ import annotations

from ternlane.discovery import Endpoint
from ternlane.engine import AttemptPlan, AttemptRequest, AttemptResult, Stage, cached_tokens
from ternlane.event_loop import make_start_check
from ternlane.gateway.active_request import ActiveRequest
from ternlane.policy.messages import AttemptOutcome, Role, Server, StartAttempt
from ternlane.tenants.billing import TokenUsage

NOT_RUN_OUTCOMES = (
    AttemptOutcome.OVERLOADED,
    AttemptOutcome.CONNECT_FAILED,
    AttemptOutcome.CLIENT_GONE,
    AttemptOutcome.NOT_STARTED,
)


def select_stage(server: Server, active_request: ActiveRequest) -> Stage:
    """The stage of the request that this server runs."""
    if server.role is Role.PREFILL:
        return Stage.PREFILL
    if server.role is Role.DECODE and active_request.state is not None:
        return Stage.DECODE
    return Stage.WHOLE


def plan_attempt(active_request: ActiveRequest, server: Server, endpoint: Endpoint, times: StartAttempt) -> AttemptPlan:
    """Address, time limits and start check of an attempt, which must not start once its client has left or been
    answered."""
    may_begin = make_start_check(server, times.start_within_ms, lambda: active_request.is_finished)
    return AttemptPlan(
        endpoint.address, [], b"", times.timeout_ms, times.idle_timeout_ms, times.total_timeout_ms, may_begin
    )


def build_attempt(
    active_request: ActiveRequest, endpoint: Endpoint, stage: Stage, number: int, plan: AttemptPlan
) -> AttemptRequest:
    """The request to the server. An attempt that continues a text sends another request than the first attempt, so it
    gets an idempotency key of its own: engines would otherwise drop it as a repeat."""
    join = active_request.join
    key = f"{active_request.key}.{join.failed_attempts}" if join.continues else active_request.key
    return AttemptRequest(
        endpoint.ident,
        endpoint.address,
        stage,
        active_request.ident,
        number,
        key,
        join.request_body(active_request.chat_request.raw),
        active_request.state,
        join.remaining_tokens(),
        plan,
        endpoint.line.protocol,
        join.continues,
    )


def count_tokens(stage: Stage, result: AttemptResult, pieces: int) -> TokenUsage:
    """Token usage of an attempt as the engine reported it; without a report, the number of pieces received counts."""
    usage = result.usage
    if stage is Stage.PREFILL:
        return TokenUsage(usage.prompt_tokens, cached_tokens(usage), 0) if usage is not None else TokenUsage()
    if usage is None:
        return TokenUsage(0, 0, pieces if result.begun else 0)
    if stage is Stage.DECODE:
        return TokenUsage(0, 0, usage.completion_tokens)
    return TokenUsage(usage.prompt_tokens, cached_tokens(usage), usage.completion_tokens)

"""A prefill attempt over HTTP, whose state is kept for a decode server."""

from __future__ import annotations

from ternlane.engine.attempt import AttemptPlan, AttemptResult
from ternlane.engine.http_attempt import record_rejection, run_attempt, take_connection
from ternlane.engine.http_constants import CHAT_PATH, MAX_RESPONSE_BYTES
from ternlane.engine.messages import decode_prefill_response
from ternlane.http1 import ConnectionPool
from ternlane.policy.messages import AttemptOutcome


async def prefill_attempt(pool: ConnectionPool, plan: AttemptPlan) -> AttemptResult:
    """Has a prompt prefilled. Raises nothing but an outer cancellation."""
    result = AttemptResult(AttemptOutcome.TIMED_OUT)

    async def exchange() -> None:
        """Sends the request and reads the answer."""
        connection = await take_connection(pool, plan)
        try:
            head = await connection.ask("POST", CHAT_PATH, plan.headers, plan.body)
            body = await connection.body(MAX_RESPONSE_BYTES)
            pool.give_back(connection)
        except BaseException:
            connection.close_now()
            raise
        if not record_rejection(head, result):
            record_prefill(body, result)

    return await run_attempt(plan, result, exchange)


def record_prefill(body: bytes, result: AttemptResult) -> None:
    """Records the state and the usage in a prefill server's answer. Raises msgspec.DecodeError."""
    response = decode_prefill_response(body)
    if response.kv_transfer_params is None:
        result.outcome = AttemptOutcome.ERROR
        result.why = "no kv_transfer_params in a prefill server's answer"
        return
    result.outcome = AttemptOutcome.PREFILLED
    result.state = response.kv_transfer_params
    result.usage = response.usage

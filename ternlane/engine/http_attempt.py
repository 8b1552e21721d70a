"""Common parts of attempts over HTTP: taking a connection, and deriving the outcome."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import h11
import msgspec
import trio

from ternlane.engine.attempt import AttemptPlan, AttemptResult, record_cancellation, start_timeout
from ternlane.engine.errors import AttemptNotStartedError
from ternlane.engine.http_constants import LOAD_HEADER, NOT_RUN_HEADER
from ternlane.engine.load_report import load_from_header
from ternlane.engine.rejection import classify_rejection
from ternlane.http1 import BodyTooLargeError, ClientConnection, ConnectError, ConnectionPool
from ternlane.policy.messages import AttemptOutcome
from ternlane.policy.stream_limits import StreamLimitExceededError

CONNECTION_BROKEN = (trio.BrokenResourceError, trio.ClosedResourceError, OSError)


async def take_connection(pool: ConnectionPool, plan: AttemptPlan) -> ClientConnection:
    """Takes a connection for the attempt. `plan.barred` is called after the wait for the connection, as the client may
    have disconnected or the server may drain meanwhile. Raises AttemptNotStartedError and ConnectError."""
    connection = await pool.take(plan.address)
    outcome = plan.barred()
    if outcome is None:
        return connection
    pool.give_back(connection)  # unused
    raise AttemptNotStartedError(outcome)


def record_rejection(head: h11.Response, result: AttemptResult) -> bool:
    """Records the load report in the head of an answer, and the rejection if the status is not 200; true if so."""
    headers = {name: value.decode("latin-1") for name, value in head.headers if name in (LOAD_HEADER, NOT_RUN_HEADER)}
    result.report = load_from_header(headers.get(LOAD_HEADER))
    if head.status_code == 200:
        return False
    not_run = headers.get(NOT_RUN_HEADER)
    rejection = classify_rejection(head.status_code, not_run)
    result.outcome = rejection.outcome
    result.state_lost = rejection.state_lost
    result.why = f"status {head.status_code} {not_run or ''}".strip()
    return True


async def run_attempt(
    plan: AttemptPlan, result: AttemptResult, exchange: Callable[[], Awaitable[None]]
) -> AttemptResult:
    """Runs the exchange within the plan's time limits and records its end in `result`. Raises only ClientGone and an
    outer cancellation, which are no faults of the engine."""
    start_timeout(plan)
    try:
        with plan.scope:
            await exchange()
    except AttemptNotStartedError as error:
        result.outcome = error.outcome
        result.why = str(error)
    except ConnectError as error:
        result.outcome = AttemptOutcome.CONNECT_FAILED
        result.why = str(error)
    except CONNECTION_BROKEN as error:
        result.outcome = AttemptOutcome.RESET
        result.why = repr(error)
    except (BodyTooLargeError, StreamLimitExceededError) as error:
        result.outcome = AttemptOutcome.ERROR
        result.why = f"longer than asked for: {error}"
    except h11.RemoteProtocolError as error:  # a truncated answer is a broken connection, a malformed one an error
        result.outcome = AttemptOutcome.RESET if "closed" in str(error) else AttemptOutcome.ERROR
        result.why = str(error)
    except (msgspec.DecodeError, UnicodeDecodeError, ValueError, RecursionError) as error:
        result.outcome = AttemptOutcome.ERROR
        result.why = f"not understood: {error}"
    record_cancellation(plan, result)
    return result

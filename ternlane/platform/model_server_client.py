"""Calls to model servers: attempts, releases, reservations and load probes.

The router decides on servers, timeouts and retries; the runtime passes its decisions to this client.
"""

from __future__ import annotations

from collections.abc import Iterable, Set
from dataclasses import dataclass
from itertools import islice
from math import inf

import h11
import trio

from ternlane.deployment import Deployment
from ternlane.http1 import (
    BodyTooLargeError,
    ClientConnection,
    ConnectError,
    ConnectionPool,
    ReadTimeout,
    extend_deadline,
)
from ternlane.platform.answer_order import AnswerOrder
from ternlane.platform.attempt import AttemptResult, ModelServerAttempt, ResponseWriter
from ternlane.platform.errors import NOT_STARTED_REASONS, AttemptNotStartedError, ClientDisconnectedError
from ternlane.platform.event_stream import EventStreamParser
from ternlane.platform.protocol import (
    LEASE_PATH,
    LOAD_HEADER,
    NOT_STARTED_HEADER,
    STATS_PATH,
    classify_response,
    parse_cached_tokens,
    parse_load_report,
)
from ternlane.policy.messages import AttemptOutcome, Report
from ternlane.policy.stream_limits import StreamLimitExceededError, StreamMeter

CONNECTION_ERRORS = (trio.BrokenResourceError, trio.ClosedResourceError, OSError)
# Rounds of calls within one release time, and the most calls in one round: a server that does not answer delays a
# release by an eighth of that time.
RELEASE_ROUNDS = 8
# The most servers that one release calls.
MAX_RELEASE_SERVERS = 48
# With this many release calls in flight, a release calls only one server and those that are answering, so that releases
# do not overload the servers.
MAX_RELEASE_CALLS = 64
# Size limit of an answer that is no stream.
MAX_BODY_BYTES = 65536
# A corrupt answer of a model server may be followed by a second one some milliseconds later. On a connection that is
# reused sooner, the second one would be taken for the answer to the next request; within this time it is noticed, and
# the connection closed. Long compared with network delays, short compared with the time between requests to one server.
REUSE_DELAY_MS = 50.0


@dataclass(slots=True, frozen=True)
class CallResult:
    """How a control call ended; `status` 0 if no answer arrived. `load` is the header with the load report, if any."""

    outcome: AttemptOutcome
    status: int = 0
    load: str | None = None
    body: bytes = b""


class ModelServerClient:
    """All calls to model servers, over one connection pool."""

    def __init__(self, pool: ConnectionPool, deployment: Deployment) -> None:
        self.pool = pool
        self.deployment = deployment
        self.answer_order = AnswerOrder()
        self.release_calls = 0  # in flight

    def record_answer(self, address: str) -> None:
        """Records that this server has just answered a call."""
        self.answer_order.record_answer(address, trio.current_time())

    def forget(self, handed_over: Set[str], listed: Set[str]) -> None:
        """Drops connections and answer times: those at addresses that were handed over, which may lead to another
        server than the listed one, and those at addresses that are not listed."""
        known = self.answer_order.answered_at_s.keys() | self.pool.idle.keys()
        for address in handed_over | (known - listed):
            self.pool.forget(address)
            self.answer_order.forget(address)

    # -- attempts

    async def run(self, attempt: ModelServerAttempt, response_writer: ResponseWriter) -> AttemptResult:
        """Runs an attempt to its end. Raises only ClientDisconnectedError and cancellations from outside."""
        result = AttemptResult()
        connection: ClientConnection | None = None
        complete = False  # the connection can be reused
        attempt.scope.deadline = min(attempt.scope.deadline, attempt.answer_by_s)
        try:
            with attempt.scope:
                connection = await self.pool.take(attempt.address, REUSE_DELAY_MS)
                await self._start(attempt, connection)
                complete = await self._read_response(attempt, connection, response_writer, result)
        except ClientDisconnectedError:
            raise
        except AttemptNotStartedError as error:  # nothing was sent, so the connection can be reused
            complete = True
            result.outcome = error.outcome
            result.why = str(error)
        except Exception as error:
            self._record_failure(attempt, result, error)
        finally:
            if connection is not None and complete:
                self.pool.give_back(connection)
            elif connection is not None:
                connection.close_now()
        if attempt.scope.cancelled_caught and not complete:
            self._record_cancellation(attempt, result)
        return result

    async def _start(self, attempt: ModelServerAttempt, connection: ClientConnection) -> None:
        """Writes the request. Every attempt starts here, after its waits for a connection and a release.

        Raises AttemptNotStartedError, or ConnectError if the connection breaks before the request is written.
        """
        forbidden = attempt.start_check()
        if forbidden is not None:
            raise AttemptNotStartedError(forbidden)
        left_s = max(0.0, attempt.answer_by_s - trio.current_time())
        headers = [
            ("Request-Id", attempt.request_id),
            ("Request-Timeout", f"{left_s:.3f}"),
            ("Content-Type", "application/json"),
        ]
        await connection.send_request(attempt.method, attempt.target, headers, attempt.body)
        attempt.written_at_s = trio.current_time()
        attempt.body = b""  # no longer needed, and would be held for as long as the answer is streamed
        attempt.scope.deadline = inf  # reads have their own deadline, at which bytes that have arrived are still read
        connection.set_read_deadline(attempt.answer_by_s)

    async def _read_response(
        self,
        attempt: ModelServerAttempt,
        connection: ClientConnection,
        response_writer: ResponseWriter,
        result: AttemptResult,
    ) -> bool:
        """Reads the answer into `result`. Returns True once its last byte has been read."""
        head = await connection.read_head()
        self.record_answer(attempt.address)
        headers = {name: value.decode("latin-1") for name, value in head.headers}
        result.report = parse_load_report(headers.get(LOAD_HEADER), self.deployment)
        response = classify_response(head.status_code, headers.get(NOT_STARTED_HEADER) == "1", attempt.role)
        if response.outcome is None:
            connection.limit_body(attempt.stream_limits.max_bytes)
            return await self.forward_stream(attempt, connection, response_writer, result)
        body = await connection.body(MAX_BODY_BYTES)
        result.outcome = response.outcome
        result.state_lost = response.state_lost
        if response.outcome is AttemptOutcome.PREFILLED:
            result.cached_tokens = parse_cached_tokens(body)
        else:
            result.why = f"status {head.status_code}"
        return True

    async def forward_stream(
        self,
        attempt: ModelServerAttempt,
        connection: ClientConnection,
        response_writer: ResponseWriter,
        result: AttemptResult,
    ) -> bool:
        """Forwards a decode server's events as they arrive. Returns True once the last chunk has been read.

        Raises ReadTimeout, ClientDisconnectedError, BodyTooLargeError and StreamLimitExceededError if the answer is
        longer than what was asked for, and ValueError if it is not a valid stream of events.
        """
        parser = EventStreamParser()
        meter = StreamMeter(attempt.stream_limits, trio.current_time())
        async for piece in connection.chunks():
            events = parser.feed(piece)
            connection.kept_bytes = parser.held_bytes
            received_s = trio.current_time()
            meter.count(parser.event_count - meter.events, received_s)
            if not events:
                continue
            # An attempt that is cancelled by now must not send the client anything.
            await extend_deadline(attempt.scope, inf)
            is_first = not result.begun
            result.begun = True
            try:
                await (response_writer.write_first_events(events) if is_first else response_writer.write_events(events))
            except CONNECTION_ERRORS:
                raise ClientDisconnectedError from None
            written_s = trio.current_time()
            meter.exclude(written_s - received_s)
            connection.set_read_deadline(meter.silent_at_s(written_s, attempt.idle_timeout_ms))
        if not parser.done:
            raise ValueError("the stream ended before its last event")
        result.outcome = AttemptOutcome.STREAMED
        result.cached_tokens = parser.cached_tokens
        result.report = parse_load_report(parser.load, self.deployment) or result.report
        self.record_answer(attempt.address)
        return True

    def _record_failure(self, attempt: ModelServerAttempt, result: AttemptResult, error: Exception) -> None:
        """Sets the outcome for an exception. Reraises one that is a programming error."""
        match error:
            case ReadTimeout():
                result.outcome = AttemptOutcome.TIMED_OUT
                result.why = "silent within the stream" if result.begun else "no answer in time"
            case ConnectError():
                self.answer_order.forget(attempt.address)
                result.outcome = AttemptOutcome.CONNECT_FAILED
                result.why = str(error)
            case trio.BrokenResourceError() | trio.ClosedResourceError() | OSError():
                result.outcome = AttemptOutcome.RESET
                result.why = repr(error)
            case BodyTooLargeError() | StreamLimitExceededError():
                result.outcome = AttemptOutcome.ERROR
                result.why = f"longer than asked for: {error}"
                result.exceeded_limits = True
            case h11.RemoteProtocolError():  # a truncated answer is a broken connection, a corrupt one an error
                is_truncated = "closed" in str(error)
                result.outcome = AttemptOutcome.RESET if is_truncated else AttemptOutcome.ERROR
                result.why = f"spoilt: {str(error)[:200]}"
            case ValueError():
                result.outcome = AttemptOutcome.ERROR
                result.why = f"spoilt: {str(error)[:200]}"
            case _:
                raise error

    def _record_cancellation(self, attempt: ModelServerAttempt, result: AttemptResult) -> None:
        """Sets the outcome of an attempt whose scope was cancelled: by its timeout while it was written, or by the
        router."""
        if attempt.written:
            result.outcome = AttemptOutcome.CANCELLED if attempt.cancelled else AttemptOutcome.TIMED_OUT
            return
        forbidden = attempt.start_check()
        if forbidden is not None:  # the server is not at fault
            result.outcome = forbidden
            result.why = NOT_STARTED_REASONS[forbidden]
        else:  # the request was never complete, so nothing can have run
            result.outcome = AttemptOutcome.CONNECT_FAILED
            result.why = "given up before all was written"

    # -- control calls

    async def call(self, address: str, method: str, target: str, within_ms: float) -> CallResult:
        """Makes a call without a body. Server errors are outcomes, not exceptions; STREAMED means any answer."""
        connection: ClientConnection | None = None
        try:
            with trio.move_on_after(within_ms / 1000):
                connection = await self.pool.take(address)
                head = await connection.ask(method, target, [])
                body = await connection.body(MAX_BODY_BYTES)
                load = next((value.decode("latin-1") for name, value in head.headers if name == LOAD_HEADER), None)
                self.record_answer(address)
                self.pool.give_back(connection)
                connection = None
                return CallResult(AttemptOutcome.STREAMED, head.status_code, load, body)
        except ConnectError:
            self.answer_order.forget(address)
            return CallResult(AttemptOutcome.CONNECT_FAILED)
        except (h11.RemoteProtocolError, *CONNECTION_ERRORS):
            return CallResult(AttemptOutcome.RESET)
        finally:
            if connection is not None:  # also when cancelled because another server has confirmed the release
                connection.close_now()
        return CallResult(AttemptOutcome.TIMED_OUT)

    async def reserve(self, address: str, request_id: str, within_ms: float) -> bool:
        """Reserves capacity for a request. Returns whether the server has confirmed it."""
        result = await self.call(address, "POST", LEASE_PATH + request_id, within_ms)
        return result.status == 200

    async def probe_load(self, address: str, within_ms: float) -> tuple[AttemptOutcome, Report | None]:
        """Probes a server's load: the outcome of the call, and the load report if it is valid."""
        result = await self.call(address, "GET", STATS_PATH, within_ms)
        outcome = result.outcome
        if outcome is AttemptOutcome.STREAMED and result.status != 200:
            outcome = AttemptOutcome.ERROR
        text = result.body.decode("latin-1").strip().removeprefix("Server-Load:").strip()
        report = parse_load_report(result.load, self.deployment) or parse_load_report(text, self.deployment)
        return outcome, report

    # -- releases

    async def release(self, request_id: str, addresses: Iterable[str], within_ms: float) -> str | None:
        """Releases all state held for a request, at whichever server: any running server forwards the release.

        Returns the address of the server that confirmed it, if any. The server that answered last is called first, then
        each round calls twice as many of the next servers: silent, busy or faulty servers must not delay the release,
        even if they are most of the fleet.
        """
        began = trio.current_time()
        called: dict[str, None] = {}
        confirmed_by: list[str] = []
        servers = list(islice(addresses, MAX_RELEASE_SERVERS))
        rounds = RELEASE_ROUNDS if servers or self.answer_order.answered_at_s else 0
        with trio.move_on_after(within_ms / 1000):
            async with trio.open_nursery() as nursery:

                async def ask(address: str) -> None:
                    if await self._release_at(address, request_id, within_ms):
                        confirmed_by.append(address)
                        nursery.cancel_scope.cancel()

                for nth in range(rounds):
                    self.answer_order.demote_silent(called, began)
                    for address in self._next_to_call(called, servers, min(2**nth, RELEASE_ROUNDS)):
                        is_responsive = self.answer_order.has_answered_since(address, began)
                        if nth == 0 or self.release_calls < MAX_RELEASE_CALLS or is_responsive:
                            called[address] = None
                            nursery.start_soon(ask, address)
                    await trio.sleep(within_ms / RELEASE_ROUNDS / 1000)
        return confirmed_by[-1] if confirmed_by else None

    async def _release_at(self, address: str, request_id: str, within_ms: float) -> bool:
        self.release_calls += 1
        try:
            result = await self.call(address, "DELETE", LEASE_PATH + request_id, within_ms)
        finally:
            self.release_calls -= 1
        return result.status == 204

    def _next_to_call(self, called: dict[str, None], servers: list[str], most: int) -> list[str]:
        """Returns the next servers to call, the latest to answer first; starts over once all have been called."""
        order = self.answer_order.latest_first(servers, MAX_RELEASE_SERVERS)
        not_called = [address for address in order if address not in called]
        return (not_called or order)[:most]

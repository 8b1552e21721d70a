"""Legs to readers and writers, what is released, places held ahead and probes, over sockets.

It decides nothing: where to, for how long and what then come from the decisions by way of the node.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from itertools import islice
from math import inf
from typing import Awaitable, Iterable, Protocol

import h11
import trio

from ternlane.deployment import Deployment
from ternlane.http1 import ClientConnection, ConnectionPool, ReadTimeout, ConnectError, keep_open
from ternlane.platform.protocol import LEASE_PATH, LOAD, NOT_STARTED, STATS_PATH, Events, kept_of, load_of, outcome_of
from ternlane.policy.messages import Role, Report, AttemptOutcome
from ternlane.event_loop import StartCheck, always_allowed

BROKEN = (trio.BrokenResourceError, trio.ClosedResourceError, OSError)
RELEASE_ROUNDS = 8  # of servers asked within one release time; this many at most in one round
RELEASE_SERVERS = 48  # asked by one release at most
RELEASE_CALLS = 64  # out at once, beyond which a release asks one server only, or such as answer: no storm of them
PLAIN_BYTES = 65536  # of an answer that is no stream
# A spoilt answer may be followed by another some milliseconds later (users' page). On a connection that is used again
# sooner, that one would be taken for the answer to the next request; within this time it is seen, and the connection
# closed. Long against a network's delays, short against the time between two requests to one server.
REST_MS = 50.0


WHY_BARRED = {
    AttemptOutcome.CLIENT_GONE: "the client left before it was sent",
    AttemptOutcome.NOT_STARTED: "its server drains, or its time to begin is over",
}


class ClientGone(Exception):
    """The client's side broke while the answer was passed on; says nothing of the engine."""


class Barred(Exception):
    """The attempt must not begin any more."""

    def __init__(self, outcome: AttemptOutcome) -> None:
        super().__init__(WHY_BARRED[outcome])
        self.outcome = outcome


@dataclass(slots=True, eq=False)
class Attempt:
    """One leg's way out: the request as the client sent it, to which address, for how long."""

    address: str
    role: Role
    method: str
    target: str
    ident: str
    body: bytes
    last_by: float  # by trio's clock: a read's answer, or a first token, that comes later is not waited for
    idle_timeout_ms: float
    barred: StartCheck = always_allowed
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    release_wait: trio.CancelScope = field(default_factory=trio.CancelScope)  # for what was held before
    cancelled: bool = False
    written_at: float | None = None  # when its last byte was, by trio's clock: from then on it may run

    @property
    def written(self) -> bool:
        return self.written_at is not None

    def cancel(self) -> None:
        self.cancelled = True
        self.release_wait.cancel()
        self.scope.cancel()


@dataclass(slots=True)
class AttemptResult:
    outcome: AttemptOutcome = AttemptOutcome.TIMED_OUT
    begun: bool = False  # the client has its first event
    kept: float = 0.0
    state_lost: bool = False
    report: Report | None = None
    why: str = ""


class ResponseWriter(Protocol):
    """Where a stream's bytes go. Raises trio.BrokenResourceError once the client has gone."""

    def first(self, data: bytes) -> Awaitable[None]: ...

    def more(self, data: bytes) -> Awaitable[None]: ...


class Engines:
    """All model servers' sockets."""

    def __init__(self, pool: ConnectionPool, deployment: Deployment) -> None:
        self.pool, self.deployment = pool, deployment
        # When each address last answered, the latest at the end but for those that owe a release its answer.
        self.pending_events: OrderedDict[str, float] = OrderedDict()
        self.release_calls = 0  # that are out

    async def run(self, attempt: Attempt, response_writer: ResponseWriter) -> AttemptResult:
        """Never raises but for an outer cancellation, and ClientGone."""
        end, caller, whole = AttemptResult(), None, False
        attempt.scope.deadline = min(attempt.scope.deadline, attempt.last_by)
        try:
            with attempt.scope:
                caller = await self.pool.take(attempt.address, REST_MS)
                await self.begin(attempt, caller)
                head = await caller.read_head()
                self.has_answered(attempt.address)
                said = {name: value.decode("latin-1") for name, value in head.headers}
                end.report = load_of(said.get(LOAD), self.deployment)
                outcome = outcome_of(head.status_code, said.get(NOT_STARTED) == "1", attempt.role)
                if outcome.outcome is None:
                    whole = await self.stream(attempt, caller, response_writer, end)
                else:
                    body = await caller.body(PLAIN_BYTES)
                    whole = True
                    end.outcome, end.state_lost = outcome.outcome, outcome.state_lost
                    end.kept = kept_of(body) if outcome.outcome is AttemptOutcome.PREFILLED else 0.0
                    end.why = "" if outcome.outcome is AttemptOutcome.PREFILLED else f"status {head.status_code}"
        except ClientGone:
            raise
        except Barred as why:  # the connection, on which nothing was asked, serves the next one
            whole, end.outcome, end.why = True, why.outcome, str(why)
        except ReadTimeout:
            end.outcome, end.why = (
                AttemptOutcome.TIMED_OUT,
                "silent within the stream" if end.begun else "no answer in time",
            )
        except ConnectError as why:
            self.pending_events.pop(attempt.address, None)
            end.outcome, end.why = AttemptOutcome.CONNECT_FAILED, str(why)
        except BROKEN as why:
            end.outcome, end.why = AttemptOutcome.RESET, repr(why)
        except h11.RemoteProtocolError as why:  # a torn answer is a broken connection, a spoilt one an error
            end.outcome = AttemptOutcome.RESET if "closed" in str(why) else AttemptOutcome.ERROR
            end.why = f"spoilt: {str(why)[:200]}"
        except ValueError as why:
            end.outcome, end.why = AttemptOutcome.ERROR, f"spoilt: {str(why)[:200]}"
        finally:
            if caller is not None and whole:
                self.pool.give_back(caller)
            elif caller is not None:
                caller.close_now()
        if attempt.scope.cancelled_caught and not whole:
            self.given_up(attempt, end)
        return end

    async def begin(self, attempt: Attempt, caller: ClientConnection) -> None:
        """Writes the request. Here attempts begin, and nowhere else: after every wait for a connection or a release.
        Raises Barred or Unconnected."""
        barred = attempt.barred()
        if barred is not None:
            raise Barred(barred)
        left_s = max(0.0, attempt.last_by - trio.current_time())
        await caller.send_request(
            attempt.method,
            attempt.target,
            [("Request-Id", attempt.ident), ("Request-Timeout", f"{left_s:.3f}"), ("Content-Type", "application/json")],
            attempt.body,
        )
        attempt.written_at = trio.current_time()
        attempt.scope.deadline = inf  # from here on reads end by themselves, not without what has arrived by then
        caller.expect_by(attempt.last_by)

    def given_up(self, attempt: Attempt, end: AttemptResult) -> None:
        """How an attempt ended whose scope was cancelled: by its time limit while it was not written yet, or called
        off."""
        barred = attempt.barred()
        if attempt.written:
            end.outcome = AttemptOutcome.CANCELLED if attempt.cancelled else AttemptOutcome.TIMED_OUT
        elif barred is not None:  # no fault of the server's
            end.outcome, end.why = barred, WHY_BARRED[barred]
        else:  # its last byte never left: nothing can have run
            end.outcome, end.why = AttemptOutcome.CONNECT_FAILED, "given up before all was written"

    async def stream(
        self, attempt: Attempt, caller: ClientConnection, response_writer: ResponseWriter, end: AttemptResult
    ) -> bool:
        """Passes a writer's events on as they came. True once the last chunk has come. Raises Silent, ClientGone, and
        ValueError for what is no stream of events."""
        events = Events()
        async for piece in caller.chunks():
            ready = events.feed(piece)
            if ready and (end.begun or events.begun):
                await keep_open(attempt.scope, inf)  # called off in this very moment: the client is given nothing
                first, end.begun = not end.begun, True
                try:
                    await (response_writer.first(ready) if first else response_writer.more(ready))
                except BROKEN:
                    raise ClientGone from None
                # Counted from here: a client that takes its bytes slowly is not the server's silence.
                caller.expect_by(trio.current_time() + attempt.idle_timeout_ms / 1000)
            elif ready:
                events.put_back(ready)
        if not events.done:
            raise ValueError("the stream ended before its last event")
        end.outcome, end.kept = AttemptOutcome.STREAMED, events.kept
        end.report = load_of(events.load, self.deployment) or end.report
        self.has_answered(attempt.address)
        return True

    async def ask(
        self, address: str, method: str, target: str, within_ms: float
    ) -> tuple[AttemptOutcome, int, str | None, bytes]:
        """A small call: how it went, the status, the load that came along and the body."""
        caller, outcome = None, AttemptOutcome.TIMED_OUT
        try:
            with trio.move_on_after(within_ms / 1000):
                caller = await self.pool.take(address)
                head = await caller.ask(method, target, [])
                body = await caller.body(PLAIN_BYTES)
                said = next((v.decode("latin-1") for n, v in head.headers if n == LOAD), None)
                self.has_answered(address)
                self.pool.give_back(caller)
                caller = None
                return AttemptOutcome.STREAMED, head.status_code, said, body
        except ConnectError:
            self.pending_events.pop(address, None)
            outcome = AttemptOutcome.CONNECT_FAILED
        except (h11.RemoteProtocolError, *BROKEN):
            outcome = AttemptOutcome.RESET
        finally:
            if caller is not None:  # also when called off, as another server has heard it
                caller.close_now()
        return outcome, 0, None, b""

    async def release(self, ident: str, addresses: Iterable[str], within_ms: float) -> str | None:
        """Releases all that is held for a request, wherever: any running server passes it on. Returns the address of
        the one that has heard it, if any. The server that answered last is asked first, then in each round twice as
        many of the next ones: neither one that is silent, busy or spoils its answers, nor most of a fleet, must hold it
        up."""
        heard_by: str | None = None
        began = trio.current_time()

        async def one(address: str, cancel: trio.CancelScope) -> None:
            nonlocal heard_by
            self.release_calls += 1
            try:
                _, status, _, _ = await self.ask(address, "DELETE", LEASE_PATH + ident, within_ms)
            finally:
                self.release_calls -= 1
            if status == 204:
                heard_by = address
                cancel.cancel()

        asked: dict[str, None] = {}
        servers = list(islice(addresses, RELEASE_SERVERS))
        with trio.move_on_after(within_ms / 1000):
            async with trio.open_nursery() as nursery:
                for turn in range(RELEASE_ROUNDS if servers or self.pending_events else 0):
                    self.demote(asked, began)
                    next_ones = self.not_asked(asked, servers, min(2**turn, RELEASE_ROUNDS))
                    for address in next_ones:
                        if (
                            turn == 0
                            or self.release_calls < RELEASE_CALLS
                            or self.pending_events.get(address, 0.0) > began
                        ):
                            asked[address] = None
                            nursery.start_soon(one, address, nursery.cancel_scope)
                    await trio.sleep(within_ms / RELEASE_ROUNDS / 1000)
        return heard_by

    def not_asked(self, asked: dict[str, None], servers: list[str], most: int) -> list[str]:
        """The next servers to ask, the one that answered last first; all over again once each has been asked."""
        order = self.by_last_answer(servers, RELEASE_SERVERS)
        fresh = [address for address in order if address not in asked]
        return (fresh or order)[:most]

    def demote(self, asked: Iterable[str], since: float) -> None:
        """Puts servers last that have answered nothing since they were asked, for whoever releases next."""
        for address in asked:
            if self.pending_events.get(address, since) < since:
                self.pending_events.move_to_end(address, last=False)

    def has_answered(self, address: str) -> None:
        self.pending_events[address] = trio.current_time()
        self.pending_events.move_to_end(address)

    def by_last_answer(self, addresses: Iterable[str], most: int) -> list[str]:
        """So many addresses at most: first those that have answered, the latest first, then any others."""
        order = list(islice(reversed(self.pending_events), most))
        if len(order) < most:
            others = (address for address in addresses if address not in self.pending_events)
            order += islice(others, most - len(order))
        return order

    async def hold(self, address: str, ident: str, within_ms: float) -> bool:
        _, status, _, _ = await self.ask(address, "POST", LEASE_PATH + ident, within_ms)
        return status == 200

    async def load(self, address: str, within_ms: float) -> tuple[AttemptOutcome, Report | None]:
        outcome, status, said, body = await self.ask(address, "GET", STATS_PATH, within_ms)
        if outcome is AttemptOutcome.STREAMED and status != 200:
            outcome = AttemptOutcome.ERROR
        text = body.decode("latin-1").strip()
        return outcome, load_of(said, self.deployment) or load_of(
            text.removeprefix("Server-Load:").strip(), self.deployment
        )

    def known(self, addresses: list[str]) -> None:
        """Forgets what is no longer among these."""
        for address in (self.pending_events.keys() | self.pool.idle.keys()) - set(addresses):
            self.pool.forget(address)
            self.pending_events.pop(address, None)

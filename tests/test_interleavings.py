"""Random interleavings of clients, model servers, discovery and operators, checked by the traffic on the sockets.

Hypothesis draws a script of steps; every model server holds each request until a step releases it. At the end all gates
are opened and the rules are checked: one answer for each client that stayed connected, no effect twice and none after a
rejection, no attempt at a draining server, none begun for clients that had disconnected, and no state held. A failing
script is shrunk and added as an example.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import Any, cast

import trio
import trio.testing
from hypothesis import example, given, settings
from hypothesis import strategies as st

from ternlane.policy.messages import EndpointStatus
from tests.platform_gateway import PLATFORM_SETTINGS, Platform, platform
from tests.race_helpers import RawClient, StepGate, client_request, wait_until

LONG_TIMEOUTS = PLATFORM_SETTINGS | {
    "limits": PLATFORM_SETTINGS["limits"] | {"connect_timeout": 2000.0},
    "profiles": [profile | {"aim": 5000.0, "deadline": 20e3} for profile in PLATFORM_SETTINGS["profiles"]],
}  # so that no time-out expires and only the steps decide
SERVERS = ("r0", "r1", "w0", "w1")
FAULTS = ["", "", "", "full_503", "gone_410", "opening_cut", "status_500", "later_cut", "noise", "second_answer"]
STEPS = st.one_of(
    st.tuples(st.just("ask"), st.sampled_from(["summary", "note"])),
    st.tuples(st.just("send part"), st.integers(1, 400)),
    st.tuples(st.just("send rest"), st.integers(0, 9)),
    st.tuples(st.just("disconnect"), st.integers(0, 9), st.sampled_from(["close", "half-close", "reset"])),
    st.tuples(st.just("release one"), st.sampled_from(SERVERS), st.integers(0, 9)),
    st.tuples(st.just("drain"), st.sampled_from(SERVERS)),
    st.tuples(st.just("serve again"), st.sampled_from(SERVERS)),
    st.tuples(st.just("watch resets")),
    st.tuples(st.just("close idle")),
    st.tuples(st.just("shutdown")),
)


@dataclass(eq=False)
class ClientRequest:
    """A request and what its client has sent and received."""

    client: RawClient
    ident: str
    request_class: str
    rest: bytes = b""  # the part of the request that is not sent yet
    disconnected: bool = False
    answer: bytes = b""


@dataclass(eq=False)
class ScriptRun:
    """The execution of one script."""

    p: Platform
    requests: list[ClientRequest] = field(default_factory=list)
    # By server: the number of attempts received when its drain took effect.
    draining_servers: dict[str, int] = field(default_factory=dict)
    attempts_at_disconnect: dict[str, int] = field(default_factory=dict)
    gateway_draining: bool = False

    def attempts(self, server: str) -> int:
        return sum(name == server and kind in ("read", "write") for name, kind, _ in self.p.fleet.seen)

    def attempts_for(self, ident: str) -> int:
        return sum(seen == ident and kind in ("read", "write") for _, kind, seen in self.p.fleet.seen)

    async def step(self, step: tuple[Any, ...]) -> None:
        await cast(Any, getattr(self, "do_" + step[0].replace(" ", "_")))(*step[1:])
        await trio.testing.wait_all_tasks_blocked()

    async def do_ask(self, request_class: str) -> ClientRequest | None:
        if self.gateway_draining:
            return None
        data = client_request(self.p, Request_Class=request_class, Request_Timeout="15")
        request = ClientRequest(RawClient(self.p.address), f"{self.p.request_count:016x}", request_class)
        request.client.send(data)
        self.requests.append(request)
        return request

    async def do_send_part(self, at: int) -> None:
        if not self.gateway_draining:
            data = client_request(self.p, Request_Timeout="15")
            request = ClientRequest(RawClient(self.p.address), f"{self.p.request_count:016x}", "summary", data[at:])
            request.client.send(data[:at])
            self.requests.append(request)

    async def do_send_rest(self, nth: int) -> None:
        incomplete = [request for request in self.requests if request.rest and not request.disconnected]
        if incomplete:
            request = incomplete[nth % len(incomplete)]
            request.client.send(request.rest)
            request.rest = b""

    async def do_disconnect(self, nth: int, how: str) -> None:
        connected = [request for request in self.requests if not request.disconnected]
        if connected:
            request = connected[nth % len(connected)]
            request.disconnected = True
            request.client.disconnect(how)
            idents = self.p.gateway.runtime.requests_by_id
            await wait_until(lambda: request.ident not in idents or idents[request.ident].is_finished)
            self.attempts_at_disconnect[request.ident] = self.attempts_for(request.ident)

    async def do_release_one(self, server: str, nth: int) -> None:
        cast(StepGate, self.p.servers[server].gates["request"]).release_one(nth)

    async def put(self, server: str, listed_status: str, status: EndpointStatus) -> None:
        kind = "reader" if server[0] == "r" else "writer"
        self.p.discovery.put(server, self.p.servers[server].address, kind, listed_status)
        await wait_until(lambda: self.p.gateway.runtime.endpoint_registry.servers[server].status is status)

    async def do_drain(self, server: str) -> None:
        if server not in self.draining_servers:
            await self.put(server, "DRAINING", EndpointStatus.DRAINING)
            await trio.testing.wait_all_tasks_blocked()
            self.draining_servers[server] = self.attempts(server)

    async def do_serve_again(self, server: str) -> None:
        if server in self.draining_servers:
            assert self.attempts(server) == self.draining_servers.pop(server), server
            await self.put(server, "SERVING", EndpointStatus.READY)

    async def do_watch_resets(self) -> None:
        for stream in list(self.p.discovery.conns):
            stream.socket.close()

    async def do_close_idle(self) -> None:
        self.p.gateway.chat_server.close_longest_idle()  # a connection with a begun request must not be closed

    async def do_shutdown(self) -> None:
        if not self.gateway_draining:
            self.gateway_draining = True
            self.p.gateway.begin_drain()

    async def finish(self) -> None:
        """Sends the remaining parts of requests, opens every gate, and checks the rules."""
        for request in self.requests:
            if request.rest and not request.disconnected:
                request.client.send(request.rest)
        for server in self.p.servers.values():
            cast(StepGate, server.gates["request"]).open()
        for request in self.requests:
            if not request.disconnected:
                request.answer = await request.client.answer()
        await self.p.wait_until_idle()  # no request is open and no state held
        run_counts = Counter(self.p.fleet.run_counts)
        for request in self.requests:
            if request.disconnected:
                assert self.attempts_for(request.ident) == self.attempts_at_disconnect[request.ident], request.ident
                continue
            status_code = request.answer[9:12]
            assert status_code in (b"200", b"502", b"503"), request.answer
            if request.request_class == "note":
                assert request.ident not in self.p.fleet.repeated_after_run and (
                    status_code != b"503" or not run_counts[request.ident]
                )
        for server, before in self.draining_servers.items():
            assert self.attempts(server) == before, server


async def play(steps: list[tuple[Any, ...]], prefills: list[str], decodes: list[str]) -> None:
    """Runs the steps; `prefills` and `decodes` are the faults of the first attempts of each kind, used from the end."""
    faults = {"read": list(prefills), "write": list(decodes)}
    async with platform(*SERVERS, platform_settings=LONG_TIMEOUTS) as p:
        for server in p.servers.values():
            server.gates["request"] = cast(Any, StepGate())
            server.fault_of = lambda _, remaining=faults[server.role]: remaining.pop() if remaining else ""  # type: ignore[misc]
        script_run = ScriptRun(p)
        for step in steps:
            await script_run.step(step)
        await script_run.finish()


@settings(max_examples=40, deadline=None, derandomize=True, database=None)
@given(
    st.lists(STEPS, min_size=2, max_size=14),
    st.lists(st.sampled_from(FAULTS), max_size=3),
    st.lists(st.sampled_from(FAULTS), max_size=4),
)
@example(steps=[("ask", "note")], prefills=[], decodes=["opening_cut", "opening_cut"])
@example(steps=[("send part", 40), ("close idle",), ("shutdown",)], prefills=[], decodes=[])
def test_no_order_of_events_breaks_a_rule(
    steps: list[tuple[Any, ...]], prefills: list[str], decodes: list[str]
) -> None:
    trio.run(play, steps, prefills, decodes)

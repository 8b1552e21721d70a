"""Random orders of what clients, model servers, discovery and the operators do, judged by what crossed the sockets.

Hypothesis draws a script of steps; every model server holds each request until a step lets it go on. At the end all
that holds is opened, and the rules are checked: one answer for each client that stayed, no effect twice and none behind
a rejection, nothing to a server that the gateway had been told to leave alone, nothing begun for clients that had left,
and nothing held at the end. What fails shrinks to a short script, which becomes a test by name.
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
from tests.race_helpers import RawClient, Turnstile, client_request, wait_until

PATIENT = PLATFORM_SETTINGS | {
    "limits": PLATFORM_SETTINGS["limits"] | {"connect_timeout": 2000.0},
    "profiles": [one | {"aim": 5000.0, "deadline": 20e3} for one in PLATFORM_SETTINGS["profiles"]],
}  # so that no time-out plays a part: the steps decide
SERVERS = ("r0", "r1", "w0", "w1")
WAYS = ["", "", "", "full_503", "gone_410", "opening_cut", "status_500", "later_cut", "noise", "second_answer"]
STEPS = st.one_of(
    st.tuples(st.just("ask"), st.sampled_from(["summary", "note"])),
    st.tuples(st.just("half"), st.integers(1, 400)),
    st.tuples(st.just("rest"), st.integers(0, 9)),
    st.tuples(st.just("leave"), st.integers(0, 9), st.sampled_from(["close", "half-close", "reset"])),
    st.tuples(st.just("go on"), st.sampled_from(SERVERS), st.integers(0, 9)),
    st.tuples(st.just("drain"), st.sampled_from(SERVERS)),
    st.tuples(st.just("back"), st.sampled_from(SERVERS)),
    st.tuples(st.just("watch resets")),
    st.tuples(st.just("displace")),
    st.tuples(st.just("shutdown")),
)


@dataclass(eq=False)
class Asked:
    """A request, and what its client has of it."""

    client: RawClient
    ident: str
    request_class: str
    rest: bytes = b""  # of the request, not sent yet
    left: bool = False
    answer: bytes = b""


@dataclass(eq=False)
class Play:
    """One script being played."""

    p: Platform
    asked: list[Asked] = field(default_factory=list)
    told_to_leave_alone: dict[str, int] = field(default_factory=dict)  # requests that it had got by then
    attempts_when_left: dict[str, int] = field(default_factory=dict)
    ending: bool = False

    def attempts(self, server: str) -> int:
        return sum(name == server and kind in ("read", "write") for name, kind, _ in self.p.fleet.seen)

    def attempts_for(self, ident: str) -> int:
        return sum(seen == ident and kind in ("read", "write") for _, kind, seen in self.p.fleet.seen)

    async def step(self, step: tuple[Any, ...]) -> None:
        await cast(Any, getattr(self, "do_" + step[0].replace(" ", "_")))(*step[1:])
        await trio.testing.wait_all_tasks_blocked()

    async def do_ask(self, request_class: str) -> Asked | None:
        if self.ending:
            return None
        whole = client_request(self.p, Request_Class=request_class, Request_Timeout="15")
        one = Asked(RawClient(self.p.address), f"{self.p.count:016x}", request_class)
        one.client.send(whole)
        self.asked.append(one)
        return one

    async def do_half(self, at: int) -> None:
        if not self.ending:
            whole = client_request(self.p, Request_Timeout="15")
            one = Asked(RawClient(self.p.address), f"{self.p.count:016x}", "summary", whole[at:])
            one.client.send(whole[:at])
            self.asked.append(one)

    async def do_rest(self, nth: int) -> None:
        halves = [one for one in self.asked if one.rest and not one.left]
        if halves:
            one = halves[nth % len(halves)]
            one.client.send(one.rest)
            one.rest = b""

    async def do_leave(self, nth: int, how: str) -> None:
        here = [one for one in self.asked if not one.left]
        if here:
            one = here[nth % len(here)]
            one.left = True
            one.client.disconnect(how)
            idents = self.p.gateway.runtime.requests_by_id
            await wait_until(lambda: one.ident not in idents or idents[one.ident].is_finished)
            self.attempts_when_left[one.ident] = self.attempts_for(one.ident)

    async def do_go_on(self, server: str, nth: int) -> None:
        cast(Turnstile, self.p.servers[server].gates["request"]).let_through(nth)

    async def put(self, server: str, listed_status: str, status: EndpointStatus) -> None:
        kind = "reader" if server[0] == "r" else "writer"
        self.p.discovery.put(server, self.p.servers[server].address, kind, listed_status)
        await wait_until(lambda: self.p.gateway.runtime.endpoint_registry.servers[server].status is status)

    async def do_drain(self, server: str) -> None:
        if server not in self.told_to_leave_alone:
            await self.put(server, "DRAINING", EndpointStatus.DRAINING)
            await trio.testing.wait_all_tasks_blocked()
            self.told_to_leave_alone[server] = self.attempts(server)

    async def do_back(self, server: str) -> None:
        if server in self.told_to_leave_alone:
            assert self.attempts(server) == self.told_to_leave_alone.pop(server), server
            await self.put(server, "SERVING", EndpointStatus.READY)

    async def do_watch_resets(self) -> None:
        for stream in list(self.p.discovery.conns):
            stream.socket.close()

    async def do_displace(self) -> None:
        self.p.gateway.chat_server.close_longest_idle()  # a request that has begun makes room for nobody

    async def do_shutdown(self) -> None:
        if not self.ending:
            self.ending = True
            self.p.gateway.begin_drain()

    async def finish(self) -> None:
        """Sends what is still to be sent, opens every gate, and checks the rules."""
        for one in self.asked:
            if one.rest and not one.left:
                one.client.send(one.rest)
        for server in self.p.servers.values():
            cast(Turnstile, server.gates["request"]).open()
        for one in self.asked:
            if not one.left:
                one.answer = await one.client.answer()
        await self.p.wait_until_idle()  # nothing is open, nothing held
        run_counts = Counter(self.p.fleet.run_counts)
        for one in self.asked:
            if one.left:
                assert self.attempts_for(one.ident) == self.attempts_when_left[one.ident], one.ident
                continue
            listed_status = one.answer[9:12]
            assert listed_status in (b"200", b"502", b"503"), one.answer
            if one.request_class == "note":
                assert one.ident not in self.p.fleet.repeated and (listed_status != b"503" or not run_counts[one.ident])
        for server, before in self.told_to_leave_alone.items():
            assert self.attempts(server) == before, server


async def play(steps: list[tuple[Any, ...]], prefills: list[str], decodes: list[str]) -> None:
    """Plays the steps; `reads` and `writes` are the ways in which the first attempts of each kind go."""
    ways = {"read": list(prefills), "write": list(decodes)}
    async with platform(*SERVERS, platform_settings=PATIENT) as p:
        for server in p.servers.values():
            server.gates["request"] = cast(Any, Turnstile())
            server.script = lambda _, left=ways[server.role]: left.pop() if left else ""  # type: ignore[misc]
        playing = Play(p)
        for step in steps:
            await playing.step(step)
        await playing.finish()


@settings(max_examples=40, deadline=None, derandomize=True, database=None)
@given(
    st.lists(STEPS, min_size=2, max_size=14),
    st.lists(st.sampled_from(WAYS), max_size=3),
    st.lists(st.sampled_from(WAYS), max_size=4),
)
@example(steps=[("ask", "note")], prefills=[], decodes=["opening_cut", "opening_cut"])
@example(steps=[("half", 40), ("displace",), ("shutdown",)], prefills=[], decodes=[])
def test_no_order_of_events_breaks_a_rule(
    steps: list[tuple[Any, ...]], prefills: list[str], decodes: list[str]
) -> None:
    trio.run(play, steps, prefills, decodes)

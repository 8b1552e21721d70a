"""Stories of the platform's gateway: what it must not do, over loopback sockets and by itself."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
from contextlib import asynccontextmanager
from dataclasses import astuple, replace
from pathlib import Path
from typing import Any, AsyncIterator, Callable

import pytest
import trio

from ternlane import port
from ternlane.deployment import Deployment
from ternlane.http1 import Caller, Pool, Unconnected
from ternlane.platform.process import Gateway
from ternlane.platform.protocol import Events, load_of, outcome_of
from ternlane.platform.roster import Roster, read_listing
from ternlane.platform.settings import Limits, Post
from ternlane.port import Duty, Life, Verdict
from ternlane.standin.platform import DONE, EVENT, Discovery, Fleet, ModelServer
from ternlane.turns import Turns, now_ms
from ternlane.wirehost.host import Host as WireHost
from ternlane.wirehost.host import Instance
from tests.world import Reply, heard

TOLD: dict[str, Any] = {
    "discovery": "push",
    "invariants": {
        "cold": 2000.0,
        "cold_from": 0.3,
        "drain_grace": 300.0,
        "overload_factor": 4.0,
        "overload_for": 1000.0,
    },
    "kinds": ["reader", "writer"],
    "limits": {
        "cancel": True,
        "conn_idle": 2000.0,
        "connect_timeout": 150.0,
        "max_retry_after": 500.0,
        "most_tries": 5,
        "probes": True,
        "retry_after": True,
    },
    "locality": "hall",
    "me": 0,
    "n_instances": 1,
    "profiles": [
        {"aim": 500.0, "deadline": 2000.0, "name": "summary", "semantics": "idempotent", "worth": 3.0},
        {"aim": 500.0, "deadline": 1500.0, "name": "note", "semantics": "at_most_once", "worth": 2.0},
    ],
    "report": {"columns": ["outstanding", "x0"], "how": "inline"},
    "specifics": {
        "duty_by_kind": ["read", "write"],
        "release": 400.0,
        "token_aim": [100.0, 100.0],
        "tokens_by_kind": [200000, 200000],
    },
    "step": 1.0,
}
BODY = b'{"model":"chat","stream":true,"messages":[{"role":"user","content":"hello"}]}'


class Log:
    def __init__(self) -> None:
        self.lines: list[tuple[str, dict[str, Any]]] = []

    def __getattr__(self, level: str) -> Callable[..., None]:
        return lambda event, **more: self.lines.append((f"{level} {event}", more))


class Platform:
    def __init__(self, nursery: trio.Nursery, told: dict[str, Any], limits: Limits) -> None:
        self.nursery, self.told, self.limits, self.log = nursery, told, limits, Log()
        self.fleet, self.discovery = Fleet(nursery), Discovery(nursery, 100.0)
        self.servers: dict[str, ModelServer] = {}
        self.count = 0
        self.pool = Pool(1000, 1000)
        self.gateway: Gateway

    async def add(self, name: str, script: Callable[[str], str] = lambda _: "", **more: Any) -> ModelServer:
        server = self.servers[name] = ModelServer(
            name, "read" if name[0] == "r" else "write", self.fleet, script, **more
        )
        await server.start()
        self.discovery.put(name, server.address, server.duty + "er" if server.duty == "read" else "writer")
        return server

    async def open(self) -> None:
        host, _, number = self.discovery.address.partition(":")
        known = read_listing(json.dumps(self.discovery.listing()).encode())
        post = Post("n0", ("127.0.0.1", 0), (host, int(number)), self.limits, known, Deployment(1, self.told))
        self.gateway = Gateway(post, self.nursery, self.log)
        await self.gateway.start()
        name = self.gateway.listener.socket.getsockname()
        self.address = f"{name[0]}:{name[1]}"

    def headers(self, **more: str) -> dict[str, str]:
        self.count += 1
        out = {
            "Request-Id": f"{self.count:016x}",
            "Request-Class": "summary",
            "Affinity-Key": f"c{self.count}",
            "Request-Timeout": "1.5",
            "Request-Info": "prefix=ab,prompt_len=20,prefix_len=8,max_out=40",
        }
        return {k: v for k, v in (out | {k.replace("_", "-"): v for k, v in more.items()}).items() if v != "-"}

    async def ask(
        self, body: bytes = BODY, path: str = "/v1/chat/completions", method: str = "POST", **more: str
    ) -> Reply:
        caller = await self.pool.connect(self.address)
        try:
            return await heard(caller, body, self.headers(**more), path, method)
        finally:
            caller.close_now()

    async def raw(self, data: bytes, ends: bool = False, within: float = 3.0) -> bytes:
        """Whatever comes back until the gateway closes; fails when it does not."""
        host, _, number = self.address.partition(":")
        stream, out = await trio.open_tcp_stream(host, int(number)), b""
        with trio.fail_after(within):
            try:
                await stream.send_all(data)
                if ends:
                    await stream.send_eof()
                while piece := await stream.receive_some():
                    out += piece
            except trio.BrokenResourceError:
                pass
        await stream.aclose()
        return out

    async def settled(self) -> None:
        node = self.gateway.node
        with trio.fail_after(3):
            while node.tickets or node.releasing or node.idents or self.fleet.states or +self.fleet.open:
                await trio.sleep(0.01)


@asynccontextmanager
async def platform(
    *names: str, told: dict[str, Any] = TOLD, limits: Limits | None = None, **scripts: Callable[[str], str]
) -> AsyncIterator[Platform]:
    async with trio.open_nursery() as nursery:
        made = Platform(nursery, told, limits or Limits())
        await made.discovery.start()
        for name in names or ("r0", "w0", "r1", "w1"):
            await made.add(name, scripts.get(name, lambda _: ""))
        await made.open()
        yield made
        nursery.cancel_scope.cancel()


def once(way: str) -> Callable[[str], str]:
    """Goes wrong the first time only."""
    ways = [way]
    return lambda _: ways.pop() if ways else ""


def always(way: str) -> Callable[[str], str]:
    return lambda _: way


# -- one settings object, request and list by both ways


def test_simulator_and_platform_tell_the_decisions_equal_facts() -> None:
    wire, told = Instance(7, TOLD), Deployment(7, TOLD)
    assert [astuple(p) for p in wire.deployment.facts.products] == [astuple(p) for p in told.facts.products]
    assert replace(wire.deployment.facts, products=()) == replace(told.facts, products=())
    roster = Roster(Deployment(7, TOLD))
    listing = read_listing(
        json.dumps(
            {
                "index": 3,
                "snapshot": True,
                "endpoints": [
                    {
                        "name": "s1",
                        "address": "127.0.0.1:1",
                        "zone": "hall",
                        "type": "writer",
                        "group": 2,
                        "status": "DRAINING",
                        "weight": 1.5,
                        "since_ms": 9000.0,
                    }
                ],
            }
        ).encode()
    )
    roster.take(listing, 10_000.0, 5_000.0)
    wire.list_entries("Complete", ["ROW s1 hall writer 2 cordoned 1.5 4000.0"])
    mine, theirs = roster.servers["s1"], wire.servers["s1"]
    for name in ("zone", "cell", "duty", "mem_toks", "size", "started_ms", "life", "mark"):
        assert getattr(mine, name) == getattr(theirs, name), name
    by_wire = wire.event("WORK_ITEM 1 9 8 - ab summary 20 1500 0 c1 40 -".split(" "))
    assert isinstance(by_wire, port.Arrived)
    by_socket = told.generation(told.products["summary"], "c1", "ab", 8.0, 20.0, 40.0, 1500.0)
    for name in ("session", "opening", "opening_toks", "prompt_toks", "max_toks", "patience_ms", "tenant"):
        assert getattr(by_wire.gen, name) == getattr(by_socket, name), name
    assert load_of("inflight=7,x0=0.5", Deployment(7, TOLD)) == wire.report("7,0.5") == port.Report(7.0, 0.5)
    assert WireHost().answer(["MARK 1.0"]) == ["YIELD"]


# -- outcomes, a row each


@pytest.mark.parametrize(
    "status, vouched, duty, verdict, lost",
    [
        (200, False, Duty.WRITE, None, False),
        (202, False, Duty.READ, Verdict.READ, False),
        (200, False, Duty.READ, Verdict.ERROR, False),
        (202, False, Duty.WRITE, Verdict.ERROR, False),
        (500, False, Duty.WRITE, Verdict.ERROR, False),
        (500, True, Duty.WRITE, Verdict.ERROR, False),
        (503, True, Duty.READ, Verdict.FULL, False),
        (504, True, Duty.WRITE, Verdict.FULL, False),
        (503, False, Duty.WRITE, Verdict.ERROR, False),
        (504, False, Duty.WRITE, Verdict.ERROR, False),
        (410, True, Duty.WRITE, Verdict.FULL, True),
        (410, False, Duty.WRITE, Verdict.ERROR, False),
        (429, False, Duty.WRITE, Verdict.ERROR, False),
        (404, False, Duty.READ, Verdict.ERROR, False),
    ],
)
def test_what_a_status_proves(status: int, vouched: bool, duty: Duty, verdict: Verdict | None, lost: bool) -> None:
    assert (outcome_of(status, vouched, duty).verdict, outcome_of(status, vouched, duty).state_lost) == (verdict, lost)


async def test_a_generation_is_read_written_and_passed_on_unchanged() -> None:
    async with platform() as p:
        reply = await p.ask()
        assert reply.status == 200 and reply.done == 1 and not reply.broke and reply.body.startswith(EVENT * 2)
        assert reply.body.endswith(DONE + b": Server-Load: inflight=2,x0=0.2\n\n")
        assert [k for _, k, _ in p.fleet.seen] == ["read", "write"]
        await p.settled()


SPOILT_FIRST = [
    "noise",
    "odd_status",
    "endless_head",
    "first_not_event",
    "first_not_json",
    "first_chunk_bad",
    "opening_cut",
    "status_500",
    "status_503",
]


@pytest.mark.parametrize("way", [*SPOILT_FIRST, "full_503", "full_504", "gone_410"])
async def test_what_is_spoilt_before_the_first_event_is_repeated_where_that_is_harmless(way: str) -> None:
    shared = once(way)
    async with platform("r0", "w0", "w1", w0=shared, w1=shared) as p:
        reply = await p.ask()
        assert reply.status == 200 and reply.done == 1 and reply.body.startswith(EVENT)
        await p.settled()
    async with platform("r0", "w0", w0=once(way)) as p:
        reply = await p.ask(Request_Class="note")
        assert reply.status == (502 if way in SPOILT_FIRST else 503 if way.startswith("full") else 200), way
        assert sum(p.fleet.ran.values()) <= 1  # no effect twice
        await p.settled()


@pytest.mark.parametrize(
    "way",
    [
        "later_chunk_bad",
        "later_chunk_misfit",
        "later_noise",
        "huge_chunk",
        "later_cut",
        "no_done",
        "endless_event",
        "later_not_event",
        "later_silent",
    ],
)
async def test_what_is_spoilt_later_ends_the_client_without_the_last_chunk(way: str) -> None:
    async with platform("r0", "w0", "w1", w0=always(way), w1=always(way)) as p:
        with trio.fail_after(2 if way == "later_silent" else 0.8):  # what can be seen at once is not waited for
            reply = await p.ask()
        assert p.fleet.count("write") == 1  # from its first event on nothing more goes out for it
        assert reply.status == 200 and reply.broke and reply.body in (EVENT, EVENT[:-9])
        assert b"noise" not in reply.body and b"zz" not in reply.body
        await p.settled()


@pytest.mark.parametrize("way", ["interim", "second_answer", "odd_load"])
async def test_good_streams_that_bring_more_are_good(way: str) -> None:
    async with platform("r0", "w0", w0=always(way)) as p:
        for _ in range(2):
            reply = await p.ask()
            assert reply.status == 200 and reply.done == 1 and not reply.broke
        await p.settled()
        assert way != "second_answer" or not p.gateway.node.engines.pool.idle.get(p.servers["w0"].address)


async def test_a_new_read_does_not_lose_its_state_to_the_letting_go_of_the_old() -> None:
    """The DELETE for what a failed writer left was still under way when the prompt had been read anew."""
    async with platform("r0", "w0", "w1", w0=once("gone_410"), w1=once("gone_410")) as p:
        p.fleet.spread_ms = 20.0
        reply = await p.ask()
        assert reply.status == 200 and p.fleet.count("DELETE") >= 1
        await p.settled()


# -- what is held


async def test_a_state_is_let_go_of_though_its_holder_is_silent() -> None:
    async with platform("r0", "r1", "w0", w0=always("status_500")) as p:
        assert (await p.ask(Request_Class="note")).status == 502
        await p.settled()
        for name in ("r0", "r1"):
            p.servers[name].mute = True
            await p.gateway.node.engines.pool.connect(p.servers[name].address)
        p.fleet.states["00000000000000aa"] = "r0"
        p.gateway.node.engines.heard_at = {p.servers["r0"].address: 9e9, p.servers["r1"].address: 9e8}
        assert await p.gateway.node.engines.release("00000000000000aa", p.gateway.node.addresses(), 400.0)
        assert not p.fleet.states


async def test_a_client_that_leaves_has_its_leg_called_off_and_its_state_let_go() -> None:
    async with platform("r0", "w0", w0=always("silent")) as p:
        with trio.move_on_after(0.3):
            await p.ask(Request_Class="note")
        await p.settled()
        assert p.gateway.node.counts["left"] == 1 and p.gateway.node.counts["write CALLED_OFF"] == 1


async def test_a_client_that_leaves_within_its_stream_has_it_ended_at_the_server() -> None:
    async with platform("r0", "w0") as p:
        p.servers["w0"].events, p.servers["w0"].event_ms = 500, 10.0
        with trio.move_on_after(0.3):
            await p.ask()
        with trio.fail_after(0.5):
            while p.fleet.open["w0"]:
                await trio.sleep(0.01)
        await p.settled()


async def test_a_generation_without_an_answer_hears_so_in_its_time() -> None:
    async with platform("r0", "w0", w0=always("silent")) as p:
        since = trio.current_time()
        assert (await p.ask(Request_Class="note", Request_Timeout="0.4")).status == 502
        assert trio.current_time() - since < 0.45
        await p.settled()


# -- what the decisions believe


async def test_open_legs_and_connections_are_what_the_servers_count() -> None:
    async with platform("r0", "w0", "w1") as p:
        for server in p.servers.values():
            server.events, server.event_ms = 30, 10.0
        async with trio.open_nursery() as nursery:
            for _ in range(12):
                nursery.start_soon(p.ask)
            await trio.sleep(0.2)
            board = p.gateway.node.chooser.desk.board  # type: ignore[attr-defined]
            names = {s: spot.name for s, spot in p.gateway.node.roster.spots.items()}
            believed = {names[e.server]: len(e.legs) for e in board if e.legs}
            assert believed == dict(+p.fleet.open) and sum(believed.values()) >= 8
            pool = p.gateway.node.engines.pool
            assert len(pool.open) == sum(p.fleet.conns.values())
        await p.settled()
        assert all(not e.legs and not e.booked for e in board)


# -- bad input

HEAD = b"POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\n"
GIVEN = (
    b"Request-Id: 00000000000000ff\r\nRequest-Class: summary\r\nRequest-Timeout: 1\r\nRequest-Info: prompt_len=5\r\n"
)


@pytest.mark.parametrize(
    "data, status",
    [
        (b"\x00\x01\x02\r\n\r\n", 400),
        (b"GET\r\n\r\n", 400),
        (HEAD + b"Content-Length: -5\r\n\r\n", 400),
        (HEAD + b"Content-Length: 5x\r\n\r\n", 400),
        (HEAD + b"Content-Length: 5\r\nContent-Length: 6\r\n\r\n", 400),
        (HEAD + GIVEN + b"Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n", 400),
        (HEAD + GIVEN + GIVEN + b"Content-Length: 2\r\n\r\n{}", 400),
        (HEAD + b"X: " + b"y" * 20000 + b"\r\n\r\n", 431),
        (HEAD + GIVEN + b"Content-Length: 262145\r\n\r\n{", 413),
        (HEAD + GIVEN + b"Content-Length: 99999999999999999999999\r\n\r\n{", 400),
        (
            HEAD
            + GIVEN
            + b"Transfer-Encoding: chunked\r\n\r\n"
            + b"ffff\r\n"
            + b"x" * 65535
            + b"\r\n"
            + (b"ffff\r\n" + b"x" * 65535 + b"\r\n") * 5,
            413,
        ),
        (HEAD + GIVEN + b"Content-Length: 9\r\n\r\n{", 408),
        (HEAD + b"X: y\r\n", 408),
    ],
)
async def test_what_is_not_http_gets_its_error_and_a_close(data: bytes, status: int) -> None:
    async with platform() as p:
        said = await p.raw(data)
        assert said.startswith(b"HTTP/1.1 %d " % status), said[:100]
        assert not p.fleet.seen and (await p.ask()).status == 200


@pytest.mark.parametrize(
    "more, status",
    [
        ({"Request_Id": "-"}, 400),
        ({"Request_Id": "xyz"}, 400),
        ({"Request_Class": "none"}, 400),
        ({"Request_Timeout": "soon"}, 400),
        ({"Request_Timeout": "nan"}, 400),
        ({"Request_Timeout": "inf"}, 400),
        ({"Request_Timeout": "-1"}, 400),
        ({"Request_Timeout": "0"}, 400),
        ({"Request_Info": "prompt_len=-4"}, 400),
        ({"Request_Info": "prompt_len"}, 400),
        ({"Request_Info": "prompt_len=x"}, 400),
        ({"path": "/v1/else"}, 404),
        ({"method": "PUT"}, 405),
        ({"path": "/health/ready"}, 405),
        ({"body": b"[]"}, 400),
        ({"body": b"{"}, 400),
        ({"body": b""}, 400),
        ({"body": b"\xff\xfe"}, 400),
    ],
)
async def test_what_can_not_be_served_is_never_taken(more: dict[str, Any], status: int) -> None:
    async with platform() as p:
        reply = await p.ask(**more)
        assert reply.status == status and not p.fleet.seen and not p.gateway.node.counts["taken"]
        assert p.gateway.front.conns <= 1


async def test_half_a_request_and_silence_are_ended_in_time() -> None:
    async with platform() as p:
        assert await p.raw(HEAD + GIVEN + b"Content-Length: 9\r\n\r\n{", ends=True) is not None
        assert await p.raw(b"") == b""
        caller = await p.pool.connect(p.address)
        assert (await heard(caller, BODY, p.headers(), "/v1/chat/completions")).done == 1
        await caller.stream.send_all(HEAD)  # of a second request, that does not go on
        with trio.fail_after(3):
            assert (await caller.stream.receive_some()).startswith(b"HTTP/1.1 408 ")
            caller.close_now()
        host, _, number = p.address.partition(":")
        slow = await trio.open_tcp_stream(host, int(number))
        with trio.fail_after(3):  # from its connecting on, however it spends it
            await trio.sleep(2.0)
            await slow.send_all(HEAD)
            while await slow.receive_some():
                pass
        await p.settled()
        with trio.fail_after(0.5):
            while p.gateway.front.conns:
                await trio.sleep(0.01)


async def test_the_id_of_an_open_generation_is_refused_and_the_open_one_untouched() -> None:
    async with platform("r0", "w0") as p:
        p.servers["w0"].events, p.servers["w0"].event_ms = 10, 20.0
        replies: list[Reply] = []

        async def first() -> None:
            replies.append(await p.ask(Request_Id="00000000000000aa"))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(first)
            await trio.sleep(0.1)
            assert (await p.ask(Request_Id="00000000000000aa")).status == 409
        assert replies[0].done == 1 and p.fleet.count("write") == 1


async def test_a_second_request_before_the_first_is_answered_is_not_served() -> None:
    async with platform() as p:
        one = HEAD + GIVEN + b"Content-Length: %d\r\n\r\n" % len(BODY) + BODY
        said = await p.raw(one + one.replace(b"ff\r", b"fe\r"))
        assert said.count(b"HTTP/1.1 200 ") == 1 and said.count(b"HTTP/1.1 400 ") == 1
        assert p.fleet.count("write") == 1


async def test_connections_that_say_nothing_do_not_block_the_door() -> None:
    async with platform(limits=Limits(sockets=64)) as p:
        host, _, number = p.address.partition(":")
        mute = [await trio.open_tcp_stream(host, int(number)) for _ in range(60)]
        assert (await p.ask()).status == 200
        assert p.gateway.front.conns <= p.gateway.front.conn_limit
        with trio.fail_after(3):
            for stream in mute:
                assert await stream.receive_some() == b""


# -- discovery


async def test_changes_whole_lists_and_garbage() -> None:
    async with platform("r0", "w0") as p:
        node = p.gateway.node

        async def until(names: set[str]) -> None:
            with trio.fail_after(3):
                while set(node.roster.servers) != names:
                    await trio.sleep(0.01)

        late = await p.add("w1")
        await until({"r0", "w0", "w1"})
        p.discovery.garbage = b'{"index":9,"endpoints":[{"name":'
        p.discovery.put("w0", p.servers["w0"].address, "writer", "DRAINING")
        with trio.fail_after(3):
            while len(p.discovery.asked) < 2 or node.roster.servers["w0"].life is not Life.DRAINING:
                await trio.sleep(0.01)
        for _ in range(4):
            assert (await p.ask()).status == 200
        assert [n for n, k, _ in p.fleet.seen if k == "write"] == ["w1"] * 4
        p.discovery.put("w0", "", "writer", "DELETED")
        await until({"r0", "w1"})
        assert p.servers["w0"].address not in node.engines.pool.idle
        late.stop()
        await late.start()
        assert (await p.ask()).status == 200


async def test_a_silent_watch_is_asked_for_anew_and_not_in_a_tight_loop(monkeypatch: pytest.MonkeyPatch) -> None:
    from ternlane.platform import registry

    monkeypatch.setattr(registry, "SILENT_MS", 200.0)
    async with platform("r0", "w0") as p:
        await trio.sleep(0.1)
        p.discovery.silent = True
        await trio.sleep(1.0)
        assert 2 <= len(p.discovery.asked) <= 6 and (await p.ask()).status == 200
        p.discovery.silent = False
        await p.add("w1")
        with trio.fail_after(3):
            while "w1" not in p.gateway.node.roster.servers:
                await trio.sleep(0.01)


async def test_a_discovery_that_is_down_is_asked_for_with_growing_waits() -> None:
    async with platform("r0", "w0") as p:
        p.discovery.listener.socket.close()
        p.gateway.watch.move(("127.0.0.1", int(p.discovery.address.rpartition(":")[2])))
        await trio.sleep(1.5)
        assert 2 <= p.gateway.node.counts["watch broke"] <= 8 and (await p.ask()).status == 200


async def test_a_new_discovery_is_followed_with_the_index_kept_and_the_old_one_let_go() -> None:
    async with platform("r0", "w0") as p:
        other = Discovery(p.nursery, 100.0)
        await other.start()
        other.index, other.log, other.entries = p.discovery.index, p.discovery.log, p.discovery.entries
        host, _, number = other.address.partition(":")
        await trio.sleep(0.05)
        p.gateway.watch.move((host, int(number)))
        with trio.fail_after(2):
            while p.discovery.watching or not other.watching:
                await trio.sleep(0.01)
        assert other.asked == [str(p.discovery.index)]
        other.put("w9", p.servers["w0"].address, "writer")
        with trio.fail_after(2):
            while "w9" not in p.gateway.node.roster.servers:
                await trio.sleep(0.01)


# -- the loop


class Beats:
    """A chooser that asks for one beat after the other."""

    def __init__(self) -> None:
        self.heard = 0

    def take(self, now: float, events: list[port.Event]) -> list[port.Action]:
        self.heard += sum(isinstance(e, port.Woken) for e in events)
        return [port.Wake(now + 5, True)]


class Quiet(Turns[Any]):
    def carry_further(self, action: port.Action) -> None:
        raise AssertionError(action)

    def send(self, ticket: Any, server: port.Server, times: port.SendLeg) -> None:
        raise AssertionError(times)

    def settle(self, ticket: Any, final: Any) -> None:
        raise AssertionError(final)

    def woken(self) -> None:
        pass


async def test_beats_go_on_reaching_the_decisions(nursery: trio.Nursery) -> None:
    chooser = Beats()
    turns = Quiet(chooser)
    nursery.start_soon(turns.clock)
    turns.tell(port.ListFailed())
    with trio.fail_after(2):
        while chooser.heard < 5:
            await trio.sleep(0.005)
    assert turns.due[0][0] > now_ms() - 1000


def test_a_stream_in_any_pieces_gives_its_events_whole() -> None:
    text = EVENT + b": a comment\n\n" + EVENT + DONE
    for size in range(1, 40):
        events, out = Events(), b""
        for at in range(0, len(text), size):
            out += events.feed(text[at : at + size])
        assert out == text and events.done


# -- the process


async def test_start_reload_drain_and_restart_of_the_process(tmp_path: Path) -> None:
    async with platform("r0", "w0") as p:
        spare = (await trio.open_tcp_listeners(0, host="127.0.0.1"))[0]
        p.address = "127.0.0.1:%d" % spare.socket.getsockname()[1]
        spare.socket.close()
        config = tmp_path / "config.json"

        def write(**more: Any) -> None:
            config.write_text(
                json.dumps(
                    {
                        "name": "n0",
                        "listen": p.address,
                        "discovery": p.discovery.address,
                        "seed": "ff",
                        "limits": {"cores": 1.0, "memory_mb": 128, "sockets": 256},
                        "known": p.discovery.listing(),
                        "settings": TOLD,
                    }
                    | more
                )
            )

        write()
        p.servers["w0"].events, p.servers["w0"].event_ms = 20, 40.0
        env = os.environ | {"NODE_CONFIG": str(config)}
        for _ in range(2):  # the second is a restart on the same address
            process = await trio.lowlevel.open_process(
                [sys.executable, "-m", "ternlane.platform"], env=env, stderr=subprocess.DEVNULL
            )
            try:
                await until_ready(p)
                replies: list[Reply] = []

                async def one(into: list[Reply]) -> None:
                    into.append(await p.ask())

                async with trio.open_nursery() as nursery:
                    nursery.start_soon(one, replies)
                    await trio.sleep(0.2)
                    config.write_text("{")  # bad content keeps the old
                    process.send_signal(signal.SIGHUP)
                    await trio.sleep(0.1)
                    write()
                    process.send_signal(signal.SIGHUP)
                    await trio.sleep(0.1)
                    process.send_signal(signal.SIGTERM)
                    process.send_signal(signal.SIGTERM)
                    await trio.sleep(0.1)
                    nursery.start_soon(one, replies)  # still arrives on a new connection
                assert [r.status for r in replies] in ([200, 200], [503, 200]) and replies[-1].done == 1
                with trio.fail_after(5):
                    assert await process.wait() == 0
            finally:
                process.kill()


async def test_a_drain_leaves_no_connection_on_which_a_late_request_could_be_cut_off() -> None:
    async with platform("r0", "w0") as p:
        p.servers["w0"].events, p.servers["w0"].event_ms = 30, 40.0
        replies: list[Reply] = []

        async def one() -> None:
            replies.append(await p.ask())

        kept = await p.pool.connect(p.address)
        assert (await heard(kept, BODY, p.headers(), "/v1/chat/completions")).done == 1
        fresh = await p.pool.connect(p.address)
        p.nursery.start_soon(one)
        await trio.sleep(0.2)
        since = trio.current_time()
        p.nursery.start_soon(p.gateway.drain)
        with trio.fail_after(0.2):
            assert await kept.stream.receive_some() == b""  # has been served: may ask elsewhere
        reply = await heard(fresh, BODY, p.headers(), "/v1/chat/completions")  # new ones still hear an answer
        assert reply.status == 503 and reply.headers["connection"] == "close" and "retry-after" in reply.headers
        silent = await p.pool.connect(p.address)
        with trio.fail_after(1):
            assert await silent.stream.receive_some() == b""
        assert trio.current_time() - since < 0.7
        with pytest.raises(Unconnected):
            await p.pool.connect(p.address)
        with trio.fail_after(3):
            while p.gateway.front.conns:
                await trio.sleep(0.01)
        assert [r.done for r in replies] == [1]


async def until_ready(p: Platform) -> None:
    with trio.fail_after(10):
        while True:
            try:
                caller: Caller = await p.pool.connect(p.address)
                if (await caller.ask("GET", "/health/ready", [])).status_code == 200:
                    return caller.close_now()
            except Exception:
                pass
            await trio.sleep(0.05)


@pytest.mark.parametrize(
    "text",
    [
        None,
        "",
        "{",
        "[]",
        '{"settings":{}}',
        '{"settings":{"profiles":[{"name":"a"}]}}',
        '{"settings":{"profiles":7},"discovery":"x"}',
    ],
)
def test_a_start_without_a_usable_configuration_ends_with_one_clear_line(tmp_path: Path, text: str | None) -> None:
    path = tmp_path / "config.json"
    if text is not None:
        path.write_text(text)
    done = subprocess.run(
        [sys.executable, "-m", "ternlane.platform"],
        env=os.environ | {"NODE_CONFIG": str(path)},
        capture_output=True,
        text=True,
        timeout=20,
    )
    assert done.returncode == 65 and done.stderr.startswith("ternlane: ") and done.stderr.count("\n") == 1

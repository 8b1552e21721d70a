"""The process around one gateway on the platform: start, signals, an orderly end."""

from __future__ import annotations

import gc
import logging
import os
import resource
import signal
import sys
import time
from functools import partial
from typing import Any, AsyncIterator

import structlog
import trio

from ternlane.policy import messages
from ternlane.policy.router import Router
from ternlane.http1 import ConnectionPool
from ternlane.log_output import log_file
from ternlane.platform.end_signal import EndSignal
from ternlane.platform.engines import Engines
from ternlane.platform.front import Front
from ternlane.platform.node import Node
from ternlane.platform.registry import FIRST_LIST_MS, Watch
from ternlane.platform.request_history import RequestRecord
from ternlane.platform.settings import Post, Unfit, read_post
from ternlane.policy.shutdown import shutdown_times
from ternlane.event_loop import PollTimes, now_ms

BACKLOG = 1024
CLIENTS, SERVERS = 0.45, 0.45  # of the descriptors; the rest is for the watch, the log and what is being closed
OPEN = 0.4  # of them, requests at once: each has one attempt out, and DELETE needs connections too
BODIES = 0.2  # of the memory
IDLE_PART = 0.9  # of the servers' idle limit: what is closed well before crosses no request of ours
LATE_COMERS_MS = 450.0  # new connections still arrive for so long after SIGTERM
LONGEST_MS, ENDS_MS = 3000.0, 700.0  # no SIGKILL before the longest time limit, cut to the one, plus the other
LAST_ANSWER_MS = 250.0  # before that, what the decisions have not answered is failed: an answer needs its way
UNFINISHED_MS = 100.0  # before that, what is still open is logged
END_POLL_MS = 20.0  # between two looks at whether all has ended
REPORT_MS = 10e3
UNFIT, TAKEN = 65, 69


class Gateway:
    def __init__(self, post: Post, nursery: trio.Nursery, log: Any) -> None:
        self.post, self.nursery, self.log = post, nursery, log
        router_config = post.deployment.router_config
        self.pool = ConnectionPool(router_config.connect_ms, router_config.idle_ms)
        self.node = Node(Router(router_config), post.deployment, Engines(self.pool, post.deployment), nursery, log)
        self.polls = PollTimes()
        self.front = Front(self.node, self.polls.unseen_ms, log)
        self.watch = Watch(
            post.discovery,
            lambda: self.node.endpoint_registry.index,
            self.node.listed,
            self.list_failed,
            router_config.seed,
            nursery,
            log,
        )
        self.listener: trio.SocketListener
        self.accepting = trio.CancelScope()
        self.apply_limits(post)

    def apply_limits(self, post: Post) -> None:
        """What connections may take, by the settings in force."""
        router_config, sockets = post.deployment.router_config, post.limits.sockets
        self.pool.set_limits(router_config.connect_ms, IDLE_PART * router_config.idle_ms, int(sockets * SERVERS))
        self.front.conn_limit, self.front.open_limit = int(sockets * CLIENTS), int(sockets * OPEN)
        self.front.held_bytes = int(post.limits.memory_mb * 2**20 * BODIES)

    def list_failed(self, why: str) -> None:
        self.node.counts["watch broke"] += 1
        self.log.warning("discovery", why=why)

    async def start(self) -> None:
        self.listener = (await trio.open_tcp_listeners(self.post.listen[1], host=self.post.listen[0], backlog=BACKLOG))[
            0
        ]
        trio.lowlevel.add_instrument(self.polls)
        self.node.endpoint_registry.index = self.post.known.index
        self.node.listed(self.post.known)
        self.nursery.start_soon(self.node.run_timers)
        self.watch.start()
        with trio.move_on_after(FIRST_LIST_MS / 1000):  # what discovery has counts as told from the first request on
            await self.watch.opened.wait()
        self.nursery.start_soon(self.accept)
        self.nursery.start_soon(self.report)
        self.front.ready = True
        self.log.info("serving", listen="%s:%d" % self.post.listen, servers=len(self.node.endpoint_registry.servers))

    async def accept(self) -> None:
        with self.accepting:
            await self.front.accept(self.listener, self.nursery)

    def reload(self) -> None:
        """The file again; bad content changes nothing. Products whose terms stay the same stay what they are."""
        try:
            post = read_post(before=self.post.deployment, file_first=True)
        except Unfit as why:
            self.log.error("reload refused", why=str(why))
            return
        moved, altered = post.discovery != self.post.discovery, post.deployment.told != self.post.deployment.told
        self.post = post
        self.apply_limits(post)
        if altered:
            self.node.alter(post.deployment)
        if moved:
            self.watch.move(post.discovery)
        self.log.info("reloaded", discovery_moved=moved, settings_changed=altered)

    def begin_drain(self, since_signal_ms: float = 0.0) -> None:
        """From here on each connection ends with its next answer. Those that have been served and rest close at once:
        a request that came later might be cut off without an answer."""
        deployment, now = self.node.deployment, now_ms()
        longest_ms = min(
            LONGEST_MS, max(request_class.deadline_ms for request_class in deployment.request_classes.values())
        )
        times = shutdown_times(longest_ms, ENDS_MS, deployment.router_config.release_ms, since_signal_ms)
        self.front.draining = True
        self.node.sigterm_ms = now - since_signal_ms
        self.node.answer_all_by_ms = now + times.ends_ms - LAST_ANSWER_MS
        self.log.info(
            "draining",
            open=len(self.node.active_requests),
            connections=self.front.conns,
            since_signal_ms=round(since_signal_ms, 1),
            rejects_new_in_ms=round(times.admits_ms),
            answers_all_in_ms=round(times.answers_ms),
            may_be_killed_in_ms=round(times.ends_ms),
        )
        self.node.dispatch(messages.ShutdownStarted(times))
        self.nursery.start_soon(self.end_reading, times.answers_ms)
        self.nursery.start_soon(self.report_unfinished, times.ends_ms)
        self.front.close_idle(served_only=True)

    async def drain(self, since_signal_ms: float = 0.0) -> None:
        """Takes what still arrives, answers everything, releases what is held, and returns once all has ended. New
        connections close only when all that was sent to them must have come."""
        self.begin_drain(since_signal_ms)
        await trio.sleep(max(0.0, LATE_COMERS_MS - since_signal_ms) / 1000)
        self.accepting.cancel()
        await self.front.accept_the_rest(self.listener, self.nursery, LATE_COMERS_MS)
        self.listener.socket.close()
        await trio.sleep(LATE_COMERS_MS / 4000)
        while self.node.active_requests or self.node.releasing or self.front.conns:
            self.front.close_idle()  # also those that were still to be read when the loop before looked
            await trio.sleep(END_POLL_MS / 1000)

    async def end_reading(self, within_ms: float) -> None:
        """What is not a whole request by then is refused: a later last byte would leave no time for an answer."""
        await trio.sleep(max(0.0, within_ms) / 1000)
        self.front.stop_reading()

    async def report_unfinished(self, within_ms: float) -> None:
        """Names what is open shortly before this process may be killed: afterwards nothing can."""
        await trio.sleep(max(0.0, within_ms - UNFINISHED_MS) / 1000)
        for request in self.node.open_requests():
            self.log.warning("unfinished before the end", **request.as_fields())

    async def report(self) -> None:
        """What an operator needs, one line every ten seconds."""
        before: dict[str, int] = {}
        while True:
            await trio.sleep(REPORT_MS / 1000)
            node = self.node
            counts = {k: v - before.get(k, 0) for k, v in sorted(node.counts.items()) if v != before.get(k, 0)}
            before = dict(node.counts)
            late, node.max_lateness_ms = node.max_lateness_ms, 0.0
            longest_held, node.held_states.longest_ms = node.held_states.longest_ms, 0.0
            self.log.info(
                "report",
                open=len(node.active_requests),
                held=len(node.held_states),
                oldest_held_ms=round(node.held_states.oldest_ms(now_ms()), 1),
                longest_held_ms=round(longest_held, 1),
                oldest_unanswered_ms=round(node.oldest_unanswered_ms(), 1),
                connections=self.front.conns,
                engine_connections=len(node.engines.pool.open),
                connect_shortages=node.engines.pool.shortages,
                descriptors=descriptors(),
                memory_mb=round(memory_mb(), 1),
                loop_late_ms=round(late, 1),
                cpu_s=round(time.process_time(), 2),
                **counts,
            )

    def trails(self) -> None:
        """Every attempt and transition of the open requests and of the latest others, one line each by id."""
        records = [
            RequestRecord(t.ident, "open", t.attempt_log, t.history)
            for t in self.node.active_requests.values()
            if not t.over
        ]
        for record in [*records, *self.node.records]:
            self.log.info(
                "trail",
                gen=record.request_id,
                outcome=record.outcome,
                legs=record.attempts,
                transitions=record.history.lines(),
            )


def descriptors() -> int:
    """How many are open; -1 where that can't be told, as where none is left to look with."""
    try:
        return len(os.listdir("/proc/self/fd"))
    except OSError:
        return -1


def memory_mb() -> float:
    try:
        with open("/proc/self/statm") as pages:
            return int(pages.read().split()[1]) * resource.getpagesize() / 2**20
    except (OSError, ValueError, IndexError):
        return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024


async def run(post: Post, log: Any, told_at: list[float]) -> None:
    """Serves until this process is told to end, and then drains. `told_at`: see `main`."""
    end = EndSignal(told_at)
    with trio.open_signal_receiver(signal.SIGHUP, signal.SIGUSR1) as signals:
        async with trio.open_nursery() as nursery:
            gateway = Gateway(post, nursery, log)
            await gateway.start()
            gc.collect()
            gc.freeze()
            nursery.start_soon(heed, gateway, signals)
            await end.received.wait()
            await gateway.drain(end.since_ms())
            log.info("ended", taken=gateway.node.counts["taken"])
            nursery.cancel_scope.cancel()


async def heed(gateway: Gateway, signals: AsyncIterator[int]) -> None:
    """Reloads, but not during a shutdown, and tells what is open, then too."""
    async for number in signals:
        if number == signal.SIGUSR1:
            gateway.trails()
        elif not gateway.front.draining:
            gateway.reload()


def main(told_at: list[float]) -> int:
    """`told_at`: when this process was told to end while the program was being read in, by the monotonic clock."""
    level = logging.DEBUG if os.environ.get("TERNLANE_LOG") == "debug" else logging.INFO
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(level),
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        logger_factory=structlog.WriteLoggerFactory(file=log_file(sys.stderr)),
        cache_logger_on_first_use=True,
    )
    try:
        post = read_post()
    except Unfit as why:
        print(f"ternlane: {why}", file=sys.stderr)
        return UNFIT
    status = 0
    try:
        trio.run(partial(run, post, structlog.get_logger(gateway=post.name), told_at))
    except* OSError as group:
        print(f"ternlane: {group.exceptions[0]}", file=sys.stderr)
        status = TAKEN
    return status

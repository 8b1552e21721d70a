"""Client side of HTTP/1.1: a pool of reusable connections to many servers."""

from __future__ import annotations

import errno
from collections import OrderedDict
from ipaddress import ip_address
from math import inf

import h11
import trio

from ternlane.http1.client_connection import ClientConnection
from ternlane.http1.errors import ConnectError
from ternlane.http1.idle_reuse import IdleReuseStats
from ternlane.http1.shared_limits import SharedLimits

# Idle connections kept per peer.
MAX_IDLE_PER_PEER = 64
# Errors of socket, bind and connect that mean a short-lived lack of resources on this machine, not a fault of the peer.
LOCAL_SHORTAGES = frozenset(
    {errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.EAGAIN}
)
# Pause between two connection attempts while this machine lacks a resource.
SHORTAGE_PAUSE_S = 0.01


class ConnectionPool:
    """Connections to many peers, each named as "host:port". Callers give back or close each connection that they take.

    With `limit` connections open, the one idle for longest is closed before a new one is opened. `connect_ms` bounds
    the time to connect and `idle_ms` how long an idle connection is kept; `source` is the local address to bind to.
    Pools and servers of one event loop should share `shared_limits`.
    """

    def __init__(
        self,
        connect_ms: float,
        idle_ms: float,
        source: str | None = None,
        limit: float = inf,
        shared_limits: SharedLimits | None = None,
    ) -> None:
        self.connect_ms = connect_ms
        self.idle_ms = idle_ms
        self.source = source
        self.limit = limit
        self.shared_limits = shared_limits or SharedLimits()
        self.idle: dict[str, OrderedDict[ClientConnection, None]] = {}  # by peer, the most recently used last
        self.idle_of_all: OrderedDict[ClientConnection, None] = OrderedDict()  # the longest idle first
        self.open: set[ClientConnection] = set()
        self.connecting = 0  # connection attempts in progress
        self.made = 0  # connections opened since the start
        self.local_shortages = 0  # connection attempts that failed for lack of a resource on this machine
        self.reuse_stats = IdleReuseStats(idle_ms)

    def set_limits(self, connect_ms: float, idle_ms: float, limit: float) -> None:
        """Replaces the limits, also for open connections; idle connections beyond `limit` are closed."""
        self.connect_ms = connect_ms
        self.limit = limit
        if idle_ms != self.idle_ms:
            self.idle_ms = idle_ms
            self.reuse_stats = IdleReuseStats(idle_ms)
        while self.idle_of_all and len(self.open) + self.connecting > limit:
            self._close_longest_idle()
        self.sweep()

    async def take(self, peer: str, reuse_delay_ms: float = 0.0) -> ClientConnection:
        """Returns an idle connection, or else a new one.

        A connection that has completed a request is only reused once it has been idle for `reuse_delay_ms`. Raises
        ConnectError if no connection could be established in time.
        """
        now_s = trio.current_time()
        for connection in list(reversed(self.idle.get(peer, ()))):
            idled_ms = (now_s - connection.idle_since) * 1000
            if connection.has_completed_request and idled_ms < reuse_delay_ms:
                continue
            if idled_ms >= self.idle_ms or connection.is_stale or self.reuse_stats.is_unsafe(idled_ms, now_s * 1000):
                connection.close_now()
                continue
            self._remove_idle(connection)
            connection.idled_ms = idled_ms
            return connection
        return await self.connect(peer)

    async def connect(self, peer: str) -> ClientConnection:
        """Opens a new connection. Raises ConnectError."""
        host, _, port = peer.rpartition(":")
        while len(self.open) + self.connecting >= self.limit:
            if not self.idle_of_all:
                raise ConnectError(f"{peer}: {len(self.open)} connections are out, as many as may be")
            self._close_longest_idle()
        self.connecting += 1
        try:
            with trio.fail_after(self.connect_ms / 1000):
                stream = await self._open_stream(host.strip("[]"), int(port))
        except (OSError, trio.TooSlowError, ValueError, OverflowError) as error:  # the latter two: no valid address
            raise ConnectError(f"{peer}: {error!r}") from None
        finally:
            self.connecting -= 1
        self.made += 1
        local = stream.socket.getsockname()
        connection = ClientConnection(stream, peer, (local[0], local[1]), self.shared_limits)
        connection.on_close = self._on_closed
        self.open.add(connection)
        return connection

    def give_back(self, connection: ClientConnection) -> None:
        """Returns a connection to the pool.

        It is kept if its response is complete or if no request was sent on it, and closed otherwise.
        """
        connection.set_read_deadline(inf)
        was_used = connection.conn.our_state is not h11.IDLE
        if was_used:
            self._record_reuse(connection)
        is_spent = connection.is_retired or (was_used and not connection.reusable)
        if is_spent or len(self.idle.get(connection.peer, ())) >= MAX_IDLE_PER_PEER:
            connection.close_now()
            return
        if was_used:
            connection.conn.start_next_cycle()
            connection.account.release()
            connection.has_completed_request = True
        connection.idle_since = trio.current_time()
        self.idle.setdefault(connection.peer, OrderedDict())[connection] = None
        self.idle_of_all[connection] = None

    def forget(self, peer: str) -> None:
        """Closes the idle connections to a peer that has been removed, and the others once they are given back."""
        for connection in list(self.idle.get(peer, ())):
            connection.close_now()
        for connection in self.open:
            if connection.peer == peer:
                connection.is_retired = True

    def sweep(self) -> None:
        """Closes the connections that have been idle for longer than `idle_ms`."""
        now_s = trio.current_time()
        while self.idle_of_all:
            connection = next(iter(self.idle_of_all))
            if now_s - connection.idle_since < self.idle_ms / 1000:
                break
            connection.close_now()

    def close(self) -> None:
        """Closes all idle connections."""
        for connection in list(self.idle_of_all):
            connection.close_now()

    async def _open_stream(self, host: str, port: int) -> trio.SocketStream:
        """Opens a connection, retrying while this machine lacks a resource, since the peer is not at fault then."""
        while True:
            try:
                return await open_stream(host, port, self.source)
            except OSError as error:
                if error.errno not in LOCAL_SHORTAGES:
                    raise
            self.local_shortages += 1
            await trio.sleep(SHORTAGE_PAUSE_S)

    def _close_longest_idle(self) -> None:
        next(iter(self.idle_of_all)).close_now()

    def _remove_idle(self, connection: ClientConnection) -> None:
        if connection not in self.idle_of_all:
            return
        del self.idle_of_all[connection]
        peer_connections = self.idle[connection.peer]
        del peer_connections[connection]
        if not peer_connections:
            del self.idle[connection.peer]

    def _on_closed(self, connection: ClientConnection) -> None:
        if connection in self.open and connection.broke:
            self._record_reuse(connection)
        self.open.discard(connection)
        self._remove_idle(connection)

    def _record_reuse(self, connection: ClientConnection) -> None:
        """Records whether a pooled connection still worked when it was reused."""
        if connection.idled_ms is not None:
            self.reuse_stats.record(connection.idled_ms, connection.broke, trio.current_time() * 1000)


async def open_stream(host: str, port: int, source: str | None) -> trio.SocketStream:
    """Connects to an IP address directly, or to a name through trio, which resolves it. Raises OSError."""
    try:
        family = trio.socket.AF_INET6 if ip_address(host).version == 6 else trio.socket.AF_INET
    except ValueError:
        return await trio.open_tcp_stream(host, port, local_address=source)
    sock = trio.socket.socket(family, trio.socket.SOCK_STREAM)
    try:
        if source is not None:
            await sock.bind((source, 0))
        await sock.connect((host, port))
        return trio.SocketStream(sock)
    except BaseException:
        sock.close()
        raise

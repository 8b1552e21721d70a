"""The calling side: connections to many servers, kept and used again."""

from __future__ import annotations

import errno
from collections import OrderedDict
from ipaddress import ip_address
from math import inf

import h11
import trio

from ternlane.http1.client_connection import ClientConnection
from ternlane.http1.connection_age import ConnectionAge
from ternlane.http1.errors import ConnectError

# Idle connections kept for each peer.
MAX_IDLE_PER_PEER = 64
# Errors of socket, bind and connect that tell of this machine, not of the peer; what is short comes back in a moment.
LOCAL_SHORTAGES = frozenset(
    {errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.EAGAIN}
)
# Between two tries while this machine is short of something.
SHORTAGE_PAUSE_S = 0.01


class ConnectionPool:
    """Connections to many peers, which are "host:port". One that was taken is given back, or closed.

    With `limit` connections open the one that has been idle for longest makes room for a new one. `connect_ms` bounds
    the making of a connection, `idle_ms` how long one is kept; `source` is the local address to connect from.
    """

    def __init__(self, connect_ms: float, idle_ms: float, source: str | None = None, limit: float = inf) -> None:
        self.connect_ms = connect_ms
        self.idle_ms = idle_ms
        self.source = source
        self.limit = limit
        self.idle: dict[str, OrderedDict[ClientConnection, None]] = {}  # of each peer, the most recently used last
        self.idle_of_all: OrderedDict[ClientConnection, None] = OrderedDict()  # the longest idle first
        self.open: set[ClientConnection] = set()
        self.connecting = 0  # connections that are being made
        self.made = 0  # since the start
        self.local_shortages = 0  # tries for a connection that failed for want of something on this machine
        self.age = ConnectionAge(idle_ms)

    def set_limits(self, connect_ms: float, idle_ms: float, limit: float) -> None:
        """Other limits from now on, also for connections that are open; idle ones beyond `limit` close."""
        self.connect_ms = connect_ms
        self.limit = limit
        if idle_ms != self.idle_ms:
            self.idle_ms = idle_ms
            self.age = ConnectionAge(idle_ms)
        while self.idle_of_all and len(self.open) + self.connecting > limit:
            self._close_longest_idle()
        self.sweep()

    async def take(self, peer: str, reuse_delay_ms: float = 0.0) -> ClientConnection:
        """An idle connection that has rested for `reuse_delay_ms`, or else a new one.

        Raises ConnectError where none could be made in time.
        """
        now_s = trio.current_time()
        for connection in list(reversed(self.idle.get(peer, ()))):
            idled_ms = (now_s - connection.idle_since) * 1000
            if connection.has_served and idled_ms < reuse_delay_ms:
                continue
            if idled_ms >= self.idle_ms or connection.dead or self.age.shuns(idled_ms, now_s * 1000):
                connection.close_now()
                continue
            self._remove_idle(connection)
            connection.idled_ms = idled_ms
            return connection
        return await self.connect(peer)

    async def connect(self, peer: str) -> ClientConnection:
        """A new connection. Raises ConnectError."""
        host, _, port = peer.rpartition(":")
        while len(self.open) + self.connecting >= self.limit:
            if not self.idle_of_all:
                raise ConnectError(f"{peer}: {len(self.open)} connections are out, as many as may be")
            self._close_longest_idle()
        self.connecting += 1
        try:
            with trio.fail_after(self.connect_ms / 1000):
                stream = await self._open_stream(host.strip("[]"), int(port))
        except (OSError, trio.TooSlowError) as error:
            raise ConnectError(f"{peer}: {error!r}") from None
        finally:
            self.connecting -= 1
        self.made += 1
        local = stream.socket.getsockname()
        connection = ClientConnection(stream, peer, (local[0], local[1]))
        connection.on_close = self._closed
        self.open.add(connection)
        return connection

    def give_back(self, connection: ClientConnection) -> None:
        """Keeps the connection if its answer is whole. One on which nothing was asked is as good as before."""
        connection.set_read_deadline(inf)
        was_asked = connection.conn.our_state is not h11.IDLE
        if was_asked:
            self._note_reuse(connection)
        is_spent = was_asked and not connection.reusable
        if is_spent or len(self.idle.get(connection.peer, ())) >= MAX_IDLE_PER_PEER:
            connection.close_now()
            return
        if was_asked:
            connection.conn.start_next_cycle()
            connection.has_served = True
        connection.idle_since = trio.current_time()
        self.idle.setdefault(connection.peer, OrderedDict())[connection] = None
        self.idle_of_all[connection] = None

    def forget(self, peer: str) -> None:
        """Closes the idle connections to a peer that is no longer there."""
        for connection in list(self.idle.get(peer, ())):
            connection.close_now()

    def sweep(self) -> None:
        """Closes what has been idle for too long."""
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
        """A connection, tried again while this machine is short of something: that is no fault of the peer's."""
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
        of_peer = self.idle[connection.peer]
        del of_peer[connection]
        if not of_peer:
            del self.idle[connection.peer]

    def _closed(self, connection: ClientConnection) -> None:
        if connection in self.open and connection.broke:
            self._note_reuse(connection)
        self.open.discard(connection)
        self._remove_idle(connection)

    def _note_reuse(self, connection: ClientConnection) -> None:
        """Whether a kept connection still worked when it was used again."""
        if connection.idled_ms is not None:
            self.age.record(connection.idled_ms, connection.broke, trio.current_time() * 1000)


async def open_stream(host: str, port: int, source: str | None) -> trio.SocketStream:
    """A connection to an address; a name takes trio's way, which resolves it. Raises OSError."""
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

"""Rendezvous hashing of prefixes and sessions onto prefill servers.

A server's hash for a key is the product of the key and the server's hash factor modulo 2**32. The servers with the
smallest products are the preferred ones of the key, in this order, which is the same at all gateways.
"""

from __future__ import annotations

import zlib
from bisect import bisect_left
from collections import OrderedDict
from collections.abc import Iterator, Mapping
from dataclasses import dataclass

from ternlane.policy.endpoint_state import EndpointState
from ternlane.policy.endpoint_table import HealthyPrefillServers

# Products are taken modulo 2**32.
HASH_RANGE = 2**32
HASH_MASK = HASH_RANGE - 1
# Servers with a rank for the session. Later ones are assumed to know no more of a prompt than its prefix; with a rank
# they would be assumed to know less than 2 % of the rest.
MAX_RANKED_SERVERS = 64
# Servers whose products with a key are compared. In a larger fleet, these are the ones that follow the key in the order
# of the hash keys, so that the cost does not grow with the fleet. With so many, each server is in about as many sets.
MAX_COMPARED_SERVERS = 128
# Prefixes whose order of servers is kept.
MAX_KEPT_ORDERS = 512
# Servers in a kept order, as a multiple of those wanted: a prefix may become more popular.
ORDER_MARGIN = 2


def in_hash_order(key: int, servers: list[EndpointState]) -> list[EndpointState]:
    """The servers in the order of their products with the key. Equal products stay in the given order."""
    products = [key * server.hash_factor & HASH_MASK for server in servers]
    return [servers[index] for index in sorted(range(len(servers)), key=products.__getitem__)]


def compared_servers(key: int, healthy: HealthyPrefillServers, count: int) -> list[EndpointState]:
    """The `count` servers from which those of a key are chosen; all if there are no more."""
    if count >= len(healthy) or key == 0:  # without a key, all products are equal
        return healthy.listed.items()[:count]
    ring = healthy.hashed.entries
    start = bisect_left(ring, ((key,),))
    return [endpoint for _, endpoint in (ring[start:] + ring[:start])[:count]]


def preferred_for_session(session_key: int, healthy: HealthyPrefillServers) -> PreferredServers:
    """The preferred servers of a request without a prefix."""
    servers = compared_servers(session_key, healthy, MAX_COMPARED_SERVERS)
    return PreferredServers(in_hash_order(session_key, servers)[:MAX_RANKED_SERVERS])


class PreferredServers:
    """The preferred prefill servers of a request: those with a rank, best first, and all that share its prefix."""

    def __init__(
        self,
        ranked: list[EndpointState],
        prefix_ranks: Mapping[EndpointState, int] | None = None,
        prefix_servers: int = 0,
    ) -> None:
        """`prefix_ranks`: the order of the servers for the prefix, of which the first `prefix_servers` cache it."""
        self.ranked = ranked
        self.ranks = dict(zip(ranked, self.all_ranks(), strict=True))
        self._prefix_ranks = prefix_ranks if prefix_ranks is not None else {}
        self._prefix_servers = prefix_servers

    def __iter__(self) -> Iterator[EndpointState]:
        return iter(self.ranked)

    def __len__(self) -> int:
        return len(self.ranked)

    def all_ranks(self) -> range:
        """The ranks of the servers, from 1 on."""
        return range(1, len(self.ranked) + 1)

    @property
    def has_more_for_prefix(self) -> bool:
        """Whether servers without a rank cache the prefix as well."""
        return self._prefix_servers > len(self.ranked)

    def caches_prefix(self, endpoint: EndpointState) -> bool:
        """Whether the server probably caches the prefix of the request."""
        return self._prefix_ranks.get(endpoint, self._prefix_servers) < self._prefix_servers


NO_PREFERRED_SERVERS = PreferredServers([])


@dataclass(slots=True, frozen=True)
class PrefixOrder:
    """The first servers in the order for one prefix, as of a version of the healthy servers."""

    version: int
    servers: list[EndpointState]
    ranks: dict[EndpointState, int]


class PrefixOrders:
    """The order of the servers for the prefixes used most recently."""

    def __init__(self) -> None:
        self._orders: OrderedDict[str, PrefixOrder] = OrderedDict()

    def preferred_servers(
        self, healthy: HealthyPrefillServers, prefix: str, server_count: int, session_key: int
    ) -> PreferredServers:
        """The first `server_count` servers for the prefix, in the order for the session."""
        count = min(server_count, len(healthy))
        order = self._order(healthy, prefix, count)
        first = session_key % count if count > MAX_COMPARED_SERVERS else 0
        servers = order.servers[:count]
        compared = (servers[first:] + servers[:first])[:MAX_COMPARED_SERVERS]
        return PreferredServers(in_hash_order(session_key, compared)[:MAX_RANKED_SERVERS], order.ranks, count)

    def _order(self, healthy: HealthyPrefillServers, prefix: str, count: int) -> PrefixOrder:
        """The kept order, or a new one if it is outdated or shorter than `count`."""
        order = self._orders.get(prefix)
        if order is None or order.version != healthy.version or len(order.servers) < count:
            key = zlib.crc32(prefix.encode())
            compared = compared_servers(key, healthy, max(MAX_COMPARED_SERVERS, ORDER_MARGIN * count))
            servers = in_hash_order(key, compared)
            order = PrefixOrder(healthy.version, servers, {server: rank for rank, server in enumerate(servers)})
            self._orders[prefix] = order
        self._orders.move_to_end(prefix)
        if len(self._orders) > MAX_KEPT_ORDERS:
            self._orders.popitem(last=False)
        return order

"""How gateways that answer alone share one budget: floors that are always theirs, and a pool that is lent.

Of a tenant's rates each gateway holds FLOOR/n for good. The rest is lent: a gateway that runs short asks the lender,
in the background, and holds what it got until its lease ends. A part is lent again only when its lease and the clocks'
`skew` are over, so parts never add up to more than one: spending stays within burst + rate * time, plus what open
generations overrun their reservations. A gateway that can't reach the lender, or dies, is back at its floor when the
lease ends. Of a period's tokens the pool is drawn in chunks that are not returned: at most one unspent chunk a dead
gateway is lost until the period ends.

The lender is a table and a rule; where it lies (a file, an appointed gateway) is the transport's matter.
"""
from __future__ import annotations

from dataclasses import dataclass, field

import msgspec

FLOOR = 0.5
CHUNKS = 8    # that a gateway could draw of its even share of the pool


class Lease(msgspec.Struct, array_like=True):
    part: float
    until: float    # seconds since 1970
    want: float


class Drawn(msgspec.Struct, array_like=True):
    period: str
    toks: float


class Table(msgspec.Struct):
    leases: dict[str, dict[str, Lease]] = {}
    drawn: dict[str, Drawn] = {}


@dataclass
class Lender:
    """One table for all gateways; every call is one atomic change of it."""
    gateways: int
    ttl_s: float = 10.0
    skew_s: float = 1.0
    table: Table = field(default_factory=Table)

    @property
    def floor(self) -> float:
        return FLOOR / self.gateways

    def ask(self, tenant: str, gateway: str, want: float, now: float) -> Lease:
        """`want` is the part of the rates that the gateway could use beside its floor; 0 gives the lease back. Where
        more is wanted than there is, each gets its even share and what others leave of theirs. A gateway holding more
        than that gets less at its next renewal, and others only then get what it gave back."""
        leases = self.table.leases.setdefault(tenant, {})
        for name in [n for n, lease in leases.items() if n != gateway and lease.until + self.skew_s < now]:
            del leases[name]
        mine = leases.pop(gateway, None)
        if want <= 0:
            if not leases:
                del self.table.leases[tenant]
            return Lease(0.0, now, 0.0)
        others = sum(lease.part for lease in leases.values())
        entitled = fair(want, [lease.want for lease in leases.values()], 1 - FLOOR)
        part = max(0.0, min(entitled, 1 - FLOOR - others))
        del mine
        lease = Lease(part, now + self.ttl_s, want)
        leases[gateway] = lease
        return lease

    def draw(self, tenant: str, period: str, budget: int) -> float:
        """Another chunk of the period's pool; 0 when it is empty."""
        drawn = self.table.drawn.get(tenant)
        if drawn is None or drawn.period < period:    # a clock set back does not open an old period anew
            drawn = self.table.drawn[tenant] = Drawn(period, 0.0)
        pool = budget * (1 - FLOOR)
        chunk = max(0.0, min(pool / self.gateways / CHUNKS, pool - drawn.toks)) if drawn.period == period else 0.0
        drawn.toks += chunk
        return chunk


def fair(mine: float, others: list[float], pool: float) -> float:
    """Max-min fair: what I get of a pool when everybody has said what they want."""
    left, wants = pool, sorted([(w, 0) for w in others] + [(mine, 1)])
    for i, (want, me) in enumerate(wants):
        share = min(want, left / (len(wants) - i))
        if me:
            return share
        left -= share
    return 0.0


@dataclass
class Borrower:
    """One gateway's side for one tenant: what it holds, and how much more it wants, by what it could not admit."""
    lender_floor: float
    lease: Lease = field(default_factory=lambda: Lease(0.0, 0.0, 0.0))
    used: float = 0.0       # tokens reserved since the last look
    refused: float = 0.0    # tokens refused for the rate since then

    def part(self, now: float) -> float:
        """What it may use now: the floor alone once the lease is over."""
        return self.lender_floor + (self.lease.part if now < self.lease.until else 0.0)

    def want(self, minute: int, span_s: float) -> float:
        """The part of the rates beside the floor that the traffic of the last span could use; looked at once a span."""
        seen = (self.used + self.refused) / max(minute * span_s / 60, 1e-9)
        self.used = self.refused = 0.0
        return min(1.0, max(0.0, 1.2 * seen - self.lender_floor))

"""The roll of tenants: keys, budgets and prices, as the operators' commands write it."""

from __future__ import annotations

from typing import Annotated, Literal
from zoneinfo import ZoneInfo, ZoneInfoNotFoundError

import msgspec
from msgspec import Meta

from ternlane.config.gateway import Count, Name, NotNegative, ConfigDocument
from ternlane.tenants.keys import NOBODY, fits, split_key

Tokens = Annotated[int, Meta(ge=0, le=10**15)]
Micros = Annotated[int, Meta(ge=0, le=10**9)]


class Budget(ConfigDocument, frozen=True, kw_only=True):
    """What may be spent; None: no limit of that kind. Tokens are prompt and answer tokens together."""

    minute: Tokens | None = None  # refilled continuously
    burst: Tokens | None = None  # the most that may be saved up (a minute's worth if not stated)
    period: Tokens | None = None  # tokens a billing period
    at_once: Count | None = None  # generations
    overdraft: Tokens = 0  # how far overruns may go before new generations are refused
    cut: bool = False  # end a stream whose overrun passes the overdraft

    @property
    def most_saved(self) -> int:
        return (self.minute or 0) if self.burst is None else self.burst


class Prices(ConfigDocument, frozen=True, kw_only=True):
    """Micro-units of money a token: whole numbers, as all money here."""

    prompt: Micros = 0
    kept: Micros = 0
    answer: Micros = 0


class KeyLine(ConfigDocument, frozen=True, kw_only=True):
    name: Name
    salt: str
    hash: str
    state: Literal["live", "retiring", "revoked"] = "live"
    until: NotNegative = 0.0  # seconds since 1970; a retiring key ends then


class TenantLine(ConfigDocument, frozen=True, kw_only=True):
    name: Name
    keys: list[KeyLine] = []
    budget: Budget = Budget()
    request_classes: dict[str, Budget] = {}  # further budgets for single products, beside the one for all
    prices: dict[str, Prices] = {}  # by product; "*" for the others
    zone: str = "UTC"  # of the billing period's edges
    period: Literal["day", "month"] = "month"

    def __post_init__(self) -> None:
        try:
            ZoneInfo(self.zone)
        except (ZoneInfoNotFoundError, ValueError, OSError):
            raise ValueError(f"zone {self.zone!r} is unknown") from None

    def price(self, request_class: str) -> Prices:
        return self.prices.get(request_class) or self.prices.get("*") or Prices()


class TenantRegistryConfig(ConfigDocument, frozen=True, kw_only=True):
    tenants: list[TenantLine] = []

    def __post_init__(self) -> None:
        seen: set[str] = set()
        for tenant in self.tenants:
            for name in (tenant.name, *(f"key {k.name}" for k in tenant.keys)):
                if name in seen:
                    raise ValueError(f"{name!r} is given twice")
                seen.add(name)


class Unknown(Exception):
    """No live key: the caller hears the same whatever was wrong."""


class TenantRegistry:
    """Finds the tenant of a key. A key that ends does not touch generations that are open."""

    def __init__(self, config: TenantRegistryConfig) -> None:
        self.tenants = {t.name: t for t in config.tenants}
        self.keys = {k.name: (k, t) for t in config.tenants for k in t.keys}

    def whose(self, header: str | None, now_s: float) -> TenantLine:
        """`header` is the Authorization field. Raises Unknown; hashes exactly once on every way."""
        scheme, _, key = (header or "").partition(" ")
        name, secret = split_key(key.strip())
        found = self.keys.get(name)
        salt, kept = (found[0].salt, found[0].hash) if found is not None else NOBODY
        right = fits(secret, salt, kept)
        if found is None or not right or scheme.lower() != "bearer":
            raise Unknown
        line, tenant = found
        if line.state == "revoked" or (line.state == "retiring" and now_s >= line.until):
            raise Unknown
        return tenant


def replace_tenant(config: TenantRegistryConfig, tenant: TenantLine) -> TenantRegistryConfig:
    rest = [t for t in config.tenants if t.name != tenant.name]
    return msgspec.structs.replace(config, tenants=[*rest, tenant])

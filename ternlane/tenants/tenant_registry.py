"""Tenants with their keys, budgets and prices, as the file of tenants states them, and who a key belongs to."""

from __future__ import annotations

from typing import Annotated, Literal
from zoneinfo import ZoneInfo, ZoneInfoNotFoundError

import msgspec
from msgspec import Meta

from ternlane.config.gateway import ConfigDocument, Count, Name, NonNegative
from ternlane.tenants.api_keys import UNKNOWN_KEY_HASH, UNKNOWN_KEY_SALT, secret_matches, split_key
from ternlane.tenants.billing import TokenUsage

Tokens = Annotated[int, Meta(ge=0, le=10**15)]
Micros = Annotated[int, Meta(ge=0, le=10**9)]


class Budget(ConfigDocument, frozen=True, kw_only=True):
    """What may be spent; None: no limit of that kind. Tokens are prompt and answer tokens together."""

    minute: Tokens | None = None  # refilled continuously
    burst: Tokens | None = None  # the most that may be saved up (a minute's worth if not stated)
    period: Tokens | None = None  # tokens a billing period
    at_once: Count | None = None  # requests
    overdraft: Tokens = 0  # how far overruns may go before new requests are rejected
    cut: bool = False  # end a stream whose overrun passes the overdraft

    @property
    def burst_tokens(self) -> int:
        """Tokens: the capacity of the bucket of the rate."""
        return (self.minute or 0) if self.burst is None else self.burst


class Prices(ConfigDocument, frozen=True, kw_only=True):
    """Micro-units of money a token, for those of the prompt, cached ones of it, and the answer. Whole numbers, as all
    money here."""

    prompt: Micros = 0
    cached: Micros = 0
    answer: Micros = 0

    def amount(self, usage: TokenUsage) -> int:
        """What this usage costs, in micro-units of money."""
        uncached = usage.prompt - usage.cached
        return uncached * self.prompt + usage.cached * self.cached + usage.answer * self.answer


class ApiKey(ConfigDocument, frozen=True, kw_only=True):
    """A key of a tenant: its public name, and the salted hash of its secret."""

    name: Name
    salt: str
    hash: str
    state: Literal["live", "retiring", "revoked"] = "live"
    until: NonNegative = 0.0  # seconds since 1970; a retiring key ends then


class Tenant(ConfigDocument, frozen=True, kw_only=True):
    """One tenant. `request_classes` holds further budgets for single classes, beside the one for all."""

    name: Name
    keys: list[ApiKey] = []
    budget: Budget = Budget()
    request_classes: dict[str, Budget] = {}
    prices: dict[str, Prices] = {}  # by request class; "*" for the others
    zone: str = "UTC"  # of the billing period's edges
    period: Literal["day", "month"] = "month"

    def __post_init__(self) -> None:
        try:
            ZoneInfo(self.zone)
        except (ZoneInfoNotFoundError, ValueError, OSError):
            raise ValueError(f"zone {self.zone!r} is unknown") from None

    def price(self, request_class: str) -> Prices:
        """The prices of a request class; nothing costs anything where none are stated."""
        return self.prices.get(request_class) or self.prices.get("*") or Prices()


class TenantRegistryConfig(ConfigDocument, frozen=True, kw_only=True):
    """The file of tenants. No name of a tenant or of a key may stand in it twice."""

    tenants: list[Tenant] = []

    def __post_init__(self) -> None:
        seen: set[str] = set()
        for tenant in self.tenants:
            for name in (tenant.name, *(f"key {key.name}" for key in tenant.keys)):
                if name in seen:
                    raise ValueError(f"{name!r} is given twice")
                seen.add(name)


class UnknownKeyError(Exception):
    """No live key. It does not say what was wrong, as the caller must not learn that."""


class TenantRegistry:
    """Finds the tenant of a key. A key that ends does not touch requests that are in flight."""

    def __init__(self, config: TenantRegistryConfig) -> None:
        self.tenants = {tenant.name: tenant for tenant in config.tenants}
        self._keys = {key.name: (key, tenant) for tenant in config.tenants for key in tenant.keys}

    def authenticate(self, header: str | None, now_s: float) -> Tenant:
        """The tenant by the Authorization field; `now_s` is in seconds since 1970. Raises UnknownKeyError. Hashes
        exactly once whatever is wrong, so that the time taken tells nothing."""
        scheme, _, whole_key = (header or "").partition(" ")
        name, secret = split_key(whole_key.strip())
        found = self._keys.get(name)
        if found is None:
            secret_matches(secret, UNKNOWN_KEY_SALT, UNKNOWN_KEY_HASH)
            raise UnknownKeyError
        key, tenant = found
        right = secret_matches(secret, key.salt, key.hash)
        if not right or scheme.lower() != "bearer" or not _is_live(key, now_s):
            raise UnknownKeyError
        return tenant


def _is_live(key: ApiKey, now_s: float) -> bool:
    if key.state == "retiring":
        return now_s < key.until
    return key.state == "live"


def replace_tenant(config: TenantRegistryConfig, tenant: Tenant) -> TenantRegistryConfig:
    """A copy of the file's content in which this tenant takes the place of the one of its name, at the end."""
    others = [other for other in config.tenants if other.name != tenant.name]
    return msgspec.structs.replace(config, tenants=[*others, tenant])

"""The tenants file: tenants with their API keys, budgets and prices; and the lookup of a tenant by API key."""

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
    """Limits on a tenant's usage; None: no limit. Tokens are prompt and answer tokens together."""

    minute: Tokens | None = None  # tokens per minute, refilled continuously
    burst: Tokens | None = None  # most tokens that may accumulate; by default those of a minute
    period: Tokens | None = None  # tokens per billing period
    at_once: Count | None = None  # concurrent requests
    overdraft: Tokens = 0  # tokens that requests may use beyond the level of the bucket
    cut: bool = False  # end streams that exceed the overdraft

    @property
    def burst_tokens(self) -> int:
        """The burst in tokens, with its default."""
        return (self.minute or 0) if self.burst is None else self.burst


class Prices(ConfigDocument, frozen=True, kw_only=True):
    """Prices per token in millionths of the currency unit, for uncached and cached prompt tokens and answer tokens.
    Amounts of money are integers throughout."""

    prompt: Micros = 0
    cached: Micros = 0
    answer: Micros = 0

    def amount(self, usage: TokenUsage) -> int:
        """The price of this usage, in millionths of the currency unit."""
        uncached = usage.prompt - usage.cached
        return uncached * self.prompt + usage.cached * self.cached + usage.answer * self.answer


class ApiKey(ConfigDocument, frozen=True, kw_only=True):
    """An API key of a tenant: its public name and the salted hash of its secret."""

    name: Name
    salt: str
    hash: str
    state: Literal["live", "retiring", "revoked"] = "live"
    until: NonNegative = 0.0  # when a retiring key expires, in seconds since 1970


class Tenant(ConfigDocument, frozen=True, kw_only=True):
    """A tenant. `request_classes` holds budgets for single request classes, which apply in addition to `budget`."""

    name: Name
    keys: list[ApiKey] = []
    budget: Budget = Budget()
    request_classes: dict[str, Budget] = {}
    prices: dict[str, Prices] = {}  # by request class; "*": all other classes
    zone: str = "UTC"  # time zone of the billing periods
    period: Literal["day", "month"] = "month"

    def __post_init__(self) -> None:
        try:
            ZoneInfo(self.zone)
        except (ZoneInfoNotFoundError, ValueError, OSError):
            raise ValueError(f"unknown time zone {self.zone!r}") from None

    def price(self, request_class: str) -> Prices:
        """The prices of a request class; zero if none are configured."""
        return self.prices.get(request_class) or self.prices.get("*") or Prices()


class TenantRegistryConfig(ConfigDocument, frozen=True, kw_only=True):
    """The content of the tenants file. Names of tenants and of keys are unique."""

    tenants: list[Tenant] = []

    def __post_init__(self) -> None:
        seen: set[str] = set()
        for tenant in self.tenants:
            for name in (tenant.name, *(f"key {key.name}" for key in tenant.keys)):
                if name in seen:
                    raise ValueError(f"duplicate name {name!r}")
                seen.add(name)


class InvalidKeyError(Exception):
    """The API key is not valid. The error does not tell why: callers must not learn which part of a key is wrong."""


class TenantRegistry:
    """Authenticates requests by API key. Requests in flight are not affected when their key expires or is revoked."""

    def __init__(self, config: TenantRegistryConfig) -> None:
        self.tenants = {tenant.name: tenant for tenant in config.tenants}
        self._keys = {key.name: (key, tenant) for tenant in config.tenants for key in tenant.keys}

    def authenticate(self, header: str | None, now_s: float) -> Tenant:
        """The tenant of the key in an Authorization header; `now_s` is in seconds since 1970. Raises InvalidKeyError.
        Always computes exactly one hash, so that timing does not reveal what is wrong."""
        scheme, _, full_key = (header or "").partition(" ")
        name, secret = split_key(full_key.strip())
        found = self._keys.get(name)
        if found is None:
            secret_matches(secret, UNKNOWN_KEY_SALT, UNKNOWN_KEY_HASH)
            raise InvalidKeyError
        key, tenant = found
        secret_valid = secret_matches(secret, key.salt, key.hash)
        if not secret_valid or scheme.lower() != "bearer" or not _is_live(key, now_s):
            raise InvalidKeyError
        return tenant


def _is_live(key: ApiKey, now_s: float) -> bool:
    if key.state == "retiring":
        return now_s < key.until
    return key.state == "live"


def replace_tenant(config: TenantRegistryConfig, tenant: Tenant) -> TenantRegistryConfig:
    """A copy of the configuration in which this tenant replaces the one with the same name, and is the last."""
    others = [other for other in config.tenants if other.name != tenant.name]
    return msgspec.structs.replace(config, tenants=[*others, tenant])

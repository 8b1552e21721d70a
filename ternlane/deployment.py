"""Converts the settings object of a gateway into the router's configuration and objects. Does no I/O.

The simulator adapter and the platform gateway both use this module, so the same settings, endpoint list and request
give the router the same input in both. No other module uses the names of the settings. Missing values get the
documented defaults; malformed ones raise ValueError.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import astuple
from math import inf
from typing import Any
from zlib import crc32

from ternlane.policy.messages import Effect, Group, Report, Request, RequestClass, Role, RouterConfig, Server, Tenant

# Values in the settings.
EFFECTS = {"idempotent": Effect.IDEMPOTENT, "deduplicated": Effect.DEDUPLICATED, "at_most_once": Effect.SIDE_EFFECTING}
GROUPS = {"all": Group.ALL, "zone": Group.ZONE, "cell": Group.CELL}
ROLES = {"read": Role.PREFILL, "write": Role.DECODE, "both": Role.BOTH}

Section = Mapping[str, Any]


class Deployment:
    """The request classes, tenants and server kinds by name, and the router's configuration.

    `before` is the deployment that this one replaces. A request class with unchanged terms and a tenant of the same
    name remain the same objects, so that the statistics about them are kept. Other classes and tenants start without
    statistics. Raises ValueError for malformed settings.
    """

    def __init__(self, seed: int, settings: Section, before: Deployment | None = None) -> None:
        self.settings = settings
        self.request_classes: dict[str, RequestClass] = {}
        self.tenants: dict[str, Tenant] = {}
        try:
            self._read_reports(settings.get("report", {}))
            self._read_kinds(settings.get("kinds", []), settings.get("specifics", {}))
            self.request_classes = _request_classes(settings, before.request_classes if before is not None else {})
            self.tenants = _tenants(settings, before.tenants if before is not None else {})
            self.router_config = self._router_config(seed, settings)
        except (KeyError, TypeError, AttributeError) as error:
            raise ValueError(f"settings: {type(error).__name__}: {error}") from None
        for name, request_class in self.request_classes.items():
            _check_numbers(name, request_class)

    def server(self, name: str, zone: str, kind: str, cell: int) -> Server:
        """Creates the object of a server that this gateway did not know before."""
        role = self.role.get(kind, Role.BOTH)
        return Server(zone, cell, role, self.kv_capacity_tokens.get(kind, 0.0), hash_key=crc32(name.encode()))

    def report(self, values: Mapping[str, float]) -> Report | None:
        """Creates a load report from values under the names of the settings; None if there are none, or if the settings
        provide no reports."""
        return Report(values.get("outstanding"), values.get("x0")) if values and self.columns else None

    def request(
        self,
        request_class: RequestClass,
        session: str | None,
        prefix: str | None,
        prefix_tokens: float,
        prompt_tokens: float,
        max_tokens: float,
        client_timeout_ms: float,
        tenant: str = "",
    ) -> Request:
        """Creates the request object for the router. `tenant` is a name, which may be unknown."""
        return Request(
            request_class,
            session,
            prefix,
            prefix_tokens,
            prompt_tokens,
            max_tokens,
            client_timeout_ms,
            tenant=self.tenants.get(tenant),
        )

    def _read_reports(self, report: Section) -> None:
        how = report.get("how", "off")
        self.columns: list[str] = report.get("columns", []) if how != "off" else []
        self.reports_on_probe = how == "on_probe"

    def _read_kinds(self, kinds: list[str], specifics: Section) -> None:
        """Reads the role and the KV capacity of each server kind."""
        roles = specifics.get("duty_by_kind", [])
        capacities = specifics.get("tokens_by_kind", [])
        self.role = {kind: ROLES.get(role, Role.BOTH) for kind, role in zip(kinds, roles, strict=False)}
        self.kv_capacity_tokens = {kind: float(tokens) for kind, tokens in zip(kinds, capacities, strict=False)}

    def _router_config(self, seed: int, settings: Section) -> RouterConfig:
        limits = settings.get("limits", {})
        rules = settings.get("invariants", {})
        specifics = settings.get("specifics", {})
        return RouterConfig(
            seed=seed,
            gateways=max(1, int(_non_negative_number("gateways", settings, "n_instances", 1))),
            zone=settings.get("locality", ""),
            request_classes=tuple(self.request_classes.values()),
            max_attempts=int(_non_negative_number("max_attempts", limits, "most_tries", 1)),
            may_cancel=bool(limits.get("cancel")),
            may_reserve=bool(specifics.get("holds_allowed")),
            may_probe=bool(limits.get("probes")),
            may_send_retry_after=bool(limits.get("retry_after")),
            must_subscribe=settings.get("discovery") == "ask",
            ask_within_ms=_non_negative_number("ask_within_ms", rules, "ask_within", 0.0),
            decode_servers_prefill=bool(specifics.get("read_in_place")),
            reports_mem="x0" in self.columns,
            max_retry_after_ms=_non_negative_number("max_retry_after_ms", limits, "max_retry_after", 0.0),
            connect_ms=_non_negative_number("connect_ms", limits, "connect_timeout", 0.0),
            idle_ms=_non_negative_number("idle_ms", limits, "conn_idle", 0.0),
            release_ms=_non_negative_number("release_ms", specifics, "release", 0.0),
            drain_grace_ms=_non_negative_number("drain_grace_ms", rules, "drain_grace", 0.0),
            slow_start_ms=_non_negative_number("slow_start_ms", rules, "cold", 0.0),
            slow_start_share=_non_negative_number("slow_start_share", rules, "cold_from", 1.0),
            fall_multiple=_non_negative_number("fall_multiple", rules, "overload_factor", 1.0),
            fall_ms=_non_negative_number("fall_ms", rules, "overload_for", 0.0),
            step_ms=_non_negative_number("step_ms", settings, "step", 1.0),
            reports_on_probe=self.reports_on_probe,
            releases_spare_attempts=True,
        )


def _request_classes(settings: Section, before: Mapping[str, RequestClass]) -> dict[str, RequestClass]:
    specifics = settings.get("specifics", {})
    slo_us_per_1000_tokens = specifics.get("aim_us_per_1000_prompt_tokens", [])
    token_slo_ms = specifics.get("token_aim", [])
    request_classes: dict[str, RequestClass] = {}
    for nth, profile in enumerate(settings.get("profiles", [])):
        name = profile["name"]
        new = _request_class(
            profile,
            slo_us_per_1000_tokens=slo_us_per_1000_tokens[nth] if nth < len(slo_us_per_1000_tokens) else 0.0,
            token_slo_ms=token_slo_ms[nth] if nth < len(token_slo_ms) else 0.0,
        )
        old = before.get(name)
        is_unchanged = old is not None and astuple(old) == astuple(new)
        request_classes[name] = old if old is not None and is_unchanged else new
    return request_classes


def _request_class(profile: Section, slo_us_per_1000_tokens: float, token_slo_ms: float) -> RequestClass:
    of_class = f"of class {profile['name']!r}"
    return RequestClass(
        effect=EFFECTS.get(profile.get("semantics", ""), Effect.SIDE_EFFECTING),
        group=GROUPS.get(profile.get("group", ""), Group.CELL),
        window_ms=_non_negative_number(f"window_ms {of_class}", profile, "key_ttl", 0.0),
        slo_ms=_non_negative_number(f"slo_ms {of_class}", profile, "aim", None),
        slo_per_1000_tokens_ms=slo_us_per_1000_tokens / 1000.0,
        token_slo_ms=token_slo_ms,
        deadline_ms=_non_negative_number(f"deadline_ms {of_class}", profile, "deadline", None),
        priority_weight=_non_negative_number(f"priority_weight {of_class}", profile, "worth", 1.0),
        late_value_share=_non_negative_number(f"late_value_share {of_class}", profile, "late_worth", 0.0),
    )


def _tenants(settings: Section, before: Mapping[str, Tenant]) -> dict[str, Tenant]:
    names = [tenant["name"] for tenant in settings.get("tenants", [])]
    return {name: before.get(name) or Tenant() for name in names}


def _non_negative_number(name: str, section: Section, key: str, default: float | None) -> float:
    """Returns a non-negative number from the settings.

    Raises ValueError with its name for any other value, and if it is missing without a default.
    """
    value = section.get(key)
    if value is None and default is not None:
        return default
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not 0 <= value < inf:
        raise ValueError(f"settings: {name} ({key}) must be a non-negative number, got {value!r}")
    return value


def _check_numbers(name: str, request_class: RequestClass) -> None:
    """Checks the numbers of a class, including those from lists in the settings. Raises ValueError."""
    numbers = astuple(request_class)[2:]  # after effect and group
    if not all(isinstance(value, (int, float)) and 0 <= value < inf for value in numbers):
        raise ValueError(f"settings: class {name!r} has a value that is not a non-negative number")

"""From the settings object that an instance is given to what the decisions are told. Free of I/O.

The simulator's adapter and the platform's gateway both come here, so the same object, list and request give the
decisions equal facts on either way. What is missing has the page's default; what has another form raises ValueError.
"""

from __future__ import annotations

from dataclasses import astuple
from math import inf
from typing import Any, Mapping
from zlib import crc32

from ternlane.policy.messages import Role, Effect, Request, Group, RequestClass, Report, Server, RouterConfig, Tenant

EFFECTS = {"idempotent": Effect.IDEMPOTENT, "deduplicated": Effect.DEDUPLICATED, "at_most_once": Effect.SIDE_EFFECTING}
GROUPS = {"all": Group.ALL, "zone": Group.ZONE, "cell": Group.CELL}
ROLES = {"read": Role.PREFILL, "write": Role.DECODE, "both": Role.BOTH}


def figure(name: str, section: Mapping[str, Any], key: str, default: float | None) -> float:
    """A figure of the settings: a number that is not negative. Raises ValueError, which names it, for any other, and
    where it is missing and has no default."""
    value = section.get(key)
    if value is None and default is not None:
        return default
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not 0 <= value < inf:
        raise ValueError(f"settings: {name} ({key}) must be a number, not negative: {value!r}")
    return value


class Deployment:
    """Products, tenants and kinds of servers by their names, and the start facts. A product of `before`, the settings
    that these replace, whose terms are the same stays the object that it is, with all that was learnt of it, and so
    does a tenant of the same name. What is learnt of any other belongs to it alone."""

    def __init__(self, seed: int, told: Mapping[str, Any], before: Deployment | None = None) -> None:
        self.told = told
        try:
            self._read(
                seed,
                told,
                before.request_classes if before is not None else {},
                before.tenants if before is not None else {},
            )
        except (KeyError, TypeError, AttributeError) as why:
            raise ValueError(f"settings: {type(why).__name__}: {why}") from None

    def _read(
        self, seed: int, told: Mapping[str, Any], held: Mapping[str, RequestClass], held_tenants: Mapping[str, Tenant]
    ) -> None:
        limits, rules, spec = told.get("limits", {}), told.get("invariants", {}), told.get("specifics", {})
        report = told.get("report", {})
        how = report.get("how", "off")
        self.columns: list[str] = report.get("columns", []) if how != "off" else []
        self.probes_allowed, self.holds_allowed = bool(limits.get("probes")), bool(spec.get("holds_allowed"))
        kinds = told.get("kinds", [])
        self.role = {k: ROLES.get(d, Role.BOTH) for k, d in zip(kinds, spec.get("duty_by_kind", []))}
        self.mem = {k: float(tokens) for k, tokens in zip(kinds, spec.get("tokens_by_kind", []))}
        per_1000_tokens, token_slo = spec.get("aim_us_per_1000_prompt_tokens", []), spec.get("token_aim", [])
        self.request_classes: dict[str, RequestClass] = {}
        for i, p in enumerate(told.get("profiles", [])):
            of_class = f"of class {p['name']!r}"
            new = RequestClass(
                effect=EFFECTS.get(p.get("semantics", ""), Effect.SIDE_EFFECTING),
                group=GROUPS.get(p.get("group", ""), Group.CELL),
                window_ms=figure(f"window_ms {of_class}", p, "key_ttl", 0.0),
                slo_ms=figure(f"slo_ms {of_class}", p, "aim", None),
                slo_per_1000_tokens_ms=per_1000_tokens[i] / 1000.0 if i < len(per_1000_tokens) else 0.0,
                token_slo_ms=token_slo[i] if i < len(token_slo) else 0.0,
                deadline_ms=figure(f"deadline_ms {of_class}", p, "deadline", None),
                priority_weight=figure(f"priority_weight {of_class}", p, "worth", 1.0),
                late_value_share=figure(f"late_value_share {of_class}", p, "late_worth", 0.0),
            )
            old = held.get(p["name"])
            self.request_classes[p["name"]] = old if old is not None and astuple(old) == astuple(new) else new
        self.tenants = {t["name"]: held_tenants.get(t["name"]) or Tenant() for t in told.get("tenants", [])}
        self.router_config = RouterConfig(
            seed=seed,
            gateways=max(1, int(figure("gateways", told, "n_instances", 1))),
            zone=told.get("locality", ""),
            request_classes=tuple(self.request_classes.values()),
            max_attempts=int(figure("max_attempts", limits, "most_tries", 1)),
            may_cancel=bool(limits.get("cancel")),
            may_reserve=self.holds_allowed,
            may_probe=self.probes_allowed,
            may_send_retry_after=bool(limits.get("retry_after")),
            must_subscribe=told.get("discovery") == "ask",
            ask_within_ms=figure("ask_within_ms", rules, "ask_within", 0.0),
            decode_servers_prefill=bool(spec.get("read_in_place")),
            reports_mem="x0" in self.columns,
            max_retry_after_ms=figure("max_retry_after_ms", limits, "max_retry_after", 0.0),
            connect_ms=figure("connect_ms", limits, "connect_timeout", 0.0),
            idle_ms=figure("idle_ms", limits, "conn_idle", 0.0),
            release_ms=figure("release_ms", spec, "release", 0.0),
            drain_grace_ms=figure("drain_grace_ms", rules, "drain_grace", 0.0),
            slow_start_ms=figure("slow_start_ms", rules, "cold", 0.0),
            slow_start_share=figure("slow_start_share", rules, "cold_from", 1.0),
            fall_multiple=figure("fall_multiple", rules, "overload_factor", 1.0),
            fall_ms=figure("fall_ms", rules, "overload_for", 0.0),
            step_ms=figure("step_ms", told, "step", 1.0),
            reports_on_probe=how == "on_probe",
            releases_spare_attempts=True,
        )
        for name, request_class in self.request_classes.items():
            if not all(isinstance(v, (int, float)) and 0 <= v < inf for v in astuple(request_class)[2:]):
                raise ValueError(f"settings: a figure of class {name!r} is no number, or negative")

    def server(self, ident: str, zone: str, kind: str, cell: int) -> Server:
        return Server(
            zone, cell, self.role.get(kind, Role.BOTH), self.mem.get(kind, 0.0), hash_key=crc32(ident.encode())
        )

    def report(self, said: Mapping[str, float]) -> Report | None:
        """A report by the names of its figures."""
        return Report(said.get("outstanding"), said.get("x0")) if said and self.columns else None

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

"""From the operator's document to what the decisions are told at start."""

from __future__ import annotations

from dataclasses import astuple, dataclass

from ternlane.chat.intake import EFFECTS, GROUPS
from ternlane.config import GatewayConfig
from ternlane.policy.messages import RequestClass, RouterConfig

STEP_MS = 1.0  # the host hands events over as they come


@dataclass(slots=True, frozen=True)
class Offer:
    """What a document comes to: products by their names and by all model names, the longest answer of each, and what
    the decisions are told."""

    request_classes: dict[str, RequestClass]
    models: dict[str, RequestClass]
    max_tokens: dict[RequestClass, int]
    router_config: RouterConfig


def offer_of(config: GatewayConfig, held: dict[str, RequestClass] | None = None) -> Offer:
    """A product of `held` whose terms are the same stays the object that it is, with all that was learnt of it; a
    changed one is another, and what was taken before keeps its own."""
    request_classes: dict[str, RequestClass] = {}
    for p in config.request_classes:
        new = RequestClass(
            EFFECTS[p.effect],
            GROUPS[p.group],
            p.window_ms,
            p.slo_ms,
            p.slo_per_1000_tokens_ms,
            p.token_slo_ms,
            p.deadline_ms,
            p.priority_weight,
            p.late_value_share,
        )
        old = (held or {}).get(p.name)
        request_classes[p.name] = old if old is not None and astuple(old) == astuple(new) else new
    return Offer(
        request_classes,
        {model: request_classes[p.name] for p in config.request_classes for model in (p.name, *p.models)},
        {request_classes[p.name]: p.max_tokens for p in config.request_classes},
        facts_of(config, request_classes),
    )


def facts_of(config: GatewayConfig, request_classes: dict[str, RequestClass]) -> RouterConfig:
    fleet = config.fleet
    return RouterConfig(
        seed=config.seed,
        gateways=config.gateways,
        zone=config.zone,
        request_classes=tuple(request_classes.values()),
        max_attempts=fleet.max_attempts,
        may_cancel=fleet.may_cancel,
        may_reserve=fleet.holds,
        may_probe=fleet.ask_load,
        may_send_retry_after=fleet.max_retry_after_ms > 0,
        must_subscribe=False,
        ask_within_ms=0.0,
        decode_servers_prefill=fleet.decode_servers_prefill,
        reports_mem=fleet.reports_mem,
        max_retry_after_ms=fleet.max_retry_after_ms,
        connect_ms=fleet.connect_ms,
        idle_ms=fleet.idle_ms,
        release_ms=fleet.release_ms,
        drain_grace_ms=fleet.drain_grace_ms,
        slow_start_ms=fleet.slow_start_ms,
        slow_start_share=fleet.slow_start_share,
        fall_multiple=fleet.fall_multiple,
        fall_ms=fleet.fall_ms,
        step_ms=STEP_MS,
        reports_on_probe=fleet.ask_load,
    )

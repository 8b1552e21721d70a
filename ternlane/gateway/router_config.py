"""Builds the router's configuration from the gateway's configuration file."""

from __future__ import annotations

from dataclasses import astuple, dataclass

from ternlane.chat.intake import EFFECTS, GROUPS
from ternlane.config import GatewayConfig, RequestClassConfig
from ternlane.policy.messages import RequestClass, RouterConfig

STEP_MS = 1.0  # the runtime dispatches events as they arrive


@dataclass(slots=True, frozen=True)
class ConfiguredModels:
    """The configured request classes by name and by model name, the maximum answer tokens of each, and the router's
    configuration."""

    request_classes: dict[str, RequestClass]
    models: dict[str, RequestClass]
    max_tokens: dict[RequestClass, int]
    router_config: RouterConfig


def configure_models(config: GatewayConfig, previous: dict[str, RequestClass] | None = None) -> ConfiguredModels:
    """Builds the request classes. One that is unchanged from `previous` stays the same object, and so keeps its learned
    statistics; a changed one is a new object, and requests admitted before keep the old one."""
    request_classes = {
        line.name: build_request_class(line, (previous or {}).get(line.name)) for line in config.request_classes
    }
    models: dict[str, RequestClass] = {}
    max_tokens: dict[RequestClass, int] = {}
    for line in config.request_classes:
        request_class = request_classes[line.name]
        max_tokens[request_class] = line.max_tokens
        for model in (line.name, *line.models):
            models[model] = request_class
    return ConfiguredModels(request_classes, models, max_tokens, build_router_config(config, request_classes))


def build_request_class(line: RequestClassConfig, previous: RequestClass | None) -> RequestClass:
    """The request class of one configuration entry; `previous` itself if the two are equal."""
    new = RequestClass(
        EFFECTS[line.effect],
        GROUPS[line.group],
        line.window_ms,
        line.slo_ms,
        line.slo_per_1000_tokens_ms,
        line.token_slo_ms,
        line.deadline_ms,
        line.priority_weight,
        line.late_value_share,
    )
    return previous if previous is not None and astuple(previous) == astuple(new) else new


def build_router_config(config: GatewayConfig, request_classes: dict[str, RequestClass]) -> RouterConfig:
    """The configuration of the router."""
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

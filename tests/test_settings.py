"""Settings with missing, zero, huge or invalid numbers: the documented default applies, or there is a clear error."""

from __future__ import annotations

from copy import deepcopy
from dataclasses import fields
from typing import Any

import pytest

from ternlane.deployment import Deployment
from ternlane.policy import messages
from ternlane.policy.messages import AttemptOutcome, RouterConfig
from ternlane.policy.router import Router
from tests.conftest import FakeHost, make_host, started_attempt
from tests.platform_gateway import PLATFORM_SETTINGS

# The path of each number of RouterConfig in the settings.
PATHS = {
    "gateways": ("n_instances",),
    "max_attempts": ("limits", "most_tries"),
    "ask_within_ms": ("invariants", "ask_within"),
    "max_retry_after_ms": ("limits", "max_retry_after"),
    "connect_ms": ("limits", "connect_timeout"),
    "idle_ms": ("limits", "conn_idle"),
    "release_ms": ("specifics", "release"),
    "drain_grace_ms": ("invariants", "drain_grace"),
    "slow_start_ms": ("invariants", "cold"),
    "slow_start_share": ("invariants", "cold_from"),
    "fall_multiple": ("invariants", "overload_factor"),
    "fall_ms": ("invariants", "overload_for"),
    "step_ms": ("step",),
}
MISSING = object()


def settings(name: str, value: Any) -> dict[str, Any]:
    """The default settings with another value for one number, or without it."""
    changed_settings = deepcopy(PLATFORM_SETTINGS)
    *sections, key = PATHS[name]
    target = changed_settings
    for section in sections:
        target = target[section]
    target.pop(key, None)
    if value is not MISSING:
        target[key] = value
    return changed_settings


def test_every_number_of_the_configuration_has_a_path() -> None:
    numbers = {f.name for f in fields(RouterConfig) if f.type in ("int", "float")}
    assert numbers - {"seed"} == set(PATHS)


@pytest.mark.parametrize("name", PATHS)
@pytest.mark.parametrize("value", ["many", [], -1.0, float("nan"), float("inf"), True])
def test_error_names_an_invalid_number(name: str, value: Any) -> None:
    with pytest.raises(ValueError, match=f"settings: .*{name}"):
        Deployment(1, settings(name, value))


@pytest.mark.parametrize("name", PATHS)
@pytest.mark.parametrize("value", [MISSING, None])
def test_missing_number_has_a_default(name: str, value: Any) -> None:
    Router(Deployment(1, settings(name, value)).router_config)


@pytest.mark.parametrize("key", ["key_ttl", "aim", "deadline", "worth", "late_worth"])
@pytest.mark.parametrize("value", ["many", [], -1.0, float("nan"), float("inf"), True])
def test_error_names_an_invalid_number_and_its_class(key: str, value: Any) -> None:
    changed_settings = deepcopy(PLATFORM_SETTINGS)
    changed_settings["profiles"][1][key] = value
    with pytest.raises(ValueError, match=rf"settings: .*of class 'note' \({key}\)"):
        Deployment(1, changed_settings)


@pytest.mark.parametrize("key", ["aim", "deadline"])
def test_error_names_a_class_without_a_required_time(key: str) -> None:
    changed_settings = deepcopy(PLATFORM_SETTINGS)
    del changed_settings["profiles"][0][key]
    with pytest.raises(ValueError, match=rf"settings: .*of class 'summary' \({key}\)"):
        Deployment(1, changed_settings)


@pytest.mark.parametrize("key, values", [("token_aim", [60.0, -1.0]), ("aim_us_per_1000_prompt_tokens", [0.0, "x"])])
def test_numbers_in_lists_of_all_classes_are_checked(key: str, values: list[Any]) -> None:
    changed_settings = deepcopy(PLATFORM_SETTINGS)
    changed_settings["specifics"][key] = values
    with pytest.raises(ValueError, match="settings: "):
        Deployment(1, changed_settings)


@pytest.mark.parametrize("count, expected", [(MISSING, 1), (0, 1), (1, 1), (200, 200), (5000, 5000)])
def test_missing_or_zero_count_of_gateways_is_one(count: Any, expected: int) -> None:
    assert Deployment(1, settings("gateways", count)).router_config.gateways == expected


@pytest.mark.parametrize("gateways", [1, 200, 5000])
def test_requests_are_served_with_any_count_of_gateways(gateways: int) -> None:
    host = make_host(gateways=gateways)
    for _ in range(6):
        request, attempt = host.start_decode(prefix=None, prefix_tokens=0.0)
        host.first_token(request, attempt.server, after=20.0)
    host.deliver(after=2000.0)
    assert started_attempt(host.arrive(host.request())).server.role is messages.Role.PREFILL


def used_prefill_servers(host: FakeHost, count: int) -> set[str]:
    """The prefill servers that `count` successive requests are sent to shortly after a restart of r0."""
    host.servers["r0"].started_ms = host.now
    host.update_endpoints()
    host.deliver(after=500.0)
    used = set[str]()
    for _ in range(count):
        request = host.request(prefix=None, prefix_tokens=0.0)
        prefill_server = started_attempt(host.arrive(request)).server
        decode_server = started_attempt(
            host.end_attempt(request, prefill_server, AttemptOutcome.PREFILLED, after=5.0)
        ).server
        host.first_token(request, decode_server, after=5.0)
        host.end_attempt(request, decode_server, AttemptOutcome.STREAMED, after=5.0, over=True)
        used |= {name for name, server in host.servers.items() if server is prefill_server}
    return used


def test_server_in_slow_start_gets_no_requests_if_its_share_is_zero() -> None:
    assert used_prefill_servers(make_host(gateways=200, fall_multiple=0.0, slow_start_ms=60e3), 60) == {"r1"}


def test_new_server_is_used_at_once_without_a_slow_start() -> None:
    assert "r0" in used_prefill_servers(make_host(gateways=200, slow_start_ms=0.0), 60)

"""Settings whose figures are missing, nought, huge or no numbers: a stated default, or one clear error."""

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

# Where each figure of the start facts stands in the settings.
PLACES = {
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
ABSENT = object()


def settings(name: str, value: Any) -> dict[str, Any]:
    """The usual settings with another value for one figure, or without it."""
    told = deepcopy(PLATFORM_SETTINGS)
    *way, last = PLACES[name]
    inner = told
    for step in way:
        inner = inner[step]
    inner.pop(last, None)
    if value is not ABSENT:
        inner[last] = value
    return told


def test_every_figure_has_its_place_here() -> None:
    figures = {f.name for f in fields(RouterConfig) if f.type in ("int", "float")}
    assert figures - {"seed"} == set(PLACES)


@pytest.mark.parametrize("name", PLACES)
@pytest.mark.parametrize("value", ["many", [], -1.0, float("nan"), float("inf"), True])
def test_a_figure_that_is_no_number_is_named(name: str, value: Any) -> None:
    with pytest.raises(ValueError, match=f"settings: .*{name}"):
        Deployment(1, settings(name, value))


@pytest.mark.parametrize("name", PLACES)
@pytest.mark.parametrize("value", [ABSENT, None])
def test_a_figure_that_is_missing_has_a_default(name: str, value: Any) -> None:
    Router(Deployment(1, settings(name, value)).router_config)


@pytest.mark.parametrize("key", ["key_ttl", "aim", "deadline", "worth", "late_worth"])
@pytest.mark.parametrize("value", ["many", [], -1.0, float("nan"), float("inf"), True])
def test_a_figure_of_a_class_that_is_no_number_is_named_with_its_class(key: str, value: Any) -> None:
    told = deepcopy(PLATFORM_SETTINGS)
    told["profiles"][1][key] = value
    with pytest.raises(ValueError, match=rf"settings: .*of class 'note' \({key}\)"):
        Deployment(1, told)


@pytest.mark.parametrize("key", ["aim", "deadline"])
def test_a_class_without_its_times_is_named(key: str) -> None:
    told = deepcopy(PLATFORM_SETTINGS)
    del told["profiles"][0][key]
    with pytest.raises(ValueError, match=rf"settings: .*of class 'summary' \({key}\)"):
        Deployment(1, told)


@pytest.mark.parametrize("key, values", [("token_aim", [60.0, -1.0]), ("aim_us_per_1000_prompt_tokens", [0.0, "x"])])
def test_a_figure_in_a_list_of_all_classes_is_checked(key: str, values: list[Any]) -> None:
    told = deepcopy(PLATFORM_SETTINGS)
    told["specifics"][key] = values
    with pytest.raises(ValueError, match="settings: "):
        Deployment(1, told)


@pytest.mark.parametrize("count, taken", [(ABSENT, 1), (0, 1), (1, 1), (200, 200), (5000, 5000)])
def test_no_count_of_gateways_and_a_count_of_none_are_one(count: Any, taken: int) -> None:
    assert Deployment(1, settings("gateways", count)).router_config.gateways == taken


@pytest.mark.parametrize("gateways", [1, 200, 5000])
def test_requests_are_served_whatever_the_count_of_gateways(gateways: int) -> None:
    host = make_host(gateways=gateways)
    for _ in range(6):
        request, attempt = host.start_decode(prefix=None, prefix_tokens=0.0)
        host.first_token(request, attempt.server, after=20.0)
    host.deliver(after=2000.0)
    assert started_attempt(host.arrive(host.request())).server.role is messages.Role.PREFILL


def prefill_servers(host: FakeHost, count: int) -> set[str]:
    """By which readers so many requests are read, one after the other, once r0 has started just now."""
    host.servers["r0"].started_ms = host.now
    host.update_endpoints()
    host.deliver(after=500.0)
    used = set[str]()
    for _ in range(count):
        request = host.request(prefix=None, prefix_tokens=0.0)
        read = started_attempt(host.arrive(request)).server
        write = started_attempt(host.end_attempt(request, read, AttemptOutcome.PREFILLED, after=5.0)).server
        host.first_token(request, write, after=5.0)
        host.end_attempt(request, write, AttemptOutcome.STREAMED, after=5.0, over=True)
        used |= {name for name, server in host.servers.items() if server is read}
    return used


def test_where_the_settings_allow_a_cold_server_nothing_it_is_sent_nothing() -> None:
    assert prefill_servers(make_host(gateways=200, fall_multiple=0.0, slow_start_ms=60e3), 60) == {"r1"}


def test_where_the_settings_know_no_slow_start_a_new_server_is_used_at_once() -> None:
    assert "r0" in prefill_servers(make_host(gateways=200, slow_start_ms=0.0), 60)

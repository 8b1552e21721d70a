"""Deployments of other customers: everything that a gateway derives comes from their own settings.

The settings are built from the site files in `deploy/sites/`, with the names of the protocol documentation.
"""

from __future__ import annotations

import ast
import re
import tomllib
from pathlib import Path
from typing import Any

import pytest
import trio
import trio.testing

from ternlane.deployment import Deployment
from ternlane.platform import gateway as gateway_module
from ternlane.platform.protocol import NAME_CHARS
from ternlane.platform.settings import ProcessLimits
from ternlane.policy.messages import Effect, Role
from ternlane.testing.platform import Gate
from tests.platform_gateway import Platform, fault_always, platform
from tests.race_helpers import RawClient, client_request, wait_until

SITES = Path(__file__).parent.parent / "deploy" / "sites"
NAMES = ["porto-atlante", "vigne-alte"]
EFFECTS = {"safe": "idempotent", "unsafe": "at_most_once", "keyed": "deduplicated"}
REPORT_MODES = {"none": "off", "answers": "inline", "probe": "on_probe"}


def site(name: str) -> dict[str, Any]:
    return tomllib.loads((SITES / name / f"{name}.toml").read_text())


def settings(name: str) -> dict[str, Any]:
    """The settings object of a gateway of this site."""
    document = site(name)
    tier, family, allow, rules = document["tier"][0], document["fam"], document["allow"], document["rules"]
    return {
        "discovery": document["discovery"]["mode"],
        "locality": document["net"]["zones"][0],
        "me": 0,
        "n_instances": 2,
        "invariants": {
            "drain_grace": rules["drain_grace_ms"],
            "overload_factor": rules["fall_multiple"],
            "overload_for": rules["fall_ms"],
            "cold": 1000.0 * tier["kind"][0]["cold_s"][0],
            "cold_from": tier["kind"][0]["cold_from"][0],
        },
        "kinds": [kind["name"] for kind in tier["kind"]],
        "limits": {
            "cancel": allow["cancel"],
            "conn_idle": 1000.0 * tier["conn"]["idle_s"],
            "connect_timeout": float(tier["conn"]["connect_timeout_ms"]),
            "most_tries": allow["max_attempts"],
            "max_retry_after": document["clients"]["max_retry_after_ms"],
            "probes": allow["probes"],
            "retry_after": allow["retry_after"],
        },
        "profiles": [
            {
                "name": profile["name"],
                "aim": float(profile["aim_ms"]),
                "deadline": float(profile["deadline_ms"]),
                "semantics": EFFECTS[profile["effect"]],
                "worth": profile["worth"],
                "late_worth": profile["late_worth"],
            }
            for profile in document["class"]
        ],
        "report": {"how": REPORT_MODES[tier["report"]["how"]], "columns": tier["report"]["fields"]},
        "specifics": {
            "duty_by_kind": family["role"],
            "release": family["release_ms"],
            "token_aim": [float(profile["token_ms"]) for profile in family["class"]],
            "tokens_by_kind": [1000 * engine["memory_k"][0] for engine in family["engine"]],
        },
        "step": 4.0,
    }


@pytest.mark.parametrize("name", NAMES)
async def test_derived_values_come_from_the_settings_of_the_site(name: str) -> None:
    platform_settings, raw = settings(name), site(name)
    async with platform(
        "r0", "w0", platform_settings=platform_settings, limits=ProcessLimits(sockets=500, memory_mb=100)
    ) as p:
        router_config, pool, chat_server = (
            p.gateway.runtime.deployment.router_config,
            p.gateway.pool,
            p.gateway.chat_server,
        )
        connection = raw["tier"][0]["conn"]
        assert (
            router_config.release_ms == raw["fam"]["release_ms"]
            and router_config.max_attempts == raw["allow"]["max_attempts"]
        )
        assert router_config.drain_grace_ms == raw["rules"]["drain_grace_ms"]
        assert pool.connect_ms == connection["connect_timeout_ms"] and pool.limit == 225
        assert pool.idle_ms == pytest.approx(900.0 * connection["idle_s"]) and pool.reuse_stats.span_ms == pool.idle_ms
        limits_of_requests = (chat_server.connection_limit, chat_server.request_limit)
        assert limits_of_requests == (225, 200) and p.gateway.shared_limits.memory.limit_bytes == int(20 * 2**20)
        limits = p.gateway.runtime.router.scheduler.context.limits  # type: ignore[attr-defined]
        assert limits.min_slo_ms == min(profile["aim_ms"] for profile in raw["class"])
        assert (
            limits.first_ejection_ms == 2 * connection["connect_timeout_ms"]
            and limits.max_attempts == router_config.max_attempts
        )
        assert limits.max_retry_after_ms == raw["clients"]["max_retry_after_ms"]
        assert limits.slow_start_share / raw["rules"]["fall_multiple"] == pytest.approx(
            0.6 * router_config.slow_start_share
        )
        assert router_config.may_probe == raw["allow"]["probes"]
        assert router_config.reports_on_probe == (raw["tier"][0]["report"]["how"] == "probe")


@pytest.mark.parametrize("name", NAMES)
async def test_only_the_classes_of_a_site_are_served(name: str) -> None:
    platform_settings = settings(name) | {"kinds": ["reader", "writer"]}
    async with platform("r0", "w0", platform_settings=platform_settings) as p:
        for profile in platform_settings["profiles"]:
            assert (await p.ask(Request_Class=profile["name"])).status == 200
        for unknown_class in ("summary", "case-note", "chat"):
            assert (await p.ask(Request_Class=unknown_class)).status == 400
        await p.wait_until_idle()


@pytest.mark.parametrize("name", NAMES)
async def test_request_without_a_timeout_has_the_deadline_of_its_class_and_at_most_one_effect(name: str) -> None:
    platform_settings = settings(name) | {"kinds": ["reader", "writer"]}
    unsafe = next(profile for profile in platform_settings["profiles"] if profile["semantics"] == "at_most_once")
    async with platform("r0", "w0", platform_settings=platform_settings, w0=fault_always("opening_cut")) as p:
        request_class = p.gateway.runtime.deployment.request_classes[unsafe["name"]]
        assert request_class.effect is Effect.SIDE_EFFECTING and request_class.deadline_ms == unsafe["deadline"]
        reply = await p.ask(Request_Class=unsafe["name"], Request_Timeout="-")
        assert reply.status == 502 and p.fleet.count("write") == 1
        assert p.fleet.stated_timeouts_s[0] <= unsafe["deadline"] / 1000
        await p.wait_until_idle()


@pytest.mark.parametrize("name, expected_ms", [("porto-atlante", 3700.0), ("vigne-alte", 3700.0)])
async def test_shutdown_time_depends_on_the_longest_deadline(name: str, expected_ms: float) -> None:
    """A deadline longer than 3 s counts as 3 s (`docs/platform.md`). Shorter deadlines leave less time."""
    async with platform("r0", "w0", platform_settings=settings(name)) as p:
        scheduler = p.gateway.runtime.router.scheduler  # type: ignore[attr-defined]
        p.gateway.begin_drain()
        assert scheduler.rules.shutdown.ends_at - trio.current_time() * 1000 == pytest.approx(expected_ms, abs=50)
        short = [profile | {"deadline": 900.0} for profile in settings(name)["profiles"]]
        p.gateway.runtime.apply_settings(Deployment(1, settings(name) | {"profiles": short}))
        p.gateway.begin_drain()
        assert scheduler.rules.shutdown.ends_at - trio.current_time() * 1000 == pytest.approx(
            900.0 + gateway_module.KILL_GRACE_MS, abs=50
        )


def test_servers_with_both_roles_are_supported() -> None:
    deployment = Deployment(1, settings("vigne-alte"))
    assert {kind: deployment.role[kind] for kind in deployment.role} == {
        "prefill": Role.PREFILL,
        "decode": Role.DECODE,
        "mixed": Role.BOTH,
    }


@pytest.mark.parametrize(
    "name, raw",
    [
        ("küstenplan-für-übermorgen", "küstenplan-für-übermorgen".encode()),
        ("übersicht", "übersicht".encode("latin-1")),
        ("名前", "名前".encode()),
        ("a" * 900, b"a" * 900),
    ],
)
async def test_class_names_may_be_non_ascii_or_long(name: str, raw: bytes) -> None:
    platform_settings = settings("porto-atlante") | {"kinds": ["reader", "writer"]}
    profiles = [platform_settings["profiles"][0] | {"name": name}]
    async with platform("r0", "w0", platform_settings=platform_settings | {"profiles": profiles}) as p:
        client = RawClient(p.address)
        client.send(client_request(p, Request_Class="@@").replace(b"@@", raw))
        assert (await client.answer()).startswith(b"HTTP/1.1 200 ")
        client.sock.close()
        assert NAME_CHARS < 900


async def test_classes_and_statistics_of_one_customer_are_not_used_for_another() -> None:
    """A gateway gets the settings of another customer while a request of the first one is open, and then its own
    again."""
    first, other = ({**settings(name), "kinds": ["reader", "writer"]} for name in NAMES)
    async with platform("r0", "w0", platform_settings=first) as p:
        runtime, scheduler = p.gateway.runtime, p.gateway.runtime.router.scheduler  # type: ignore[attr-defined]
        name = first["profiles"][0]["name"]
        assert (await p.ask(Request_Class=name)).status == 200
        gate = p.servers["w0"].gates["request"] = Gate()
        client = RawClient(p.address)
        client.send(client_request(p, Request_Class=name))
        await gate.reached.wait()
        first_classes = set(runtime.deployment.request_classes.values())
        await apply_settings(p, other)
        assert not first_classes & set(runtime.deployment.request_classes.values())
        assert not first_classes & (
            scheduler.rules.latency.mean_prompt_tokens.keys()
            | scheduler.rules.latency.last_sample_at.keys()
            | scheduler.rules.affinity.cached_share.keys()
        )
        assert not first_classes & {request_class for request_class, _ in scheduler.rules.latency.usual_stage_ms}
        gate.open()
        assert (await client.answer()).startswith(b"HTTP/1.1 200 ")  # it is completed under its original settings
        client.sock.close()
        assert (await p.ask(Request_Class=name)).status == 400
        assert (await p.ask(Request_Class=other["profiles"][0]["name"])).status == 200
        await apply_settings(p, first)
        assert (await p.ask(Request_Class=name)).status == 200
        await wait_until(lambda: not runtime.active_requests)
        current_classes = set(runtime.deployment.request_classes.values())
        await trio.testing.wait_all_tasks_blocked()
        assert {request_class for request_class in scheduler.rules.latency.mean_prompt_tokens} <= current_classes
        await p.wait_until_idle()


async def apply_settings(p: Platform, platform_settings: dict[str, Any]) -> None:
    p.gateway.runtime.apply_settings(Deployment(1, platform_settings, p.gateway.runtime.deployment))


# -- origin of constants

ROOT = Path(__file__).parent.parent
CHECKED = ["platform", "http1", "policy", "event_loop.py", "deployment.py"]


def test_the_origin_of_every_constant_is_documented() -> None:
    """A constant without a documented origin is likely specific to the first customer."""
    files = [
        f
        for name in CHECKED
        for f in (
            [ROOT / "ternlane" / name] if name.endswith(".py") else sorted((ROOT / "ternlane" / name).glob("*.py"))
        )
    ]
    names = set[str]()
    for file in files:
        for statement in ast.parse(file.read_text()).body:
            targets = statement.targets if isinstance(statement, ast.Assign) else []
            for target in targets:
                for node in target.elts if isinstance(target, ast.Tuple) else [target]:
                    if isinstance(node, ast.Name) and re.fullmatch("[A-Z][A-Z_]*", node.id):
                        names.add(node.id)
    page = (ROOT / "docs" / "platform.md").read_text().partition("## Where each constant comes from")[2]
    documented = set(re.findall("`([A-Z][A-Z_]*)`", page.partition("\n## ")[0]))
    assert names - documented == set() and documented - names == set() and len(names) > 70

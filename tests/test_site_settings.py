"""Other customers' deployments: what the gateway derives from their settings is theirs, and nothing is the first one's.

The settings are made from the site files in `deploy/sites/`, by the protocol page's names.
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
HOW = {"none": "off", "answers": "inline", "probe": "on_probe"}


def site(name: str) -> dict[str, Any]:
    return tomllib.loads((SITES / name / f"{name}.toml").read_text())


def settings(name: str) -> dict[str, Any]:
    """The settings object that a gateway of this site is given."""
    told = site(name)
    tier, family, allow, rules = told["tier"][0], told["fam"], told["allow"], told["rules"]
    return {
        "discovery": told["discovery"]["mode"],
        "locality": told["net"]["zones"][0],
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
            "max_retry_after": told["clients"]["max_retry_after_ms"],
            "probes": allow["probes"],
            "retry_after": allow["retry_after"],
        },
        "profiles": [
            {
                "name": one["name"],
                "aim": float(one["aim_ms"]),
                "deadline": float(one["deadline_ms"]),
                "semantics": EFFECTS[one["effect"]],
                "worth": one["worth"],
                "late_worth": one["late_worth"],
            }
            for one in told["class"]
        ],
        "report": {"how": HOW[tier["report"]["how"]], "columns": tier["report"]["fields"]},
        "specifics": {
            "duty_by_kind": family["role"],
            "release": family["release_ms"],
            "token_aim": [float(one["token_ms"]) for one in family["class"]],
            "tokens_by_kind": [1000 * one["memory_k"][0] for one in family["engine"]],
        },
        "step": 4.0,
    }


@pytest.mark.parametrize("name", NAMES)
async def test_what_is_derived_comes_from_the_variants_own_settings(name: str) -> None:
    told, raw = settings(name), site(name)
    async with platform("r0", "w0", platform_settings=told, limits=ProcessLimits(sockets=500, memory_mb=100)) as p:
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
        assert pool.idle_ms == pytest.approx(900.0 * connection["idle_s"]) and pool.age.span_ms == pool.idle_ms
        limits_of_requests = (chat_server.connection_limit, chat_server.request_limit)
        assert limits_of_requests == (225, 200) and chat_server.body_bytes_limit == int(20 * 2**20)
        limits = p.gateway.runtime.router.scheduler.context.limits  # type: ignore[attr-defined]
        assert limits.min_slo_ms == min(one["aim_ms"] for one in raw["class"])
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
async def test_each_class_of_a_variant_is_served_and_no_other_ones(name: str) -> None:
    told = settings(name) | {"kinds": ["reader", "writer"]}
    async with platform("r0", "w0", platform_settings=told) as p:
        for one in told["profiles"]:
            assert (await p.ask(Request_Class=one["name"])).status == 200
        for stranger in ("summary", "case-note", "chat"):
            assert (await p.ask(Request_Class=stranger)).status == 400
        await p.wait_until_idle()


@pytest.mark.parametrize("name", NAMES)
async def test_a_request_without_a_time_of_its_own_has_its_classes_and_one_effect_at_most(name: str) -> None:
    told = settings(name) | {"kinds": ["reader", "writer"]}
    unsafe = next(one for one in told["profiles"] if one["semantics"] == "at_most_once")
    async with platform("r0", "w0", platform_settings=told, w0=fault_always("opening_cut")) as p:
        request_class = p.gateway.runtime.deployment.request_classes[unsafe["name"]]
        assert request_class.effect is Effect.SIDE_EFFECTING and request_class.deadline_ms == unsafe["deadline"]
        reply = await p.ask(Request_Class=unsafe["name"], Request_Timeout="-")
        assert reply.status == 502 and p.fleet.count("write") == 1
        assert p.fleet.stated_timeouts_s[0] <= unsafe["deadline"] / 1000
        await p.wait_until_idle()


@pytest.mark.parametrize("name, least_ms", [("porto-atlante", 3700.0), ("vigne-alte", 3700.0)])
async def test_a_shutdown_has_the_time_that_the_variants_longest_deadline_leaves(name: str, least_ms: float) -> None:
    """Counted as 3 s where it is longer, by the page; shorter ones leave less."""
    async with platform("r0", "w0", platform_settings=settings(name)) as p:
        scheduler = p.gateway.runtime.router.scheduler  # type: ignore[attr-defined]
        p.gateway.begin_drain()
        assert scheduler.rules.shutdown.ends_at - trio.current_time() * 1000 == pytest.approx(least_ms, abs=50)
        short = [one | {"deadline": 900.0} for one in settings(name)["profiles"]]
        p.gateway.runtime.apply_settings(Deployment(1, settings(name) | {"profiles": short}))
        p.gateway.begin_drain()
        assert scheduler.rules.shutdown.ends_at - trio.current_time() * 1000 == pytest.approx(
            900.0 + gateway_module.KILL_GRACE_MS, abs=50
        )


def test_servers_that_do_both_are_known_where_a_variant_has_them() -> None:
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
async def test_names_of_classes_outside_ascii_and_long_ones(name: str, raw: bytes) -> None:
    told = settings("porto-atlante") | {"kinds": ["reader", "writer"]}
    profiles = [told["profiles"][0] | {"name": name}]
    async with platform("r0", "w0", platform_settings=told | {"profiles": profiles}) as p:
        client = RawClient(p.address)
        client.send(client_request(p, Request_Class="@@").replace(b"@@", raw))
        assert (await client.answer()).startswith(b"HTTP/1.1 200 ")
        client.sock.close()
        assert NAME_CHARS < 900


async def test_one_customers_classes_budgets_and_learnt_times_do_not_show_under_anothers() -> None:
    """A gateway that is given another customer's settings, with a request of the first one open, and its own again."""
    first, other = ({**settings(name), "kinds": ["reader", "writer"]} for name in NAMES)
    async with platform("r0", "w0", platform_settings=first) as p:
        runtime, scheduler = p.gateway.runtime, p.gateway.runtime.router.scheduler  # type: ignore[attr-defined]
        name = first["profiles"][0]["name"]
        assert (await p.ask(Request_Class=name)).status == 200
        gate = p.servers["w0"].gates["request"] = Gate()
        client = RawClient(p.address)
        client.send(client_request(p, Request_Class=name))
        await gate.reached.wait()
        mine = set(runtime.deployment.request_classes.values())
        await switch(p, other)
        assert not mine & set(runtime.deployment.request_classes.values())
        assert not mine & (
            scheduler.rules.latency.mean_prompt_tokens.keys()
            | scheduler.rules.latency.last_sample_at.keys()
            | scheduler.rules.affinity.cached_share.keys()
        )
        assert not mine & {request_class for request_class, _ in scheduler.rules.latency.usual_stage_ms}
        gate.open()
        assert (await client.answer()).startswith(b"HTTP/1.1 200 ")  # it ends as it came
        client.sock.close()
        assert (await p.ask(Request_Class=name)).status == 400
        assert (await p.ask(Request_Class=other["profiles"][0]["name"])).status == 200
        await switch(p, first)
        assert (await p.ask(Request_Class=name)).status == 200
        await wait_until(lambda: not runtime.active_requests)
        kept = set(runtime.deployment.request_classes.values())
        await trio.testing.wait_all_tasks_blocked()
        assert {request_class for request_class in scheduler.rules.latency.mean_prompt_tokens} <= kept
        await p.wait_until_idle()


async def switch(p: Platform, told: dict[str, Any]) -> None:
    p.gateway.runtime.apply_settings(Deployment(1, told, p.gateway.runtime.deployment))


# -- where constants come from

ROOT = Path(__file__).parent.parent
CHECKED = ["platform", "http1", "policy", "event_loop.py", "deployment.py"]


def test_the_page_says_of_every_constant_where_it_comes_from() -> None:
    """A figure that is nobody's is likely the first customer's."""
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
                for one in target.elts if isinstance(target, ast.Tuple) else [target]:
                    if isinstance(one, ast.Name) and re.fullmatch("[A-Z][A-Z_]*", one.id):
                        names.add(one.id)
    page = (ROOT / "docs" / "platform.md").read_text().partition("## Where each constant comes from")[2]
    said = set(re.findall("`([A-Z][A-Z_]*)`", page.partition("\n## ")[0]))
    assert names - said == set() and said - names == set() and len(names) > 70

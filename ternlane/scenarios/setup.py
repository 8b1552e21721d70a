"""Prepares the folder of a run: the scenario, addresses, gateway configurations, tenants and API keys."""

from __future__ import annotations

import json
import shutil
from pathlib import Path

import msgspec

from ternlane.config import GatewayConfig
from ternlane.config.gateway import ConsulSource
from ternlane.rules.limits import RuleLimits
from ternlane.scenarios.fleet_plan import GATEWAY_NET, address_of, engines_of, zones_of
from ternlane.scenarios.layout import KEYS_FILE, SCENARIO_FILE, RunLayout
from ternlane.scenarios.scenario import Scenario
from ternlane.tenants import ApiKey, Prices, Tenant, new_key
from ternlane.tenants.tenant_registry import TenantRegistryConfig
from ternlane.testing.traffic import clock_ms

START_MS = 4000.0  # until the run starts, so that all processes listen by then
CONFIG_CHECK_MS = 500.0  # interval at which gateways check whether the tenants' file has changed
OLD_RUN_SUFFIXES = (".jsonl", ".ready", ".progress", ".log", ".nodes")
TENANTS_FILE = "tenants.json5"
LENDER_FILE = "lender.json"
LEDGERS_FOLDER = "ledgers"
PRICES = {"*": Prices(prompt=3, cached=1, answer=12)}  # arbitrary: only tokens are compared


def limits_of(scenario: Scenario) -> RuleLimits:
    """The limits by which the rules check a run of this scenario."""
    fleet = scenario.terms
    return {
        "release_ms": fleet.release_ms,
        "drain_grace_ms": fleet.drain_grace_ms,
        "connect_ms": fleet.connect_ms,
        "fall_ms": fleet.fall_ms,
        "products": {
            request_class.name: {
                "effect": request_class.effect,
                "group": request_class.group,
                "window_ms": request_class.window_ms,
                "slo_ms": request_class.slo_ms,
                "slo_per_ktok_ms": request_class.slo_per_1000_tokens_ms,
                "revenue": request_class.priority_weight,
                "limit_ms": request_class.deadline_ms,
                "late_share": request_class.late_value_share,
            }
            for request_class in scenario.request_classes
        },
    }


def ports_needed(scenario: Scenario) -> int:
    """The number of ports of a run: for each engine and gateway, the front and the registry."""
    return len(engines_of(scenario)) + scenario.gateways + 2


def prepare_run(folder: Path, scenario: Scenario, scenario_text: str, first_port: int) -> RunLayout:
    """Writes all files that the run's processes read. They listen on `ports_needed` ports from `first_port` on."""
    folder.mkdir(parents=True, exist_ok=True)
    for old in folder.iterdir():
        if old.suffix in OLD_RUN_SUFFIXES:
            old.unlink()
    (folder / SCENARIO_FILE).write_text(scenario_text)
    (folder / "rules.json").write_text(json.dumps(limits_of(scenario)))
    layout = _layout(folder, scenario, first_port)
    layout.save()
    _write_tenants(folder, scenario)
    for index, name in enumerate(layout.gateways):
        config = _gateway_config(layout, name, index)
        (folder / f"{name}.json5").write_bytes(msgspec.json.format(msgspec.json.encode(config), indent=1))
    return layout


def _layout(folder: Path, scenario: Scenario, first_port: int) -> RunLayout:
    zones = len(zones_of(scenario))
    front_port = first_port + len(engines_of(scenario))
    registry_port = front_port + 1
    gateways = {
        f"g{index + 1}": (address_of(GATEWAY_NET, index % zones), registry_port + 1 + index)
        for index in range(scenario.gateways)
    }
    return RunLayout(
        folder=folder,
        scenario=scenario,
        begin_ms=clock_ms() + START_MS,
        engine_port=first_port,
        gateways=gateways,
        front=("127.0.0.1", front_port),
        registry=("127.0.0.1", registry_port),
    )


def _gateway_config(layout: RunLayout, name: str, index: int) -> GatewayConfig:
    scenario = layout.scenario
    folder = layout.folder
    zones = zones_of(scenario)
    host, port = layout.gateways[name]
    registry_host, registry_port = layout.registry
    return GatewayConfig(
        name=name,
        listen=f"{host}:{port}",
        source=host,
        zone=zones[index % len(zones)],
        gateways=scenario.gateways,
        seed=scenario.seed * 100 + index,
        state=str(folder / f"{name}.nodes"),
        request_classes=scenario.request_classes,
        nodes=ConsulSource(address=f"{registry_host}:{registry_port}", service="engines"),
        fleet=scenario.terms,
        door=scenario.door,
        streams=scenario.streams,
        tenants=str(folder / TENANTS_FILE) if scenario.tenants else None,
        ledger=str(folder / LEDGERS_FOLDER / name) if scenario.tenants else None,
        look_ms=CONFIG_CHECK_MS,
        lender=str(folder / LENDER_FILE) if scenario.tenants and scenario.lent else None,
    )


def _write_tenants(folder: Path, scenario: Scenario) -> None:
    """Writes tenants with one API key each, and removes the ledgers and quota leases of an earlier run."""
    for old in (KEYS_FILE, LENDER_FILE, LEDGERS_FOLDER):
        path = folder / old
        if path.is_dir():
            shutil.rmtree(path)
        path.unlink(missing_ok=True)
    if not scenario.tenants:
        return
    tenants: list[Tenant] = []
    api_keys: list[tuple[str, str]] = []
    for number in range(scenario.tenants):
        tenant = f"t{number:03}"
        api_key, key_name, salt, hashed = new_key()
        key = ApiKey(name=key_name, salt=salt, hash=hashed)
        tenants.append(Tenant(name=tenant, keys=[key], budget=scenario.budget, prices=PRICES))
        api_keys.append((tenant, api_key))
    (folder / TENANTS_FILE).write_bytes(msgspec.json.encode(TenantRegistryConfig(tenants=tenants)))
    (folder / KEYS_FILE).write_text(json.dumps(api_keys))

"""The router's actions on seeded event streams match recorded digests.

Changes that are not meant to affect decisions, such as renames, must leave the digests unchanged. If a change does
affect decisions, its commit says so, and `TERNLANE_WRITE_PINS=1` records new digests.
"""

from __future__ import annotations

import json
import os
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from tests import fleet
from tests.decision_digests import simulation_digest, stream_digest

RECORDED = Path(__file__).parent / "data" / "decision_digests.json"
SMALL = fleet.Scenario(gateways=16, prefill_servers=12, decode_servers=8, duration_s=8.0, tenants=3, zones=2)

SIMULATIONS: dict[str, Callable[[], str]] = {
    "quiet day": lambda: simulation_digest(SMALL),
    "reports on request, clients that leave": lambda: simulation_digest(
        fleet.Scenario(16, 10, 8, duration_s=8.0, seed=2, reports_on_probe=True, abandon_share=0.1)
    ),
    "overload with a burst": lambda: simulation_digest(
        fleet.Scenario(12, 8, 6, duration_s=9.0, seed=3, load=1.2, burst=1.6, tenants=2)
    ),
    "silent and failing servers": lambda: simulation_digest(
        SMALL,
        fleet.degrade_servers(0.25, 2000.0, 3000.0, silent=True),
        fleet.degrade_servers(0.2, 3000.0, 3000.0, error_rate=1.0),
    ),
    "slow servers and resets": lambda: simulation_digest(
        SMALL,
        fleet.degrade_servers(0.25, 2000.0, 4000.0, slowdown=6.0),
        fleet.degrade_servers(1.0, 3000.0, 3000.0, reset_rate=0.3),
    ),
    "gateways killed, servers restarted": lambda: simulation_digest(
        SMALL, fleet.kill_gateways(0.7, 2000.0, 2000.0), fleet.restart_servers(0.4, 2000.0, 2500.0, 800.0)
    ),
    "a zone cut off": lambda: simulation_digest(SMALL, fleet.partition_zone(2000.0, 3000.0)),
    "discovery down while servers are replaced": lambda: simulation_digest(
        SMALL, fleet.discovery_down(1500.0, 2000.0), fleet.replace_servers(0.5, 2000.0, 3000.0, 1500.0)
    ),
}

VARIANTS: dict[str, dict[str, Any]] = {
    "usual": {},
    "no cancelling, no advice": {"may_cancel": False, "may_send_retry_after": False},
    "reports on request": {"may_probe": True, "reports_mem": True, "reports_on_probe": True},
    "releases spare attempts": {"releases_spare_attempts": True},
    "one role": {"decode_servers_prefill": True, "must_subscribe": True},
    "state does not expire": {"holds_expire_unless_arrived": False, "max_attempts": 3},
    "shutdown": {"shutdown_ms": 12e3, "releases_spare_attempts": True},
    "shutdown without cancelling": {"shutdown_ms": 12e3, "may_cancel": False},
}
STREAM_SEEDS = range(6)


def stream_names() -> list[str]:
    return [f"stream {seed}: {variant}" for variant in VARIANTS for seed in STREAM_SEEDS]


def digest_for(name: str) -> str:
    if name in SIMULATIONS:
        return SIMULATIONS[name]()
    seed, variant = name.removeprefix("stream ").split(": ", 1)
    return stream_digest(100 * list(VARIANTS).index(variant) + int(seed), **VARIANTS[variant])


def recorded_digests() -> dict[str, str]:
    return json.loads(RECORDED.read_text()) if RECORDED.exists() else {}


@pytest.mark.parametrize("name", [*SIMULATIONS, *stream_names()])
def test_actions_match_the_recorded_digests(name: str) -> None:
    digest = digest_for(name)
    if os.environ.get("TERNLANE_WRITE_PINS") == "1":
        RECORDED.parent.mkdir(exist_ok=True)
        RECORDED.write_text(json.dumps(recorded_digests() | {name: digest}, indent=1) + "\n")
    assert recorded_digests()[name] == digest


def test_every_recorded_digest_is_checked() -> None:
    assert recorded_digests().keys() == {*SIMULATIONS, *stream_names()}

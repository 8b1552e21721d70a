"""Converts the description of a benchmark day into a scenario, scaled down to one machine.

These properties are preserved: the kinds of fault with their times, sizes and the fraction of the fleet that they
affect; request classes with their objectives; cells and roles in proportion; the behaviour of clients; the delay of the
endpoint list. Fleet size and load are scaled down, and all times are divided by `speed`: a day of 45 s at speed 2 takes
22 s, and its latency objectives are half as long. The speed of the fake engines is set so that the fleet's utilisation
is that of the day. The exact speeds and the noise of single servers are not preserved.
"""

from __future__ import annotations

import json

from ternlane.config import read_text
from ternlane.scenarios.bench_faults import MAX_PROMPT_TOKENS, BenchFaults, Json, scenario_name, to_run_seconds
from ternlane.scenarios.scenario import Scenario

EFFECTS = {"safe": "idempotent", "keyed": "deduplicated", "unsafe": "side-effecting"}
ROLES = {"read": "readers", "write": "writers", "both": "mixed"}  # the keys of the counts in a scenario's cell
MAX_TOKENS = 400  # the limit of a request class
CLIENT_MAX_TOKENS = 64  # what clients request
MAX_THINK_MS = 4000.0
MAX_PREFILL_QUEUE = 60
PREFILL_HEADROOM = 1.3  # prefill servers are less of a bottleneck than decode servers
DECODE_TOKEN_MS = 9
DECODE_ANSWER_TOKENS = 22  # mean
DECODE_GROWTH = 1.5  # factor on the time of a token when many streams run
MIN_LOAD = 0.05  # avoids division by zero


def scenario_from_bench(raw: Json, engines: int, gateways: int, rate: float, speed: float) -> str:
    """Returns the JSON5 text of a scenario with about `engines` engines and `rate` requests per second.

    Raises KeyError, TypeError or ValueError if `raw` does not describe a two-stage day.
    """
    if raw.get("family") != "twostage":
        raise ValueError(f"family is {raw.get('family')!r}, not twostage")
    return _BenchImport(raw, engines, gateways, rate, speed).text()


class _BenchImport:
    """The conversion of one day."""

    def __init__(self, raw: Json, engines: int, gateways: int, rate: float, speed: float) -> None:
        self.raw = raw
        self.family = raw["fam"]
        self.gateways = gateways
        self.rate = rate
        self.speed = speed
        self.scale = min(1.0, engines / len(raw["servers"]))
        self.cells = self._cells()
        self.zones = list(dict.fromkeys(str(cell["zone"]) for cell in self.cells))

    def text(self) -> str:
        heading = (
            f"// Converted from a benchmark day: {self.scale:.2f} of its servers, {self.speed:g} times its speed.\n"
        )
        text = heading + json.dumps(self._scenario(), indent=1)
        read_text(text, Scenario, "the converted day")
        return text

    def _scenario(self) -> Json:
        raw = self.raw
        pairs = list(zip(raw["classes"], self.family["talks"], strict=True))
        workloads = [self._workload(request_class, conversation) for request_class, conversation in pairs]
        return {
            "name": scenario_name(f"{raw['site']}-{raw['kind']}"),
            "seed": int(raw["noise"]) % 100000,
            "length_s": round(to_run_seconds(raw["length"], self.speed), 1),
            "rate": self.rate,
            "load": [[round(at / self.speed, 2), round(times, 3)] for at, times in raw["traffic"]["shape"]],
            "gateways": self.gateways,
            "cells": self.cells,
            "reader": self._prefill_server(workloads),
            "writer": self._decode_server(),
            "products": [self._request_class(request_class, conversation) for request_class, conversation in pairs],
            "uses": workloads,
            "terms": self._terms(),
            "clients": self._clients(),
            "lists": {
                "notice_ms": round(raw["discovery"]["notice"] / 1000 / self.speed, 1),
                "silent_ms": round(raw["discovery"]["silent_notice"] / 1000 / self.speed, 1),
            },
            "front_notice_ms": max(200.0, round(raw["front_notice"] / 1000 / self.speed, 1)),
            "troubles": BenchFaults(raw, self.speed, self.zones).scenario_faults(),
        }

    # The fleet

    def _cells(self) -> list[Json]:
        """Cells with scaled counts of servers, but at least one server of each role that the day has."""
        roles = self.family["roles"]
        counts: dict[tuple[int, int], dict[str, int]] = {}  # by zone and cell
        for server in self.raw["servers"]:
            cell_counts = counts.setdefault((server["zone"], server["cell"]), {})
            role = ROLES[roles[server["kind"]]]
            cell_counts[role] = cell_counts.get(role, 0) + 1
        cell_count = max(1, round(len(counts) * self.scale**0.5))
        scale_factor = self.scale * len(counts) / cell_count
        cells: list[Json] = []
        for (zone, _), cell_counts in sorted(counts.items())[:cell_count]:
            scaled = {role: round(cell_counts.get(role, 0) * scale_factor) for role in ROLES.values()}
            cells.append({"zone": scenario_name(self.raw["zones"][zone]), **scaled})
        for role in {ROLES[role] for role in roles}:
            if not any(cell[role] for cell in cells):
                cells[0][role] = 1
        return cells

    def _server_count(self, role: str) -> int:
        """The number of servers that do the work of this role."""
        return max(1, sum(int(cell[role]) + int(cell["mixed"]) for cell in self.cells))

    def _utilisation(self) -> float:
        """The utilisation of the fleet."""
        return max(float(self.raw["traffic"]["load"]), MIN_LOAD)

    def _link_speeds(self) -> Json:
        return {
            "near_tok_s": round(self.family["near"] * self.speed),
            "far_tok_s": round(self.family["far"] * self.speed),
        }

    def _prefill_server(self, workloads: list[Json]) -> Json:
        shares = sum(workload["share"] for workload in workloads)
        mean_tokens = (
            sum(
                workload["share"]
                * (workload["adds"][0] + workload["adds"][1] + workload["opening_part"] * workload["opening_toks"][0])
                / 2
                for workload in workloads
            )
            / shares
        )
        tokens_per_s = self.rate * mean_tokens / self._server_count("readers") / self._utilisation()
        return {
            "slots": 4,
            "queue": min(MAX_PREFILL_QUEUE, self.family["engines"][0]["queue"]),
            "read_tok_s": round(tokens_per_s * PREFILL_HEADROOM, 1),
            "mem_toks": 80000,
            **self._link_speeds(),
        }

    def _decode_server(self) -> Json:
        busy_slots = self.rate * DECODE_ANSWER_TOKENS * DECODE_TOKEN_MS / 1000 * DECODE_GROWTH / self._utilisation()
        slots = max(2, round(busy_slots / self._server_count("writers")))
        return {
            "slots": slots,
            "queue": max(4, slots // 2),
            "mem_toks": 60000,
            "tok_ms": DECODE_TOKEN_MS,
            "tok_grow": 0.5,
            **self._link_speeds(),
        }

    # Request classes and clients

    def _prompt_scale(self, conversation: Json) -> float:
        """The factor by which prompts are made shorter."""
        tokens = float(conversation["prefix_tokens"]) + float(conversation["new_tokens"])
        turns = float(conversation["turns"])
        return min(1.0, MAX_PROMPT_TOKENS / max(tokens * max(1.0, turns / 2), 1.0))

    def _request_class(self, request_class: Json, conversation: Json) -> Json:
        speed = self.speed
        return {
            "name": scenario_name(request_class["name"]),
            "effect": EFFECTS[request_class["effect"]],
            "group": request_class["group"],
            "window_ms": request_class["window"] / 1000 / speed,
            "slo_ms": round(request_class["aim"] / 1000 / speed, 1),
            "slo_per_ktok_ms": round(conversation["aim_ms_per_k"] / speed / self._prompt_scale(conversation), 1),
            "tok_slo_ms": conversation["token_ms"] / speed,
            "limit_ms": round(request_class["deadline"] / 1000 / speed, 1),
            "revenue": request_class["worth"],
            "late_share": request_class["late_worth"],
            "max_toks": MAX_TOKENS,
        }

    def _workload(self, request_class: Json, conversation: Json) -> Json:
        scale_factor = self._prompt_scale(conversation)
        return {
            "product": scenario_name(request_class["name"]),
            "share": round(request_class["share"], 4),
            "turns": [1.0, max(1.0, 2 * conversation["turns"] - 1)],
            "adds": [
                round(conversation["new_tokens"] * scale_factor * 0.5),
                round(conversation["new_tokens"] * scale_factor * 1.5),
            ],
            "openings": int(conversation["prefixes"]),
            "opening_part": round(min(1.0, conversation["prefix_share"]), 3),
            "opening_toks": [
                round(conversation["prefix_tokens"] * scale_factor * 0.7),
                round(conversation["prefix_tokens"] * scale_factor * 1.3),
            ],
            "max_toks": CLIENT_MAX_TOKENS,
            "think_ms": round(min(MAX_THINK_MS, conversation["think_s"] * 1000 / self.speed), 1),
        }

    def _terms(self) -> Json:
        raw = self.raw
        rules = raw["tiers"][0]
        speed = self.speed
        return {
            "leg_limit": raw["allow"]["max_attempts"],
            "connect_ms": max(100.0, rules["connect_timeout"] / 1000),
            "release_ms": max(300.0, self.family["release"] / 1000 / speed),
            "drain_grace_ms": max(200.0, raw["drain_grace"] / 1000 / speed),
            "cold_ms": rules["stated_cold"] / 1000 / speed,
            "cold_from": rules["stated_cold_from"],
            "fall_multiple": raw["fall_multiple"],
            "fall_ms": raw["fall_for"] / 1000 / speed,
            "longest_pause_ms": raw["clients"]["max_retry_after"] / 1000,
            "may_call_off": raw["allow"]["cancel"],
            "reports_mem": "x0" in rules["report_fields"],
        }

    def _clients(self) -> Json:
        clients = self.raw["clients"]
        try_share = round(clients["try_share"], 3)
        return {
            "retries": clients["retries"],
            "try_share": [try_share, try_share],
            "honour": round(clients["honour"], 3),
            "leave_part": round(min(1.0, clients["impatient"]), 4),
        }

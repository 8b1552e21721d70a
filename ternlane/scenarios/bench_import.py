"""Turns the description of a bench day into a scenario, scaled down to one machine.

Kept are the kinds of fault with their times, sizes and the part of the fleet that they strike, request classes with
their objectives, cells and roles in proportion, how clients behave, how late the endpoint list is. Scaled are sizes and
load, and all times by `speed`: a day of 45 s at speed 2 takes 22 s, and its latency objectives are half as long. Fake
engines are given a speed by which the fleet is as busy as the day says. Exact speeds and noise of single servers are
not kept.
"""

from __future__ import annotations

import json

from ternlane.config import read_text
from ternlane.scenarios.bench_faults import MAX_PROMPT_TOKENS, BenchFaults, Json, run_seconds, scenario_name
from ternlane.scenarios.scenario import Scenario

EFFECTS = {"safe": "idempotent", "keyed": "deduplicated", "unsafe": "side-effecting"}
ROLES = {"read": "readers", "write": "writers", "both": "mixed"}  # as scenarios name the counts of a cell
MAX_TOKENS = 400  # that a request may ask for,
USED_MAX_TOKENS = 64  # and that clients ask for
MAX_THINK_MS = 4000.0
MAX_PREFILL_QUEUE = 60
PREFILL_HEADROOM = 1.3  # prefill servers are less of a bottleneck than decode servers
DECODE_TOKEN_MS = 9
DECODE_ANSWER_TOKENS = 22  # on the mean
DECODE_GROWTH = 1.5  # by which a token takes longer with many streams
LEAST_LOAD = 0.05  # the load divides


def scenario_from_bench(raw: Json, engines: int, gateways: int, rate: float, speed: float) -> str:
    """JSON5 text of a scenario with about so many engines and `rate` requests a second.

    Raises KeyError, TypeError or ValueError for what is no two-stage day.
    """
    if raw.get("family") != "twostage":
        raise ValueError(f"family {raw.get('family')!r} is not twostage")
    return _Import(raw, engines, gateways, rate, speed).text()


class _Import:
    """One day, its scale and its speed."""

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
            f"// From a bench day, scaled to {self.scale:.2f} of its servers and played {self.speed:g} times as fast.\n"
        )
        text = heading + json.dumps(self._scenario(), indent=1)
        read_text(text, Scenario, "the turned day")
        return text

    def _scenario(self) -> Json:
        raw = self.raw
        pairs = list(zip(raw["classes"], self.family["talks"], strict=True))
        uses = [self._use(request_class, talk) for request_class, talk in pairs]
        return {
            "name": scenario_name(f"{raw['site']}-{raw['kind']}"),
            "seed": int(raw["noise"]) % 100000,
            "length_s": round(run_seconds(raw["length"], self.speed), 1),
            "rate": self.rate,
            "load": [[round(at / self.speed, 2), round(times, 3)] for at, times in raw["traffic"]["shape"]],
            "gateways": self.gateways,
            "cells": self.cells,
            "reader": self._prefill_server(uses),
            "writer": self._decode_server(),
            "products": [self._request_class(request_class, talk) for request_class, talk in pairs],
            "uses": uses,
            "terms": self._terms(),
            "clients": self._clients(),
            "lists": {
                "notice_ms": round(raw["discovery"]["notice"] / 1000 / self.speed, 1),
                "silent_ms": round(raw["discovery"]["silent_notice"] / 1000 / self.speed, 1),
            },
            "front_notice_ms": max(200.0, round(raw["front_notice"] / 1000 / self.speed, 1)),
            "troubles": BenchFaults(raw, self.speed, self.zones).read(),
        }

    # The fleet

    def _cells(self) -> list[Json]:
        """Cells with as many of each role as the scale leaves, at least one of each role that the day has."""
        roles = self.family["roles"]
        counts: dict[tuple[int, int], dict[str, int]] = {}  # by zone and cell
        for server in self.raw["servers"]:
            cell_counts = counts.setdefault((server["zone"], server["cell"]), {})
            role = ROLES[roles[server["kind"]]]
            cell_counts[role] = cell_counts.get(role, 0) + 1
        kept = max(1, round(len(counts) * self.scale**0.5))
        shrink = self.scale * len(counts) / kept
        cells: list[Json] = []
        for (zone, _), cell_counts in sorted(counts.items())[:kept]:
            shrunk = {role: round(cell_counts.get(role, 0) * shrink) for role in ROLES.values()}
            cells.append({"zone": scenario_name(self.raw["zones"][zone]), **shrunk})
        for role in {ROLES[role] for role in roles}:
            if not any(cell[role] for cell in cells):
                cells[0][role] = 1
        return cells

    def _count(self, role: str) -> int:
        """Servers that do the work of this role."""
        return max(1, sum(int(cell[role]) + int(cell["mixed"]) for cell in self.cells))

    def _load(self) -> float:
        """How busy the fleet is, as a share."""
        return max(float(self.raw["traffic"]["load"]), LEAST_LOAD)

    def _links(self) -> Json:
        return {
            "near_tok_s": round(self.family["near"] * self.speed),
            "far_tok_s": round(self.family["far"] * self.speed),
        }

    def _prefill_server(self, uses: list[Json]) -> Json:
        shares = sum(use["share"] for use in uses)
        mean_tokens = (
            sum(
                use["share"] * (use["adds"][0] + use["adds"][1] + use["opening_part"] * use["opening_toks"][0]) / 2
                for use in uses
            )
            / shares
        )
        tokens_per_s = self.rate * mean_tokens / self._count("readers") / self._load()
        return {
            "slots": 4,
            "queue": min(MAX_PREFILL_QUEUE, self.family["engines"][0]["queue"]),
            "read_tok_s": round(tokens_per_s * PREFILL_HEADROOM, 1),
            "mem_toks": 80000,
            **self._links(),
        }

    def _decode_server(self) -> Json:
        busy_slots = self.rate * DECODE_ANSWER_TOKENS * DECODE_TOKEN_MS / 1000 * DECODE_GROWTH / self._load()
        slots = max(2, round(busy_slots / self._count("writers")))
        return {
            "slots": slots,
            "queue": max(4, slots // 2),
            "mem_toks": 60000,
            "tok_ms": DECODE_TOKEN_MS,
            "tok_grow": 0.5,
            **self._links(),
        }

    # Request classes and clients

    def _prompt_shrink(self, talk: Json) -> float:
        """By how much prompts are made shorter."""
        tokens = float(talk["prefix_tokens"]) + float(talk["new_tokens"])
        turns = float(talk["turns"])
        return min(1.0, MAX_PROMPT_TOKENS / max(tokens * max(1.0, turns / 2), 1.0))

    def _request_class(self, request_class: Json, talk: Json) -> Json:
        speed = self.speed
        return {
            "name": scenario_name(request_class["name"]),
            "effect": EFFECTS[request_class["effect"]],
            "group": request_class["group"],
            "window_ms": request_class["window"] / 1000 / speed,
            "slo_ms": round(request_class["aim"] / 1000 / speed, 1),
            "slo_per_ktok_ms": round(talk["aim_ms_per_k"] / speed / self._prompt_shrink(talk), 1),
            "tok_slo_ms": talk["token_ms"] / speed,
            "limit_ms": round(request_class["deadline"] / 1000 / speed, 1),
            "revenue": request_class["worth"],
            "late_share": request_class["late_worth"],
            "max_toks": MAX_TOKENS,
        }

    def _use(self, request_class: Json, talk: Json) -> Json:
        shrink = self._prompt_shrink(talk)
        return {
            "product": scenario_name(request_class["name"]),
            "share": round(request_class["share"], 4),
            "turns": [1.0, max(1.0, 2 * talk["turns"] - 1)],
            "adds": [round(talk["new_tokens"] * shrink * 0.5), round(talk["new_tokens"] * shrink * 1.5)],
            "openings": int(talk["prefixes"]),
            "opening_part": round(min(1.0, talk["prefix_share"]), 3),
            "opening_toks": [
                round(talk["prefix_tokens"] * shrink * 0.7),
                round(talk["prefix_tokens"] * shrink * 1.3),
            ],
            "max_toks": USED_MAX_TOKENS,
            "think_ms": round(min(MAX_THINK_MS, talk["think_s"] * 1000 / self.speed), 1),
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

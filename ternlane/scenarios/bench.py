"""Turns a bench day's description into a script, scaled down to one machine.

Kept: the kinds of trouble with their times, sizes and the part of the fleet that they strike, products with their
promises, cells and duties in proportion, how clients behave, how late the list is. Scaled: sizes and load; all times
by `speed`, so that a day of 45 s at speed 2 takes 22 s and its SLO times are half as long. A stand-in engine is drawn
so that the fleet is as busy as the day says. Not kept: exact speeds and noise of single servers.
"""

from __future__ import annotations

import json
import re
from typing import Any

from ternlane.scenarios.script import DayScript
from ternlane.config import read_text

EFFECTS = {"safe": "idempotent", "keyed": "deduplicated", "unsafe": "side-effecting"}
ROLES = {"read": "readers", "write": "writers", "both": "mixed"}
OWN = {"balancer_crash", "balancer_roll", "burst", "hot_key", "heavy_tail", "origin_slow", "zone_cut"}
TOKENS_LIMIT = 4000  # of a prompt, so that one machine can carry the day


def name_of(text: str) -> str:
    return re.sub(r"[^A-Za-z0-9._-]", "-", text)[:64] or "day"


def cells_of(raw: dict[str, Any], engines: int) -> tuple[list[dict[str, Any]], float]:
    """Cells with as many of each duty as the scale leaves, at least one of each duty that the day has."""
    roles, zones = raw["fam"]["roles"], raw["zones"]
    found: dict[tuple[int, int], dict[str, int]] = {}
    for server in raw["servers"]:
        cell = found.setdefault((server["zone"], server["cell"]), {})
        role = ROLES[roles[server["kind"]]]
        cell[role] = cell.get(role, 0) + 1
    scale = min(1.0, engines / len(raw["servers"]))
    keep = max(1, round(len(found) * scale**0.5))
    cells = []
    for (zone, _), many in sorted(found.items())[:keep] if keep < len(found) else sorted(found.items()):
        shrink = scale * len(found) / keep
        cells.append(
            {"zone": name_of(zones[zone]), **{role: round(many.get(role, 0) * shrink) for role in ROLES.values()}}
        )
    for role in {ROLES[r] for r in roles}:
        if not any(c[role] for c in cells):
            cells[0][role] = 1
    return cells, scale


def trouble_of(t: dict[str, Any], raw: dict[str, Any], speed: float, zones: list[str]) -> dict[str, Any] | None:
    kind, size, extra = t["kind"], t.get("size", 0.0), t.get("extra", 0.0)
    out: dict[str, Any] = {
        "kind": kind,
        "at_s": round(t["at"] / 1e6 / speed, 3),
        "for_s": max(0.3, round(t["len"] / 1e6 / speed, 3)),
    }
    hit = max(1, len({n for step in t.get("steps", []) for n in step["stop"]} or t["on"]))
    servers, balancers = max(1, len(raw["servers"])), max(1, len(raw["balancers"]))
    if kind not in OWN:
        out["part"] = round(min(1.0, hit / servers), 3)
    match kind:
        case "crash" | "hang":
            pass
        case "flush":
            out["part"] = round(min(1.0, size or out["part"]), 3)
            out["for_s"] = 1.0
        case "slow" | "origin_slow":
            out["times"] = round(max(size, 1.0), 2)
        case "burst":
            out["times"] = round(max(size, 0.1), 2)
        case "pauses":
            out |= {"pause_ms": round(size / speed, 1), "every_s": round(max(0.2, extra) / speed, 2)}
        case "neighbour":
            out |= {"share": round(min(size, 0.95), 3), "turn_s": round(max(0.3, extra) / speed, 2)}
        case "answer_lost":
            out |= {"share": round(size, 3), "how": t.get("how", "silence")}
        case "handshake_slow":
            out["added_ms"] = round(size / speed, 1) or 50.0
        case "heavy_tail":
            classes = raw["classes"]
            out |= {
                "share": round(min(1.0, extra), 4),
                "times": round(max(size, 1.0), 1),
                "product": name_of(classes[int(t.get("which", 0)) % len(classes)]["name"]),
            }
        case "hot_key":
            out |= {
                "share": round(min(1.0, size), 3),
                "keys": max(1, int(extra)),
                "toks": min(TOKENS_LIMIT, float(raw["fam"].get("hot_tokens", 3000))),
            }
        case "zone_cut":
            out["zone"] = zones[int(t.get("which", 0)) % len(zones)]
        case "mass_restart":
            out["within_s"] = 0.2
        case "preempt":
            out |= {
                "notice_s": round(max(0.3, size) / speed, 2),
                "waves": max(1, len(t["steps"])),
                "for_s": round(max(0.5, extra) / speed, 2),
            }
        case "balancer_crash":
            out["part"] = round(min(1.0, hit / balancers), 3)
        case "balancer_roll":
            out |= {
                "part": round(min(1.0, hit / balancers), 3),
                "batch": round(min(1.0, size or 0.2), 3),
                "down_s": round(max(0.2, extra) / speed, 2),
                "killed": True,
            }
        case _:
            return None
    return out


def script_from_bench(raw: dict[str, Any], engines: int, gateways: int, rate: float, speed: float) -> str:
    """JSON5 text of a script. Raises KeyError, TypeError or ValueError for what is no two-stage day."""
    if raw.get("family") != "twostage":
        raise ValueError(f"family {raw.get('family')!r} is not twostage")
    cells, scale = cells_of(raw, engines)
    zones = list(dict.fromkeys(str(c["zone"]) for c in cells))
    fam, length = raw["fam"], raw["length"] / 1e6 / speed
    request_classes, uses = [], []
    for cls, talk in zip(raw["classes"], fam["talks"], strict=True):
        name, tokens = name_of(cls["name"]), float(talk["prefix_tokens"]) + float(talk["new_tokens"])
        shrink = min(1.0, TOKENS_LIMIT / max(tokens * max(1.0, talk["turns"] / 2), 1.0))
        request_classes.append(
            {
                "name": name,
                "effect": EFFECTS[cls["effect"]],
                "group": cls["group"],
                "window_ms": cls["window"] / 1000 / speed,
                "slo_ms": round(cls["aim"] / 1000 / speed, 1),
                "slo_per_ktok_ms": round(talk["aim_ms_per_k"] / speed / shrink, 1),
                "tok_slo_ms": talk["token_ms"] / speed,
                "limit_ms": round(cls["deadline"] / 1000 / speed, 1),
                "revenue": cls["worth"],
                "late_share": cls["late_worth"],
                "max_toks": 400,
            }
        )
        uses.append(
            {
                "product": name,
                "share": round(cls["share"], 4),
                "turns": [1.0, max(1.0, 2 * talk["turns"] - 1)],
                "adds": [round(talk["new_tokens"] * shrink * 0.5), round(talk["new_tokens"] * shrink * 1.5)],
                "openings": int(talk["prefixes"]),
                "opening_part": round(min(1.0, talk["prefix_share"]), 3),
                "opening_toks": [
                    round(talk["prefix_tokens"] * shrink * 0.7),
                    round(talk["prefix_tokens"] * shrink * 1.3),
                ],
                "max_toks": 64,
                "think_ms": round(min(4000.0, talk["think_s"] * 1000 / speed), 1),
            }
        )
    troubles = [t for t in (trouble_of(t, raw, speed, zones) for t in raw["troubles"]) if t is not None]
    troubles = [t for t in troubles if t["at_s"] < length and not (t["kind"] == "zone_cut" and len(zones) < 2)]
    load, rules = float(raw["traffic"]["load"]), raw["tiers"][0]
    decode_servers = max(1, sum(int(c["writers"]) + int(c["mixed"]) for c in cells))
    prefill_servers = max(1, sum(int(c["readers"]) + int(c["mixed"]) for c in cells))
    busy_decode_servers = rate * 22 * 9 / 1000 * 1.5 / max(load, 0.05)  # slots that make the fleet as busy as the day
    mean_tokens = sum(
        u["share"] * (u["adds"][0] + u["adds"][1] + u["opening_part"] * u["opening_toks"][0]) / 2 for u in uses
    ) / sum(u["share"] for u in uses)
    slots = max(2, round(busy_decode_servers / decode_servers))
    per_prefill_server = rate * mean_tokens / prefill_servers / max(load, 0.05)
    near = {"near_tok_s": round(fam["near"] * speed), "far_tok_s": round(fam["far"] * speed)}
    script = {
        "name": name_of(f"{raw['site']}-{raw['kind']}"),
        "seed": int(raw["noise"]) % 100000,
        "length_s": round(length, 1),
        "rate": rate,
        "load": [[round(at / speed, 2), round(times, 3)] for at, times in raw["traffic"]["shape"]],
        "gateways": gateways,
        "cells": cells,
        "reader": {
            "slots": 4,
            "queue": min(60, fam["engines"][0]["queue"]),
            "read_tok_s": round(per_prefill_server * 1.3, 1),
            "mem_toks": 80000,
            **near,
        },
        "writer": {
            "slots": slots,
            "queue": max(4, slots // 2),
            "mem_toks": 60000,
            "tok_ms": 9,
            "tok_grow": 0.5,
            **near,
        },
        "products": request_classes,
        "uses": uses,
        "terms": {
            "leg_limit": raw["allow"]["max_attempts"],
            "connect_ms": max(100.0, rules["connect_timeout"] / 1000),
            "release_ms": max(300.0, fam["release"] / 1000 / speed),
            "drain_grace_ms": max(200.0, raw["drain_grace"] / 1000 / speed),
            "cold_ms": rules["stated_cold"] / 1000 / speed,
            "cold_from": rules["stated_cold_from"],
            "fall_multiple": raw["fall_multiple"],
            "fall_ms": raw["fall_for"] / 1000 / speed,
            "longest_pause_ms": raw["clients"]["max_retry_after"] / 1000,
            "may_call_off": raw["allow"]["cancel"],
            "reports_mem": "x0" in rules["report_fields"],
        },
        "clients": {
            "retries": raw["clients"]["retries"],
            "try_share": [round(raw["clients"]["try_share"], 3), round(raw["clients"]["try_share"], 3)],
            "honour": round(raw["clients"]["honour"], 3),
            "leave_part": round(min(1.0, raw["clients"]["impatient"]), 4),
        },
        "lists": {
            "notice_ms": round(raw["discovery"]["notice"] / 1000 / speed, 1),
            "silent_ms": round(raw["discovery"]["silent_notice"] / 1000 / speed, 1),
        },
        "front_notice_ms": max(200.0, round(raw["front_notice"] / 1000 / speed, 1)),
        "troubles": troubles,
    }
    text = (
        f"// From a bench day, scaled to {scale:.2f} of its servers and played {speed:g} times as fast.\n"
        + json.dumps(script, indent=1)
    )
    read_text(text, DayScript, "the turned day")
    return text

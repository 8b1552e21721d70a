"""Converts the faults of a benchmark day (a simulated workload with faults) into those of a scenario."""

from __future__ import annotations

import re
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

# Faults that affect something other than a fraction of the servers.
NON_SERVER_FAULTS = {"balancer_crash", "balancer_roll", "burst", "hot_key", "heavy_tail", "origin_slow", "zone_cut"}
MAX_PROMPT_TOKENS = 4000  # so that one machine can run all fake engines
MAX_NAME_CHARACTERS = 64
MIN_FAULT_S = 0.3

Json = dict[str, Any]


def scenario_name(text: str) -> str:
    """Replaces the characters that scenario names must not have."""
    return re.sub(r"[^A-Za-z0-9._-]", "-", text)[:MAX_NAME_CHARACTERS] or "day"


def to_run_seconds(microseconds: float, speed: float) -> float:
    """Converts microseconds since the start of the day to seconds of the run, which is `speed` times faster."""
    return microseconds / 1e6 / speed


@dataclass(frozen=True)
class BenchFault:
    """A fault of the day. The meaning of `size`, `extra` and `which` depends on the kind."""

    raw: Json
    kind: str
    size: float
    extra: float
    which: int
    affected: int  # number of servers or of balancers (gateways)

    @classmethod
    def of(cls, raw: Json) -> BenchFault:
        """Reads a fault. Raises KeyError if it lacks a field."""
        stopped = {number for step in raw.get("steps", []) for number in step["stop"]}
        return cls(
            raw=raw,
            kind=raw["kind"],
            size=raw.get("size", 0.0),
            extra=raw.get("extra", 0.0),
            which=int(raw.get("which", 0)),
            affected=max(1, len(stopped or raw["on"])),
        )


class BenchFaults:
    """The faults of one day."""

    def __init__(self, raw_day: Json, speed: float, zones: list[str]) -> None:
        """`speed`: how many times faster than the day the scenario runs; `zones`: names of the scenario's zones."""
        self.raw_day = raw_day
        self.speed = speed
        self.zones = zones

    def scenario_faults(self) -> list[Json]:
        """The faults of known kinds that begin within the day, without zone cuts if there is only one zone, as the JSON
        of scenario faults. Raises KeyError if a field is missing."""
        length_s = to_run_seconds(self.raw_day["length"], self.speed)
        faults = [self._fault(BenchFault.of(raw)) for raw in self.raw_day["troubles"]]
        return [
            fault
            for fault in faults
            if fault is not None
            and fault["at_s"] < length_s
            and not (fault["kind"] == "zone_cut" and len(self.zones) < 2)
        ]

    def _fault(self, fault: BenchFault) -> Json | None:
        convert_fields = self._field_converters().get(fault.kind)
        if convert_fields is None:
            return None
        common: Json = {
            "kind": fault.kind,
            "at_s": round(to_run_seconds(fault.raw["at"], self.speed), 3),
            "for_s": max(MIN_FAULT_S, round(to_run_seconds(fault.raw["len"], self.speed), 3)),
        }
        if fault.kind not in NON_SERVER_FAULTS:
            common["part"] = self._part_of(fault, len(self.raw_day["servers"]))
        return common | convert_fields(fault)

    def _part_of(self, fault: BenchFault, total: int) -> float:
        return round(min(1.0, fault.affected / max(1, total)), 3)

    def _field_converters(self) -> dict[str, Callable[[BenchFault], Json]]:
        """By fault kind: a function that returns the fields of the scenario fault that are specific to the kind. They
        may override `part` and `for_s`."""
        speed = self.speed
        gateways = len(self.raw_day["balancers"])
        return {
            "crash": lambda fault: {},
            "hang": lambda fault: {},
            "flush": self._flush,
            "slow": lambda fault: {"times": round(max(fault.size, 1.0), 2)},
            "origin_slow": lambda fault: {"times": round(max(fault.size, 1.0), 2)},
            "burst": lambda fault: {"times": round(max(fault.size, 0.1), 2)},
            "pauses": lambda fault: {
                "pause_ms": round(fault.size / speed, 1),
                "every_s": round(max(0.2, fault.extra) / speed, 2),
            },
            "neighbour": lambda fault: {
                "share": round(min(fault.size, 0.95), 3),
                "turn_s": round(max(0.3, fault.extra) / speed, 2),
            },
            "answer_lost": lambda fault: {"share": round(fault.size, 3), "how": fault.raw.get("how", "silence")},
            # 50 ms if the fault states no delay.
            "handshake_slow": lambda fault: {"added_ms": round(fault.size / speed, 1) or 50.0},
            "heavy_tail": self._heavy_tail,
            "hot_key": self._hot_key,
            "zone_cut": lambda fault: {"zone": self.zones[fault.which % len(self.zones)]},
            "mass_restart": lambda fault: {"within_s": 0.2},
            "preempt": self._preemption,
            "balancer_crash": lambda fault: {"part": self._part_of(fault, gateways)},
            "balancer_roll": lambda fault: {
                "part": self._part_of(fault, gateways),
                "batch": round(min(1.0, fault.size or 0.2), 3),
                "down_s": round(max(0.2, fault.extra) / speed, 2),
                "killed": True,
            },
        }

    def _flush(self, fault: BenchFault) -> Json:
        part = self._part_of(fault, len(self.raw_day["servers"]))
        return {"part": round(min(1.0, fault.size or part), 3), "for_s": 1.0}

    def _heavy_tail(self, fault: BenchFault) -> Json:
        classes = self.raw_day["classes"]
        return {
            "share": round(min(1.0, fault.extra), 4),
            "times": round(max(fault.size, 1.0), 1),
            "product": scenario_name(classes[fault.which % len(classes)]["name"]),
        }

    def _hot_key(self, fault: BenchFault) -> Json:
        return {
            "share": round(min(1.0, fault.size), 3),
            "keys": max(1, int(fault.extra)),
            "toks": min(MAX_PROMPT_TOKENS, float(self.raw_day["fam"].get("hot_tokens", 3000))),
        }

    def _preemption(self, fault: BenchFault) -> Json:
        return {
            "notice_s": round(max(0.3, fault.size) / self.speed, 2),
            "waves": max(1, len(fault.raw["steps"])),
            "for_s": round(max(0.5, fault.extra) / self.speed, 2),
        }

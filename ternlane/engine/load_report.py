"""Parses the load that an engine reports in its metrics or in a header of an answer. No I/O."""

from __future__ import annotations

import re

import msgspec
from prometheus_client.parser import text_string_to_metric_families

from ternlane.policy.messages import Report

LOAD_METRIC_LINE = re.compile(r"(\w+:)?(num_requests_running|num_requests_waiting|(kv|gpu)_cache_usage_perc)[ {]")
MAX_MEMORY_SHARE = 1.5  # a larger share is impossible and counts as not reported


def load_from_metrics(text: str) -> Report | None:
    """The load in an engine's metrics (Prometheus text), under any prefix such as `vllm:`."""
    values: dict[str, float] = {}
    # Only the needed lines are parsed, as a page can have thousands.
    lines = [line for line in text.splitlines() if LOAD_METRIC_LINE.match(line)]
    try:
        for family in text_string_to_metric_families("\n".join(lines) + "\n"):
            for sample in family.samples:
                name = sample.name.rpartition(":")[2]
                if name.startswith("num_requests"):  # one sample for each model
                    values[name] = values.get(name, 0.0) + sample.value
                else:
                    values["kv_cache_usage_perc"] = max(values.get("kv_cache_usage_perc", 0.0), sample.value)
    except (ValueError, KeyError, IndexError, AttributeError, TypeError, OverflowError):
        return None
    return load_report(values)


def load_from_header(header: str | None) -> Report | None:
    """The load in an ORCA header in TEXT or JSON encoding; None if it is missing or malformed."""
    if not header:
        return None
    encoding, _, text = header.strip().partition(" ")
    values: dict[str, float] = {}
    try:
        if encoding == "JSON":
            raw = msgspec.json.decode(text)
            for name, value in [*raw.items(), *(raw.get("named_metrics") or {}).items()]:
                if isinstance(value, (int, float)):
                    values[name] = float(value)
        elif encoding == "TEXT":
            for part in text.split(","):
                name, _, value = part.strip().partition("=")
                values[name.removeprefix("named_metrics.")] = float(value)
    except (msgspec.DecodeError, ValueError, AttributeError, TypeError, OverflowError, RecursionError):
        return None
    return load_report(values)


def load_report(values: dict[str, float]) -> Report | None:
    """The load report from values by the engines' names for them; None if none of them is present."""
    memory_share = values.get("kv_cache_usage_perc", values.get("mem_utilization"))
    if memory_share is not None and not 0.0 <= memory_share <= MAX_MEMORY_SHARE:
        memory_share = None
    running = values.get("num_requests_running")
    waiting = values.get("num_requests_waiting")
    open_requests = None
    if running is not None or waiting is not None:
        open_requests = (running or 0.0) + (waiting or 0.0)
    if memory_share is None and open_requests is None:
        return None
    return Report(open_requests, memory_share)

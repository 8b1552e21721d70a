"""Reads how loaded an engine says it is: from its metrics, or from the header of an answer. No I/O."""

from __future__ import annotations

import re

import msgspec
from prometheus_client.parser import text_string_to_metric_families

from ternlane.policy.messages import Report

LOAD_LINE = re.compile(r"(\w+:)?(num_requests_running|num_requests_waiting|(kv|gpu)_cache_usage_perc)[ {]")
MAX_MEMORY_SHARE = 1.5  # a report is believed, so it must be possible: a share above counts as not told


def load_from_metrics(text: str) -> Report | None:
    """The load in an engine's metrics (Prometheus text); the engine's own prefix does not matter."""
    figures: dict[str, float] = {}
    lines = [line for line in text.splitlines() if LOAD_LINE.match(line)]  # of pages that hold thousands
    try:
        for family in text_string_to_metric_families("\n".join(lines) + "\n"):
            for sample in family.samples:
                name = sample.name.rpartition(":")[2]
                if name.startswith("num_requests"):  # one a model that it serves
                    figures[name] = figures.get(name, 0.0) + sample.value
                else:
                    figures["kv_cache_usage_perc"] = max(figures.get("kv_cache_usage_perc", 0.0), sample.value)
    except (ValueError, KeyError, IndexError):
        return None
    return load_report(figures)


def load_from_header(header: str | None) -> Report | None:
    """An ORCA header in its TEXT or JSON form. None where there is none or it cannot be parsed."""
    if not header:
        return None
    form, _, text = header.strip().partition(" ")
    figures: dict[str, float] = {}
    try:
        if form == "JSON":
            raw = msgspec.json.decode(text)
            for name, value in [*raw.items(), *(raw.get("named_metrics") or {}).items()]:
                if isinstance(value, (int, float)):
                    figures[name] = float(value)
        elif form == "TEXT":
            for part in text.split(","):
                name, _, value = part.strip().partition("=")
                figures[name.removeprefix("named_metrics.")] = float(value)
    except (msgspec.DecodeError, ValueError, AttributeError, TypeError):
        return None
    return load_report(figures)


def load_report(figures: dict[str, float]) -> Report | None:
    """The load report of these figures, by the names that engines give them; None where none of them is told."""
    memory_share = figures.get("kv_cache_usage_perc", figures.get("mem_utilization"))
    if memory_share is not None and not 0.0 <= memory_share <= MAX_MEMORY_SHARE:
        memory_share = None
    running = figures.get("num_requests_running")
    waiting = figures.get("num_requests_waiting")
    open_requests = None
    if running is not None or waiting is not None:
        open_requests = (running or 0.0) + (waiting or 0.0)
    if memory_share is None and open_requests is None:
        return None
    return Report(open_requests, memory_share)

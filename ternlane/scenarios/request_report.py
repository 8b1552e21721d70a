"""The report about requests, by request class: outcomes, revenue within the latency objective, time to first token."""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass, field
from typing import Any

from ternlane.config import RequestClassConfig
from ternlane.rules.findings import LogLine
from ternlane.scenarios.quantiles import shown_quantiles


@dataclass
class RequestLines:
    """A run's log lines about requests.

    A task is a client's request with all its retries; each retry is a request to the gateway with its own id.
    """

    sent_requests: defaultdict[str, list[LogLine]] = field(default_factory=lambda: defaultdict(list))  # by task
    first_tokens_ms: dict[str, float] = field(default_factory=dict)  # by request
    finals: dict[str, LogLine] = field(default_factory=dict)  # by request
    tasks: dict[str, LogLine] = field(default_factory=dict)
    attempts: int = 0
    attempt_outcomes: Counter[str] = field(default_factory=Counter)

    @classmethod
    def of(cls, lines: list[LogLine]) -> RequestLines:
        """Groups a run's log lines."""
        request_lines = cls()
        for line in lines:
            match line["k"]:
                case "ask":
                    request_lines.sent_requests[line["task"]].append(line)
                case "first":
                    request_lines.first_tokens_ms[line["gen"]] = line["t"]
                case "final":
                    request_lines.finals[line["gen"]] = line
                case "task":
                    request_lines.tasks[line["task"]] = line
                case "leg":
                    request_lines.attempts += 1
                case "leg_end":
                    request_lines.attempt_outcomes[line["how"].split(" ")[0]] += 1
        return request_lines

    def span_s(self) -> float:
        """The time from the first sent request to the last."""
        sent_ms = [sent["t"] for sent_requests in self.sent_requests.values() for sent in sent_requests]
        return (max(sent_ms, default=0) - min(sent_ms, default=0)) / 1000

    def answered_request(self, task: str) -> LogLine | None:
        """The sent request of a task whose answer was complete, if any."""
        return next(
            (
                sent
                for sent in self.sent_requests[task]
                if self.finals.get(sent["gen"], {}).get("outcome") == "streamed"
            ),
            None,
        )


@dataclass
class Revenue:
    """Revenue, in units of the request classes' priority weights."""

    earned: float = 0.0
    possible: float = 0.0


def request_classes_of(
    run: RequestLines, request_classes: list[RequestClassConfig]
) -> tuple[dict[str, dict[str, Any]], dict[str, Revenue]]:
    """The figures of each request class, and the revenue of each tenant."""
    revenues: dict[str, Revenue] = defaultdict(Revenue)
    by_name = {request_class.name: request_class for request_class in request_classes}
    figures = {name: _request_class_report(run, request_class, revenues) for name, request_class in by_name.items()}
    return figures, revenues


def _request_class_report(
    run: RequestLines, request_class: RequestClassConfig, revenues: dict[str, Revenue]
) -> dict[str, Any]:
    weight = request_class.priority_weight
    tasks = [task for task in run.tasks.values() if task["product"] == request_class.name]
    latencies_ms: list[float] = []
    in_time = 0
    for task in tasks:
        revenue = revenues[task.get("tenant", "")]
        revenue.possible += weight
        answered_request = run.answered_request(task["task"])
        if answered_request is None or answered_request["gen"] not in run.first_tokens_ms:
            continue
        latency_ms = run.first_tokens_ms[answered_request["gen"]] - run.sent_requests[task["task"]][0]["t"]
        latencies_ms.append(latency_ms)
        slo_ms = request_class.slo_ms + request_class.slo_per_1000_tokens_ms * answered_request["toks"] / 1000
        in_time += latency_ms <= slo_ms
        revenue.earned += weight if latency_ms <= slo_ms else weight * request_class.late_value_share
    late = len(latencies_ms) - in_time
    return {
        "asked": len(tasks),
        "outcomes": dict(Counter(task["outcome"] for task in tasks)),
        "in_time": in_time,
        "late": late,
        "earned": round(weight * (in_time + request_class.late_value_share * late), 1),
        "could_earn": round(weight * len(tasks), 1),
        "first_token_ms": shown_quantiles(latencies_ms),
    }

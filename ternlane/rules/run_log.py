"""A run's JSON lines, indexed for the rules. Times are in milliseconds of one machine's clock."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass

from ternlane.rules.findings import LogLine
from ternlane.rules.limits import CLOCK_TOLERANCE_MS

# Time after which a started process listens.
START_UP_MS = 2000.0


@dataclass
class LoggedAttempt:
    """One attempt as recorded by the server."""

    request: str
    number: int
    stage: str  # "read", "write" or "whole"
    server: str
    gateway: str
    begin_ms: float
    end_ms: float
    how: str  # how it ended; "unfinished" if the server died first

    def as_line(self) -> LogLine:
        """Returns the attempt in the format of the reports."""
        return {
            "request": self.request,
            "n": self.number,
            "stage": self.stage,
            "engine": self.server,
            "gateway": self.gateway,
            "begin": self.begin_ms,
            "end": self.end_ms,
            "how": self.how,
        }


class RunLog:
    """The lines recorded by clients, servers, registry and front layer."""

    def __init__(self, lines: list[LogLine]) -> None:
        """`lines` must be in order of time."""
        self.end_ms: float = lines[-1]["t"] if lines else 0.0
        self.by_kind: defaultdict[str, list[LogLine]] = defaultdict(list)
        for line in lines:
            self.by_kind[line["k"]].append(line)
        self._stops_ms: defaultdict[str, list[float]] = defaultdict(list)  # by server
        for line in self.by_kind["down"]:
            self._stops_ms[line["id"]].append(line["t"])
        self._gateway_lines = self._grouped("gateway", "gw")
        self._connections: defaultdict[int, list[LogLine]] = defaultdict(
            list
        )  # of the front layer, by the client's port
        for line in self.by_kind["conn"]:
            self._connections[line["port"]].append(line)
        self.attempts = self._pair_attempts()  # by request, in order of their begin

    def _grouped(self, kind: str, key: str) -> defaultdict[str, list[LogLine]]:
        groups: defaultdict[str, list[LogLine]] = defaultdict(list)
        for line in self.by_kind[kind]:
            groups[line[key]].append(line)
        return groups

    def by_request(self, kind: str) -> defaultdict[str, list[LogLine]]:
        """Returns the lines of one kind, by request."""
        return self._grouped(kind, "gen")

    def _pair_attempts(self) -> defaultdict[str, list[LoggedAttempt]]:
        ends: dict[tuple[str, str, int], LogLine] = {}
        for line in self.by_kind["leg_end"]:
            ends[line["id"], line["gen"], line["n"]] = line
        attempts: defaultdict[str, list[LoggedAttempt]] = defaultdict(list)
        for line in self.by_kind["leg"]:
            end = ends.get((line["id"], line["gen"], line["n"]))
            if end is None:
                end = {"t": self.next_stop_ms(line["id"], line["t"]), "how": "unfinished"}
            attempts[line["gen"]].append(
                LoggedAttempt(
                    line["gen"], line["n"], line["stage"], line["id"], line["gw"], line["t"], end["t"], end["how"]
                )
            )
        for request_attempts in attempts.values():
            request_attempts.sort(key=lambda attempt: attempt.begin_ms)
        return attempts

    def next_stop_ms(self, server: str, since_ms: float) -> float:
        """Returns when this server's process next ended, or the end of the run."""
        return next((stop_ms for stop_ms in self._stops_ms[server] if stop_ms >= since_ms), self.end_ms)

    def gateway_of(self, request_line: LogLine) -> str | None:
        """Returns the gateway that received a request.

        It is found by the front layer's connection from the client's port, or without a front layer by the first
        attempt.
        """
        nearest = min(
            self._connections.get(request_line["port"], []),
            key=lambda line: abs(line["t"] - request_line["t"]),
            default=None,
        )
        if nearest is not None:
            return str(nearest["gw"])
        attempts = self.attempts.get(request_line["gen"])
        return attempts[0].gateway if attempts else None

    def gateway_was_down(self, gateway: str | None, begin_ms: float, end_ms: float) -> bool:
        """Whether the gateway was killed between begin and end, or was down at begin.

        A gateway that received a stop signal still has to answer what it had accepted before.
        """
        stopped_ms: float | None = None
        for line in self._gateway_lines.get(gateway or "", []):
            if line["what"] == "relieved":
                continue  # its successor serves already, so this is no downtime
            if line["what"] == "start":
                if _came_while_down(stopped_ms, begin_ms, line["t"] + START_UP_MS):
                    return True
                stopped_ms = None
                continue
            stopped_ms = line["t"]
            if line["what"] == "kill" and begin_ms <= line["t"] <= end_ms + CLOCK_TOLERANCE_MS:
                return True
        return _came_while_down(stopped_ms, begin_ms, None)


def _came_while_down(stopped_ms: float | None, begin_ms: float, serving_ms: float | None) -> bool:
    """`serving_ms`: when the next process listens, or None if there is none."""
    if stopped_ms is None or begin_ms < stopped_ms - CLOCK_TOLERANCE_MS:
        return False
    return serving_ms is None or begin_ms <= serving_ms

"""Answers the simulator's batches: passes their lines to the gateways named in them, and returns the actions."""

from __future__ import annotations

import json

from ternlane.policy.messages import Event
from ternlane.wirehost.codec import END_OF_ANSWER, fault_line, malformed_line
from ternlane.wirehost.instance import GatewayInstance


class BatchReader:
    """Reads the time and the events of each gateway from one batch."""

    def __init__(self, instances: dict[str, GatewayInstance], batch: list[str]) -> None:
        self.instances = instances
        self.batch = batch
        self.now_ms = 0.0
        self.events: dict[str, list[Event]] = {}  # by gateway, in the order of their first lines
        self.parts: list[str] = [""]  # the words of the current line
        self._next = 0

    def read(self) -> None:
        """Reads all lines. Raises for a malformed one, whose words are then in `parts`."""
        while self._next < len(self.batch):
            line = self.batch[self._next]
            self._next += 1
            self.parts = line.split(" ")
            self._read_line(line)

    def _read_line(self, line: str) -> None:
        match self.parts[0]:
            case "MARK":
                self.now_ms = float(self.parts[1])
            case "ENLIST":
                _, gateway, seed, settings = line.split(" ", 3)
                self.instances[gateway] = GatewayInstance(int(seed), json.loads(settings))
                self.events[gateway] = []
            case "SHUTDOWN":
                self.instances.pop(self.parts[1], None)
                self.events.pop(self.parts[1], None)
            case _:
                gateway = self.parts[1]
                if gateway in self.instances:
                    self._read_event(gateway, self.instances[gateway])

    def _read_event(self, gateway: str, instance: GatewayInstance) -> None:
        if self.parts[0] == "ANNOUNCE":
            count = int(self.parts[4])
            rows = self.batch[self._next : self._next + count]
            event: Event | None = instance.decode_list(self.parts[2], rows)
            self._next += count
        else:
            event = instance.decode_event(self.parts)
        if event is not None:
            self.events.setdefault(gateway, []).append(event)


class Host:
    """All gateways of one simulator process."""

    def __init__(self) -> None:
        self.instances: dict[str, GatewayInstance] = {}

    def answer(self, batch: list[str]) -> list[str]:
        """The answer to a batch. A programming error in one gateway becomes a line and does not affect the others."""
        reader = BatchReader(self.instances, batch)
        try:
            reader.read()
        except (ValueError, IndexError, KeyError, TypeError, AttributeError) as error:
            return malformed_line(reader.parts, error)
        lines: list[str] = []
        for gateway, events in reader.events.items():
            instance = self.instances[gateway]
            try:
                lines.extend(instance.encode(gateway, instance.router.take(reader.now_ms, events)))
            except Exception as error:
                lines.append(fault_line(gateway, error, events))
        lines.append(END_OF_ANSWER)
        return lines

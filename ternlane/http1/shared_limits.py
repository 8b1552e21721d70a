"""Limits on what peers may use of an event loop, shared by all of its connections."""

from __future__ import annotations

from dataclasses import dataclass, field

from ternlane.http1.buffer_memory import BufferMemory
from ternlane.http1.parse_turns import ParseTurns


@dataclass(slots=True)
class SharedLimits:
    """Time and memory for the messages of peers. Servers and pools of one event loop should share one object."""

    parse_turns: ParseTurns = field(default_factory=ParseTurns)
    memory: BufferMemory = field(default_factory=BufferMemory)

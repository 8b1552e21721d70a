"""The faults of a scenario document, by kind.

Fields that end in `_s` are seconds, `at_s` from the start of the run. `times` is a factor, `share` and `part` are
fractions.
"""

from __future__ import annotations

from typing import Literal

from ternlane.config.gateway import ConfigDocument, Count, Fraction, NonNegative, Positive


class FaultConfig(ConfigDocument, frozen=True, kw_only=True):
    """The fields of every fault: its start and its duration."""

    at_s: NonNegative
    for_s: Positive = 10.0

    @property
    def kind(self) -> str:
        """The kind, as documents name it."""
        return str(self.__struct_config__.tag)

    @property
    def at_ms(self) -> float:
        """Start of the fault, in ms from the start of the run."""
        return self.at_s * 1000

    @property
    def end_ms(self) -> float:
        """End of the fault, in ms from the start of the run."""
        return (self.at_s + self.for_s) * 1000


class EngineFaultConfig(FaultConfig, frozen=True, kw_only=True):
    """Affects a random fraction `part` of the engines of `role`, or those numbered in `on`."""

    part: Fraction = 0.2
    on: list[int] | None = None
    role: Literal["any", "read", "write", "both"] = "any"


# Faults of the traffic


class Burst(FaultConfig, frozen=True, kw_only=True, tag="burst", tag_field="kind"):
    """The request rate is multiplied."""

    times: Positive = 2.0


class HeavyTail(FaultConfig, frozen=True, kw_only=True, tag="heavy_tail", tag_field="kind"):
    """Some prompts are many times longer. `request_class` is empty for all classes."""

    share: Fraction = 0.02
    times: Positive = 10.0
    request_class: str = ""


class HotPrefix(FaultConfig, frozen=True, kw_only=True, tag="hot_key", tag_field="kind"):
    """Many new sessions begin with the same new long prefixes."""

    share: Fraction = 0.2
    keys: Count = 1
    tokens: Positive = 3000.0


class TenantRush(FaultConfig, frozen=True, kw_only=True, tag="tenant_rush", tag_field="kind"):
    """Many new sessions belong to the last tenant."""

    share: Fraction = 0.5


# Faults of engines


class Crash(EngineFaultConfig, frozen=True, kw_only=True, tag="crash", tag_field="kind"):
    """Processes are terminated, and restarted cold after `for_s`."""


class Hang(EngineFaultConfig, frozen=True, kw_only=True, tag="hang", tag_field="kind"):
    """Accepts requests but does not answer."""


class Slowdown(EngineFaultConfig, frozen=True, kw_only=True, tag="slow", tag_field="kind"):
    """Works slower by the factor `times`."""

    times: Positive = 4.0


class Pauses(EngineFaultConfig, frozen=True, kw_only=True, tag="pauses", tag_field="kind"):
    """Stops working for `pause_ms` every `every_s`."""

    pause_ms: Positive = 300.0
    every_s: Positive = 2.0


class NoisyNeighbour(EngineFaultConfig, frozen=True, kw_only=True, tag="neighbour", tag_field="kind"):
    """Another program takes a share of the CPU, alternately on and off for `turn_s` each."""

    share: Fraction = 0.5
    turn_s: Positive = 2.0


class CacheFlush(EngineFaultConfig, frozen=True, kw_only=True, tag="flush", tag_field="kind"):
    """The prefix cache is cleared."""


class LostAnswer(EngineFaultConfig, frozen=True, kw_only=True, tag="answer_lost", tag_field="kind"):
    """The work is done, but its answer is not sent."""

    share: Fraction = 0.2
    how: Literal["silence", "reset"] = "silence"


class BrokenStream(EngineFaultConfig, frozen=True, kw_only=True, tag="stream_broken", tag_field="kind"):
    """Answers break off after a random event, possibly the last: the connection is reset, or nothing more is sent."""

    share: Fraction = 0.1
    how: Literal["reset", "stall"] = "reset"


class SlowHandshake(EngineFaultConfig, frozen=True, kw_only=True, tag="handshake_slow", tag_field="kind"):
    """New connections are served late; open ones are not affected."""

    added_ms: Positive = 200.0


class MassRestart(EngineFaultConfig, frozen=True, kw_only=True, tag="mass_restart", tag_field="kind"):
    """Many engines of one role restart at about the same time without notice."""

    within_s: NonNegative = 0.3


class Preemption(EngineFaultConfig, frozen=True, kw_only=True, tag="preempt", tag_field="kind"):
    """Engines are listed as draining and terminated after `notice_s`; replacements start cold after `for_s`."""

    notice_s: Positive = 2.0
    waves: Count = 2


class RollingUpgrade(EngineFaultConfig, frozen=True, kw_only=True, tag="release", tag_field="kind"):
    """A new version is rolled out: engines are drained and restarted, the fraction `batch` of them at a time."""

    batch: Fraction = 0.25
    drain_s: Positive = 1.0
    down_s: Positive = 0.5


# Faults of the network


class SlowLinks(FaultConfig, frozen=True, kw_only=True, tag="origin_slow", tag_field="kind"):
    """State transfer between cells is slower by the factor `times`."""

    times: Positive = 4.0


class ZoneCut(FaultConfig, frozen=True, kw_only=True, tag="zone_cut", tag_field="kind"):
    """No connection between one zone and all others works."""

    zone: str


# Faults of gateways and the registry


class GatewayCrash(FaultConfig, frozen=True, kw_only=True, tag="balancer_crash", tag_field="kind"):
    """Gateways are killed (SIGKILL), and restarted with their cached endpoint list after `for_s`."""

    part: Fraction = 0.3


class GatewayRestart(FaultConfig, frozen=True, kw_only=True, tag="balancer_roll", tag_field="kind"):
    """Gateways are restarted in batches, with SIGTERM or, with `killed`, SIGKILL. With `handover`, the next process
    inherits the listening socket, and the old one gets SIGTERM once the next one serves."""

    part: Fraction = 1.0
    batch: Fraction = 0.2
    down_s: Positive = 0.5
    killed: bool = False
    handover: bool = False


class RegistryFailure(FaultConfig, frozen=True, kw_only=True, tag="registry_fails", tag_field="kind"):
    """The registry gives wrong answers or none."""

    how: Literal["errors", "silence", "garbage", "partial", "restart", "empty"] = "errors"


AnyFault = (
    TenantRush
    | Burst
    | HeavyTail
    | HotPrefix
    | Crash
    | Hang
    | Slowdown
    | Pauses
    | NoisyNeighbour
    | CacheFlush
    | LostAnswer
    | BrokenStream
    | SlowHandshake
    | SlowLinks
    | ZoneCut
    | MassRestart
    | Preemption
    | RollingUpgrade
    | GatewayCrash
    | GatewayRestart
    | RegistryFailure
)

"""The faults of a scenario document, by kind. Times are seconds where `_s` says so, from the run's begin."""

from __future__ import annotations

from typing import Literal

from ternlane.config.gateway import ConfigDocument, Count, Fraction, NonNegative, Positive


class FaultConfig(ConfigDocument, frozen=True, kw_only=True):
    """What every fault has: when it begins and how long it lasts."""

    at_s: NonNegative
    for_s: Positive = 10.0

    @property
    def kind(self) -> str:
        """As documents name it."""
        return str(self.__struct_config__.tag)

    @property
    def at_ms(self) -> float:
        """When it begins."""
        return self.at_s * 1000

    @property
    def end_ms(self) -> float:
        """When it ends."""
        return (self.at_s + self.for_s) * 1000


class EngineFaultConfig(FaultConfig, frozen=True, kw_only=True):
    """Strikes a part of the engines, or those named by number; `duty` narrows it."""

    part: Fraction = 0.2
    on: list[int] | None = None
    role: Literal["any", "read", "write", "both"] = "any"


# Faults of the traffic


class Burst(FaultConfig, frozen=True, kw_only=True, tag="burst", tag_field="kind"):
    """Traffic jumps."""

    times: Positive = 2.0


class HeavyTail(FaultConfig, frozen=True, kw_only=True, tag="heavy_tail", tag_field="kind"):
    """Some prompts are many times longer."""

    share: Fraction = 0.02
    times: Positive = 10.0
    request_class: str = ""


class HotKey(FaultConfig, frozen=True, kw_only=True, tag="hot_key", tag_field="kind"):
    """Many new sessions begin with a long text not seen before."""

    share: Fraction = 0.2
    keys: Count = 1
    tokens: Positive = 3000.0


class TenantRush(FaultConfig, frozen=True, kw_only=True, tag="tenant_rush", tag_field="kind"):
    """Many new sessions are one tenant's."""

    share: Fraction = 0.5


# Faults of engines


class Crash(EngineFaultConfig, frozen=True, kw_only=True, tag="crash", tag_field="kind"):
    """Processes die and come back cold after `for_s`."""


class Hang(EngineFaultConfig, frozen=True, kw_only=True, tag="hang", tag_field="kind"):
    """Takes work, answers nothing."""


class Slow(EngineFaultConfig, frozen=True, kw_only=True, tag="slow", tag_field="kind"):
    """Works `times` slower."""

    times: Positive = 4.0


class Pauses(EngineFaultConfig, frozen=True, kw_only=True, tag="pauses", tag_field="kind"):
    """Stands still for `pause_ms` every `every_s`."""

    pause_ms: Positive = 300.0
    every_s: Positive = 2.0


class NoisyNeighbour(EngineFaultConfig, frozen=True, kw_only=True, tag="neighbour", tag_field="kind"):
    """Another program takes a share of the machine, on and off every `turn_s`."""

    share: Fraction = 0.5
    turn_s: Positive = 2.0


class CacheFlush(EngineFaultConfig, frozen=True, kw_only=True, tag="flush", tag_field="kind"):
    """Cached prefixes are forgotten at once."""


class AnswerLost(EngineFaultConfig, frozen=True, kw_only=True, tag="answer_lost", tag_field="kind"):
    """The work runs, its answer does not come back."""

    share: Fraction = 0.2
    how: Literal["silence", "reset"] = "silence"


class StreamBroken(EngineFaultConfig, frozen=True, kw_only=True, tag="stream_broken", tag_field="kind"):
    """Answers break off after some event, the last included: the connection is reset, or nothing more comes."""

    share: Fraction = 0.1
    how: Literal["reset", "stall"] = "reset"


class HandshakeSlow(EngineFaultConfig, frozen=True, kw_only=True, tag="handshake_slow", tag_field="kind"):
    """New connections are served late; open ones are not touched."""

    added_ms: Positive = 200.0


class MassRestart(EngineFaultConfig, frozen=True, kw_only=True, tag="mass_restart", tag_field="kind"):
    """Many engines of one role restart at once, unannounced."""

    within_s: NonNegative = 0.3


class Preemption(EngineFaultConfig, frozen=True, kw_only=True, tag="preempt", tag_field="kind"):
    """Listed as draining, dead after `notice_s`; replacements start cold after `for_s`."""

    notice_s: Positive = 2.0
    waves: Count = 2


class Release(EngineFaultConfig, frozen=True, kw_only=True, tag="release", tag_field="kind"):
    """A new version rolls out: engines are drained and restarted, `batch` of those struck at a time."""

    batch: Fraction = 0.25
    drain_s: Positive = 1.0
    down_s: Positive = 0.5


# Faults of the network


class OriginSlow(FaultConfig, frozen=True, kw_only=True, tag="origin_slow", tag_field="kind"):
    """The cells' links run `times` slower."""

    times: Positive = 4.0


class ZoneCut(FaultConfig, frozen=True, kw_only=True, tag="zone_cut", tag_field="kind"):
    """One zone and the others can't reach each other."""

    zone: str


# Faults of gateways and the registry


class GatewayCrash(FaultConfig, frozen=True, kw_only=True, tag="balancer_crash", tag_field="kind"):
    """Gateways are killed outright and come back with their cached endpoint list after `for_s`."""

    part: Fraction = 0.3


class GatewayRestart(FaultConfig, frozen=True, kw_only=True, tag="balancer_roll", tag_field="kind"):
    """Gateways are restarted in waves: SIGTERM, or killed. With `handover` the next process gets the listening socket,
    serves first, and then the old one is asked to end."""

    part: Fraction = 1.0
    batch: Fraction = 0.2
    down_s: Positive = 0.5
    killed: bool = False
    handover: bool = False


class RegistryFails(FaultConfig, frozen=True, kw_only=True, tag="registry_fails", tag_field="kind"):
    """The registry answers wrongly or not at all."""

    how: Literal["errors", "silence", "garbage", "partial", "restart", "empty"] = "errors"


AnyFault = (
    TenantRush
    | Burst
    | HeavyTail
    | HotKey
    | Crash
    | Hang
    | Slow
    | Pauses
    | NoisyNeighbour
    | CacheFlush
    | AnswerLost
    | StreamBroken
    | HandshakeSlow
    | OriginSlow
    | ZoneCut
    | MassRestart
    | Preemption
    | Release
    | GatewayCrash
    | GatewayRestart
    | RegistryFails
)

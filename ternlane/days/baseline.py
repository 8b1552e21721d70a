"""A baseline to measure against, never to serve by: pairs in turn, no home, no health, no waiting."""

from __future__ import annotations

from itertools import count

from ternlane import port
from ternlane.port import Action, Duty, Effect, Event, Generation, Life, Server, StartFacts, Verdict


class RoundRobin:
    """Readers in turn, writers in turn; a further leg only where nothing ran or the generation is idempotent."""

    def __init__(self, facts: StartFacts) -> None:
        self.facts, self.turn = facts, count(facts.seed)
        self.servers: list[Server] = []
        self.legs: dict[Generation, int] = {}
        self.until: dict[Generation, float] = {}
        self.ran: set[Generation] = set()

    def take(self, now: float, events: list[Event]) -> list[Action]:
        out: list[Action] = []
        for event in events:
            match event:
                case port.Listed(servers):
                    self.servers += [s for s in servers if s not in self.servers]
                case port.Arrived(gen):
                    self.legs[gen], self.until[gen] = 0, now + gen.patience_ms
                    out += self.send(gen, now, {Duty.READ, Duty.BOTH})
                case port.LegEnded(gen, server, verdict, _, over):
                    out += [port.Release(gen), *self.forget(gen)] if over else self.next(gen, server, verdict, now)
                case port.ClientLeft(gen):
                    out += [port.CallOff(gen), port.Release(gen), *self.forget(gen)]
        return out

    def send(self, gen: Generation, now: float, duties: set[Duty]) -> list[Action]:
        able = [s for s in self.servers if s.life is Life.UP and s.duty in duties]
        if not able or self.legs[gen] >= self.facts.leg_limit or now >= self.until[gen]:
            final: Action = port.Terminate(gen) if gen in self.ran else port.Throttle(gen, 0.0)
            return [final, port.Release(gen), *self.forget(gen)]
        self.legs[gen] += 1
        left = self.until[gen] - now
        return [
            port.SendLeg(
                gen, able[next(self.turn) % len(able)], left, gen.patience_ms / 2, left if gen.whole else float("inf")
            )
        ]

    def next(self, gen: Generation, server: Server, verdict: Verdict, now: float) -> list[Action]:
        if gen not in self.legs:
            return [port.Release(gen)]
        if verdict is Verdict.READ:
            return self.send(gen, now, {Duty.WRITE})
        if (
            server.duty is not Duty.READ
            and verdict not in (Verdict.FULL, Verdict.UNCONNECTED)
            and gen.product.effect is not Effect.IDEMPOTENT
        ):
            self.ran.add(gen)
            return [port.Terminate(gen), port.Release(gen), *self.forget(gen)]
        return [port.Release(gen), *self.send(gen, now, {Duty.READ, Duty.BOTH})]

    def forget(self, gen: Generation) -> list[Action]:
        self.legs.pop(gen, None)
        self.until.pop(gen, None)
        self.ran.discard(gen)
        return []

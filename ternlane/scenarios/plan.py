"""What a script comes to: every engine and gateway, and who is struck when. Alike in every process by the seed."""

from __future__ import annotations

import random
import zlib
from dataclasses import dataclass
from typing import Any

from ternlane.scenarios.script import (
    AnyTrouble,
    BalancerCrash,
    BalancerRoll,
    DayScript,
    Kind,
    MassRestart,
    OnServers,
    OriginSlow,
    Preempt,
    TenantRegistry,
    ZoneCut,
)
from ternlane.config import FleetConfig
from ternlane.testing.clients import ClientBehaviour, ClientWorkload
from ternlane.testing.engine import EngineProfile

ENGINE_NET, GATEWAY_NET = "127.0", "127.1"  # loopback: zones are told apart by the third figure


@dataclass(frozen=True)
class EngineLine:
    number: int
    ident: str
    role: str
    zone: str
    cell: int
    host: str
    build: EngineProfile


@dataclass(frozen=True)
class Act:
    """One thing that is done at a time: `what` to the engines or gateways numbered."""

    at_ms: float
    what: str
    on: tuple[int, ...]
    trouble: AnyTrouble
    args: tuple[Any, ...] = ()


def zones_of(day: DayScript) -> list[str]:
    return list(dict.fromkeys(c.zone for c in day.cells))


def address_of(net: str, zone: int) -> str:
    return f"{net}.{zone + 1}.1"


def build_of(kind: Kind, terms: FleetConfig, speed: float) -> EngineProfile:
    return EngineProfile(
        slots=kind.slots,
        queue=kind.queue,
        kv_capacity_tokens=kind.kv_capacity_tokens,
        prefill_tokens_per_s=kind.prefill_tokens_per_s * speed,
        token_ms=kind.token_ms / speed,
        token_growth=kind.token_growth,
        near_tokens_per_s=kind.near_tokens_per_s,
        far_tokens_per_s=kind.far_tokens_per_s,
        slow_start_ms=terms.slow_start_ms,
        slow_start_share=terms.slow_start_share,
        fall_multiple=terms.fall_multiple,
        fall_ms=terms.fall_ms,
        answer_tokens=kind.answer_tokens,
    )


def engines_of(day: DayScript) -> list[EngineLine]:
    rng, zones = random.Random(f"{day.seed} engines"), zones_of(day)
    out: list[EngineLine] = []
    for number, cell in enumerate(day.cells):
        for role, kind, many in (
            ("read", day.prefill_server, cell.prefill_servers),
            ("write", day.decode_server, cell.decode_servers),
            ("both", day.mixed, cell.mixed),
        ):
            for _ in range(many):
                low, high = kind.speeds
                build = build_of(kind, day.terms, low + (high - low) * rng.random())
                out.append(
                    EngineLine(
                        len(out),
                        f"{role}-{len(out)}",
                        role,
                        cell.zone,
                        number,
                        address_of(ENGINE_NET, zones.index(cell.zone)),
                        build,
                    )
                )
    return out


def talks_of(day: DayScript) -> list[ClientWorkload]:
    terms = {p.name: p for p in day.request_classes}
    return [
        ClientWorkload(
            u.request_class,
            terms[u.request_class].effect,
            u.share,
            terms[u.request_class].deadline_ms,
            u.turns,
            u.adds,
            u.prefixes,
            u.prefix_tokens,
            u.prefix_share,
            u.max_tokens,
            u.think_ms,
            u.key_part,
            u.plain_part,
        )
        for u in day.uses
    ]


def habits_of(day: DayScript) -> ClientBehaviour:
    c = day.clients
    return ClientBehaviour(c.try_share, c.retries, c.backoff_ms, c.honour, c.leave_part, c.leave_ms)


def drawn(rng: random.Random, among: list[int], part: float) -> tuple[int, ...]:
    many = max(1, round(part * len(among))) if among and part > 0 else 0
    return tuple(sorted(rng.sample(among, min(many, len(among)))))


def struck(day: DayScript, trouble: OnServers, rng: random.Random, engines: list[EngineLine]) -> tuple[int, ...]:
    if trouble.on is not None:
        return tuple(trouble.on)
    among = [e for e in engines if trouble.role in ("any", e.role)]
    if isinstance(trouble, MassRestart) and trouble.role == "any":  # those struck are of one kind
        role = rng.choice(sorted({e.role for e in among}))
        return drawn(
            rng,
            [e.number for e in among if e.role == role],
            min(1.0, trouble.part * len(among) / max(1, sum(e.role == role for e in among))),
        )
    return drawn(rng, [e.number for e in among], trouble.part)


def acts_of(day: DayScript) -> list[Act]:
    """Every act of every trouble, in the order of time."""
    engines = engines_of(day)
    out: list[Act] = []
    for i, trouble in enumerate(day.troubles):
        rng = random.Random(zlib.crc32(f"{day.seed} trouble {i}".encode()))
        at, end = trouble.at_s * 1000, (trouble.at_s + trouble.for_s) * 1000
        kind = str(trouble.__struct_config__.tag)
        if isinstance(trouble, (BalancerCrash, BalancerRoll)):
            on = drawn(rng, list(range(day.gateways)), trouble.part)
            if isinstance(trouble, BalancerCrash):
                out += [Act(at, "kill gateway", on, trouble), Act(end, "start gateway", on, trouble)]
                continue
            batch = max(1, round(trouble.batch * day.gateways))
            groups = [on[k : k + batch] for k in range(0, len(on), batch)]
            for k, group in enumerate(groups):
                when = at + (end - at) * k / len(groups)
                if trouble.handover:
                    out.append(Act(when, "relieve gateway", group, trouble))
                    continue
                out.append(Act(when, "kill gateway" if trouble.killed else "stop gateway", group, trouble))
                out.append(Act(when + trouble.down_s * 1000, "start gateway", group, trouble))
        elif isinstance(trouble, OnServers):
            hit = struck(day, trouble, rng, engines)
            if kind in ("crash", "mass_restart"):
                for n in hit:
                    late = rng.random() * getattr(trouble, "within_s", 0.0) * 1000
                    out += [Act(at + late, "die", (n,), trouble), Act(end + late, "live", (n,), trouble)]
            elif isinstance(trouble, Preempt):
                size = -(-len(hit) // trouble.waves)
                for k in range(trouble.waves):
                    group = hit[k * size : (k + 1) * size]
                    when = at + k * trouble.notice_s * 1000
                    out += [
                        Act(when, "drain", group, trouble),
                        Act(when + trouble.notice_s * 1000, "die", group, trouble, ("told",)),
                        Act(when + (trouble.notice_s + trouble.for_s) * 1000, "live", group, trouble),
                    ]
            elif isinstance(trouble, TenantRegistry):
                size = max(1, round(trouble.batch * len(hit)))
                groups = [hit[k : k + size] for k in range(0, len(hit), size)]
                for k, group in enumerate(groups):
                    when = at + (end - at) * k / len(groups)
                    out += [
                        Act(when, "drain", group, trouble),
                        Act(when + trouble.drain_s * 1000, "die", group, trouble, ("told",)),
                        Act(when + (trouble.drain_s + trouble.down_s) * 1000, "live", group, trouble),
                    ]
            else:
                out.append(Act(at, f"begin {kind}", hit, trouble))
                if kind != "flush":
                    out.append(Act(end, f"end {kind}", hit, trouble))
                if kind in ("pauses", "neighbour"):
                    turn = getattr(trouble, "every_s", 0.0) or getattr(trouble, "turn_s", 0.0)
                    k = 1
                    while at + k * turn * 1000 < end:
                        out.append(Act(at + k * turn * 1000, f"turn {kind}", hit, trouble, (k,)))
                        k += 1
        else:
            cut = zones_of(day).index(trouble.zone) if isinstance(trouble, ZoneCut) else None
            on = tuple(e.number for e in engines) if isinstance(trouble, (ZoneCut, OriginSlow)) else ()
            out += [Act(at, f"begin {kind}", on, trouble, (cut,)), Act(end, f"end {kind}", on, trouble, (cut,))]
    return sorted(out, key=lambda a: a.at_ms)

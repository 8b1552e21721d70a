"""Reconciles ledgers with the token counts of model servers."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

from ternlane.tenants.billing import LedgerEntry, TokenUsage


@dataclass
class Reconciliation:
    """The result of comparing the servers' counts with ledgers, in prompt and answer tokens."""

    counted: TokenUsage = TokenUsage()
    billed: TokenUsage = TokenUsage()
    unbilled: TokenUsage = TokenUsage()
    duplicates: list[str] = field(default_factory=list)  # requests with more than one entry
    # Requests that servers counted but that have no entry, as their gateway crashed.
    unsettled: dict[str, TokenUsage] = field(default_factory=dict)
    # Request -> what servers counted, what the ledgers hold.
    differing: dict[str, tuple[TokenUsage, TokenUsage]] = field(default_factory=dict)

    @property
    def unexplained_share(self) -> float:
        """The share of the servers' tokens that the ledgers do not account for, without unsettled requests."""
        counted = _tokens(self.counted)
        unsettled = sum(_tokens(usage) for usage in self.unsettled.values())
        explained = _tokens(self.billed) + _tokens(self.unbilled)
        return abs(counted - unsettled - explained) / max(1, counted)


def _tokens(usage: TokenUsage) -> int:
    return usage.prompt + usage.answer


def reconcile(entries: Iterable[LedgerEntry], counts: Iterable[Mapping[str, Any]]) -> Reconciliation:
    """Compares ledger entries with the servers' counts: JSON objects with the request's id as "gen" and tokens as
    "prompt", "kept" (cached) and "answer". A request may have several of them."""
    result = Reconciliation()
    settled = _settled_usage(entries, result)
    counted = _counted_usage(counts)
    for request, usage in counted.items():
        result.counted = result.counted.plus(usage)
        if request not in settled:
            result.unsettled[request] = usage
        elif (usage.prompt, usage.answer) != (settled[request].prompt, settled[request].answer):
            result.differing[request] = (usage, settled[request])
    for request, usage in settled.items():
        if request not in counted and _has_tokens(usage):
            result.differing[request] = (TokenUsage(), usage)
    return result


def _has_tokens(usage: TokenUsage) -> bool:
    return bool(usage.prompt or usage.answer)


def _settled_usage(entries: Iterable[LedgerEntry], result: Reconciliation) -> dict[str, TokenUsage]:
    """The usage that the ledgers hold, by request; adds sums and duplicates to the result."""
    settled: dict[str, TokenUsage] = {}
    for entry in entries:
        if entry.request in settled:
            result.duplicates.append(entry.request)
        settled[entry.request] = entry.billed.plus(entry.unbilled)
        result.billed = result.billed.plus(entry.billed)
        result.unbilled = result.unbilled.plus(entry.unbilled)
    return settled


def _counted_usage(counts: Iterable[Mapping[str, Any]]) -> dict[str, TokenUsage]:
    counted: defaultdict[str, TokenUsage] = defaultdict(TokenUsage)
    for line in counts:
        counted[line["gen"]] = counted[line["gen"]].plus(TokenUsage(line["prompt"], line["kept"], line["answer"]))
    return counted

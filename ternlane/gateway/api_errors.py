"""Errors with which the chat API rejects a well-formed request before any attempt is made."""

from __future__ import annotations

from ternlane.tenants import BudgetRejection
from ternlane.tenants.reservation import retry_after_s

DEFAULT_BUDGET_WAIT_MS = 1000.0  # if the budget gives no time at which it has room again
MAX_BUDGET_WAIT_MS = 1e9  # upper bound of the retry-after-ms header

BUDGETS = {
    "minute": "tokens a minute",
    "period": "tokens of the billing period",
    "at_once": "generations at once",
    "overdraft": "tokens a minute, the overdraft is used up",
}


class RequestNotAdmittedError(Exception):
    """A request rejected before any attempt: nothing ran. `after_s`: value of Retry-After in seconds."""

    def __init__(
        self,
        status: int,
        why: str,
        code: str,
        after_s: int | None = None,
        param: str | None = None,
        extra: list[tuple[str, str]] | None = None,
    ) -> None:
        super().__init__(why)
        self.status = status
        self.why = why
        self.code = code
        self.param = param
        self.extra = list(extra or [])
        if after_s is not None:
            self.extra.append(("Retry-After", str(after_s)))


class OverBudgetError(RequestNotAdmittedError):
    """The tenant's budget has no room for the request. Nothing ran."""

    def __init__(self, reason: BudgetRejection) -> None:
        wait_ms = reason.wait_ms if reason.wait_ms > 0 else DEFAULT_BUDGET_WAIT_MS
        super().__init__(
            429,
            f"Over budget: {BUDGETS[reason.limit]}",
            reason.code,
            retry_after_s(wait_ms),
            extra=[("retry-after-ms", f"{min(wait_ms, MAX_BUDGET_WAIT_MS):.0f}")],
        )

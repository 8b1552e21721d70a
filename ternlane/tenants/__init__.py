"""Tenants: API keys, budgets, quota leases and billing. No I/O."""

from ternlane.tenants.answer_length import AnswerLengthEstimator
from ternlane.tenants.api_keys import new_key
from ternlane.tenants.billing import Bill, LedgerEntry, TokenUsage, bill_for
from ternlane.tenants.billing_period import BillingPeriod
from ternlane.tenants.budget_meter import BudgetLimit, BudgetMeter, Shortfall
from ternlane.tenants.quota_leases import QuotaLeases
from ternlane.tenants.reservation import BudgetRejection, BudgetReservation, RejectionCode
from ternlane.tenants.tenant_registry import ApiKey, Budget, InvalidKeyError, Prices, Tenant, TenantRegistry
from ternlane.tenants.usage_accounting import UsageAccounting

__all__ = [
    "AnswerLengthEstimator",
    "ApiKey",
    "Bill",
    "BillingPeriod",
    "Budget",
    "BudgetLimit",
    "BudgetMeter",
    "BudgetRejection",
    "BudgetReservation",
    "LedgerEntry",
    "Prices",
    "QuotaLeases",
    "RejectionCode",
    "Shortfall",
    "Tenant",
    "TenantRegistry",
    "TokenUsage",
    "InvalidKeyError",
    "UsageAccounting",
    "bill_for",
    "new_key",
]

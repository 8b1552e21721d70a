"""Tenants: who asks, what they may spend, what they owe. Free of I/O."""

from ternlane.tenants.billing import Billed, Used, bill_for
from ternlane.tenants.usage_accounting import UsageAccounting, Hold, RejectReason
from ternlane.tenants.keys import new_key
from ternlane.tenants.lengths import Lengths
from ternlane.tenants.meter import Meter, Period, Short
from ternlane.tenants.quota_leases import QuotaLeases
from ternlane.tenants.tenant_registry import Budget, KeyLine, Prices, TenantRegistry, TenantLine, Unknown

__all__ = [
    "Billed",
    "Budget",
    "UsageAccounting",
    "Hold",
    "KeyLine",
    "QuotaLeases",
    "Lengths",
    "Meter",
    "Period",
    "Prices",
    "RejectReason",
    "TenantRegistry",
    "Short",
    "TenantLine",
    "Unknown",
    "Used",
    "bill_for",
    "new_key",
]

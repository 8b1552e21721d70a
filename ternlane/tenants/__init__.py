"""Tenants: who asks, what they may spend, what they owe. Free of I/O."""

from ternlane.tenants.billing import Billed, Used, bill_for
from ternlane.tenants.cashier import Cashier, Hold, RejectReason
from ternlane.tenants.keys import new_key
from ternlane.tenants.lengths import Lengths
from ternlane.tenants.meter import Meter, Period, Short
from ternlane.tenants.parts import Lender
from ternlane.tenants.roll import Budget, KeyLine, Prices, Roll, TenantLine, Unknown

__all__ = [
    "Billed",
    "Budget",
    "Cashier",
    "Hold",
    "KeyLine",
    "Lender",
    "Lengths",
    "Meter",
    "Period",
    "Prices",
    "RejectReason",
    "Roll",
    "Short",
    "TenantLine",
    "Unknown",
    "Used",
    "bill_for",
    "new_key",
]

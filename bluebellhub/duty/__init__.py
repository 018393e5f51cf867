"""Duties that one VM at a time holds: lease, tokens and orders."""

from bluebellhub.duty.kinds import DutyKind, duty_kinds
from bluebellhub.duty.orders import Order, Outcome, ScaleOrder, UsageOrder

__all__ = [
    'DutyKind',
    'Order',
    'Outcome',
    'ScaleOrder',
    'UsageOrder',
    'duty_kinds',
]

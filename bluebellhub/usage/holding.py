"""Which VMs collect the reports of all others.

This is the holder of the duties. For a moment after a change the former one may
count as a collector too, which costs messages and changes no report.
"""

from math import inf
from typing import Final

from bluebellhub.usage.usage import Usage

__all__ = [
    'collectors',
    'end_holding',
    'is_holding',
    'record_claim',
    'record_holding',
]

# The holder is asked for the next order at least this often, also while a call
# is repeated at the largest interval.
HOLDING_S: Final = 8.0
# The holder says that it is one every second.
CLAIM_VALID_S: Final = 3.5


def record_holding(usage: Usage, now_s: float) -> bool:
    """Record that this VM holds the duties now; returns whether it is new."""
    flags = usage.flags
    is_new = not is_holding(usage, now_s)
    if is_new:
        flags['holding_since_s'] = now_s
    flags['holding_until_s'] = now_s + HOLDING_S
    return is_new


def end_holding(usage: Usage) -> None:
    """Record that this VM has lost the duties."""
    usage.flags['holding_until_s'] = -inf


def is_holding(usage: Usage, now_s: float) -> bool:
    """Return whether this VM collects the reports of the others."""
    return now_s < usage.flags['holding_until_s']


def record_claim(usage: Usage, vm: str, now_s: float) -> bool:
    """Record that another VM collects reports; returns whether it is new."""
    is_new = vm not in collectors(usage, now_s)
    usage.claims[vm] = now_s
    return is_new


def collectors(usage: Usage, now_s: float) -> list[str]:
    """Return the other VMs that collect reports."""
    return [
        vm
        for vm, claimed_at_s in usage.claims.items()
        if now_s - claimed_at_s <= CLAIM_VALID_S
    ]

"""The duties that one VM at a time holds, by their name in the settings.

A package registers its duty when it is imported::

    duty_kinds.register('usage_report')(DutyKind(prepare, ended, is_current))
"""

from collections.abc import Callable, Sequence
from typing import Any, NamedTuple

from bluebellhub.duty.orders import Order, Outcome, UsageOrder
from bluebellhub.registry import Registry, make_registry

__all__ = ['DutyKind', 'duty_kinds']

# The adapter's state of the VM; the rules of the duties do not use it.
Proxy = Any


class DutyKind(NamedTuple):
    """What the holder does for a duty.

    ``prepare`` gets the usage reports of the duty object, in the order of their
    windows, and returns the next order, or ``None`` if none is due.  It is
    called again only after the order that it returned was handed to ``ended``.
    A usage order is in the duty object before it is sent; its window must be
    later than those of the reports.

    ``ended`` gets the outcome of each call, or ``unsent`` if the lease ended
    before.  The holder itself repeats a usage order until it is accepted; any
    other order is sent again only if ``prepare`` returns it.

    ``is_current`` returns whether an order is still of use, both for usage
    reports of an earlier holder and before a call is repeated.
    """

    prepare: Callable[[Proxy, Sequence[UsageOrder], float], Order | None]
    ended: Callable[[Proxy, Order, Outcome, float], None]
    is_current: Callable[[Proxy, Order, float], bool]


duty_kinds: Registry[DutyKind] = make_registry('duty')

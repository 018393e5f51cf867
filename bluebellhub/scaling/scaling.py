"""Aggregate root of the replicas ordered, on the holder of the duties.

Up goes at once, down in small steps and only once the highest demand of a while
ago is over.
"""

from collections import deque
from collections.abc import Mapping
from math import inf
from typing import Final, NamedTuple, TypedDict

from bluebellhub.duty.orders import Outcome, ScaleOrder
from bluebellhub.scaling.bounds import ScalingBounds
from bluebellhub.scaling.demand import (
    DomainDemand,
    Sample,
    add_sample,
    expected_demand,
    present_demand,
)
from bluebellhub.scaling.wanted import ExpectedDemand, wanted_counts

__all__ = [
    'Scaling',
    'make_scaling',
    'observe_demand',
    'order_ended',
    'reset_scaling',
    'scale_orders',
]

DECISION_INTERVAL_S: Final = 1.0
# The reports that a new holder needs have arrived after this time.
FIRST_ORDER_S: Final = 2.0
# In multiples of the boot time: counts wanted within it are not gone below.
REMEMBERED_BOOTS: Final = 3.0
LOWERED_RATIO: Final = 0.1
LOWERED_INTERVAL_S: Final = 2.0
# A domain that returns gets its work back over this time.
RETURN_S: Final = 30.0
# An order is repeated if replicas are missing for the boot time and this.
OVERDUE_S: Final = 4.0
RETRY_INTERVAL_S: Final = 1.0


class DomainFlags(TypedDict):
    """Scalar state of a service in a failure domain.

    ``ordered`` is the last count that was accepted, and ``most`` the most
    replicas seen before one was. The count has been another one than ordered
    since ``differs_since_s``. The domain ``is_out`` if it serves nothing at
    all, and was last at ``out_at_s``.
    """

    demand: DomainDemand
    observed_since_s: float
    ordered: int | None
    most: int
    differs_since_s: float
    is_unanswered: bool
    lowered_at_s: float
    retry_at_s: float
    is_out: bool
    out_at_s: float


class DomainScale(NamedTuple):
    """A service in a failure domain: its demand, and what was wanted."""

    samples: deque[Sample]
    wanted: deque[tuple[float, int]]
    flags: DomainFlags


class Scaling(NamedTuple):
    """The root: services by failure domain, and the last decisions.

    ``decided_at_s`` is by service.
    """

    domains: dict[str, dict[str, DomainScale]]
    decided_at_s: dict[str, float]


def make_scaling() -> Scaling:
    """Create the state of a VM that has observed nothing."""
    return Scaling({}, {})


def reset_scaling(scaling: Scaling) -> None:
    """Forget everything; another VM may have ordered meanwhile."""
    scaling.domains.clear()
    scaling.decided_at_s.clear()


def observe_demand(
    scaling: Scaling, demand: DomainDemand, now_s: float
) -> None:
    """Record the demand of a service in a failure domain."""
    by_domain = scaling.domains.setdefault(demand.service, {})
    scale = by_domain.get(demand.domain)
    if scale is None:
        scale = _make_domain_scale(demand, now_s)
        by_domain[demand.domain] = scale
    flags = scale.flags
    flags['demand'] = demand
    flags['most'] = max(flags['most'], demand.replicas)
    flags['is_out'] = demand.is_out or _is_lost(flags)
    if flags['is_out']:
        flags['out_at_s'] = now_s
    if demand.replicas == flags['ordered']:
        flags['differs_since_s'] = inf
    elif flags['differs_since_s'] == inf:
        flags['differs_since_s'] = now_s
    total = demand.in_progress + demand.queued
    add_sample(scale.samples, Sample(now_s, total))


def _is_lost(flags: DomainFlags) -> bool:
    """Return whether replicas were there, and none is left of them."""
    is_empty = not flags['demand'].replicas
    return is_empty and flags['most'] > 0 and flags['ordered'] != 0


def _make_domain_scale(demand: DomainDemand, now_s: float) -> DomainScale:
    return DomainScale(
        deque(),
        deque(),
        {
            'demand': demand,
            'observed_since_s': now_s,
            'ordered': None,
            'most': 0,
            'differs_since_s': inf,
            'is_unanswered': False,
            'lowered_at_s': -inf,
            'retry_at_s': -inf,
            'is_out': False,
            'out_at_s': -inf,
        },
    )


def scale_orders(
    scaling: Scaling, bounds: Mapping[str, ScalingBounds], now_s: float
) -> list[ScaleOrder]:
    """Return the orders that are due, those for more replicas first."""
    orders = []
    for service, service_bounds in bounds.items():
        by_domain = scaling.domains.get(service, {})
        _decide(scaling, service, service_bounds, now_s)
        is_kept = any(_is_kept(scale, now_s) for scale in by_domain.values())
        for domain, scale in by_domain.items():
            count = _count_to_order(
                scale, service_bounds, now_s, is_kept=is_kept
            )
            if count is not None:
                orders.append((count - _base(scale), service, domain, count))
    orders.sort(key=lambda order: -order[0])
    return [ScaleOrder(*order[1:]) for order in orders]


def _decide(
    scaling: Scaling, service: str, bounds: ScalingBounds, now_s: float
) -> None:
    """Record the counts wanted now, once per second."""
    decided_at_s = scaling.decided_at_s.get(service, -inf)
    if now_s - decided_at_s < DECISION_INTERVAL_S:
        return
    scaling.decided_at_s[service] = now_s
    by_domain = scaling.domains.get(service, {})
    demands = {
        domain: ExpectedDemand(
            present_demand(scale.samples),
            expected_demand(scale.samples, bounds.boot_s),
            scale.flags['demand'].slots,
        )
        for domain, scale in by_domain.items()
        if not scale.flags['is_out']
    }
    remembered_s = bounds.boot_s * REMEMBERED_BOOTS
    for domain, count in wanted_counts(demands, bounds).items():
        wanted = by_domain[domain].wanted
        wanted.append((now_s, count))
        while now_s - wanted[0][0] > remembered_s:
            wanted.popleft()


def _is_kept(scale: DomainScale, now_s: float) -> bool:
    """Return whether this domain keeps all counts from being lowered."""
    demand = scale.flags['demand']
    is_returning = now_s - scale.flags['out_at_s'] < RETURN_S
    return is_returning or demand.is_moving or demand.is_stale


def _base(scale: DomainScale) -> int:
    """Return the count that the platform has been asked for, if known.

    Before the first order it has most likely been the most replicas seen.
    """
    ordered = scale.flags['ordered']
    return scale.flags['most'] if ordered is None else ordered


def _count_to_order(
    scale: DomainScale,
    bounds: ScalingBounds,
    now_s: float,
    *,
    is_kept: bool,
) -> int | None:
    """Return the count to order now, or ``None``."""
    flags = scale.flags
    observed_s = now_s - flags['observed_since_s']
    if not scale.wanted or observed_s < FIRST_ORDER_S:
        return None
    if now_s < flags['retry_at_s']:
        return None
    count = max(_base(scale), scale.wanted[-1][1])
    remembered_s = bounds.boot_s * REMEMBERED_BOOTS
    if not is_kept and observed_s >= remembered_s:
        count = _lowered(scale, now_s)
    if count != _base(scale) or flags['is_unanswered']:
        return count
    return count if _is_overdue(flags, bounds, now_s) else None


def _lowered(scale: DomainScale, now_s: float) -> int:
    """Return the count after the next step towards what was wanted lately."""
    base = _base(scale)
    target = max(count for _, count in scale.wanted)
    if target >= base:
        return target
    if now_s - scale.flags['lowered_at_s'] < LOWERED_INTERVAL_S:
        return base
    return max(target, base - max(1, int(base * LOWERED_RATIO)))


def _is_overdue(
    flags: DomainFlags, bounds: ScalingBounds, now_s: float
) -> bool:
    """Return whether replicas that were ordered are missing for too long."""
    if flags['ordered'] is None or flags['demand'].is_stale:
        return False
    return now_s - flags['differs_since_s'] > bounds.boot_s + OVERDUE_S


def order_ended(
    scaling: Scaling, order: ScaleOrder, now_s: float, outcome: Outcome
) -> None:
    """Record how the call for an order ended.

    Without a response it may be executed later, so a next order is sent even
    if the count is the same.
    """
    scale = scaling.domains.get(order.service, {}).get(order.domain)
    if scale is None:
        return
    flags = scale.flags
    if outcome != 'accepted':
        flags['is_unanswered'] |= outcome == 'unanswered'
        flags['retry_at_s'] = now_s + RETRY_INTERVAL_S
        return
    if order.desired_count < _base(scale):
        flags['lowered_at_s'] = now_s
    flags['ordered'] = order.desired_count
    flags['is_unanswered'] = False
    replicas = flags['demand'].replicas
    flags['differs_since_s'] = inf if replicas == order.desired_count else now_s

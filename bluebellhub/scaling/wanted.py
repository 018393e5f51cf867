"""The number of replicas that demand calls for in each failure domain."""

from collections.abc import Mapping
from math import ceil
from typing import Final, NamedTuple

from bluebellhub.scaling.bounds import ScalingBounds

__all__ = ['ExpectedDemand', 'wanted_counts']

# Ratio of the slots that are in use at the expected demand.
USED_RATIO: Final = 0.7
# Rounding errors of the division do not order a replica.
EPSILON: Final = 1e-6


class ExpectedDemand(NamedTuple):
    """Demand of a service in a failure domain: now, and expected.

    ``slots`` are those of a replica, or 0.0 if that is not known.
    """

    present: float
    expected: float
    slots: float


def wanted_counts(
    demands: Mapping[str, ExpectedDemand], bounds: ScalingBounds
) -> dict[str, int]:
    """Return the wanted replicas by failure domain.

    ``demands`` are those of the domains that serve. If one of them is lost, the
    slots of the others suffice for its present demand too.
    """
    return {
        domain: _within(
            bounds,
            max(_for_demand(demand), _for_lost_domain(demands, domain)),
        )
        for domain, demand in demands.items()
    }


def _for_demand(demand: ExpectedDemand) -> int:
    if demand.slots <= 0:
        return 0
    return ceil(demand.expected / (demand.slots * USED_RATIO) - EPSILON)


def _for_lost_domain(demands: Mapping[str, ExpectedDemand], domain: str) -> int:
    """Return the replicas that hold the demand if another domain is lost."""
    local = demands[domain]
    others = [
        demand.present for name, demand in demands.items() if name != domain
    ]
    if not others or local.slots <= 0:
        return 0
    moved = max(others) / len(others)
    return ceil((local.present + moved) / local.slots - EPSILON)


def _within(bounds: ScalingBounds, count: int) -> int:
    return min(bounds.max_replicas, max(bounds.min_replicas, count))

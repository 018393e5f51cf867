"""The requests per second that VMs get, as they report them to each other."""

from collections import defaultdict
from collections.abc import Iterable, Mapping
from math import isfinite

from bluebellhub.scheduler.credit import share_of
from bluebellhub.scheduler.shares import own_demand, set_other_demand
from bluebellhub.site.state import Site

__all__ = ['make_demand', 'set_reported_demand', 'sum_demand']

Demand = Mapping[str, Mapping[int, float]]


def make_demand(site: Site, now_s: float) -> dict[str, dict[int, float]]:
    """Return the requests per second that this VM gets, by target and rank."""
    demand = {
        target: own_demand(share, now_s)
        for target, share in site.scheduler.shares.items()
    }
    return {target: by_rank for target, by_rank in demand.items() if by_rank}


def sum_demand(reported: Iterable[Demand]) -> dict[str, dict[int, float]]:
    """Add up the demand of VMs; figures that are no rate are left out."""
    sums: dict[str, dict[int, float]] = defaultdict(lambda: defaultdict(float))
    for demand in reported:
        for target, by_rank in demand.items():
            for rank, per_s in by_rank.items():
                if isfinite(per_s) and per_s > 0:
                    sums[target][rank] += per_s
    return {target: dict(by_rank) for target, by_rank in sums.items()}


def set_reported_demand(site: Site, reported: Iterable[Demand]) -> None:
    """Set what the other VMs get; targets that nobody reports get nothing."""
    sums = sum_demand(reported)
    scheduler = site.scheduler
    for target in sums.keys() & scheduler.by_target.keys():
        set_other_demand(share_of(scheduler, target), sums[target])
    for target in scheduler.shares.keys() - sums.keys():
        set_other_demand(scheduler.shares[target], {})

"""Which ratio of the requests of a rank all VMs together can send now.

Reports of other VMs are older than the time in which all VMs together fill a
free slot.  If each VM sent to every slot that looks free, as many requests as
there are VMs would queue for it.  Instead, each VM sends at its share of the
rate at which the upstreams take requests: slots that become free, and a part of
those that are free.  The share is in proportion to the requests that the VMs
get, by their reports.  Higher ranks have theirs first, but a share of the
capacity is reserved for those below, so that none is starved.  What the ranks
ask for is compared in slot time, not in requests.  Upstreams that must reject
little are filled less.
"""

from collections.abc import Mapping, Sequence
from math import inf
from typing import Final, NamedTuple

from bluebellhub.scheduler.shares import (
    TargetShare,
    hold_s,
    is_known,
    own_demand,
    tokens_s,
)
from bluebellhub.upstream import Upstream, fill_ratio

__all__ = ['Balance', 'admission_ratio', 'make_balance']

# A VM always has a share, so that it notices when capacity is back.
RATIO_MIN: Final = 0.02
# Shares of the capacity that are reserved at most for each rank that asks for
# it, and for all ranks below another one.
RESERVED_SHARE: Final = 0.1
RESERVED_SHARE_MAX: Final = 0.25
# How often a rank is served out of its reserve, in relation to the one above.
LOWER_RATIO: Final = 0.75
# Part of the slots short of the target that is given out in a second.  With
# more than the age of the reports allows, all VMs overshoot in turn.
FREE_GAIN: Final = 1.0
FREE_GAIN_MAX_PER_S: Final = 5.0
# Work that all VMs aim at, in relation to the slots: loads vary between two
# reports, so with less, slots would be idle while requests are refused.
WORK_TARGET_RATIO: Final = 1.15
# Halvings of the interval in which the ratio of a rank lies.
RATIO_STEPS: Final = 14


class Balance(NamedTuple):
    """Which ratio of the requests of each rank all VMs can send now."""

    ratios: Mapping[int, float]


def make_balance(
    share: TargetShare, upstreams: Sequence[Upstream], now_s: float
) -> Balance:
    """Return the balance of a target that these upstreams serve."""
    capacity = _capacity_per_s(share, upstreams, now_s)
    costs = _costs_per_s(share, upstreams, now_s)
    ratios: dict[int, float] = {}
    left = capacity
    ranks = sorted(costs)
    for position, rank in enumerate(ranks, start=1):
        lower = [costs[other] for other in ranks[position:]]
        ratio = _ratio(costs[rank], lower, left, capacity)
        left -= costs[rank] * min(1.0, ratio)
        ratios[rank] = max(RATIO_MIN, ratio)
    return Balance(ratios)


def admission_ratio(balance: Balance, rank: int) -> float:
    """Return which ratio of the requests of a rank can be sent now.

    Higher ranks have their requests sent first, on all VMs, but for what is
    reserved for those below.  No rank is served more often than one above it,
    nor is one that nobody has asked for lately.
    """
    return min(
        (ratio for known, ratio in balance.ratios.items() if known <= rank),
        default=1.0,
    )


def _ratio(
    cost: float, lower: Sequence[float], left: float, capacity: float
) -> float:
    """Return the ratio of a rank's cost that leaves what is reserved below.

    That is the largest one for which the rank and the reserve of those below
    fit into what the ranks above have ``left``.  The reserve grows with the
    ratio, since no lower rank is served more often.
    """
    whole = cost + _reserved_per_s(lower, 1.0, capacity)
    if left >= whole:
        return left / whole
    least, most = 0.0, 1.0
    for _ in range(RATIO_STEPS):
        ratio = (least + most) / 2
        if cost * ratio + _reserved_per_s(lower, ratio, capacity) > left:
            most = ratio
        else:
            least = ratio
    return least


def _reserved_per_s(
    lower: Sequence[float], ratio: float, capacity: float
) -> float:
    """Return what is reserved for lower ranks if the one above gets a ratio."""
    most = RESERVED_SHARE * capacity
    lower_ratio = ratio * LOWER_RATIO
    reserved = sum(min(cost * lower_ratio, most) for cost in lower)
    return min(reserved, RESERVED_SHARE_MAX * capacity)


def _capacity_per_s(
    share: TargetShare, upstreams: Sequence[Upstream], now_s: float
) -> float:
    """Return the requests per second that all VMs may send together."""
    if not is_known(share):
        return inf
    capacity = 0.0
    age_s = share.mean['report_age_s']
    gain_per_s = FREE_GAIN_MAX_PER_S
    if age_s:
        gain_per_s = min(gain_per_s, FREE_GAIN / age_s)
    for upstream in upstreams:
        slots = upstream.window.slots
        work = len(upstream.work) + upstream.other_vms_work
        held_s = hold_s(share, upstream, now_s)
        ratio = _target_ratio(upstream, held_s)
        served = slots * min(1.0, ratio) / held_s
        capacity += max(0.0, served + gain_per_s * (slots * ratio - work))
    return capacity


def _target_ratio(upstream: Upstream, held_s: float) -> float:
    """Return how much work an upstream should have, in relation to its slots.

    Requests hold a slot for ``held_s`` seconds.
    """
    if upstream.rejections_per_s is None:
        return WORK_TARGET_RATIO
    return fill_ratio(upstream.window.slots, held_s, upstream.rejections_per_s)


def _costs_per_s(
    share: TargetShare, upstreams: Sequence[Upstream], now_s: float
) -> dict[int, float]:
    """Return what all VMs get per second, by rank, as mean requests."""
    demand = own_demand(share, now_s)
    for rank, per_s in share.other_demand.items():
        demand[rank] = demand.get(rank, 0.0) + per_s
    if not upstreams or share.mean['output_tokens'] <= 1:
        # The requests of a service say nothing of their work.
        return demand
    upstream = upstreams[0]
    mean_s = hold_s(share, upstream, now_s)
    for rank, work in share.by_rank.items():
        ratio = tokens_s(work, upstream, now_s) / mean_s
        demand[rank] = demand.get(rank, 0.0) * ratio
    return {rank: cost for rank, cost in demand.items() if cost}

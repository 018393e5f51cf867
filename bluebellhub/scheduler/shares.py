"""This VM's share of the requests that all upstreams of a target can take.

Reports of other VMs are older than the time in which all VMs together fill a
free slot.  If each VM sent to every slot that looks free, as many requests as
there are VMs would queue for it.  Instead, each VM sends at its share of the
rate at which the upstreams take requests: slots that become free, and a part of
those that are free.  The share is in proportion to the requests that the VMs
get, by their reports.  Higher ranks have theirs first, but a part of the
capacity is kept for those below, so that none is starved.  What the ranks ask
for is compared in slot time, not in requests.
"""

from collections.abc import Mapping, Sequence
from math import inf
from typing import Final, NamedTuple, TypedDict

from bluebellhub.rates.sliding import (
    SlidingWindow,
    add,
    make_sliding_window,
    total,
)
from bluebellhub.upstream import Upstream, predict_step_s, prefill_rate

__all__ = [
    'DEMAND_WINDOW_S',
    'AccountShare',
    'TargetShare',
    'admission_ratio',
    'count_arrival',
    'expected_free',
    'fair_rate_per_s',
    'has_credit',
    'make_target_share',
    'observe_plain',
    'own_demand',
    'set_other_demand',
    'slot_wait_s',
    'use_credit',
]

DEMAND_WINDOW_S: Final = 2.0
# Requests that may be sent at once after a pause.
CREDIT_MAX: Final = 2.0
# A VM always has a share, so that it notices when capacity is back.
RATIO_MIN: Final = 0.02
# Parts of the capacity kept for each rank that asks for it, and for all ranks
# below another one.
KEPT_PART: Final = 0.1
KEPT_PART_MAX: Final = 0.25
# Part of the slots short of the target that is given out in a second.  With
# more than the age of the reports allows, all VMs overshoot in turn.
FREE_GAIN: Final = 1.0
FREE_GAIN_MAX_PER_S: Final = 5.0
# Work that all VMs aim at, in relation to the slots: loads vary between two
# reports, so with less, slots would be idle while requests are refused.
WORK_TARGET_RATIO: Final = 1.15
SMOOTHING_FACTOR: Final = 0.1
HOLD_MIN_S: Final = 0.02
COST_MIN_PER_S: Final = 1e-9
# Seconds of departures that are expected before a request arrives in a slot.
LOOKAHEAD_S: Final = 0.25


class MeanWork(TypedDict):
    """Smoothed tokens of a request, and the seconds of one without tokens.

    Loads that other VMs report are up to ``report_age_s`` old.
    """

    requests: int
    prompt_tokens: float
    output_tokens: float
    plain_s: float
    report_age_s: float


class RankWork(NamedTuple):
    """Smoothed tokens of the requests of one rank."""

    prompt_tokens: float = 0.0
    output_tokens: float = 0.0
    requests: int = 0


class AccountShare(NamedTuple):
    """Requests of one account and rank, and how many may be sent at once."""

    arrivals: SlidingWindow
    credit: float
    refilled_at_s: float


class TargetShare(NamedTuple):
    """Aggregate root: the demand for one target, by rank and account.

    ``other_demand`` holds the requests per second that other VMs get.
    """

    accounts: dict[tuple[int, str], AccountShare]
    other_demand: dict[int, float]
    mean: MeanWork
    by_rank: dict[int, RankWork]


def make_target_share(report_age_s: float = 0.0) -> TargetShare:
    """Create the share of a target without requests."""
    mean: MeanWork = {
        'requests': 0,
        'prompt_tokens': 0.0,
        'output_tokens': 0.0,
        'plain_s': 0.0,
        'report_age_s': report_age_s,
    }
    return TargetShare({}, {}, mean, {})


def count_arrival(
    share: TargetShare,
    rank: int,
    account: str,
    work: tuple[int, int],
    now_s: float,
) -> None:
    """Count a request of a caller, also one that comes again.

    ``work`` are the tokens of its prompt and those expected of its response.
    """
    _observe_work(share, *work)
    _observe_rank(share, rank, *work)
    found = share.accounts.get((rank, account))
    if found is None:
        window = make_sliding_window(DEMAND_WINDOW_S)
        found = AccountShare(window, CREDIT_MAX, now_s)
        share.accounts[rank, account] = found
    add(found.arrivals, 1.0, now_s)


def _account_demand(
    share: TargetShare, now_s: float
) -> dict[tuple[int, str], float]:
    """Return the requests per second that this VM gets, by rank and account."""
    counts = {
        key: total(found.arrivals, now_s)
        for key, found in share.accounts.items()
    }
    return {
        key: count / DEMAND_WINDOW_S for key, count in counts.items() if count
    }


def own_demand(share: TargetShare, now_s: float) -> dict[int, float]:
    """Return the requests per second that this VM gets, by rank."""
    demand: dict[int, float] = {}
    for (rank, _), per_s in _account_demand(share, now_s).items():
        demand[rank] = demand.get(rank, 0.0) + per_s
    return demand


def set_other_demand(share: TargetShare, demand: Mapping[int, float]) -> None:
    """Set the requests per second that the other VMs get, by rank."""
    share.other_demand.clear()
    share.other_demand.update(demand)


def observe_plain(share: TargetShare, took_s: float) -> None:
    """Update the mean time of requests without tokens."""
    mean = share.mean
    if mean['plain_s']:
        took_s = mean['plain_s'] + SMOOTHING_FACTOR * (took_s - mean['plain_s'])
    mean['plain_s'] = took_s


def _observe_work(
    share: TargetShare, prompt_tokens: int, output_tokens: int
) -> None:
    """Update the mean work; the first requests count more than later ones."""
    mean = share.mean
    mean['requests'] += 1
    factor = max(SMOOTHING_FACTOR, 1 / mean['requests'])
    mean['prompt_tokens'] += factor * (prompt_tokens - mean['prompt_tokens'])
    mean['output_tokens'] += factor * (output_tokens - mean['output_tokens'])


def _observe_rank(
    share: TargetShare, rank: int, prompt_tokens: int, output_tokens: int
) -> None:
    """Update the mean work of a rank; the first requests count more."""
    known = share.by_rank.get(rank, RankWork())
    factor = max(SMOOTHING_FACTOR, 1 / (known.requests + 1))
    prompt = known.prompt_tokens + factor * (
        prompt_tokens - known.prompt_tokens
    )
    output = known.output_tokens + factor * (
        output_tokens - known.output_tokens
    )
    share.by_rank[rank] = RankWork(prompt, output, known.requests + 1)


def hold_s(share: TargetShare, upstream: Upstream, now_s: float) -> float:
    """Predict for how long a request holds a slot of the upstream."""
    mean = share.mean
    if mean['output_tokens'] <= 1:
        return max(HOLD_MIN_S, mean['plain_s'])
    work = RankWork(mean['prompt_tokens'], mean['output_tokens'])
    return _tokens_s(work, upstream, now_s)


def _tokens_s(work: RankWork, upstream: Upstream, now_s: float) -> float:
    """Predict for how long an engine works on a request."""
    prefill_s = work.prompt_tokens / prefill_rate(upstream, now_s)
    decode_s = work.output_tokens * predict_step_s(upstream, now_s)
    return max(HOLD_MIN_S, prefill_s + decode_s)


def _slot_time_ratio(
    share: TargetShare, upstreams: Sequence[Upstream], rank: int, now_s: float
) -> float:
    """Return the slot time of a rank's requests in relation to the mean.

    That is 1.0 for a service, whose requests say nothing of their work.
    """
    work = share.by_rank.get(rank)
    if work is None or not upstreams or share.mean['output_tokens'] <= 1:
        return 1.0
    upstream = upstreams[0]
    return _tokens_s(work, upstream, now_s) / hold_s(share, upstream, now_s)


def expected_free(
    share: TargetShare, upstream: Upstream, slots: int, now_s: float
) -> float:
    """Return how many slots are free, or become free before a request arrives.

    Other VMs fill those that become free as fast; this is for the comparison of
    upstreams.
    """
    work = len(upstream.work) + upstream.other_vms_work
    if not _is_known(share):
        return float(slots - work)
    ending = min(work, slots) / hold_s(share, upstream, now_s) * LOOKAHEAD_S
    return slots - work + ending


def _is_known(share: TargetShare) -> bool:
    """Return whether it is known for how long requests hold a slot."""
    return share.mean['output_tokens'] > 1 or share.mean['plain_s'] > 0


def slot_wait_s(share: TargetShare, upstream: Upstream, now_s: float) -> float:
    """Predict for how long a request waits for a slot of the upstream."""
    slots = upstream.window.slots
    ahead = len(upstream.work) + upstream.other_vms_work - slots + 1
    if ahead <= 0:
        return 0.0
    return ahead * hold_s(share, upstream, now_s) / slots


def _capacity_per_s(
    share: TargetShare, upstreams: Sequence[Upstream], now_s: float
) -> float:
    """Return the requests per second that all VMs may send together."""
    if not _is_known(share):
        return inf
    capacity = 0.0
    age_s = share.mean['report_age_s']
    gain_per_s = FREE_GAIN_MAX_PER_S
    if age_s:
        gain_per_s = min(gain_per_s, FREE_GAIN / age_s)
    for upstream in upstreams:
        slots = upstream.window.slots
        work = len(upstream.work) + upstream.other_vms_work
        served = slots / hold_s(share, upstream, now_s)
        capacity += max(
            0.0, served + gain_per_s * (slots * WORK_TARGET_RATIO - work)
        )
    return capacity


def admission_ratio(
    share: TargetShare, upstreams: Sequence[Upstream], rank: int, now_s: float
) -> float:
    """Return which ratio of the requests of a rank can be sent now.

    Higher ranks have their requests sent first, on all VMs, but for what is
    kept for those below.  No rank is served more often than one above it.
    """
    costs = _costs_per_s(share, upstreams, now_s)
    capacity = _capacity_per_s(share, upstreams, now_s)
    left = capacity
    for other in sorted(costs):
        if other >= rank:
            break
        needed = costs[other] + _kept_per_s(costs, other, capacity)
        left -= costs[other] * min(1.0, left / needed)
    needed = costs.get(rank, 0.0) + _kept_per_s(costs, rank, capacity)
    return max(RATIO_MIN, left / max(needed, COST_MIN_PER_S))


def _kept_per_s(
    costs: Mapping[int, float], rank: int, capacity: float
) -> float:
    """Return what is kept for the ranks below, in mean requests per second."""
    kept = sum(
        min(cost, KEPT_PART * capacity)
        for lower, cost in costs.items()
        if lower > rank
    )
    return min(kept, KEPT_PART_MAX * capacity)


def _costs_per_s(
    share: TargetShare, upstreams: Sequence[Upstream], now_s: float
) -> dict[int, float]:
    """Return what all VMs get per second, by rank, as mean requests."""
    demand = own_demand(share, now_s)
    for rank, per_s in share.other_demand.items():
        demand[rank] = demand.get(rank, 0.0) + per_s
    return {
        rank: per_s * _slot_time_ratio(share, upstreams, rank, now_s)
        for rank, per_s in demand.items()
    }


def fair_rate_per_s(
    share: TargetShare, ratio: float, rank: int, account: str, now_s: float
) -> float:
    """Return the account's part of what this VM may send of a rank.

    Each account gets what it asks for, up to a level that is the same for all
    (max-min fairness).  One that asks for more than the others, or whose
    callers retry at once, is refused the surplus.
    """
    demand = {
        name: per_s
        for (found, name), per_s in _account_demand(share, now_s).items()
        if found == rank
    }
    left = ratio * sum(demand.values())
    for position, name in enumerate(sorted(demand, key=demand.__getitem__)):
        level = left / (len(demand) - position)
        if name == account or demand[name] >= level:
            return min(demand.get(account, 0.0), level)
        left -= demand[name]
    return 0.0


def has_credit(
    share: TargetShare,
    upstreams: Sequence[Upstream],
    rank: int,
    account: str,
    now_s: float,
) -> bool:
    """Return whether the account's share allows a request of the rank now."""
    ratio = admission_ratio(share, upstreams, rank, now_s)
    found = share.accounts.get((rank, account))
    if found is None or ratio >= 1:
        return True
    per_s = fair_rate_per_s(share, ratio, rank, account, now_s)
    passed_s = now_s - found.refilled_at_s
    credit = min(CREDIT_MAX, found.credit + passed_s * per_s)
    share.accounts[rank, account] = found._replace(
        credit=credit, refilled_at_s=now_s
    )
    return credit >= 1.0


def use_credit(share: TargetShare, rank: int, account: str) -> None:
    """Charge a request that is sent now."""
    found = share.accounts.get((rank, account))
    if found is not None:
        credit = max(0.0, found.credit - 1.0)
        share.accounts[rank, account] = found._replace(credit=credit)

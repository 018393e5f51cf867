"""What a target's requests ask for: demand and work, by rank and account.

The capacity is divided among the ranks in `rank_ratios`, and what a rank may
send among its accounts in `account_shares`.
"""

from collections.abc import Mapping
from typing import Final, NamedTuple, TypedDict

from bluebellhub.rates.sliding import (
    SlidingWindow,
    add,
    make_sliding_window,
    total,
)
from bluebellhub.upstream import Upstream, predict_step_s, prefill_rate

__all__ = [
    'CREDIT_MAX',
    'DEMAND_WINDOW_S',
    'AccountShare',
    'RankWork',
    'TargetShare',
    'account_demand',
    'count_arrival',
    'expected_free',
    'hold_s',
    'is_known',
    'make_target_share',
    'observe_plain',
    'own_demand',
    'set_other_demand',
    'slot_wait_s',
    'tokens_s',
]

DEMAND_WINDOW_S: Final = 2.0
# Requests that may be sent at once after a pause.
CREDIT_MAX: Final = 2.0
SMOOTHING_FACTOR: Final = 0.1
HOLD_MIN_S: Final = 0.02
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


def account_demand(
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
    for (rank, _), per_s in account_demand(share, now_s).items():
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
    return tokens_s(work, upstream, now_s)


def tokens_s(work: RankWork, upstream: Upstream, now_s: float) -> float:
    """Predict for how long an engine works on a request."""
    prefill_s = work.prompt_tokens / prefill_rate(upstream, now_s)
    decode_s = work.output_tokens * predict_step_s(upstream, now_s)
    return max(HOLD_MIN_S, prefill_s + decode_s)


def expected_free(
    share: TargetShare, upstream: Upstream, slots: int, now_s: float
) -> float:
    """Return how many slots are free, or become free before a request arrives.

    Other VMs fill those that become free as fast; this is for the comparison of
    upstreams.
    """
    work = len(upstream.work) + upstream.other_vms_work
    if not is_known(share):
        return float(slots - work)
    ending = min(work, slots) / hold_s(share, upstream, now_s) * LOOKAHEAD_S
    return slots - work + ending


def is_known(share: TargetShare) -> bool:
    """Return whether it is known for how long requests hold a slot."""
    return share.mean['output_tokens'] > 1 or share.mean['plain_s'] > 0


def slot_wait_s(share: TargetShare, upstream: Upstream, now_s: float) -> float:
    """Predict for how long a request waits for a slot of the upstream."""
    slots = upstream.window.slots
    ahead = len(upstream.work) + upstream.other_vms_work - slots + 1
    if ahead <= 0:
        return 0.0
    return ahead * hold_s(share, upstream, now_s) / slots

"""The share of a target's capacity that this VM uses."""

from bluebellhub.admission import requests_of_rank
from bluebellhub.backpressure.retry_after import bounded_retry_s
from bluebellhub.request import Request, RequestState
from bluebellhub.scheduler.account_shares import (
    fair_rate_per_s,
    has_credit,
    use_credit,
)
from bluebellhub.scheduler.rank_ratios import (
    Balance,
    admission_ratio,
    make_balance,
)
from bluebellhub.scheduler.shares import (
    DEMAND_WINDOW_S,
    TargetShare,
    make_target_share,
    observe_plain,
)
from bluebellhub.scheduler.state import (
    Scheduler,
    is_leaving,
    queue_of,
    upstreams_for,
)
from bluebellhub.upstream import Upstream

__all__ = [
    'capacity_ratio',
    'charge_credit',
    'forget_balance',
    'is_within_share',
    'record_plain',
    'retry_after_s',
    'share_of',
]


def capacity_ratio(
    scheduler: Scheduler, target: str, rank: int, now_s: float
) -> float:
    """Return which ratio of the requests of a rank can be sent now."""
    return admission_ratio(_balance_of(scheduler, target, now_s), rank)


def forget_balance(scheduler: Scheduler, target: str) -> None:
    """Forget what was summed up for earlier decisions on a target."""
    scheduler.balances.pop(target, None)


def _balance_of(scheduler: Scheduler, target: str, now_s: float) -> Balance:
    """Return the balance of a target, summed up once for several decisions."""
    balance = scheduler.balances.get(target)
    if balance is None:
        upstreams = _serving_upstreams(scheduler, target, now_s)
        balance = make_balance(share_of(scheduler, target), upstreams, now_s)
        scheduler.balances[target] = balance
    return balance


def is_within_share(
    scheduler: Scheduler, request: Request, now_s: float
) -> bool:
    """Return whether this VM may send one more request now."""
    if scheduler.options.discipline != 'shared':
        return True
    target = request.target
    balance = _balance_of(scheduler, target, now_s)
    share = share_of(scheduler, target)
    return has_credit(share, balance, request.tier.rank, request.account, now_s)


def charge_credit(scheduler: Scheduler, request: Request) -> None:
    """Charge a request that is sent now to the share."""
    forget_balance(scheduler, request.target)
    share = share_of(scheduler, request.target)
    use_credit(share, request.tier.rank, request.account)


def retry_after_s(
    scheduler: Scheduler, request: Request, ratio: float, now_s: float
) -> float:
    """Return when the account can expect a place for the refused request.

    That is when its share allows what it has queued here and this request, and
    the requests that were refused lately, which come back before it.  ``ratio``
    is that of the request's rank which can be sent now.
    """
    target = request.target
    rank = request.tier.rank
    ratio = min(1.0, ratio)
    share = share_of(scheduler, target)
    per_s = fair_rate_per_s(share, ratio, rank, request.account, now_s)
    ahead = sum(
        entry.account == request.account
        for entry in requests_of_rank(queue_of(scheduler, target), rank)
    )
    remaining_s = request.ends_at_s - now_s
    wait_s = remaining_s
    if per_s:
        wait_s = ahead / per_s + DEMAND_WINDOW_S * (1 - ratio) / ratio
    return bounded_retry_s(wait_s, remaining_s, scheduler.random)


def record_plain(
    scheduler: Scheduler, state: RequestState, now_s: float
) -> None:
    """Record how long a response without tokens took."""
    if state.attempt is not None and state.tokens <= 1:
        took_s = now_s - state.attempt.started_at_s
        observe_plain(share_of(scheduler, state.request.target), took_s)


def _serving_upstreams(
    scheduler: Scheduler, target: str, now_s: float
) -> list[Upstream]:
    """Return the upstreams of a target that get new work."""
    return [
        upstream
        for upstream in upstreams_for(scheduler, target)
        if upstream.spec.failure_domain not in scheduler.domains_out
        and now_s >= upstream.paused_until_s
        and not is_leaving(scheduler, upstream)
    ]


def share_of(scheduler: Scheduler, target: str) -> TargetShare:
    """Return this VM's share of a target; creates it if missing."""
    share = scheduler.shares.get(target)
    if share is None:
        share = make_target_share(scheduler.flags['report_age_s'])
        scheduler.shares[target] = share
    return share

"""Use of an account's limits on this VM.

The limits applied here are the VM's leased share of the contract's limits;
see `bluebellhub.budget`.
"""

from math import exp
from typing import NamedTuple

from bluebellhub.request.refusal import (
    ConcurrencyLimitError,
    RateLimitError,
)

__all__ = [
    'AccountLimits',
    'AccountUsage',
    'admit',
    'make_account_usage',
    'record_demand',
    'release',
]

BURST_S = 2.0
BURST_MIN = 4.0
DEMAND_DECAY_S = 2.0


class AccountLimits(NamedTuple):
    """The share of a contract's limits that this VM may use now."""

    rate_per_s: float
    concurrency: int


class AccountUsage(NamedTuple):
    """Requests in progress and the state of the rate limiter.

    ``credit`` counts requests that may start now, at the time
    ``updated_at_s``.
    """

    credit: float
    updated_at_s: float
    in_progress: int
    demand_per_s: float
    demand_at_s: float


def make_account_usage(limits: AccountLimits, now_s: float) -> AccountUsage:
    """Create the use of an account that has no request in progress."""
    credit = max(BURST_MIN, limits.rate_per_s * BURST_S)
    return AccountUsage(credit, now_s, 0, 0.0, now_s)


def admit(
    use: AccountUsage, limits: AccountLimits, now_s: float
) -> AccountUsage:
    """Count one more request.

    Raises `RateLimitError` or `ConcurrencyLimitError` when the request
    would exceed the limits.
    """
    if use.in_progress >= limits.concurrency:
        raise ConcurrencyLimitError(use.in_progress, limits.concurrency)
    elapsed_s = max(0.0, now_s - use.updated_at_s)
    ceiling = max(BURST_MIN, limits.rate_per_s * BURST_S)
    credit = min(ceiling, use.credit + elapsed_s * limits.rate_per_s)
    if credit < 1.0:
        wait_s = (1.0 - credit) / max(limits.rate_per_s, 1e-6)
        raise RateLimitError(limits.rate_per_s, retry_after_s=wait_s)
    return use._replace(
        credit=credit - 1.0,
        updated_at_s=now_s,
        in_progress=use.in_progress + 1,
    )


def record_demand(use: AccountUsage, now_s: float) -> AccountUsage:
    """Count a request towards the demand, also one that is refused.

    The demand fades over `DEMAND_DECAY_S` seconds.
    """
    elapsed_s = max(0.0, now_s - use.demand_at_s)
    decayed = use.demand_per_s * exp(-elapsed_s / DEMAND_DECAY_S)
    return use._replace(
        demand_per_s=decayed + 1 / DEMAND_DECAY_S, demand_at_s=now_s
    )


def release(use: AccountUsage) -> AccountUsage:
    """Count one request less in progress."""
    return use._replace(in_progress=max(0, use.in_progress - 1))

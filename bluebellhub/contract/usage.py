"""Usage of the limits of a client account on this VM.

The limits applied here are the share of the contract's limits that the VM
has leased; see `bluebellhub.budget`.
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
BURST_MIN_REQUESTS = 4.0
DEMAND_DECAY_S = 2.0


class AccountLimits(NamedTuple):
    """The share of a contract's limits that this VM may use now."""

    rate_per_s: float
    concurrency: int


class AccountUsage(NamedTuple):
    """Requests in progress and the token bucket of the rate limit.

    ``credit`` is the number of requests that could start at
    ``updated_at_s``.  ``demand_per_s`` is the average rate of requests at
    ``demand_at_s``, including refused ones.
    """

    credit: float
    updated_at_s: float
    in_progress: int
    demand_per_s: float
    demand_at_s: float


def make_account_usage(limits: AccountLimits, now_s: float) -> AccountUsage:
    """Create the usage of an account without requests in progress."""
    credit = max(BURST_MIN_REQUESTS, limits.rate_per_s * BURST_S)
    return AccountUsage(credit, now_s, 0, 0.0, now_s)


def admit(
    usage: AccountUsage, limits: AccountLimits, now_s: float
) -> AccountUsage:
    """Return the usage with one more request in progress.

    Raises `RateLimitError` or `ConcurrencyLimitError` when the request
    would exceed the limits.
    """
    if usage.in_progress >= limits.concurrency:
        raise ConcurrencyLimitError(usage.in_progress, limits.concurrency)
    elapsed_s = max(0.0, now_s - usage.updated_at_s)
    ceiling = max(BURST_MIN_REQUESTS, limits.rate_per_s * BURST_S)
    credit = min(ceiling, usage.credit + elapsed_s * limits.rate_per_s)
    if credit < 1.0:
        wait_s = (1.0 - credit) / max(limits.rate_per_s, 1e-6)
        raise RateLimitError(limits.rate_per_s, retry_after_s=wait_s)
    return usage._replace(
        credit=credit - 1.0,
        updated_at_s=now_s,
        in_progress=usage.in_progress + 1,
    )


def record_demand(usage: AccountUsage, now_s: float) -> AccountUsage:
    """Return the usage with a request added to the demand.

    Requests that will be refused count too.  The demand decays exponentially
    over `DEMAND_DECAY_S` seconds.
    """
    elapsed_s = max(0.0, now_s - usage.demand_at_s)
    decayed = usage.demand_per_s * exp(-elapsed_s / DEMAND_DECAY_S)
    return usage._replace(
        demand_per_s=decayed + 1 / DEMAND_DECAY_S, demand_at_s=now_s
    )


def release(usage: AccountUsage) -> AccountUsage:
    """Return the usage after the end of a request."""
    return usage._replace(in_progress=max(0, usage.in_progress - 1))

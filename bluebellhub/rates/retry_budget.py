"""The retry budget of a service, over the whole fleet.

A VM retries at most a ratio of its own requests plus its part of a fixed
amount, so the sum over all VMs keeps the fleet's bound without messages.
"""

from math import inf
from typing import Final, NamedTuple

from bluebellhub.rates.sliding import (
    SlidingWindow,
    add,
    make_sliding_window,
    rate_per_s,
    total,
)

__all__ = [
    'RetryBounds',
    'RetryBudget',
    'consume_retry',
    'count_request',
    'make_retry_budget',
    'request_rate_per_s',
]

# A check from outside may count over windows that start anywhere between two
# buckets of this one, so a part of the budget is left unused.
USABLE_SHARE: Final = 0.8
# What that leaves to a VM that has just started: before, it may have used the
# other part in the same window.
STARTING_SHARE: Final = 1 - USABLE_SHARE


class RetryBounds(NamedTuple):
    """Retries allowed in a window: a ratio of the requests and a count.

    Without a ratio the retries are not limited.
    """

    window_s: float = 10.0
    ratio: float | None = 0.2
    slack: float = 0.0


class RetryBudget(NamedTuple):
    """The root: this VM's requests and retries, by service.

    ``started_at_s`` is when the VM began to count them.
    """

    bounds: RetryBounds
    started_at_s: float
    requests: dict[str, SlidingWindow]
    retries: dict[str, SlidingWindow]


def make_retry_budget(
    bounds: RetryBounds, started_at_s: float = -inf
) -> RetryBudget:
    """Create a budget without requests, for a VM that starts now or earlier."""
    return RetryBudget(bounds, started_at_s, {}, {})


def count_request(budget: RetryBudget, service: str, now_s: float) -> None:
    """Count a caller's request, on which the budget of the service depends."""
    add(_get_window(budget, budget.requests, service), 1.0, now_s)


def consume_retry(
    budget: RetryBudget, service: str, vm_count: int, now_s: float
) -> bool:
    """Count a retry if the budget allows it; returns whether it does."""
    bounds = budget.bounds
    if bounds.ratio is None:
        return True
    uptime_s = now_s - budget.started_at_s
    requests = total(_get_window(budget, budget.requests, service), now_s)
    retries = _get_window(budget, budget.retries, service)
    # The slack builds up, so that all lives in a window have it only once.
    slack = (
        bounds.slack / max(1, vm_count) * min(1.0, uptime_s / bounds.window_s)
    )
    is_starting = uptime_s < bounds.window_s
    share = STARTING_SHARE if is_starting else USABLE_SHARE
    allowed = share * (bounds.ratio * requests + slack)
    if total(retries, now_s) + 1.0 > allowed:
        return False
    add(retries, 1.0, now_s)
    return True


def request_rate_per_s(
    budget: RetryBudget, service: str, now_s: float
) -> float:
    """Return the rate of this VM's requests for a service, without retries."""
    window = budget.requests.get(service)
    return 0.0 if window is None else rate_per_s(window, now_s)


def _get_window(
    budget: RetryBudget, windows: dict[str, SlidingWindow], service: str
) -> SlidingWindow:
    """Return the service's window, created if there is none."""
    window = windows.get(service)
    if window is None:
        window = make_sliding_window(budget.bounds.window_s)
        windows[service] = window
    return window

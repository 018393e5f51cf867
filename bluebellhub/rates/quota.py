"""An account's limit over the fleet, kept from what VMs tell each other.

Every VM counts what it admitted in the window and hears the other VMs'
counts several times a second.  The VMs that hear each other may use their
share of the limit, by their number; so VMs that are cut off into groups stay
within the limit together, and a VM that hears nobody uses its own share.
"""

from typing import Final, NamedTuple

from bluebellhub.request.refusal import RateLimitError
from bluebellhub.rates.sliding import Sliding, add, make_sliding, total
from bluebellhub.route import Account

__all__ = [
    'Group',
    'QuotaBounds',
    'Quotas',
    'make_quotas',
    'quota_totals',
    'take',
    'take_back',
]

# The rest covers what other VMs admit before their counts arrive.
USABLE_SLACK_SHARE: Final = 0.4
WAIT_SHARE: Final = 0.125


class QuotaBounds(NamedTuple):
    """What may be exceeded in a window: a ratio and an amount."""

    window_s: float = 8.0
    overage: float = 0.1
    slack: float = 0.0


class Group(NamedTuple):
    """The VMs that hear each other, this one included, of all VMs.

    ``others`` holds what the others have admitted, by account.
    """

    heard: int
    known: int
    others: dict[str, float]


class Quotas(NamedTuple):
    """The root: what this VM admitted, by account."""

    bounds: QuotaBounds
    admitted: dict[str, Sliding]


def make_quotas(bounds: QuotaBounds) -> Quotas:
    """Create the counts of a VM that has admitted nothing."""
    return Quotas(bounds, {})


def take(
    quotas: Quotas, account: Account, cost: float, group: Group, now_s: float
) -> None:
    """Count a request of the account.

    Raises `RateLimitError` when it would exceed the group's share.
    """
    bounds = quotas.bounds
    own = _window_of(quotas, account.name)
    used = total(own, now_s) + group.others.get(account.name, 0.0)
    limit = account.rate_per_s * bounds.window_s + account.burst
    slack = limit * bounds.overage + bounds.slack
    share = min(1.0, group.heard / max(1, group.known))
    allowed = share * (limit + USABLE_SLACK_SHARE * slack)
    if used + cost > allowed:
        raise RateLimitError(
            account.rate_per_s, retry_after_s=bounds.window_s * WAIT_SHARE
        )
    add(own, cost, now_s)


def take_back(quotas: Quotas, account: str, cost: float, now_s: float) -> None:
    """Return the cost of a request that has not run."""
    own = quotas.admitted.get(account)
    if own is not None:
        add(own, -cost, now_s)


def quota_totals(quotas: Quotas, now_s: float) -> dict[str, float]:
    """Return what this VM admitted in the window, by account."""
    totals = {
        name: total(sliding, now_s) for name, sliding in quotas.admitted.items()
    }
    return {name: amount for name, amount in totals.items() if amount > 0}


def _window_of(quotas: Quotas, name: str) -> Sliding:
    sliding = quotas.admitted.get(name)
    if sliding is None:
        sliding = make_sliding(quotas.bounds.window_s)
        quotas.admitted[name] = sliding
    return sliding

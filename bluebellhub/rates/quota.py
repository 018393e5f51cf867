"""An account's limit over the fleet, kept from what VMs tell each other.

Every VM keeps the level of one token bucket for the whole fleet: it takes
what this VM admits at once, and what other VMs admitted when it hears so.
The level may fall below zero by what was admitted before that was heard.

The VMs that hear each other use their share of the limit, by their number;
so VMs that are cut off into groups keep the limit together, and a VM that
hears nobody uses its own share.  A VM that has just started knows nothing of
what was admitted before, so its buckets begin with a part of the slack,
until it hears the levels of a VM that has run for longer.
"""

from typing import Final, NamedTuple

from bluebellhub.request.refusal import QuotaError
from bluebellhub.route import Account

__all__ = [
    'QuotaBounds',
    'QuotaDemand',
    'Quotas',
    'adopt_level',
    'bucket_levels',
    'charge_peer_usage',
    'consume_quota',
    'make_quotas',
    'refund_quota',
]

# Parts of the slack: in the bucket, and at a start.  The rest covers what
# other VMs admit before it is heard.
USABLE_SLACK_SHARE: Final = 0.35
START_SLACK_SHARE: Final = 0.25
# No VM serves sooner after its predecessor's end, so nothing was admitted.
RESTART_DOWNTIME_S: Final = 0.5
# Part of the burst that each rank leaves to the ranks before it.
RESERVED_SHARE_PER_RANK: Final = 0.1
RETRY_MIN_S: Final = 0.1


class QuotaBounds(NamedTuple):
    """What may be exceeded in a window: a ratio and an amount."""

    window_s: float = 8.0
    overage: float = 0.1
    slack: float = 0.0


class QuotaDemand(NamedTuple):
    """What a request takes; a smaller rank goes first."""

    cost: float
    rank: int = 0


class Bucket(NamedTuple):
    """What the fleet may admit at the time ``refilled_at_s``."""

    level: float
    refilled_at_s: float


class Quotas(NamedTuple):
    """The root: buckets, and all that this VM admitted, by account."""

    bounds: QuotaBounds
    started_at_s: float
    buckets: dict[str, Bucket]
    admitted: dict[str, float]


def make_quotas(bounds: QuotaBounds, now_s: float) -> Quotas:
    """Create the buckets of a VM that starts now."""
    return Quotas(bounds, now_s, {}, {})


def consume_quota(
    quotas: Quotas,
    account: Account,
    need: QuotaDemand,
    share: float,
    now_s: float,
) -> None:
    """Take the cost of a request from the account's bucket.

    ``share`` is that of the VMs that hear each other.  Raises
    `QuotaError` when the bucket holds too little.
    """
    bucket = _refill(quotas, account, share, now_s)
    cost = need.cost
    left = account.burst * share * RESERVED_SHARE_PER_RANK * need.rank
    lacking = cost + left - bucket.level
    if lacking > 0:
        wait_s = max(RETRY_MIN_S, lacking / (account.rate_per_s * share))
        raise QuotaError(account.name, cost + left, bucket.level, wait_s)
    _adjust(quotas, account.name, -cost)
    admitted = quotas.admitted.get(account.name, 0.0)
    quotas.admitted[account.name] = admitted + cost


def refund_quota(quotas: Quotas, account: str, cost: float) -> None:
    """Return the cost of a request that was taken and has not run."""
    quotas.admitted[account] -= cost
    _adjust(quotas, account, cost)


def charge_peer_usage(
    quotas: Quotas, account: Account, amount: float, share: float, now_s: float
) -> None:
    """Take what another VM has admitted."""
    _refill(quotas, account, share, now_s)
    _adjust(quotas, account.name, -amount)


def bucket_levels(quotas: Quotas) -> dict[str, float]:
    """Return the levels of the buckets, to be told to other VMs."""
    return {name: bucket.level for name, bucket in quotas.buckets.items()}


def adopt_level(
    quotas: Quotas, account: Account, level: float, now_s: float
) -> None:
    """Take the level that a VM tells which has run for longer.

    It knows what was admitted before this VM's start.
    """
    quotas.buckets[account.name] = Bucket(level, now_s)


def _refill(
    quotas: Quotas, account: Account, share: float, now_s: float
) -> Bucket:
    """Add what the time since the last filling has brought."""
    bucket = quotas.buckets.get(account.name)
    if bucket is None:
        first = START_SLACK_SHARE * _slack(quotas, account) * share
        bucket = Bucket(first, quotas.started_at_s - RESTART_DOWNTIME_S)
    brought = (now_s - bucket.refilled_at_s) * account.rate_per_s * share
    level = min(_capacity(quotas, account) * share, bucket.level + brought)
    filled = Bucket(level, now_s)
    quotas.buckets[account.name] = filled
    return filled


def _adjust(quotas: Quotas, account: str, amount: float) -> None:
    bucket = quotas.buckets[account]
    quotas.buckets[account] = bucket._replace(level=bucket.level + amount)


def _capacity(quotas: Quotas, account: Account) -> float:
    """Return what the account's bucket for the whole fleet holds."""
    return account.burst + USABLE_SLACK_SHARE * _slack(quotas, account)


def _slack(quotas: Quotas, account: Account) -> float:
    """Return what the limit may be exceeded by in a window."""
    bounds = quotas.bounds
    limit = account.rate_per_s * bounds.window_s + account.burst
    return limit * bounds.overage + bounds.slack

"""An account's quota over the whole fleet, kept by gossip between the VMs.

Every VM keeps one token bucket per account for the whole fleet. It charges its
own admitted requests at once, and those of other VMs when their reports arrive.
The level may fall below zero by what others admitted and have not yet reported.

Live VMs use the share of the limit that corresponds to their number. So groups
of VMs that are partitioned from each other keep the limit together, and a VM
without live peers uses its own share. A VM that has just started does not know
what was admitted before; its buckets start with a part of the slack until it
adopts the levels of an older VM.  VMs that started together merge their
buckets as they learn of each other.
"""

from typing import Final, NamedTuple

from bluebellhub.request.refusal import QuotaError
from bluebellhub.route import Account

__all__ = [
    'JoinedVms',
    'QuotaBounds',
    'QuotaDemand',
    'Quotas',
    'adopt_level',
    'bucket_levels',
    'charge_peer_usage',
    'consume_quota',
    'make_quotas',
    'merge_start',
    'refund_quota',
]

# Parts of the slack that a full bucket and the first bucket after a start
# contain. The rest covers what other VMs admit before their reports arrive.
USABLE_SLACK_SHARE: Final = 0.35
START_SLACK_SHARE: Final = 0.25
# A restarted VM starts to serve at least this time after the old process ended.
# Nothing is admitted in between, so a new bucket is refilled for that time.
RESTART_DOWNTIME_S: Final = 0.5
# Part of the burst that each rank reserves for the ranks before it.
RESERVED_SHARE_PER_RANK: Final = 0.1
RETRY_MIN_S: Final = 0.1


class QuotaBounds(NamedTuple):
    """How far a limit may be exceeded in a window: a ratio and an amount."""

    window_s: float = 8.0
    overage: float = 0.1
    slack: float = 0.0


class QuotaDemand(NamedTuple):
    """What a request needs from its account; a smaller rank goes first."""

    cost: float
    rank: int = 0


class JoinedVms(NamedTuple):
    """VMs whose first report arrived: their ratio of all VMs and uptime."""

    share: float
    uptime_s: float


class Bucket(NamedTuple):
    """What the fleet may admit as of ``refilled_at_s``."""

    level: float
    refilled_at_s: float


class Quotas(NamedTuple):
    """The root: the buckets and this VM's admitted totals, by account."""

    bounds: QuotaBounds
    started_at_s: float
    buckets: dict[str, Bucket]
    admitted: dict[str, float]


def make_quotas(bounds: QuotaBounds, now_s: float) -> Quotas:
    """Create the quotas of a VM that starts now."""
    return Quotas(bounds, now_s, {}, {})


def consume_quota(
    quotas: Quotas,
    account: Account,
    demand: QuotaDemand,
    share: float,
    now_s: float,
) -> None:
    """Consume the cost of a request from the account's bucket.

    ``share`` is the ratio of live VMs. A request of a lower priority leaves a
    part of the burst to requests of higher ones. Raises `QuotaError` if the
    bucket holds too little.
    """
    bucket = _refill(quotas, account, share, now_s)
    cost = demand.cost
    reserved = account.burst * share * RESERVED_SHARE_PER_RANK * demand.rank
    missing = cost + reserved - bucket.level
    if missing > 0:
        wait_s = max(RETRY_MIN_S, missing / (account.rate_per_s * share))
        raise QuotaError(account.name, cost + reserved, bucket.level, wait_s)
    _adjust(quotas, account.name, -cost)
    admitted = quotas.admitted.get(account.name, 0.0)
    quotas.admitted[account.name] = admitted + cost


def refund_quota(quotas: Quotas, account: str, cost: float) -> None:
    """Refund the cost of a request that was not executed."""
    quotas.admitted[account] -= cost
    _adjust(quotas, account, cost)


def charge_peer_usage(
    quotas: Quotas, account: Account, amount: float, share: float, now_s: float
) -> None:
    """Charge what another VM admitted to the account's bucket."""
    _refill(quotas, account, share, now_s)
    _adjust(quotas, account.name, -amount)


def merge_start(
    quotas: Quotas,
    account: Account,
    amount: float,
    joined: JoinedVms,
    share: float,
    now_s: float,
) -> None:
    """Merge the bucket of VMs that started at about the same time as this one.

    They admitted ``amount`` since their start. Their part of the rate until
    now is added and what they admitted is charged, so that the fleet admits no
    more than one bucket allows, however its VMs learn of each other. Their part
    of the slack at a start is not added: all VMs would use it at once.
    ``share`` is the ratio of VMs that were live before.
    """
    _refill(quotas, account, share, now_s)
    refill_s = joined.uptime_s + RESTART_DOWNTIME_S
    refill = refill_s * account.rate_per_s * joined.share
    _adjust(quotas, account.name, refill - amount)


def bucket_levels(quotas: Quotas) -> dict[str, float]:
    """Return the levels of the buckets by account, for reports to other VMs."""
    return {name: bucket.level for name, bucket in quotas.buckets.items()}


def adopt_level(
    quotas: Quotas, account: Account, level: float, now_s: float
) -> None:
    """Adopt the level reported by a VM that has run for longer.

    It accounts for what was admitted before this VM's start.
    """
    quotas.buckets[account.name] = Bucket(level, now_s)


def _refill(
    quotas: Quotas, account: Account, share: float, now_s: float
) -> Bucket:
    """Refill the bucket for the time since the last refill, and return it."""
    bucket = quotas.buckets.get(account.name)
    if bucket is None:
        initial = START_SLACK_SHARE * _slack(quotas, account) * share
        bucket = Bucket(initial, quotas.started_at_s - RESTART_DOWNTIME_S)
    refill = (now_s - bucket.refilled_at_s) * account.rate_per_s * share
    level = min(_capacity(quotas, account) * share, bucket.level + refill)
    refilled = Bucket(level, now_s)
    quotas.buckets[account.name] = refilled
    return refilled


def _adjust(quotas: Quotas, account: str, amount: float) -> None:
    """Add an amount to the level of an account's bucket."""
    bucket = quotas.buckets[account]
    quotas.buckets[account] = bucket._replace(level=bucket.level + amount)


def _capacity(quotas: Quotas, account: Account) -> float:
    """Return the capacity of the account's bucket for the whole fleet."""
    return account.burst + USABLE_SLACK_SHARE * _slack(quotas, account)


def _slack(quotas: Quotas, account: Account) -> float:
    """Return by how much the limit may be exceeded in a window."""
    bounds = quotas.bounds
    limit = account.rate_per_s * bounds.window_s + account.burst
    return limit * bounds.overage + bounds.slack

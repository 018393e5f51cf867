"""The owner of a leased budget, which grants leases to holders."""

from typing import Final, NamedTuple

from bluebellhub.budget.division import Demand, divide
from bluebellhub.budget.lease import (
    CLOCK_DRIFT_RATIO,
    IN_USE_TIMEOUT_S,
    LEASE_TERM_S,
    Grant,
    Renewal,
)
from bluebellhub.invariants import check_invariant

__all__ = [
    'Budget',
    'grant_lease',
    'holders_above_share',
    'make_budget',
    'outstanding',
    'set_limit',
    'suspend_grants',
]

EPSILON: Final = 1e-6
# Above all batch numbers: a lease of a former owner counts until it expires.
FORMER_OWNER_NUMBER: Final = 2**62


class IssuedGrant(NamedTuple):
    """A grant that its holder may still use, by the owner's clock."""

    number: int
    amount: float
    expires_at_s: float


class LastRenewal(NamedTuple):
    """A holder's last renewal and the time when it was received."""

    demand: Demand
    received_at_s: float
    pending_tokens: int = 0


class Budget(NamedTuple):
    """Aggregate root: the limit and the leases granted.

    ``issued`` holds the grants that each holder may still use and
    ``renewals`` the last renewal of each holder.  The owner grants nothing
    before ``suspended_until_s``, because leases of a former owner may still
    be in use.  A grant counts as in use for ``counted_for_s`` seconds unless
    its holder reports otherwise.
    """

    key: str
    division: str
    limit: float
    issued: dict[str, tuple[IssuedGrant, ...]]
    renewals: dict[str, LastRenewal]
    suspended_until_s: float = 0.0
    counted_for_s: float = LEASE_TERM_S


def make_budget(key: str, division: str, limit: float) -> Budget:
    """Return a budget without grants."""
    return Budget(key, division, limit, {}, {})


def set_limit(
    budget: Budget, limit: float, *, is_strict: bool = False
) -> Budget:
    """Return the budget with another limit.

    Leases above a smaller limit are not revoked; they expire.  A strict
    budget also counts work that was started under a lease and continues
    after the lease expired, until the holder has withdrawn it.
    """
    counted_for_s = IN_USE_TIMEOUT_S if is_strict else LEASE_TERM_S
    return budget._replace(limit=limit, counted_for_s=counted_for_s)


def suspend_grants(budget: Budget, until_s: float) -> Budget:
    """Return the budget with no grants before ``until_s``."""
    later_s = max(until_s, budget.suspended_until_s)
    return budget._replace(suspended_until_s=later_s)


def outstanding(budget: Budget, now_s: float, excluding: str = '') -> float:
    """Return the amount in use or usable by holders except ``excluding``."""
    names = set(budget.issued) | set(budget.renewals)
    names.discard(excluding)
    return sum(_outstanding_at(budget, name, now_s) for name in names)


def _outstanding_at(budget: Budget, holder: str, now_s: float) -> float:
    """Return the largest amount that a holder may have in use."""
    grants = budget.issued.get(holder, ())
    amounts = [entry.amount for entry in grants if now_s < entry.expires_at_s]
    renewal = budget.renewals.get(holder)
    if renewal is not None and now_s - renewal.received_at_s < IN_USE_TIMEOUT_S:
        amounts.append(renewal.demand.in_use)
    return max(amounts, default=0.0)


def record_held_lease(
    budget: Budget, holder: str, renewal: Renewal, now_s: float
) -> None:
    """Record a lease that the holder got from a former owner."""
    if renewal.held <= 0 or holder in budget.issued:
        return
    expires_at_s = now_s + renewal.held_for_s * CLOCK_DRIFT_RATIO
    held = IssuedGrant(FORMER_OWNER_NUMBER, renewal.held, expires_at_s)
    budget.issued[holder] = (held,)


def grant_lease(
    budget: Budget,
    holder: str,
    renewal: Renewal,
    numbers: tuple[int, int],
    now_s: float,
) -> Grant | None:
    """Grant a lease; returns ``None`` while grants are suspended.

    ``numbers`` are the number of the renewal batch and the newest number
    that the holder has applied; older grants are no longer usable.  Asserts
    that leases don't exceed the limit, unless the limit has just shrunk.
    """
    number, applied = numbers
    budget.renewals[holder] = LastRenewal(
        Demand(renewal.demand, renewal.in_use),
        now_s,
        renewal.pending_tokens,
    )
    _drop_unusable(budget, holder, renewal, applied, now_s)
    if now_s < budget.suspended_until_s:
        record_held_lease(budget, holder, renewal, now_s)
        return None
    amount = _grantable_amount(budget, holder, now_s)
    expires_at_s = now_s + budget.counted_for_s * CLOCK_DRIFT_RATIO
    entries = budget.issued.get(holder, ())
    budget.issued[holder] = (
        *entries,
        IssuedGrant(number, amount, expires_at_s),
    )
    other_vms_tokens = sum(
        last.pending_tokens
        for name, last in budget.renewals.items()
        if name != holder
    )
    return Grant(
        budget.key, amount, LEASE_TERM_S, budget.limit, other_vms_tokens
    )


def _grantable_amount(budget: Budget, holder: str, now_s: float) -> float:
    """Return the holder's share, limited to the amount that others leave."""
    if budget.division == 'copy':
        return budget.limit
    others = outstanding(budget, now_s, excluding=holder)
    free = max(0.0, budget.limit - others)
    amount = min(_divide_limit(budget, now_s)[holder], free)
    check_invariant(
        'leases_within_limit',
        holds=amount <= EPSILON or amount + others <= budget.limit + EPSILON,
        detail=f'{budget.key}: {amount} + {others} of {budget.limit}',
    )
    return amount


def holders_above_share(budget: Budget, now_s: float) -> list[str]:
    """Return holders whose unused leases keep others below their share.

    The list is empty unless some holder has less than its share and needs
    more.
    """
    if budget.division == 'copy':
        return []
    shares = _divide_limit(budget, now_s)
    amounts = {name: _outstanding_at(budget, name, now_s) for name in shares}
    has_short_holder = any(
        amounts[name] + 1 <= share
        and budget.renewals[name].demand.wanted > amounts[name]
        for name, share in shares.items()
    )
    if not has_short_holder:
        return []
    return [
        name
        for name, share in shares.items()
        if amounts[name] > max(share, budget.renewals[name].demand.in_use)
    ]


def _drop_unusable(
    budget: Budget,
    holder: str,
    renewal: Renewal,
    applied: int,
    now_s: float,
) -> None:
    """Remove grants that have expired or that the holder has replaced.

    A holder without a lease has given up the newest applied grant too, and
    never applies it again.
    """
    oldest = applied if renewal.held > 0 else applied + 1
    usable = tuple(
        issued
        for issued in budget.issued.get(holder, ())
        if now_s < issued.expires_at_s and issued.number >= oldest
    )
    if usable:
        budget.issued[holder] = usable
    else:
        budget.issued.pop(holder, None)


def _divide_limit(budget: Budget, now_s: float) -> dict[str, float]:
    """Return each holder's share; forgets holders that no longer renew."""
    for name, renewal in list(budget.renewals.items()):
        if now_s - renewal.received_at_s > IN_USE_TIMEOUT_S:
            budget.renewals.pop(name)
    demands = {
        name: renewal.demand for name, renewal in budget.renewals.items()
    }
    return divide(budget.division, budget.key, budget.limit, demands)

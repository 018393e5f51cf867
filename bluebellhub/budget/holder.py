"""The holder of leased budgets: the leases of one VM."""

from typing import Final, NamedTuple, TypedDict

from bluebellhub.budget.lease import Grant, GrantBatch

__all__ = [
    'HeldLease',
    'Holder',
    'apply_grants',
    'begin_renewal',
    'last_renewal_s',
    'leased_amount',
    'make_holder',
    'revoke',
]

PENDING_MAX: Final = 64
NUMBERS_PER_INCARNATION: Final = 1_000_000_000


class HeldLease(NamedTuple):
    """A lease; ``requested_at_s`` is the time when its renewal was sent."""

    amount: float
    requested_at_s: float
    expires_at_s: float
    limit: float
    number: int


class HolderState(TypedDict):
    """Mutable state: the number of the last renewal batch."""

    number: int


class Holder(NamedTuple):
    """Aggregate root: leases by budget, and unanswered renewals.

    ``pending`` maps the numbers of renewal batches to the times when they
    were sent.  ``applied`` maps each owner to the newest batch number
    whose grants were applied.
    """

    leases: dict[str, HeldLease]
    pending: dict[int, float]
    applied: dict[str, int]
    state: HolderState


def make_holder(incarnation: int = 0) -> Holder:
    """Return a holder without leases.

    ``incarnation`` grows with every start of the VM, so that a response to a
    renewal of an earlier incarnation cannot match a new renewal.
    """
    return Holder({}, {}, {}, {'number': incarnation * NUMBERS_PER_INCARNATION})


def leased_amount(holder: Holder, key: str, now_s: float) -> float:
    """Return the amount that may be spent now; 0 after the lease expired."""
    lease = holder.leases.get(key)
    if lease is None or now_s >= lease.expires_at_s:
        return 0.0
    return lease.amount


def begin_renewal(holder: Holder, now_s: float) -> int:
    """Record a renewal batch that is sent now; returns its number."""
    number = holder.state['number'] + 1
    holder.state['number'] = number
    holder.pending[number] = now_s
    while len(holder.pending) > PENDING_MAX:
        holder.pending.pop(next(iter(holder.pending)))
    return number


def apply_grants(
    holder: Holder, owner: str, batch: GrantBatch, now_s: float
) -> list[Grant]:
    """Apply the grants of a batch; returns those applied.

    The term of a lease runs from the time when its renewal was sent, so a
    late response gives a short lease or none.  A second response to the same
    renewal, or a response to an older renewal than the one applied, is
    dropped.
    """
    requested_at_s = holder.pending.get(batch.number)
    if requested_at_s is None or batch.number <= holder.applied.get(owner, 0):
        return []
    holder.applied[owner] = batch.number
    applied = []
    for grant in batch.grants:
        expires_at_s = requested_at_s + grant.term_s
        old = holder.leases.get(grant.key)
        if old is not None and old.requested_at_s > requested_at_s:
            continue
        holder.leases[grant.key] = HeldLease(
            grant.amount,
            requested_at_s,
            expires_at_s,
            grant.limit,
            batch.number,
        )
        applied.append(grant)
    return applied


def revoke(holder: Holder, key: str) -> None:
    """Give up a lease at once; keeps the time of its last renewal."""
    lease = holder.leases.get(key)
    if lease is not None:
        holder.leases[key] = lease._replace(amount=0.0)


def last_renewal_s(holder: Holder, key: str) -> float:
    """Return when the last answered renewal was sent, or 0 if none was."""
    lease = holder.leases.get(key)
    return lease.requested_at_s if lease else 0.0

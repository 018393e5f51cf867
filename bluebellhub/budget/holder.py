"""The holder's side of leased budgets on one VM."""

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
NUMBERS_PER_START: Final = 1_000_000_000


class HeldLease(NamedTuple):
    """A lease; ``asked_at_s`` is when its renewal was sent."""

    amount: float
    asked_at_s: float
    until_s: float
    limit: float
    number: int


class HolderState(TypedDict):
    """The number of the last renewal batch."""

    number: int


class Holder(NamedTuple):
    """The root: leases by budget and renewals without an answer yet.

    ``pending`` maps batch numbers to the time they were sent and
    ``applied`` holds, by owner, the newest batch number applied.
    """

    leases: dict[str, HeldLease]
    pending: dict[int, float]
    applied: dict[str, int]
    state: HolderState


def make_holder(incarnation: int = 0) -> Holder:
    """Create a holder without leases.

    ``incarnation`` grows with every start of the VM, so that an answer to a
    renewal of an earlier life is not taken for a new one.
    """
    return Holder({}, {}, {}, {'number': incarnation * NUMBERS_PER_START})


def leased_amount(holder: Holder, key: str, now_s: float) -> float:
    """Return what may be spent now; 0 once the lease has expired."""
    lease = holder.leases.get(key)
    if lease is None or now_s >= lease.until_s:
        return 0.0
    return lease.amount


def begin_renewal(holder: Holder, now_s: float) -> int:
    """Number a renewal batch that is sent now."""
    number = holder.state['number'] + 1
    holder.state['number'] = number
    holder.pending[number] = now_s
    while len(holder.pending) > PENDING_MAX:
        holder.pending.pop(next(iter(holder.pending)))
    return number


def apply_grants(
    holder: Holder, owner: str, batch: GrantBatch, now_s: float
) -> list[Grant]:
    """Apply grants; returns those applied.

    A lease expires counted from the moment its renewal was sent, so a late
    answer gives a short lease or none.  A second answer to the same
    renewal, or one to an older renewal than the applied one, is dropped.
    """
    asked_at_s = holder.pending.get(batch.number)
    if asked_at_s is None or batch.number <= holder.applied.get(owner, 0):
        return []
    holder.applied[owner] = batch.number
    applied = []
    for grant in batch.grants:
        until_s = asked_at_s + grant.term_s
        old = holder.leases.get(grant.key)
        if old is not None and old.asked_at_s > asked_at_s:
            continue
        holder.leases[grant.key] = HeldLease(
            grant.amount, asked_at_s, until_s, grant.limit, batch.number
        )
        applied.append(grant)
    return applied


def revoke(holder: Holder, key: str) -> None:
    """Give up a lease at once; keeps when its owner was last heard."""
    lease = holder.leases.get(key)
    if lease is not None:
        holder.leases[key] = lease._replace(amount=0.0)


def last_renewal_s(holder: Holder, key: str) -> float:
    """Return when the last answered renewal was sent; 0 before the first."""
    lease = holder.leases.get(key)
    return lease.asked_at_s if lease else 0.0

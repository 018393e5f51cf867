"""The owner's side of one leased budget."""

from typing import Final, NamedTuple

from bluebellhub.budget.division import Demand, divide
from bluebellhub.budget.lease import (
    CLOCK_DRIFT_RATIO,
    IN_USE_KEPT_S,
    TERM_S,
    Grant,
    Renewal,
)
from bluebellhub.invariants import check_invariant

__all__ = [
    'Budget',
    'grant',
    'holders_above_share',
    'make_budget',
    'outstanding',
    'set_limit',
    'suspend_grants',
]

EPSILON: Final = 1e-6
FOREIGN_NUMBER: Final = 2**62


class IssuedGrant(NamedTuple):
    """A grant that may still be used, by the owner's clock."""

    number: int
    amount: float
    until_s: float


class LastRenewal(NamedTuple):
    """A holder's last demand and when it came."""

    demand: Demand
    at_s: float
    pending_tokens: int = 0


class Budget(NamedTuple):
    """The root: the limit and what is out.

    ``lent`` holds by holder every grant that it may still use.  While the
    owner is silent, until ``silent_until_s``, it grants nothing: a former
    owner's leases may still be in use.  A grant counts as in use for
    ``kept_s`` seconds unless its holder tells otherwise.
    """

    key: str
    division: str
    limit: float
    lent: dict[str, tuple[IssuedGrant, ...]]
    asked: dict[str, LastRenewal]
    silent_until_s: float = 0.0
    kept_s: float = TERM_S


def make_budget(key: str, division: str, limit: float) -> Budget:
    """Create a budget of which nothing is out."""
    return Budget(key, division, limit, {}, {})


def set_limit(
    budget: Budget, limit: float, *, is_strict: bool = False
) -> Budget:
    """Change the limit; leases above a smaller one run out by themselves.

    A strict budget also counts the work that was started under a lease and
    goes on after its end, until the holder has withdrawn it.
    """
    kept_s = IN_USE_KEPT_S if is_strict else TERM_S
    return budget._replace(limit=limit, kept_s=kept_s)


def suspend_grants(budget: Budget, until_s: float) -> Budget:
    """Grant nothing before ``until_s``."""
    later_s = max(until_s, budget.silent_until_s)
    return budget._replace(silent_until_s=later_s)


def outstanding(budget: Budget, now_s: float, besides: str = '') -> float:
    """Sum what holders other than ``besides`` use or may still use."""
    names = set(budget.lent) | set(budget.asked)
    names.discard(besides)
    return sum(_out_at(budget, name, now_s) for name in names)


def _out_at(budget: Budget, holder: str, now_s: float) -> float:
    """Return the most that one holder may have in use."""
    lent = budget.lent.get(holder, ())
    amounts = [entry.amount for entry in lent if now_s < entry.until_s]
    asked = budget.asked.get(holder)
    if asked is not None and now_s - asked.at_s < IN_USE_KEPT_S:
        amounts.append(asked.demand.in_use)
    return max(amounts, default=0.0)


def note_held(
    budget: Budget, holder: str, renewal: Renewal, now_s: float
) -> None:
    """Learn of a lease that a former owner granted."""
    if renewal.held <= 0 or holder in budget.lent:
        return
    until_s = now_s + renewal.held_for_s * CLOCK_DRIFT_RATIO
    lent = IssuedGrant(FOREIGN_NUMBER, renewal.held, until_s)
    budget.lent[holder] = (lent,)


def grant(
    budget: Budget,
    holder: str,
    renewal: Renewal,
    numbers: tuple[int, int],
    now_s: float,
) -> Grant | None:
    """Answer a renewal; ``None`` while the owner is silent.

    ``numbers`` are the batch's number and the newest one applied by the
    holder: older grants cannot be used any more.  Asserts that no more
    than the limit is out, unless the limit has just shrunk.
    """
    number, applied = numbers
    budget.asked[holder] = LastRenewal(
        Demand(renewal.demand, renewal.in_use),
        now_s,
        renewal.pending_tokens,
    )
    _drop_dead(budget, holder, renewal, applied, now_s)
    if now_s < budget.silent_until_s:
        note_held(budget, holder, renewal, now_s)
        return None
    amount = _affordable(budget, holder, now_s)
    until_s = now_s + budget.kept_s * CLOCK_DRIFT_RATIO
    entries = budget.lent.get(holder, ())
    budget.lent[holder] = (*entries, IssuedGrant(number, amount, until_s))
    other_vms_tokens = sum(
        asked.pending_tokens
        for name, asked in budget.asked.items()
        if name != holder
    )
    return Grant(budget.key, amount, TERM_S, budget.limit, other_vms_tokens)


def _affordable(budget: Budget, holder: str, now_s: float) -> float:
    """Return the holder's share, cut to what is not out elsewhere."""
    if budget.division == 'copy':
        return budget.limit
    others = outstanding(budget, now_s, besides=holder)
    free = max(0.0, budget.limit - others)
    amount = min(_shares(budget, now_s)[holder], free)
    check_invariant(
        'leases_within_limit',
        holds=amount <= EPSILON or amount + others <= budget.limit + EPSILON,
        detail=f'{budget.key}: {amount} + {others} of {budget.limit}',
    )
    return amount


def holders_above_share(budget: Budget, now_s: float) -> list[str]:
    """Return holders whose unused leases keep others from their share.

    Empty unless some holder is short.
    """
    if budget.division == 'copy':
        return []
    shares = _shares(budget, now_s)
    out = {name: _out_at(budget, name, now_s) for name in shares}
    short = any(
        out[name] + 1 <= share and budget.asked[name].demand.wanted > out[name]
        for name, share in shares.items()
    )
    if not short:
        return []
    return [
        name
        for name, share in shares.items()
        if out[name] > max(share, budget.asked[name].demand.in_use)
    ]


def _drop_dead(
    budget: Budget,
    holder: str,
    renewal: Renewal,
    applied: int,
    now_s: float,
) -> None:
    """Forget grants that expired or were superseded at the holder.

    A holder that holds nothing has given up the applied grant too, and
    never applies it again.
    """
    oldest = applied if renewal.held > 0 else applied + 1
    live = tuple(
        lent
        for lent in budget.lent.get(holder, ())
        if now_s < lent.until_s and lent.number >= oldest
    )
    if live:
        budget.lent[holder] = live
    else:
        budget.lent.pop(holder, None)


def _shares(budget: Budget, now_s: float) -> dict[str, float]:
    for name, asked in list(budget.asked.items()):
        if now_s - asked.at_s > IN_USE_KEPT_S:
            budget.asked.pop(name)
    demands = {name: asked.demand for name, asked in budget.asked.items()}
    return divide(budget.division, budget.key, budget.limit, demands)

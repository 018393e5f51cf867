"""What this VM may send of a rank, divided among the client accounts."""

from bluebellhub.scheduler.rank_ratios import Balance, admission_ratio
from bluebellhub.scheduler.shares import (
    CREDIT_MAX,
    TargetShare,
    account_demand,
)

__all__ = ['fair_rate_per_s', 'has_credit', 'use_credit']


def fair_rate_per_s(
    share: TargetShare, ratio: float, rank: int, account: str, now_s: float
) -> float:
    """Return the account's part of what this VM may send of a rank.

    Each account gets what it asks for, up to a level that is the same for all
    (max-min fairness).  One that asks for more than the others, or whose
    callers retry at once, is refused the surplus.
    """
    demand = {
        name: per_s
        for (found, name), per_s in account_demand(share, now_s).items()
        if found == rank
    }
    left = ratio * sum(demand.values())
    for position, name in enumerate(sorted(demand, key=demand.__getitem__)):
        level = left / (len(demand) - position)
        if name == account or demand[name] >= level:
            return min(demand.get(account, 0.0), level)
        left -= demand[name]
    return 0.0


def has_credit(
    share: TargetShare,
    balance: Balance,
    rank: int,
    account: str,
    now_s: float,
) -> bool:
    """Return whether the account's share allows a request of the rank now."""
    ratio = admission_ratio(balance, rank)
    found = share.accounts.get((rank, account))
    if found is None or ratio >= 1:
        return True
    per_s = fair_rate_per_s(share, ratio, rank, account, now_s)
    passed_s = now_s - found.refilled_at_s
    credit = min(CREDIT_MAX, found.credit + passed_s * per_s)
    share.accounts[rank, account] = found._replace(
        credit=credit, refilled_at_s=now_s
    )
    return credit >= 1.0


def use_credit(share: TargetShare, rank: int, account: str) -> None:
    """Charge a request that is sent now."""
    found = share.accounts.get((rank, account))
    if found is not None:
        credit = max(0.0, found.credit - 1.0)
        share.accounts[rank, account] = found._replace(credit=credit)

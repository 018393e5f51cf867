"""Leased budgets: limits that many VMs share, spent without a message each.

A budget has one owner, which divides its limit into leases.  A holder
spends its lease locally until the lease expires and renews it in time.
"""

from bluebellhub.budget.division import Demand, divide, divisions
from bluebellhub.budget.holder import (
    Holder,
    apply_grants,
    begin_renewal,
    last_renewal_s,
    leased_amount,
    make_holder,
    revoke,
)
from bluebellhub.budget.lease import (
    IN_USE_KEPT_S,
    RENEW_S,
    TERM_S,
    Grant,
    GrantBatch,
    Renewal,
    RenewalBatch,
)
from bluebellhub.budget.owner import (
    Budget,
    grant,
    holders_above_share,
    make_budget,
    outstanding,
    set_limit,
    suspend_grants,
)

__all__ = [
    'IN_USE_KEPT_S',
    'RENEW_S',
    'TERM_S',
    'Budget',
    'Demand',
    'Grant',
    'GrantBatch',
    'Holder',
    'Renewal',
    'RenewalBatch',
    'apply_grants',
    'begin_renewal',
    'divide',
    'divisions',
    'grant',
    'holders_above_share',
    'last_renewal_s',
    'leased_amount',
    'make_budget',
    'make_holder',
    'outstanding',
    'revoke',
    'set_limit',
    'suspend_grants',
]

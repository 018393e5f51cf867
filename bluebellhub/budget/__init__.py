"""Leased budgets: limits that VMs share without a message per request.

Each budget has one owner, which divides the limit into leases.  A holder
spends its lease locally until the lease expires, and renews it before then.
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
    IN_USE_TIMEOUT_S,
    LEASE_TERM_S,
    RENEWAL_INTERVAL_S,
    Grant,
    GrantBatch,
    Renewal,
    RenewalBatch,
)
from bluebellhub.budget.owner import (
    Budget,
    grant_lease,
    holders_above_share,
    make_budget,
    outstanding,
    set_limit,
    suspend_grants,
)

__all__ = [
    'IN_USE_TIMEOUT_S',
    'LEASE_TERM_S',
    'RENEWAL_INTERVAL_S',
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
    'grant_lease',
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

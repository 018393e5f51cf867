"""Contracts of client accounts: permitted tiers and targets, and limits."""

from bluebellhub.contract.contract import (
    Contract,
    authenticate,
    check_request,
    hash_key,
    make_contract,
)
from bluebellhub.contract.tier import (
    DEFAULT_TIERS,
    Tier,
    find_tier,
)
from bluebellhub.contract.usage import (
    AccountLimits,
    AccountUsage,
    admit,
    make_account_usage,
    record_demand,
    release,
)

__all__ = [
    'DEFAULT_TIERS',
    'AccountLimits',
    'AccountUsage',
    'Contract',
    'Tier',
    'admit',
    'authenticate',
    'check_request',
    'find_tier',
    'hash_key',
    'make_account_usage',
    'make_contract',
    'record_demand',
    'release',
]

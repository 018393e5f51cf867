"""Routes, services and accounts of the configuration in force."""

from bluebellhub.route.account import Account, cost_of, is_limited
from bluebellhub.route.route import (
    Route,
    Split,
    choose_target,
    may_repeat,
)
from bluebellhub.route.table import (
    ActiveConfig,
    CallerLimits,
    RoutingTable,
    Service,
    activate_table,
    active_table,
    find_account,
    find_route,
    make_active_config,
    make_table,
)

__all__ = [
    'Account',
    'ActiveConfig',
    'CallerLimits',
    'Route',
    'RoutingTable',
    'Service',
    'Split',
    'activate_table',
    'active_table',
    'choose_target',
    'cost_of',
    'find_account',
    'find_route',
    'is_limited',
    'make_active_config',
    'make_table',
    'may_repeat',
]

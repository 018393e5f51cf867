"""Routes, services and client accounts of the active configuration."""

from bluebellhub.route.account import Account, is_limited, request_cost
from bluebellhub.route.route import (
    Route,
    Split,
    choose_target,
    is_retryable,
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
    'find_account',
    'find_route',
    'is_limited',
    'is_retryable',
    'make_active_config',
    'make_table',
    'request_cost',
]

"""The configuration in force: routes, services, accounts and limits."""

from collections.abc import Iterable, Mapping
from typing import NamedTuple, TypedDict

from bluebellhub.request.refusal import (
    NoUpstreamError,
    UnauthenticatedError,
    UnknownTargetError,
)
from bluebellhub.route.account import Account, is_limited
from bluebellhub.route.route import Route

__all__ = [
    'ActiveConfig',
    'CallerLimits',
    'RoutingTable',
    'Service',
    'activate_table',
    'active_table',
    'find_account',
    'find_route',
    'make_active_config',
    'make_table',
]


class Service(NamedTuple):
    """A service: plain, or of model engines.

    ``cold_per_s`` requests a second are what a cold upstream bears, and
    ``cold_start_s`` how long it stays cold after its start; 0 for none.
    ``tokens_per_event`` is 0 for a plain service.
    """

    name: str
    health_path: str = '/health'
    cold_per_s: float = 0.0
    cold_start_s: float = 0.0
    tokens_per_event: int = 0


class CallerLimits(NamedTuple):
    """Bounds on what a caller may send, and on how slowly."""

    header_max_bytes: int = 16_384
    body_max_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class RoutingTable(NamedTuple):
    """One version; the routes of a host have the longest prefix first.

    ``limited`` holds the accounts that have a limit, by name.
    """

    version: int
    by_host: Mapping[str, tuple[Route, ...]]
    services: Mapping[str, Service]
    accounts_by_key: Mapping[str, Account]
    limited: Mapping[str, Account]
    needs_key: bool
    limits: CallerLimits


class ActiveConfig(TypedDict):
    """The newest table that this VM knows; ``None`` before the first."""

    table: RoutingTable | None


def make_active_config() -> ActiveConfig:
    """Create the state of a VM that knows no configuration."""
    return {'table': None}


def make_table(
    version: int,
    routes: Iterable[Route],
    services: Iterable[Service] = (),
    accounts_by_key: Mapping[str, Account] | None = None,
    limits: CallerLimits | None = None,
) -> RoutingTable:
    """Create a table; without accounts, callers need no key."""
    by_key = accounts_by_key or {}
    by_host: dict[str, list[Route]] = {}
    for route in routes:
        by_host.setdefault(route.host.lower(), []).append(route)
    ordered = {
        host: tuple(sorted(found, key=_longest_first))
        for host, found in by_host.items()
    }
    return RoutingTable(
        version,
        ordered,
        {service.name: service for service in services},
        by_key,
        {
            account.name: account
            for account in by_key.values()
            if is_limited(account)
        },
        accounts_by_key is not None,
        limits or CallerLimits(),
    )


def _longest_first(route: Route) -> int:
    return -len(route.path_prefix)


def activate_table(active_config: ActiveConfig, table: RoutingTable) -> bool:
    """Put a table in force unless it is older; tells whether it did.

    A VM never goes back to an older version while it runs.
    """
    known = active_config['table']
    if known is not None and table.version <= known.version:
        return False
    active_config['table'] = table
    return True


def active_table(active_config: ActiveConfig) -> RoutingTable:
    """Return the table in force.

    Raises `NoUpstreamError`, which promises that nothing has run, on a VM
    that knows no configuration yet.
    """
    table = active_config['table']
    if table is None:
        raise NoUpstreamError('no configuration yet', retry_after_s=1.0)
    return table


def find_route(table: RoutingTable, host: str, path: str) -> Route:
    """Return the route with the longest prefix; raises 404's refusal."""
    for route in table.by_host.get(host.lower(), ()):
        if path.startswith(route.path_prefix):
            return route
    raise UnknownTargetError(f'no route for {host!r} {path!r}')


def find_account(
    table: RoutingTable, route: Route, key: str | None
) -> Account | None:
    """Return the caller's account; ``None`` where none is needed.

    Raises `UnauthenticatedError` for a key that belongs to no account.
    """
    account = table.accounts_by_key.get(key) if key else None
    if account is None and table.needs_key and not route.is_public:
        raise UnauthenticatedError('the key belongs to no client account')
    return account

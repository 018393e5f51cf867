"""The active configuration: routes, services, accounts and limits."""

from collections.abc import Iterable, Mapping
from typing import NamedTuple, TypedDict

from bluebellhub.errors import ObjectError
from bluebellhub.request.refusal import (
    NoUpstreamError,
    UnauthenticatedError,
    UnknownTargetError,
)
from bluebellhub.route.account import Account, is_limited
from bluebellhub.route.route import Route
from bluebellhub.scaling.bounds import ScalingBounds

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
    """A service, either plain or of model engines.

    A cold upstream sustains ``cold_per_s`` requests/s and stays cold for
    ``cold_start_s`` after its start; 0 means that there is no such limit.
    ``tokens_per_event`` is 0 for a plain service.  Without ``scaling`` the
    number of its replicas is left alone.
    """

    name: str
    health_path: str = '/health'
    cold_per_s: float = 0.0
    cold_start_s: float = 0.0
    tokens_per_event: int = 0
    scaling: ScalingBounds | None = None


class CallerLimits(NamedTuple):
    """Limits on a caller's request: sizes and timeouts."""

    header_max_bytes: int = 16_384
    body_max_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class RoutingTable(NamedTuple):
    """One version of the configuration.

    The routes of a host are ordered by the length of their prefix, longest
    first. ``limited`` holds the accounts that have a limit, by name.
    ``problems`` are fields that are not valid and count as left out.
    """

    version: int
    by_host: Mapping[str, tuple[Route, ...]]
    services: Mapping[str, Service]
    accounts_by_key: Mapping[str, Account]
    limited: Mapping[str, Account]
    needs_key: bool
    limits: CallerLimits
    problems: tuple[ObjectError, ...] = ()


class ActiveConfig(TypedDict):
    """The newest table that this VM knows, or ``None`` before the first."""

    table: RoutingTable | None


def make_active_config() -> ActiveConfig:
    """Create the state of a VM without a configuration."""
    return {'table': None}


def make_table(
    version: int,
    routes: Iterable[Route],
    services: Iterable[Service] = (),
    accounts_by_key: Mapping[str, Account] | None = None,
    limits: CallerLimits | None = None,
) -> RoutingTable:
    """Create a table; with ``accounts_by_key`` of ``None`` no key is needed."""
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
    """Return the sort key that puts routes with longer prefixes first."""
    return -len(route.path_prefix)


def activate_table(active_config: ActiveConfig, table: RoutingTable) -> bool:
    """Activate a table if its version is newer; returns whether it is.

    A VM never returns to an older version while it runs.
    """
    active = active_config['table']
    if active is not None and table.version <= active.version:
        return False
    active_config['table'] = table
    return True


def active_table(active_config: ActiveConfig) -> RoutingTable:
    """Return the active table.

    Raises `NoUpstreamError`, which states that nothing was executed, on a VM
    without a configuration.
    """
    table = active_config['table']
    if table is None:
        raise NoUpstreamError(
            'no configuration has been read yet', retry_after_s=1.0
        )
    return table


def find_route(table: RoutingTable, host: str, path: str) -> Route:
    """Return the matching route with the longest prefix.

    Raises `UnknownTargetError` if no route matches.
    """
    for route in table.by_host.get(host.lower(), ()):
        if path.startswith(route.path_prefix):
            return route
    raise UnknownTargetError(f'no route for host {host!r} and path {path!r}')


def find_account(
    table: RoutingTable, route: Route, key: str | None
) -> Account | None:
    """Return the caller's account, or ``None`` if no key is needed.

    Raises `UnauthenticatedError` for a missing key and for one that belongs to
    no account, unless the route is public or the table needs no keys.
    """
    account = table.accounts_by_key.get(key) if key else None
    if account is None and table.needs_key and not route.is_public:
        raise UnauthenticatedError('the key belongs to no client account')
    return account

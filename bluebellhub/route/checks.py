"""Checks of a configuration before operators send it.

A check yields findings on a draft.  A place names fields of the draft; the
platform's codec knows what they are called there.  Findings never hold a key.
"""

from collections.abc import Callable, Iterable, Iterator
from typing import Final, NamedTuple

from bluebellhub.registry import Registry, make_registry
from bluebellhub.route.account import Account, is_limited, request_cost
from bluebellhub.route.route import Route
from bluebellhub.route.table import CallerLimits, Service

__all__ = [
    'ConfigCheck',
    'ConfigDraft',
    'DraftAccount',
    'Finding',
    'Place',
    'config_checks',
    'run_checks',
]

# A request line and the headers that HTTP/1.1 requires take more.
HEADER_MIN_BYTES: Final = 256

Place = tuple[str | int, ...]


class DraftAccount(NamedTuple):
    """A client account with the keys of its callers."""

    account: Account
    keys: tuple[str, ...]


class ConfigDraft(NamedTuple):
    """The root: a configuration as written, in its order.

    Routes keep the splits without weight; ``accounts`` of ``None`` means that
    callers need no key.
    """

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...] = ()
    accounts: tuple[DraftAccount, ...] | None = None
    limits: CallerLimits | None = None


class Finding(NamedTuple):
    """What is wrong at a place; ``check`` names the rule."""

    check: str
    place: Place
    got: str
    expected: str


ConfigCheck = Callable[[ConfigDraft], Iterator[Finding]]

config_checks: Registry[ConfigCheck] = make_registry('configuration check')


def run_checks(draft: ConfigDraft) -> list[Finding]:
    """Return the findings of all checks, in the order of their registration."""
    return [
        finding
        for check in config_checks.entries.values()
        for finding in check(draft)
    ]


@config_checks.register('duplicate_name')
def find_duplicate_names(draft: ConfigDraft) -> Iterator[Finding]:
    """Yield entries that have the name of an earlier one."""
    accounts = [entry.account for entry in draft.accounts or ()]
    for kind, entries in (
        ('routes', draft.routes),
        ('services', draft.services),
        ('accounts', accounts),
    ):
        yield from _find_repeated(kind, [entry.name for entry in entries])


def _find_repeated(kind: str, names: Iterable[str]) -> Iterator[Finding]:
    first: dict[str, int] = {}
    for index, name in enumerate(names):
        earlier = first.setdefault(name, index)
        if earlier != index:
            yield Finding(
                'duplicate_name',
                (kind, index, 'name'),
                repr(name),
                f'a name that {kind}[{earlier}] does not have',
            )


@config_checks.register('hidden_route')
def find_hidden_routes(draft: ConfigDraft) -> Iterator[Finding]:
    """Yield routes with the host and prefix of an earlier one."""
    first: dict[tuple[str, str], Route] = {}
    for index, route in enumerate(draft.routes):
        key = (route.host.lower(), route.path_prefix)
        earlier = first.setdefault(key, route)
        if earlier is not route:
            yield Finding(
                'hidden_route',
                ('routes', index, 'path_prefix'),
                repr(route.host + route.path_prefix),
                f'another one than that of route {earlier.name!r}, '
                'which gets all its requests',
            )


@config_checks.register('unmatched_route')
def find_unmatched_routes(draft: ConfigDraft) -> Iterator[Finding]:
    """Yield routes whose host or prefix no request can have."""
    for index, route in enumerate(draft.routes):
        if not route.path_prefix.startswith('/'):
            yield Finding(
                'unmatched_route',
                ('routes', index, 'path_prefix'),
                repr(route.path_prefix),
                'a path that begins with a slash',
            )
        if not route.host or any(sign in route.host for sign in ' /'):
            yield Finding(
                'unmatched_route',
                ('routes', index, 'host'),
                repr(route.host),
                'a host name',
            )


@config_checks.register('split')
def find_bad_splits(draft: ConfigDraft) -> Iterator[Finding]:
    """Yield splits without weight, and to services that are not declared.

    A configuration may declare no service at all.
    """
    declared = {service.name for service in draft.services}
    for index, route in enumerate(draft.routes):
        for number, split in enumerate(route.splits):
            place = ('routes', index, 'splits', number)
            if not split.weight > 0:
                yield Finding(
                    'split',
                    (*place, 'weight'),
                    f'{split.weight:g}',
                    'a weight above 0; this service gets no request',
                )
            if not split.target or declared and split.target not in declared:
                yield Finding(
                    'split',
                    (*place, 'target'),
                    repr(split.target),
                    'a declared service',
                )


@config_checks.register('key')
def find_bad_keys(draft: ConfigDraft) -> Iterator[Finding]:
    """Yield accounts without a key, and keys that are used twice."""
    owners: dict[str, str] = {}
    for index, entry in enumerate(draft.accounts or ()):
        place = ('accounts', index, 'keys')
        if not entry.keys:
            yield Finding(
                'key', place, 'none', 'a key; no caller can be this account'
            )
        for number, key in enumerate(entry.keys):
            owner = owners.setdefault(key, f'{entry.account.name}[{number}]')
            if owner != f'{entry.account.name}[{number}]':
                yield Finding(
                    'key',
                    (*place, number),
                    f'the key of {owner}',
                    'a key that no other entry has',
                )


@config_checks.register('route_time')
def find_bad_times(draft: ConfigDraft) -> Iterator[Finding]:
    """Yield time limits that are not positive, or below an objective."""
    for index, route in enumerate(draft.routes):
        place = ('routes', index)
        times = {
            'timeout_s': route.timeout_s,
            'objective_s': route.objective_s,
            'gap_s': route.gap_s,
        }
        for name, time_s in times.items():
            if not time_s > 0:
                yield Finding(
                    'route_time', (*place, name), f'{time_s:g} s', 'above 0 s'
                )
        if 0 < route.timeout_s < route.objective_s:
            yield Finding(
                'route_time',
                (*place, 'objective_s'),
                f'{route.objective_s:g} s',
                f'at most the time limit of {route.timeout_s:g} s',
            )
        if route.attempts_max < 1:
            yield Finding(
                'route_time',
                (*place, 'attempts_max'),
                str(route.attempts_max),
                'at least 1',
            )


@config_checks.register('account_limit')
def find_bad_limits(draft: ConfigDraft) -> Iterator[Finding]:
    """Yield accounts whose limit admits no request of the usual cost."""
    for index, entry in enumerate(draft.accounts or ()):
        account = entry.account
        if account.rate_per_s < 0:
            yield Finding(
                'account_limit',
                ('accounts', index, 'rate_per_s'),
                f'{account.rate_per_s:g}',
                'at least 0; 0 means no limit',
            )
        cost = max(1.0, request_cost(account, None))
        if is_limited(account) and account.burst < cost:
            yield Finding(
                'account_limit',
                ('accounts', index, 'burst'),
                f'{account.burst:g}',
                f'at least {cost:g}, what a request may cost',
            )


@config_checks.register('caller_limit')
def find_bad_caller_limits(draft: ConfigDraft) -> Iterator[Finding]:
    """Yield limits on requests that sound requests exceed."""
    limits = draft.limits
    if limits is None:
        return
    needed = HEADER_MIN_BYTES + _longest_key(draft)
    if limits.header_max_bytes < needed:
        yield Finding(
            'caller_limit',
            ('limits', 'header_max_bytes'),
            str(limits.header_max_bytes),
            f'at least {needed}, for a head with the longest key',
        )
    for name in ('header_timeout_s', 'idle_timeout_s'):
        time_s = getattr(limits, name)
        if not time_s > 0:
            yield Finding(
                'caller_limit', ('limits', name), f'{time_s:g} s', 'above 0 s'
            )
    if limits.body_max_bytes < 0:
        yield Finding(
            'caller_limit',
            ('limits', 'body_max_bytes'),
            str(limits.body_max_bytes),
            'at least 0',
        )


def _longest_key(draft: ConfigDraft) -> int:
    return max(
        (
            len(key.encode())
            for entry in draft.accounts or ()
            for key in entry.keys
        ),
        default=0,
    )

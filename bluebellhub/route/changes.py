"""What differs by meaning between two configurations, and whom it affects.

The order of entries, the case of hosts and the scale of weights have no
meaning.  Keys of callers are counted, never shown.
"""

from collections.abc import Callable, Iterator, Mapping
from typing import Any, Final, Literal, NamedTuple

from bluebellhub.registry import Registry, make_registry
from bluebellhub.route.checks import ConfigDraft, DraftAccount
from bluebellhub.route.route import Route
from bluebellhub.route.table import CallerLimits, Service

__all__ = ['Change', 'ChangeKind', 'change_kinds', 'find_changes']

ChangeKind = Literal['added', 'removed', 'changed']

ALL_CALLERS: Final = 'all callers'


class Change(NamedTuple):
    """A difference from the version in force; ``affected`` tells to whom."""

    kind: ChangeKind
    subject: str
    name: str
    details: str
    affected: str


ChangeFinder = Callable[[ConfigDraft, ConfigDraft], Iterator[Change]]

change_kinds: Registry[ChangeFinder] = make_registry('kind of change')


def find_changes(before: ConfigDraft, after: ConfigDraft) -> list[Change]:
    """Return all differences, by the kinds in order of registration."""
    return [
        change
        for find in change_kinds.entries.values()
        for change in find(before, after)
    ]


@change_kinds.register('route')
def find_route_changes(
    before: ConfigDraft, after: ConfigDraft
) -> Iterator[Change]:
    """Yield changes of routes, told apart by host and prefix."""
    old, new = _routes_by_prefix(before), _routes_by_prefix(after)
    for name, kind, details in _compare(old, new):
        yield Change(kind, 'route', name, details, f'callers of {name}')


def _routes_by_prefix(draft: ConfigDraft) -> dict[str, dict[str, Any]]:
    """Return the fields of the routes; the first of equal ones counts."""
    found: dict[str, dict[str, Any]] = {}
    for route in draft.routes:
        prefix = route.host.lower() + route.path_prefix
        found.setdefault(prefix, _route_fields(route))
    return found


def _route_fields(route: Route) -> dict[str, Any]:
    fields = route._asdict()
    for name in ('host', 'path_prefix', 'splits'):
        fields.pop(name)
    weights: dict[str, float] = {}
    for split in route.splits:
        if split.weight > 0:
            weights[split.target] = (
                weights.get(split.target, 0.0) + split.weight
            )
    total = sum(weights.values())
    for target, weight in weights.items():
        fields[f'share of {target}'] = round(weight / total, 6)
    return fields


@change_kinds.register('service')
def find_service_changes(
    before: ConfigDraft, after: ConfigDraft
) -> Iterator[Change]:
    """Yield changes of services; they affect the routes that use them."""
    old = {entry.name: _service_fields(entry) for entry in before.services}
    new = {entry.name: _service_fields(entry) for entry in after.services}
    for name, kind, details in _compare(old, new):
        routes = sorted(
            {
                route.name
                for route in before.routes + after.routes
                for split in route.splits
                if split.target == name and split.weight > 0
            }
        )
        affected = ', '.join(routes)
        yield Change(
            kind,
            'service',
            name,
            details,
            f'callers of routes {affected}' if routes else 'nobody',
        )


def _service_fields(service: Service) -> dict[str, Any]:
    return {**service._asdict(), 'name': ''}


@change_kinds.register('account')
def find_account_changes(
    before: ConfigDraft, after: ConfigDraft
) -> Iterator[Change]:
    """Yield changes of client accounts, and whether callers need a key."""
    if (before.accounts is None) != (after.accounts is None):
        needs_key = after.accounts is not None
        details = 'a key is needed' if needs_key else 'no key is needed'
        yield Change('changed', 'accounts', 'all', details, ALL_CALLERS)
    old, new = _accounts_by_name(before), _accounts_by_name(after)
    differences = _compare(
        {name: _account_fields(entry, None) for name, entry in old.items()},
        {
            name: _account_fields(entry, old.get(name))
            for name, entry in new.items()
        },
    )
    for name, kind, details in differences:
        yield Change(kind, 'account', name, details, f'account {name}')


def _accounts_by_name(draft: ConfigDraft) -> dict[str, DraftAccount]:
    return {entry.account.name: entry for entry in draft.accounts or ()}


def _account_fields(
    entry: DraftAccount, before: DraftAccount | None
) -> dict[str, Any]:
    """Return the fields of an account, and how its keys have changed."""
    keys = set(entry.keys)
    known = keys if before is None else set(before.keys)
    more, gone = len(keys - known), len(known - keys)
    changed = f'{more} added, {gone} removed' if more or gone else 'as before'
    return {**entry.account._asdict(), 'keys': changed}


@change_kinds.register('limits')
def find_limit_changes(
    before: ConfigDraft, after: ConfigDraft
) -> Iterator[Change]:
    """Yield changes of the limits on callers' requests."""
    old = {'limits': (before.limits or CallerLimits())._asdict()}
    new = {'limits': (after.limits or CallerLimits())._asdict()}
    for name, kind, details in _compare(old, new):
        yield Change(kind, name, 'all', details, ALL_CALLERS)


def _compare(
    before: Mapping[str, Mapping[str, Any]],
    after: Mapping[str, Mapping[str, Any]],
) -> Iterator[tuple[str, ChangeKind, str]]:
    """Yield the name, kind and details of each difference, by name."""
    for name in sorted(before.keys() | after.keys()):
        if name not in before:
            yield name, 'added', ''
        elif name not in after:
            yield name, 'removed', ''
        elif before[name] != after[name]:
            yield name, 'changed', _describe(before[name], after[name])


def _describe(before: Mapping[str, Any], after: Mapping[str, Any]) -> str:
    """Return the fields that differ, with both values.

    >>> _describe({'rank': 1, 'gap_s': 2}, {'rank': 3, 'gap_s': 2})
    'rank: 1 -> 3'
    """
    names = [*before, *(name for name in after if name not in before)]
    return ', '.join(
        f'{name}: {before.get(name)} -> {after.get(name)}'
        for name in names
        if before.get(name) != after.get(name)
    )

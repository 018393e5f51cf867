"""Reads a configuration that operators are about to write to the store."""

import re
from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Any, Final, NamedTuple, get_args

import msgspec

from bluebellhub.errors import ObjectError
from bluebellhub.platform.object_codec import (
    read_account,
    read_limits,
    read_route,
    read_service,
    read_splits,
)
from bluebellhub.platform.wire import (
    WireAccount,
    WireLimits,
    WireRoute,
    WireService,
)
from bluebellhub.route import Route, Service
from bluebellhub.route.checks import ConfigDraft, DraftAccount, Finding, Place

__all__ = ['DraftResult', 'read_draft', 'wire_place']

WIRE_NAMES: Final[Mapping[str, str]] = MappingProxyType(
    {
        'accounts': 'tenants',
        'attempts_max': 'maxAttempts',
        'body_max_bytes': 'maxBodyBytes',
        'gap_s': 'targetGapMs',
        'header_max_bytes': 'maxHeaderBytes',
        'header_timeout_s': 'headerTimeoutMs',
        'idle_timeout_s': 'idleTimeoutMs',
        'keys': 'apiKeys',
        'objective_s': 'targetLatencyMs',
        'path_prefix': 'pathPrefix',
        'rate_per_s': 'ratePerS',
        'splits': 'trafficSplit',
        'target': 'service',
        'timeout_s': 'timeoutMs',
    }
)
ENUM_PREFIX: Final = 'Invalid enum value '
ROUTE_KINDS: Final = ', '.join(get_args(WireRoute.__annotations__['kind']))
SPLITS: Final = 'trafficSplit'
SPLIT_POSITION: Final = 2
MIN_ENTRY_PARTS: Final = 3
PART: Final = re.compile(r'\w+')
MISSING: Final = re.compile('missing required field `([^`]*)`')


class DraftResult(NamedTuple):
    """The entries that can be read, and findings on the others.

    ``positions`` holds, by the name of a list, the positions in the document
    of the entries that were read.  Places have the names of the document.
    """

    draft: ConfigDraft
    findings: list[Finding]
    positions: dict[str, list[int]]


def read_draft(document: Any) -> DraftResult:
    """Read a configuration entry by entry, so that each error is found."""
    result = DraftResult(ConfigDraft(0, ()), [], {})
    if not isinstance(document, Mapping):
        got = type(document).__name__
        result.findings.append(Finding('form', (), got, 'a mapping'))
        return result
    for name in ('version', 'routes'):
        if name not in document:
            result.findings.append(
                Finding('form', (name,), 'nothing', 'a value')
            )
    return result._replace(draft=_read_fields(document, result))


def _read_fields(
    document: Mapping[str, Any], result: DraftResult
) -> ConfigDraft:
    """Read the fields of a document; adds what is wrong to the result."""
    limits = document.get('limits') or None
    if limits is not None:
        limits = _convert(limits, WireLimits, ('limits',), result)
    accounts = None
    if document.get('tenants') is not None:
        accounts = _read_list(
            document, 'tenants', WireAccount, _read_account, result
        )
    return ConfigDraft(
        _convert(document.get('version', 0), int, ('version',), result) or 0,
        _read_list(document, 'routes', WireRoute, _read_route, result),
        _read_services(document, result),
        accounts,
        read_limits(limits) if limits else None,
    )


def _read_services(
    document: Mapping[str, Any], result: DraftResult
) -> tuple[Service, ...]:
    """Read the services; adds bounds of replicas that are not valid."""
    problems: list[ObjectError] = []
    services = _read_list(
        document,
        'services',
        WireService,
        lambda wire: read_service(wire, problems),
        result,
    )
    result.findings.extend(
        Finding('form', ('services',), str(problem), 'bounds of replicas')
        for problem in problems
    )
    return services


def _read_route(wire: WireRoute) -> Route:
    return read_route(wire)._replace(splits=read_splits(wire))


def _read_account(wire: WireAccount) -> DraftAccount:
    return DraftAccount(read_account(wire), tuple(wire['apiKeys']))


def _read_list(
    document: Mapping[str, Any],
    name: str,
    kind: Any,
    read: Callable[[Any], Any],
    result: DraftResult,
) -> tuple[Any, ...]:
    """Read the entries of a list, except those that are malformed."""
    entries = document.get(name, [])
    if not isinstance(entries, list):
        got = type(entries).__name__
        result.findings.append(Finding('form', (name,), got, 'a list'))
        return ()
    wires = {
        index: wire
        for index, entry in enumerate(entries)
        if (wire := _convert(entry, kind, (name, index), result)) is not None
    }
    result.positions[name] = list(wires)
    return tuple(read(wire) for wire in wires.values())


def _convert(value: Any, kind: Any, place: Place, result: DraftResult) -> Any:
    """Return a value of a kind, or ``None`` and add a finding."""
    try:
        return msgspec.convert(value, kind)
    except msgspec.ValidationError as error:
        finding = _form_finding(str(error), place)
        if finding.place[-1:] == ('kind',):
            finding = finding._replace(expected=f'one of: {ROUTE_KINDS}')
        result.findings.append(finding)
        return None


def _form_finding(message: str, place: Place) -> Finding:
    """Return a finding from the message of a validation error.

    >>> _form_finding('Expected `str`, got `int` - at `$.host`', ('a', 0))
    Finding(check='form', place=('a', 0, 'host'), got='int', expected='str')
    """
    text, _, path = message.partition(' - at `$')
    inner = tuple(
        int(part) if part.isdigit() else part for part in PART.findall(path)
    )
    missing = MISSING.search(text)
    if missing is not None:
        return Finding(
            'form', (*place, *inner, missing[1]), 'nothing', 'a value'
        )
    if text.startswith(ENUM_PREFIX):
        got = text.removeprefix(ENUM_PREFIX)
        return Finding('form', (*place, *inner), got, 'a known value')
    expected, _, got = text.removeprefix('Expected ').partition(', got ')
    return Finding(
        'form',
        (*place, *inner),
        got.replace('`', '') or 'an invalid value',
        expected.replace('`', ''),
    )


def wire_place(result: DraftResult, document: Any, place: Place) -> Place:
    """Return the place in the document of a place in the draft.

    >>> result = DraftResult(ConfigDraft(1, ()), [], {'routes': [4]})
    >>> wire_place(result, {}, ('routes', 0, 'objective_s'))
    ('routes', 4, 'targetLatencyMs')
    """
    names: list[str | int] = [
        WIRE_NAMES.get(part, part) if isinstance(part, str) else part
        for part in place
    ]
    if len(names) < MIN_ENTRY_PARTS:
        return tuple(names)
    index = result.positions[str(names[0])][int(names[1])]
    names[1] = index
    if len(names) > SPLIT_POSITION and names[SPLIT_POSITION] == SPLITS:
        if not document['routes'][index].get(SPLITS):
            return 'routes', index, 'service'
    return tuple(names)

"""Decodes the store's objects into bluebellhub's types, and encodes them."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Any, Final

import msgspec

from bluebellhub.configuration.addresses import check_address
from bluebellhub.errors import ObjectError, SettingsError
from bluebellhub.platform.scaling_codec import read_scaling
from bluebellhub.platform.store import StoredEntry
from bluebellhub.platform.wire import (
    WireAccount,
    WireConfig,
    WireLimits,
    WireMove,
    WireMoveStatus,
    WireRegistration,
    WireRoute,
    WireService,
    WireVm,
)
from bluebellhub.registration import Registration
from bluebellhub.route import (
    Account,
    CallerLimits,
    Route,
    RoutingTable,
    Service,
    Split,
    make_table,
)
from bluebellhub.site.vm_location import VmLocation, unannounced_version
from bluebellhub.version_move import MoveCommand, MoveState

__all__ = [
    'CONFIG_KIND',
    'CONFIG_NAME',
    'EVACUATION_KIND',
    'MOVE_KIND',
    'UPSTREAM_KIND',
    'VM_KIND',
    'move_status',
    'read_account',
    'read_limits',
    'read_move',
    'read_registration',
    'read_route',
    'read_service',
    'read_splits',
    'read_table',
    'read_vm',
    'vm_spec',
]

CONFIG_KIND: Final = 'config'
CONFIG_NAME: Final = 'main'
UPSTREAM_KIND: Final = 'servers'
EVACUATION_KIND: Final = 'evacuations'
MOVE_KIND: Final = 'rollouts'
# A kind that bluebellhub defines: where VMs listen for each other.
VM_KIND: Final = 'hub-vms'
MS_PER_S: Final = 1000.0
MOVE_STATES: Final[Mapping[MoveState, str]] = MappingProxyType(
    {
        'running': 'running',
        'done': 'succeeded',
        'taken_back': 'rolled_back',
    }
)


def read_table(spec: Any) -> RoutingTable:
    """Decode a configuration; raises `ObjectError` if it is not valid.

    Bounds of replicas that are not valid are a problem of the table, and their
    service is not scaled.
    """
    try:
        wire = msgspec.convert(spec, WireConfig)
    except msgspec.ValidationError as error:
        raise ObjectError(CONFIG_KIND, CONFIG_NAME, str(error)) from None
    accounts = wire.get('tenants')
    limits = wire.get('limits')
    problems: list[ObjectError] = []
    table = make_table(
        wire['version'],
        [read_route(route) for route in wire['routes']],
        [
            read_service(service, problems)
            for service in wire.get('services', [])
        ],
        None if accounts is None else _read_accounts(accounts),
        read_limits(limits) if limits else None,
    )
    return table._replace(problems=tuple(problems))


def read_splits(wire: WireRoute) -> tuple[Split, ...]:
    """Decode the splits of a route, also those without weight."""
    splits = wire.get('trafficSplit') or [
        {'service': wire.get('service', ''), 'weight': 1.0}
    ]
    return tuple(Split(split['service'], split['weight']) for split in splits)


def read_route(wire: WireRoute) -> Route:
    """Decode a route."""
    timeout_ms = wire['timeoutMs']
    kind = wire['kind']
    return Route(
        name=wire['name'],
        host=wire['host'],
        path_prefix=wire['pathPrefix'],
        splits=tuple(split for split in read_splits(wire) if split.weight > 0),
        repeat='idempotent' if kind == 'idempotent' else 'once',
        is_stream=kind == 'streaming',
        is_resumable=wire.get('resumable', False),
        is_public=wire.get('public', False),
        timeout_s=timeout_ms / MS_PER_S,
        objective_s=wire.get('targetLatencyMs', timeout_ms) / MS_PER_S,
        gap_s=wire.get('targetGapMs', MS_PER_S) / MS_PER_S,
        rank=wire.get('priority', 0),
        attempts_max=wire.get('maxAttempts', 1),
    )


def read_service(wire: WireService, problems: list[ObjectError]) -> Service:
    """Decode a service; adds bounds that are not valid to ``problems``."""
    engine = wire.get('engine')
    scaling = None
    if wire.get('scaling') is not None:
        try:
            scaling = read_scaling(
                CONFIG_KIND, CONFIG_NAME, wire['name'], wire['scaling']
            )
        except ObjectError as error:
            problems.append(error)
    return Service(
        wire['name'],
        wire.get('healthPath', '/health'),
        wire.get('coldPerS', 0.0),
        wire.get('coldStartS', 0.0),
        engine.get('stride', 1) if engine else 0,
        scaling,
    )


def read_limits(wire: WireLimits) -> CallerLimits:
    """Decode the limits on callers' requests."""
    return CallerLimits(
        wire['maxHeaderBytes'],
        wire['maxBodyBytes'],
        wire['headerTimeoutMs'] / MS_PER_S,
        wire['idleTimeoutMs'] / MS_PER_S,
    )


def _read_accounts(wire_accounts: list[WireAccount]) -> dict[str, Account]:
    by_key = {}
    for wire in wire_accounts:
        by_key.update(dict.fromkeys(wire['apiKeys'], read_account(wire)))
    return by_key


def read_account(wire: WireAccount) -> Account:
    """Decode a client account."""
    return Account(
        wire['name'],
        wire.get('ratePerS', 0.0),
        wire.get('burst', 0.0),
        wire.get('unit') == 'tokens',
        wire.get('uncachedTokens', 0),
        wire.get('priority'),
    )


def read_registration(entry: StoredEntry) -> Registration:
    """Decode an upstream's registration.

    Raises `ObjectError` if it is not valid or has no slots.
    """
    try:
        wire = msgspec.convert(entry.spec, WireRegistration)
        check_address(wire['address'], 'address')
    except (msgspec.ValidationError, SettingsError) as error:
        raise ObjectError(UPSTREAM_KIND, entry.name, str(error)) from None
    if wire['slots'] < 1:
        raise ObjectError(
            UPSTREAM_KIND, entry.name, 'slots: expected at least 1'
        )
    return Registration(
        entry.name,
        wire['service'],
        wire['address'],
        wire['zone'],
        wire.get('version', ''),
        wire['slots'],
        wire['state'],
        wire.get('coldRemainingMs', 0.0) / MS_PER_S,
        wire.get('born', 0),
    )


def read_move(entry: StoredEntry) -> MoveCommand:
    """Decode the command for a version move; raises `ObjectError`.

    A status with another target version is left over from an earlier move
    and is ignored.
    """
    try:
        wire = msgspec.convert(entry.spec, WireMove)
        status = msgspec.convert(entry.status, WireMoveStatus | None)
    except msgspec.ValidationError as error:
        raise ObjectError(MOVE_KIND, entry.name, str(error)) from None
    state = None
    if status is not None and status['target'] == wire['target']:
        state = _state_of(status['state'])
    return MoveCommand(
        wire['service'],
        wire['target'],
        wire['durationS'],
        state,
        entry.revision,
    )


def _state_of(stored_name: str) -> MoveState | None:
    """Return the state that has this name in the store."""
    for state, name in MOVE_STATES.items():
        if name == stored_name:
            return state
    return None


def move_status(state: MoveState, to_version: str) -> WireMoveStatus:
    """Encode the status of a version move."""
    return msgspec.convert(
        {'state': MOVE_STATES[state], 'target': to_version}, WireMoveStatus
    )


def vm_spec(location: VmLocation) -> WireVm:
    """Encode the addresses and the failure domain of a VM."""
    return {
        'address': location.address,
        'failure_domain': location.domain,
        'forward_address': location.forward_address,
        'message_version': location.message_version,
    }


def read_vm(entry: StoredEntry) -> VmLocation:
    """Decode the addresses and the failure domain of a VM.

    Raises `ObjectError` if the entry is not valid.
    """
    try:
        wire = msgspec.convert(entry.spec, WireVm)
        check_address(wire['address'], 'address')
        forward_address = wire.get('forward_address', '')
        if forward_address:
            check_address(forward_address, 'forward_address')
    except (msgspec.ValidationError, SettingsError) as error:
        raise ObjectError(VM_KIND, entry.name, str(error)) from None
    return VmLocation(
        wire['address'],
        wire.get('failure_domain', ''),
        forward_address,
        wire.get('message_version', unannounced_version(forward_address)),
    )

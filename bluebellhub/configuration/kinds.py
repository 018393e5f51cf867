"""Registry of the kinds of configuration objects and their validators.

A validator gets the object's name and fields and returns a typed record.  It
raises `SettingsError` or `ObjectError` if a field is invalid.
"""

from collections.abc import Callable
from typing import Any

from bluebellhub.configuration.addresses import check_address
from bluebellhub.contract import Contract, find_tier
from bluebellhub.errors import ObjectError, UnknownEntryError
from bluebellhub.failure_domain import FailureDomain
from bluebellhub.records import read_record
from bluebellhub.registry import Registry, make_registry
from bluebellhub.upstream import UpstreamSpec
from bluebellhub.version_move import MoveStatus, VersionMove

__all__ = ['check_object', 'object_kinds']

Validator = Callable[[str, dict[str, Any]], Any]

object_kinds: Registry[Validator] = make_registry('object kind')


def check_object(kind: str, name: str, fields: dict[str, Any]) -> Any:
    """Validate an object's fields; returns its record."""
    return object_kinds.find(kind)(name, fields)


@object_kinds.register('contract')
def check_contract(name: str, fields: dict[str, Any]) -> Contract:
    """Validate a contract: its tiers exist and its name has no dot."""
    contract = read_record(Contract, {**fields, 'account': name}, 'contract')
    if '.' in name:
        raise ObjectError(
            'contract', name, 'got a dot in the name, expected none'
        )
    for tier in contract.tiers:
        try:
            find_tier(tier)
        except UnknownEntryError as error:
            raise ObjectError('contract', name, str(error)) from None
    return contract


@object_kinds.register('upstream')
def check_upstream(name: str, fields: dict[str, Any]) -> UpstreamSpec:
    """Validate an upstream: its address, and the size of its cold window."""
    spec = read_record(UpstreamSpec, {**fields, 'name': name}, 'upstream')
    check_address(spec.address, 'upstream.address')
    if spec.cold_window > spec.window:
        reason = (
            f'got cold_window {spec.cold_window}, '
            f'expected at most window {spec.window}'
        )
        raise ObjectError('upstream', name, reason)
    return spec


@object_kinds.register('failure_domain')
def check_domain(name: str, fields: dict[str, Any]) -> FailureDomain:
    """Validate a failure domain: its state is in or out."""
    return read_record(
        FailureDomain, {**fields, 'name': name}, 'failure_domain'
    )


@object_kinds.register('version_move')
def check_move(name: str, fields: dict[str, Any]) -> VersionMove:
    """Validate a version move: its two versions differ."""
    move = read_record(VersionMove, {**fields, 'model': name}, 'version_move')
    if move.from_version == move.to_version:
        reason = f'got {move.to_version!r} for both versions'
        raise ObjectError('version_move', name, reason)
    return move


@object_kinds.register('move_status')
def check_status(name: str, fields: dict[str, Any]) -> MoveStatus:
    """Validate the status of a move, which its leader writes."""
    return read_record(MoveStatus, {**fields, 'model': name}, 'move_status')

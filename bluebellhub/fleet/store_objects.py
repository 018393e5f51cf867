"""Handlers of objects from the platform's store, and of its VM list."""

from collections.abc import Callable
from typing import Final

from bluebellhub.configuration import StoredObject, apply_object
from bluebellhub.errors import StoreError
from bluebellhub.fleet.handlers import apply_shard_map
from bluebellhub.fleet.state import Fleet
from bluebellhub.fleet.version_moves import apply_object_change
from bluebellhub.membership import (
    ShardMap,
    record_store_confirmation,
    set_listed_vms,
)
from bluebellhub.registry import Registry, make_registry

__all__ = [
    'MAP_KIND',
    'MAP_NAME',
    'apply_stored_object',
    'read_map',
    'store_handlers',
]

MAP_KIND: Final = 'shard_map'
MAP_NAME: Final = 'fleet'

StoreHandler = Callable[[Fleet, StoredObject, float, float], None]

store_handlers: Registry[StoreHandler] = make_registry('store object handler')


def apply_stored_object(
    fleet: Fleet, stored: StoredObject, requested_at_s: float, now_s: float
) -> None:
    """Apply an object of the store that was requested at ``requested_at_s``.

    Objects of a kind without a handler are ignored.
    """
    handler = store_handlers.entries.get(stored.kind)
    if handler is not None:
        handler(fleet, stored, requested_at_s, now_s)


def read_map(stored: StoredObject) -> ShardMap:
    """Return the shard map decoded from its object in the store.

    Raises `StoreError` if a field is missing or invalid.
    """
    if stored.spec is None:
        return ShardMap(0, ())
    try:
        return ShardMap(
            stored.version,
            tuple(stored.spec['members']),
            tuple(stored.spec['former']),
        )
    except (KeyError, TypeError) as error:
        raise StoreError(
            f'shard map: missing or invalid field: {error}'
        ) from None


@store_handlers.register(MAP_KIND)
def apply_stored_map(
    fleet: Fleet, stored: StoredObject, requested_at_s: float, now_s: float
) -> None:
    """Adopt the shard map; records when the store has confirmed it.

    The time of the confirmation is ``requested_at_s``, when the call began.
    """
    shard_map = read_map(stored)
    apply_shard_map(fleet, fleet.identity.name, shard_map, now_s)
    if fleet.members.state['shard_map'].version == shard_map.version:
        record_store_confirmation(fleet.members, requested_at_s)


@store_handlers.register('move_status')
def apply_stored_status(
    fleet: Fleet, stored: StoredObject, requested_at_s: float, now_s: float
) -> None:
    """Apply the status of a version move to the configuration."""
    change = apply_object(fleet.configuration, stored)
    if change is not None:
        apply_object_change(fleet, change, now_s)


@store_handlers.register('change_status')
def apply_stored_change_status(
    fleet: Fleet, stored: StoredObject, requested_at_s: float, now_s: float
) -> None:
    """Record the version of a change status and the version it reports."""
    fleet.status_versions[stored.kind, stored.name] = stored.version
    if stored.spec is not None:
        kind, _, name = stored.name.partition('.')
        fleet.reported_versions[kind, name] = int(stored.spec['version'])


def apply_vm_list(fleet: Fleet, names: set[str]) -> None:
    """Apply the platform's VM list, which may be out of date."""
    set_listed_vms(fleet.members, names)

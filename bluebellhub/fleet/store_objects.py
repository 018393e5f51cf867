"""What the fleet learns from the platform's store and VM list."""

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
    'store_takers',
]

MAP_KIND: Final = 'shard_map'
MAP_NAME: Final = 'fleet'

Taker = Callable[[Fleet, StoredObject, float, float], None]

store_takers: Registry[Taker] = make_registry('store object taker')


def apply_stored_object(
    fleet: Fleet, stored: StoredObject, asked_at_s: float, now_s: float
) -> None:
    """Take an object as the store holds it, asked for at ``asked_at_s``."""
    taker = store_takers.entries.get(stored.kind)
    if taker is not None:
        taker(fleet, stored, asked_at_s, now_s)


def read_map(stored: StoredObject) -> ShardMap:
    """Read the shard map's object; raises `StoreError`."""
    if stored.spec is None:
        return ShardMap(0, ())
    try:
        return ShardMap(
            stored.version,
            tuple(stored.spec['members']),
            tuple(stored.spec['former']),
        )
    except (KeyError, TypeError) as error:
        raise StoreError(f'shard map: missing {error}') from None


@store_takers.register(MAP_KIND)
def take_stored_map(
    fleet: Fleet, stored: StoredObject, asked_at_s: float, now_s: float
) -> None:
    """Adopt the map; the store has confirmed it at ``asked_at_s``."""
    shard_map = read_map(stored)
    apply_shard_map(fleet, fleet.identity.name, shard_map, now_s)
    if fleet.members.state['shard_map'].version == shard_map.version:
        record_store_confirmation(fleet.members, asked_at_s)


@store_takers.register('move_status')
def take_stored_status(
    fleet: Fleet, stored: StoredObject, asked_at_s: float, now_s: float
) -> None:
    """Take a move's status into the configuration."""
    change = apply_object(fleet.configuration, stored)
    if change is not None:
        apply_object_change(fleet, change, now_s)


@store_takers.register('change_status')
def take_stored_change(
    fleet: Fleet, stored: StoredObject, asked_at_s: float, now_s: float
) -> None:
    """Remember the version of a change's status."""
    fleet.stored[stored.kind, stored.name] = stored.version
    if stored.spec is not None:
        kind, _, name = stored.name.partition('.')
        fleet.statuses[kind, name] = int(stored.spec['version'])


def apply_vm_list(fleet: Fleet, names: set[str]) -> None:
    """Take the platform's VM list, which may lag."""
    set_listed_vms(fleet.members, names)

"""Publishes in the store where and how this VM is reached by other VMs."""

from typing import Final

import logbook
import trio

from bluebellhub.adapters.proxy.object_handlers import Watcher
from bluebellhub.errors import ConflictError, ObjectError, StoreError
from bluebellhub.faults import isolate_fault
from bluebellhub.peer_messages import MESSAGE_VERSION
from bluebellhub.platform.object_codec import VM_KIND, read_vm, vm_spec
from bluebellhub.platform.store import (
    create_entry,
    list_objects,
    replace_entry,
)
from bluebellhub.platform.store_calls import Store
from bluebellhub.platform.wire import WireVm
from bluebellhub.settings import Settings
from bluebellhub.site.vm_location import VmLocation

__all__ = ['announce_vm', 'keep_announcing']

CHECK_INTERVAL_S: Final = 0.5

log = logbook.Logger('bluebellhub.announcing')


async def keep_announcing(
    watcher: Watcher, settings: Settings, *, announced: bool
) -> None:
    """Write this VM's address to the store whenever it is not there.

    A store that was restored from a copy may not have it any more.
    ``announced`` tells whether it was written before the VMs were listed.
    """
    while True:
        found = watcher.objects.get(VM_KIND)
        is_missing = (
            not announced if found is None else settings.vm not in found
        )
        with isolate_fault('announcement'):
            if is_missing:
                announced = await announce_vm(watcher.store, settings)
        await trio.sleep(CHECK_INTERVAL_S)


async def announce_vm(store: Store, settings: Settings) -> bool:
    """Write this VM's address to the store; return whether it succeeded.

    A VM that starts again finds its address there.
    """
    location = VmLocation(
        settings.peer_listen or '',
        settings.failure_domain,
        settings.site.forward_listen,
        MESSAGE_VERSION,
    )
    try:
        if not await _is_announced(store, settings.vm, location):
            await _write_vm(store, settings.vm, vm_spec(location))
    except StoreError as error:
        log.info(
            'VM address not written to the store', extra={'cause': str(error)}
        )
        return False
    return True


async def _is_announced(store: Store, vm: str, location: VmLocation) -> bool:
    """Return whether the store has this address of the VM."""
    listing = await list_objects(store, VM_KIND, stale_ok=True)
    try:
        return any(
            read_vm(entry) == location
            for entry in listing.entries
            if entry.name == vm
        )
    except ObjectError as error:
        log.warning('VM entry not valid, replaced: {}', error)
        return False


async def _write_vm(store: Store, vm: str, spec: WireVm) -> None:
    try:
        await create_entry(store, VM_KIND, vm, spec)
    except ConflictError:
        await replace_entry(store, VM_KIND, vm, spec)

"""Tells the other VMs, through the store, where this one listens."""

from typing import Final

import logbook
import trio

from bluebellhub.errors import ConflictError, StoreError
from bluebellhub.platform.object_codec import VM_KIND, vm_spec
from bluebellhub.platform.store import Store, create_entry, replace_entry
from bluebellhub.platform.wire import WireVm
from bluebellhub.settings import Settings
from bluebellhub.site.vm_location import VmLocation

__all__ = ['announce_vm', 'keep_announcing']

RETRY_S: Final = 0.5

log = logbook.Logger('bluebellhub.announcing')


async def keep_announcing(store: Store, settings: Settings) -> None:
    """Announce this VM until the store has taken it."""
    while not await announce_vm(store, settings):
        await trio.sleep(RETRY_S)


async def announce_vm(store: Store, settings: Settings) -> bool:
    """Write where this VM listens for the others; tells whether it lasts."""
    place = VmLocation(settings.peer_listen or '', settings.failure_domain)
    spec = vm_spec(place)
    try:
        await _write_vm(store, settings.vm, spec)
    except StoreError as error:
        log.info('VM not announced', extra={'cause': str(error)})
        return False
    return True


async def _write_vm(store: Store, vm: str, spec: WireVm) -> None:
    try:
        await create_entry(store, VM_KIND, vm, spec)
    except ConflictError:
        await replace_entry(store, VM_KIND, vm, spec)

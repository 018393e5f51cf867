"""Keeps the quarantine in the store, for VMs that start when no other runs."""

from typing import Final

import logbook
import trio

from bluebellhub.adapters.proxy.object_handlers import Watcher
from bluebellhub.clock import now_epoch_s, now_s
from bluebellhub.errors import ConflictError, StoreError
from bluebellhub.faults import isolate_fault
from bluebellhub.platform.quarantine_object import (
    QUARANTINE_KIND,
    quarantine_name,
    quarantine_spec,
)
from bluebellhub.platform.store import create_entry, delete_entry
from bluebellhub.quarantine import CrashReport
from bluebellhub.site.crash_evidence import lead_quarantine

__all__ = ['run_stored_quarantine']

STORE_INTERVAL_S: Final = 0.5

log = logbook.Logger('bluebellhub.quarantine')


async def run_stored_quarantine(watcher: Watcher) -> None:
    """Write changes of the quarantine while this VM leads, until cancelled.

    The watch of the store tells all VMs, this one included, what was written.
    """
    while True:
        with isolate_fault('quarantine'):
            try:
                await _store_changes(watcher)
            except StoreError as error:
                log.info(
                    'quarantine not written to the store',
                    extra={'cause': str(error)},
                )
        await trio.sleep(STORE_INTERVAL_S)


async def _store_changes(watcher: Watcher) -> None:
    """Write what this VM decides as leader, once the objects are known."""
    stored = watcher.objects.get(QUARANTINE_KIND)
    if stored is None:
        return
    writes = lead_quarantine(
        watcher.proxy.site, stored, quarantine_name, now_s()
    )
    for name, reports in writes.created.items():
        await _create(watcher, name, reports)
    for released in writes.deleted:
        await delete_entry(watcher.store, QUARANTINE_KIND, released)
        log.info('quarantine ended', extra={'object': released})


async def _create(
    watcher: Watcher, name: str, reports: list[CrashReport]
) -> None:
    spec = quarantine_spec(reports, now_epoch_s())
    try:
        await create_entry(watcher.store, QUARANTINE_KIND, name, spec)
    except ConflictError as error:
        log.debug('another VM has stored a quarantine: {}', error)
        return
    log.info('quarantine stored', extra={'object': name, **spec})

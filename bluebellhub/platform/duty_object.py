"""The object of the store that says which VM holds the duties."""

from typing import Final, NamedTuple

import logbook
import msgspec

from bluebellhub.duty.entry import DutyEntry, FoundEntry
from bluebellhub.duty.orders import UsageOrder
from bluebellhub.errors import StoredConflictError, StoreUnavailableError
from bluebellhub.platform.store import (
    StoredEntry,
    list_objects,
    read_stored,
)
from bluebellhub.platform.store_calls import Store, call_store, read_era
from bluebellhub.platform.wire import WireDuty, WireUsage

__all__ = [
    'DUTY_KIND',
    'DUTY_NAME',
    'DutyWritten',
    'duty_spec',
    'read_duty',
    'read_duty_entry',
    'usage_spec',
    'write_duty',
]

DUTY_KIND: Final = 'hub-duties'
DUTY_NAME: Final = 'platform'
# Stands for an object that cannot be read: it names no holder, so that the
# candidate replaces it once it has not changed for as long as a lease lasts.
UNREADABLE: Final = DutyEntry('', 0, 0)

log = logbook.Logger('bluebellhub.duties')


class DutyWritten(NamedTuple):
    """The store's response to a write: the object as it is now.

    With ``is_conflict`` the write was refused; ``found`` is ``None`` then if
    the response does not hold the object.
    """

    is_conflict: bool
    found: FoundEntry | None


def usage_spec(order: UsageOrder) -> WireUsage:
    """Encode a usage report."""
    return {'window': order.window, 'counts': dict(order.counts)}


def duty_spec(entry: DutyEntry) -> WireDuty:
    """Encode the duty object."""
    return {
        'holder': entry.holder,
        'start_id': entry.start_id,
        'token': entry.token,
        'sequence': entry.sequence,
        'released': entry.is_released,
        'reports': [usage_spec(report) for report in entry.reports],
        'unreached': list(entry.unreached),
    }


def read_duty_entry(stored: StoredEntry) -> DutyEntry:
    """Decode the duty object; one that is not valid names no holder."""
    try:
        wire = msgspec.convert(stored.spec, WireDuty)
    except msgspec.ValidationError as error:
        log.warning('duty object not valid: {}', error)
        return UNREADABLE
    return DutyEntry(
        wire['holder'],
        wire['start_id'],
        wire['token'],
        wire['sequence'],
        wire['released'],
        tuple(
            UsageOrder(report['window'], report['counts'])
            for report in wire['reports']
        ),
        tuple(wire.get('unreached', ())),
    )


async def read_duty(store: Store) -> FoundEntry:
    """Read the duty object; raises `StoreUnavailableError`."""
    listing = await list_objects(store, DUTY_KIND)
    era = listing.position.era or 0
    for stored in listing.entries:
        if stored.name == DUTY_NAME:
            return FoundEntry(read_duty_entry(stored), stored.revision, era)
    return FoundEntry(None, 0, era)


async def write_duty(
    store: Store, entry: DutyEntry, revision: int
) -> DutyWritten:
    """Write the duty object if it is still at ``revision``, 0 for none.

    Raises `StoreUnavailableError`; the write may take effect then, also later.
    """
    metadata = {'name': DUTY_NAME, 'revision': revision}
    method, path = 'PUT', f'{DUTY_KIND}/{DUTY_NAME}'
    if not revision:
        metadata = {'name': DUTY_NAME}
        method, path = 'POST', DUTY_KIND
    body = {'metadata': metadata, 'spec': duty_spec(entry)}
    try:
        response = await call_store(store, method, path, body=body)
    except StoredConflictError as error:
        return DutyWritten(True, _read_found(error.content, error.era))
    stored = read_stored(response.content, DUTY_KIND)
    found = FoundEntry(entry, stored.revision, read_era(response) or 0)
    return DutyWritten(False, found)


def _read_found(content: bytes, era: int | None) -> FoundEntry | None:
    """Return the object that a conflict found, if the response holds it."""
    try:
        stored = read_stored(content, DUTY_KIND)
    except StoreUnavailableError:
        return None
    return FoundEntry(read_duty_entry(stored), stored.revision, era or 0)

"""Watches the platform's store."""

from math import inf
from types import MappingProxyType
from typing import Final

import logbook
import trio

from bluebellhub.adapters.proxy.object_handlers import (
    Watcher,
    object_handlers,
)
from bluebellhub.clock import now_s
from bluebellhub.errors import StoreError
from bluebellhub.faults import isolate_fault, report_fault
from bluebellhub.platform.object_codec import (
    CONFIG_KIND,
    EVACUATION_KIND,
    MOVE_KIND,
    QUARANTINE_KIND,
    UPSTREAM_KIND,
    VM_KIND,
)
from bluebellhub.platform.store import (
    Listing,
    Position,
    list_objects,
    watch_objects,
)
from bluebellhub.platform.store_calls import HistoryGoneError
from bluebellhub.registration import record_outage
from bluebellhub.retention import end_retention
from bluebellhub.site.pacing import watch_delay_s, watch_timeout_s

__all__ = ['expire_objects', 'watch_store']

# How long a watch waits; one without changes shows that the store responds.
# When the watch of upstreams starts to fail or recovers, slower ones restart.
WATCH_WAITS_S: Final = MappingProxyType(
    {
        CONFIG_KIND: 1.5,
        UPSTREAM_KIND: 1.5,
        EVACUATION_KIND: 10.0,
        MOVE_KIND: 10.0,
        VM_KIND: 10.0,
        QUARANTINE_KIND: 25.0,
    }
)
RETRY_MIN_S: Final = 0.1
RETRY_MAX_S: Final = 0.5
EXPIRY_INTERVAL_S: Final = 0.25

log = logbook.Logger('bluebellhub.watching')


async def watch_store(watcher: Watcher, kind: str) -> None:
    """Apply the changes of one kind of object until cancelled.

    The first listing may be seconds old: the watch that follows at once
    starts at its position.  After a loss of the history it has to be new.

    A store that is restored while no call waits has lost its history too, but
    tells so only with its next response.  So the first call after one that
    failed or was cancelled does not wait for changes.
    """
    since = await _list_stale(watcher, kind)
    changed_at_s = -inf
    pause_s = RETRY_MIN_S
    waits = since is not None
    while True:
        try:
            with trio.CancelScope() as scope:
                watcher.waits[kind] = scope
                before = since
                since = await _apply_next(watcher, kind, before, waits=waits)
                if since != before:
                    changed_at_s = await _delay_next_watch(
                        watcher, changed_at_s
                    )
        except HistoryGoneError as error:
            _log_history_gone(kind, since, error)
            since = None
        except StoreError as error:
            _record_availability(watcher, kind, str(error))
            await trio.sleep(pause_s)
            pause_s = min(RETRY_MAX_S, pause_s * 2)
            waits = False
        except Exception as error:
            report_fault(error, 'store_watch', kind=kind)
            await trio.sleep(RETRY_MAX_S)
            since = None
        else:
            _record_availability(watcher, kind, '')
            pause_s = RETRY_MIN_S
            waits = not scope.cancelled_caught


def _log_history_gone(
    kind: str, since: Position | None, error: HistoryGoneError
) -> None:
    log.info(
        'store history lost; listing all objects again',
        extra={'kind': kind, 'cause': str(error), 'since': since},
    )


async def _list_stale(watcher: Watcher, kind: str) -> Position | None:
    """Apply a listing that may be seconds old; return its position.

    Return ``None`` if the store did not respond.
    """
    try:
        listing = await list_objects(watcher.store, kind, stale_ok=True)
    except StoreError as error:
        _record_availability(watcher, kind, str(error))
        return None
    with isolate_fault('store_watch', kind=kind):
        return _apply_listing(watcher, kind, listing)
    return None


def _apply_listing(watcher: Watcher, kind: str, listing: Listing) -> Position:
    """Apply all objects of a kind; return the position to watch from."""
    handler = object_handlers.find(kind)
    era = listing.position.era
    if watcher.eras.get(kind, era) != era:
        handler.record_restore(watcher)
    watcher.eras[kind] = era
    handler.apply_listing(watcher, listing.entries)
    watcher.proxy.site.flags['unread_kinds'].discard(kind)
    return listing.position


async def _delay_next_watch(watcher: Watcher, changed_at_s: float) -> float:
    """Delay the next watch if the last changes follow others closely."""
    site = watcher.proxy.site
    current_s = now_s()
    delay_s = watch_delay_s(
        len(site.vms), current_s - changed_at_s, current_s - site.started_at_s
    )
    await trio.sleep(delay_s)
    return now_s()


async def _apply_next(
    watcher: Watcher, kind: str, since: Position | None, *, waits: bool
) -> Position:
    """List a kind or read its changes; return the new position.

    If there are no changes yet and it ``waits``, it waits for some.
    """
    if since is None:
        listing = await list_objects(watcher.store, kind)
        return _apply_listing(watcher, kind, listing)
    vm_count = len(watcher.proxy.site.vms)
    wait_s = 0.0
    if waits:
        wait_s = watch_timeout_s(WATCH_WAITS_S[kind], vm_count)
    changes, position = await watch_objects(watcher.store, kind, since, wait_s)
    for change in changes:
        name = change.entry.name
        with isolate_fault('stored_object', kind=kind, name=name):
            object_handlers.find(kind).apply_change(watcher, change)
    return position


def _record_availability(watcher: Watcher, kind: str, cause: str) -> None:
    """Record whether the store responds to the watch of registrations."""
    if kind != UPSTREAM_KIND:
        return
    registrations = watcher.proxy.site.registrations
    if record_outage(registrations, now_s(), is_on=bool(cause)):
        for other, scope in watcher.waits.items():
            if WATCH_WAITS_S[other] > WATCH_WAITS_S[kind]:
                scope.cancel()
        log.info(
            'store unavailable' if cause else 'store available again',
            extra={'cause': cause},
        )


async def expire_objects(watcher: Watcher) -> None:
    """End what counts for a while after an outage or a restore."""
    while True:
        ended = end_retention(watcher.retention, now_s())
        for kind in (UPSTREAM_KIND, *ended):
            with isolate_fault('expiry', kind=kind):
                object_handlers.find(kind).apply_again(watcher)
        await trio.sleep(EXPIRY_INTERVAL_S)

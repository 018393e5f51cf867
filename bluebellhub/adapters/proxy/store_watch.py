"""Watches the platform's store."""

from collections.abc import Awaitable, Callable
from math import inf
from types import MappingProxyType
from typing import Final, TypedDict

import logbook
import trio

from bluebellhub.adapters.proxy.object_handlers import (
    Watcher,
    object_handlers,
)
from bluebellhub.adapters.proxy.store_relaying import (
    apply_each,
    send_changes,
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
from bluebellhub.registry import Registry, make_registry
from bluebellhub.retention import end_retention
from bluebellhub.site.pacing import (
    STANDBY_DELAY_S,
    WATCHING_VMS_MAX,
    retry_interval_s,
    watch_delay_s,
    watch_timeout_s,
)
from bluebellhub.site.state import Site
from bluebellhub.site.store_history import (
    has_gone_back,
    listing_changes,
    record_changes,
    record_listing,
    record_response,
)
from bluebellhub.site.store_relays import (
    find_history,
    has_relays,
    is_relay,
    next_step,
    record_own_read,
    relays_confirm,
    stands_by,
)

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
# The same in a fleet with relays. A lost response is noticed 0.7 s later, and
# other VMs read by themselves 1.0 to 1.4 s later: changes of the first two are
# in force within 3 s, and evacuations, within 5 s, even then.
RELAY_WAITS_S: Final = MappingProxyType(
    {
        CONFIG_KIND: 1.2,
        UPSTREAM_KIND: 1.2,
        EVACUATION_KIND: 3.0,
        MOVE_KIND: 10.0,
        VM_KIND: 10.0,
        QUARANTINE_KIND: 25.0,
    }
)
RELAY_WAIT_MIN_S: Final = 0.2
STANDBY_WAIT_S: Final = 10.0
FOLLOW_INTERVAL_S: Final = 0.1
RETRY_MIN_S: Final = 0.1
RETRY_MAX_S: Final = 0.5
EXPIRY_INTERVAL_S: Final = 0.25

log = logbook.Logger('bluebellhub.watching')


class WatchState(TypedDict):
    """What the next call for a kind does.

    It ``waits`` for changes if there are none yet, or ``lists`` all objects.
    The last changes were read at ``changed_at_s``.
    """

    waits: bool
    lists: bool
    changed_at_s: float
    pause_s: float


StoreStep = Callable[[Watcher, str, WatchState], Awaitable[None]]

store_steps: Registry[StoreStep] = make_registry('store step')


async def watch_store(watcher: Watcher, kind: str) -> None:
    """Apply the changes of one kind of object until cancelled.

    The first listing may be seconds old: the watch that follows at once
    starts at its position.  After a loss of the history it has to be new.

    A store that is restored while no call waits has lost its history too, but
    tells so only with its next response.  So the first call after one that
    failed or was cancelled does not wait for changes, and neither does the
    first one after following relays.
    """
    is_listed = await _list_stale(watcher, kind)
    state: WatchState = {
        'waits': is_listed,
        'lists': not is_listed,
        'changed_at_s': -inf,
        'pause_s': RETRY_MIN_S,
    }
    followed = False
    while True:
        step = _next_step(watcher, kind)
        _log_following(watcher, kind, follows=step != 'watch', did=followed)
        followed = step != 'watch'
        try:
            await _take_step(watcher, kind, state, step)
        except HistoryGoneError as error:
            _log_history_gone(watcher, kind, error)
            state['lists'] = True
        except StoreError as error:
            _record_availability(watcher, kind, str(error))
            await _pause(watcher, state)
        except Exception as error:
            report_fault(error, 'store_watch', kind=kind)
            await trio.sleep(RETRY_MAX_S)
            state['lists'] = True


async def _take_step(
    watcher: Watcher, kind: str, state: WatchState, step: str
) -> None:
    """Take a step that may be cancelled; the store responds if it ends."""
    with trio.CancelScope() as scope:
        watcher.waits[kind] = scope
        await store_steps.find(step)(watcher, kind, state)
    _record_availability(watcher, kind, '')
    state['pause_s'] = RETRY_MIN_S
    state['waits'] = step == 'watch' and not scope.cancelled_caught


def _next_step(watcher: Watcher, kind: str) -> str:
    site = watcher.proxy.site
    return next_step(site, kind, RELAY_WAITS_S[kind], now_s())


async def _pause(watcher: Watcher, state: WatchState) -> None:
    """Wait before the next call after one that failed."""
    longest_s = max(RETRY_MAX_S, retry_interval_s(len(watcher.proxy.site.vms)))
    await trio.sleep(state['pause_s'])
    state['pause_s'] = min(longest_s, state['pause_s'] * 2)
    state['waits'] = False


def _log_following(
    watcher: Watcher, kind: str, *, follows: bool, did: bool
) -> None:
    if follows == did:
        return
    event = 'followed' if follows else 'fell_back'
    watcher.proxy.site.scheduler.counters['store_relays', event] += 1
    log.info(
        'store relays followed' if follows else 'store watched directly',
        extra={'kind': kind},
    )


def _log_history_gone(
    watcher: Watcher, kind: str, error: HistoryGoneError
) -> None:
    since = find_history(watcher.proxy.site, kind).state['position']
    log.info(
        'store history lost; listing all objects again',
        extra={'kind': kind, 'cause': str(error), 'since': since},
    )


async def _list_stale(watcher: Watcher, kind: str) -> bool:
    """Apply a listing that may be seconds old; return whether it was read."""
    try:
        listing = await list_objects(watcher.store, kind, stale_ok=True)
    except StoreError as error:
        _record_availability(watcher, kind, str(error))
        return False
    with isolate_fault('store_watch', kind=kind):
        _apply_listing(watcher, kind, listing)
        return True
    return False


def _apply_listing(watcher: Watcher, kind: str, listing: Listing) -> None:
    """Apply all objects of a kind."""
    handler = object_handlers.find(kind)
    era = listing.position.era
    if watcher.eras.get(kind, era) != era:
        handler.record_restore(watcher)
    watcher.eras[kind] = era
    handler.apply_listing(watcher, listing.entries)
    site = watcher.proxy.site
    record_listing(find_history(site, kind), listing.entries, listing.position)
    site.flags['unread_kinds'].discard(kind)


@store_steps.register('follow')
async def _follow(watcher: Watcher, kind: str, state: WatchState) -> None:
    """Let the relays tell of changes."""
    await trio.sleep(FOLLOW_INTERVAL_S)


@store_steps.register('list')
async def _list(watcher: Watcher, kind: str, state: WatchState) -> None:
    """List a kind; a relay passes on the difference to what it knew."""
    site = watcher.proxy.site
    history = find_history(site, kind)
    asked_at = history.state['position']
    listing = await list_objects(watcher.store, kind)
    state['lists'] = False
    record_response(history, now_s())
    record_own_read(site, kind)
    if has_gone_back(history, asked_at, listing.position):
        return
    changes = listing_changes(history, listing.entries, listing.position)
    before = history.state['position']
    _apply_listing(watcher, kind, listing)
    if before is not None and changes is not None:
        send_changes(watcher, kind, before, listing.position, changes)


@store_steps.register('read')
async def _read(watcher: Watcher, kind: str, state: WatchState) -> None:
    """Read the changes that relays have announced."""
    state['waits'] = False
    await _read_or_list(watcher, kind, state)


@store_steps.register('watch')
async def _watch(watcher: Watcher, kind: str, state: WatchState) -> None:
    """Read changes; if there are none yet, wait for some."""
    history = find_history(watcher.proxy.site, kind)
    before = None if state['lists'] else history.state['position']
    if await _read_or_list(watcher, kind, state) != before:
        await _delay_next_watch(watcher, state)


async def _read_or_list(
    watcher: Watcher, kind: str, state: WatchState
) -> Position | None:
    """Apply the changes of a kind or list it; return the store's position."""
    site = watcher.proxy.site
    history = find_history(site, kind)
    since = history.state['position']
    if since is None or state['lists']:
        await _list(watcher, kind, state)
        return history.state['position']
    wait_s = _wait_s(site, kind) if state['waits'] else 0.0
    sent_at_s = now_s()
    changes, position = await watch_objects(watcher.store, kind, since, wait_s)
    # Without changes the response is as of the end of the wait, or later.
    responded_s = inf if changes else sent_at_s + wait_s
    record_response(history, min(now_s(), responded_s))
    record_own_read(site, kind)
    found = record_changes(
        history,
        changes,
        position.revision,
        are_all_new=history.state['position'] == since,
    )
    apply_each(watcher, kind, found)
    send_changes(watcher, kind, since, position, changes)
    return position


def _wait_s(site: Site, kind: str) -> float:
    """Return how long a watch waits that starts now.

    In a fleet with relays, responses follow each other within the wait.
    """
    if not has_relays(site):
        return watch_timeout_s(WATCH_WAITS_S[kind], len(site.vms))
    current_s = now_s()
    if is_relay(site, current_s) and stands_by(site, current_s):
        return max(STANDBY_WAIT_S, RELAY_WAITS_S[kind])
    since_s = current_s - find_history(site, kind).state['heard_at_s']
    return max(RELAY_WAIT_MIN_S, RELAY_WAITS_S[kind] - max(0.0, since_s))


async def _delay_next_watch(watcher: Watcher, state: WatchState) -> None:
    """Delay the next watch if the last changes follow others closely."""
    site = watcher.proxy.site
    current_s = now_s()
    vm_count = len(site.vms)
    if has_relays(site):
        vm_count = min(vm_count, WATCHING_VMS_MAX)
    delay_s = watch_delay_s(
        vm_count,
        current_s - state['changed_at_s'],
        current_s - site.started_at_s,
    )
    if is_relay(site, current_s) and stands_by(site, current_s):
        delay_s = max(delay_s, STANDBY_DELAY_S)
    await trio.sleep(delay_s)
    state['changed_at_s'] = now_s()


def _record_availability(watcher: Watcher, kind: str, cause: str) -> None:
    """Record whether the store responds to the watch of registrations.

    If it fails for this VM only, while relays get responses, this is no outage.
    """
    if kind != UPSTREAM_KIND:
        return
    site = watcher.proxy.site
    current_s = now_s()
    fails = bool(cause) and (
        is_relay(site, current_s)
        or not relays_confirm(site, kind, RELAY_WAITS_S[kind], current_s)
    )
    if record_outage(site.registrations, current_s, is_on=fails):
        for other, scope in watcher.waits.items():
            if WATCH_WAITS_S[other] > WATCH_WAITS_S[kind]:
                scope.cancel()
        log.info(
            'store unavailable' if fails else 'store available again',
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

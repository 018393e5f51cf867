"""Watches the platform's store."""

from math import inf
from typing import Final

import logbook
import trio

from bluebellhub.adapters.proxy.object_handlers import (
    Watcher,
    object_handlers,
)
from bluebellhub.adapters.proxy.store_steps import (
    RELAY_WAITS_S,
    WATCH_WAITS_S,
    WatchState,
    apply_listing,
    store_steps,
)
from bluebellhub.clock import now_s
from bluebellhub.errors import StoreError
from bluebellhub.faults import isolate_fault, report_fault
from bluebellhub.platform.object_codec import (
    UPSTREAM_KIND,
)
from bluebellhub.platform.store import (
    list_objects,
)
from bluebellhub.platform.store_calls import HistoryGoneError
from bluebellhub.registration import record_outage
from bluebellhub.retention import end_retention
from bluebellhub.site.pacing import (
    retry_interval_s,
)
from bluebellhub.site.relay_roles import (
    is_relay,
)
from bluebellhub.site.store_relays import (
    find_history,
    next_step,
    relays_confirm,
)

__all__ = ['expire_objects', 'watch_store']

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
            await _run_step(watcher, kind, state, step)
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


async def _run_step(
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
        apply_listing(watcher, kind, listing)
        return True
    return False


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

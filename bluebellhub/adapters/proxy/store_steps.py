"""Steps by which a VM keeps up with one kind of object in the store."""

from collections.abc import Awaitable, Callable
from types import MappingProxyType
from typing import Final, TypedDict

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
from bluebellhub.platform.object_codec import (
    CONFIG_KIND,
    EVACUATION_KIND,
    MOVE_KIND,
    UPSTREAM_KIND,
    VM_KIND,
)
from bluebellhub.platform.quarantine_object import (
    QUARANTINE_KIND,
)
from bluebellhub.platform.store import (
    Listing,
    Position,
    list_objects,
    watch_objects,
)
from bluebellhub.registry import Registry, make_registry
from bluebellhub.site.pacing import (
    STANDBY_DELAY_S,
    WATCHING_VMS_MAX,
    watch_delay_s,
    watch_timeout_s,
)
from bluebellhub.site.relay_roles import (
    has_relays,
    is_relay,
    stands_by,
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
    record_own_read,
)

__all__ = [
    'RELAY_WAITS_S',
    'WATCH_WAITS_S',
    'WatchState',
    'apply_listing',
    'store_steps',
]

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


def apply_listing(watcher: Watcher, kind: str, listing: Listing) -> None:
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
    sent_at_s = now_s()
    listing = await list_objects(watcher.store, kind)
    state['lists'] = False
    record_response(history, sent_at_s)
    record_own_read(site, kind)
    if has_gone_back(history, asked_at, listing.position):
        return
    changes = listing_changes(history, listing.entries, listing.position)
    before = history.state['position']
    apply_listing(watcher, kind, listing)
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
    # A VM that was frozen may read a response long after it was sent, so the
    # response counts from the earliest time that it can be of.
    if not changes:
        sent_at_s = min(now_s(), sent_at_s + wait_s)
    record_response(history, sent_at_s)
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
    since_s = current_s - find_history(site, kind).state['confirmed_at_s']
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

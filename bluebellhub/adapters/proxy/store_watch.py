"""Watches of the platform's store: what this VM believes follows them."""

from collections.abc import Callable
from math import inf
from types import MappingProxyType
from typing import Final, NamedTuple

import logbook
import trio

from bluebellhub.adapters.peer_link import PeerLink, set_peer_address
from bluebellhub.adapters.proxy.state import Proxy
from bluebellhub.clock import now_s
from bluebellhub.errors import ObjectError, StoreError
from bluebellhub.platform.object_codec import (
    CONFIG_KIND,
    CONFIG_NAME,
    EVACUATION_KIND,
    MOVE_KIND,
    UPSTREAM_KIND,
    VM_KIND,
    read_move,
    read_registration,
    read_table,
    read_vm,
)
from bluebellhub.platform.store import (
    Change,
    HistoryGoneError,
    Listing,
    Store,
    StoredEntry,
    list_kind,
    watch_kind,
)
from bluebellhub.registration import record_outage
from bluebellhub.registry import Registry, make_registry
from bluebellhub.site.pacing import watch_delay_s, watch_timeout_s
from bluebellhub.site.state import set_vms
from bluebellhub.site.upstreams import (
    apply_registration,
    apply_registrations,
    apply_removal,
    apply_routing_table,
    remove_expired_upstreams,
    set_evacuated,
)
from bluebellhub.site.version_moves import apply_move_commands

__all__ = [
    'Watcher',
    'drop_overdue_upstreams',
    'takers',
    'watch_store',
]

# A watch that ends without news shows that the store still answers.  When
# those of the first kinds fail, the others are begun anew.
WATCH_WAITS_S: Final = MappingProxyType(
    {
        CONFIG_KIND: 1.5,
        UPSTREAM_KIND: 1.5,
        EVACUATION_KIND: 10.0,
        MOVE_KIND: 10.0,
        VM_KIND: 10.0,
    }
)
RETRY_MIN_S: Final = 0.1
RETRY_MAX_S: Final = 0.5
OVERDUE_STEP_S: Final = 0.25

log = logbook.Logger('bluebellhub.watching')


class Watcher(NamedTuple):
    """What the watches feed; ``objects`` holds names by kind.

    ``waits`` holds the scope of each kind's present call.
    """

    passing: Proxy
    store: Store
    link: PeerLink
    objects: dict[str, dict[str, StoredEntry]]
    waits: dict[str, trio.CancelScope]


class Taker(NamedTuple):
    """How a kind's listing and its later changes are taken."""

    take_all: Callable[[Watcher, list[StoredEntry]], None]
    take_change: Callable[[Watcher, Change], None]


takers: Registry[Taker] = make_registry('watched kind')


def _whole(
    kind: str, take: Callable[[Watcher, list[StoredEntry]], None]
) -> Taker:
    """Take a kind whose few objects are always taken together."""

    def take_all(watcher: Watcher, entries: list[StoredEntry]) -> None:
        found = {entry.name: entry for entry in entries}
        watcher.objects[kind] = found
        take(watcher, list(found.values()))

    def take_change(watcher: Watcher, change: Change) -> None:
        found = watcher.objects.setdefault(kind, {})
        found.pop(change.entry.name, None)
        if not change.is_removed:
            found[change.entry.name] = change.entry
        take(watcher, list(found.values()))

    return Taker(take_all, take_change)


def _taken_whole(
    kind: str,
) -> Callable[[Callable[[Watcher, list[StoredEntry]], None]], None]:
    def store(take: Callable[[Watcher, list[StoredEntry]], None]) -> None:
        takers.register(kind)(_whole(kind, take))

    return store


@_taken_whole(CONFIG_KIND)
def take_config(watcher: Watcher, entries: list[StoredEntry]) -> None:
    """Put a newer configuration in force; a bad one changes nothing."""
    for entry in entries:
        if entry.name != CONFIG_NAME:
            continue
        try:
            table = read_table(entry.spec)
        except ObjectError as error:
            log.error('configuration refused: {}', error)
            continue
        if apply_routing_table(watcher.passing.site, table):
            log.info('configuration in force', extra={'version': table.version})


@_taken_whole(EVACUATION_KIND)
def take_evacuations(watcher: Watcher, entries: list[StoredEntry]) -> None:
    """Keep new work away from the failure domains that are named."""
    names = sorted(entry.name for entry in entries)
    if set(names) != watcher.passing.site.scheduler.domains_out:
        log.info('evacuated failure domains', extra={'names': names})
    set_evacuated(watcher.passing.site, names)


@_taken_whole(MOVE_KIND)
def take_moves(watcher: Watcher, entries: list[StoredEntry]) -> None:
    """Take the version moves that are ordered."""
    orders = []
    for entry in entries:
        try:
            orders.append(read_move(entry))
        except ObjectError as error:
            log.warning('move left aside: {}', error)
    log.info('version moves', extra={'orders': orders})
    apply_move_commands(watcher.passing.site, orders, now_s())


@_taken_whole(VM_KIND)
def take_vms(watcher: Watcher, entries: list[StoredEntry]) -> None:
    """Learn where the VMs listen for each other."""
    places = {}
    for entry in entries:
        try:
            places[entry.name] = read_vm(entry)
        except ObjectError as error:
            log.warning('VM left aside: {}', error)
    set_vms(watcher.passing.site, places)
    for name, place in places.items():
        set_peer_address(watcher.link, name, place.address)


def take_all_upstreams(watcher: Watcher, entries: list[StoredEntry]) -> None:
    """Take all registrations; an unreadable one names no upstream."""
    found = []
    for entry in entries:
        try:
            found.append(read_registration(entry))
        except ObjectError as error:
            log.warning('registration left aside: {}', error)
    gone = apply_registrations(watcher.passing.site, found, now_s())
    log.info('upstreams listed', extra={'count': len(found), 'gone': gone})


def take_upstream(watcher: Watcher, change: Change) -> None:
    """Take one registration or its removal."""
    site = watcher.passing.site
    name = change.entry.name
    if change.is_removed:
        held = apply_removal(site, name, now_s())
        log.info('upstream removed', extra={'upstream': name, 'gone': held})
        return
    try:
        entry = read_registration(change.entry)
    except ObjectError as error:
        log.warning('registration left aside: {}', error)
        return
    if apply_registration(site, entry, now_s()):
        log.info(
            'upstream registered',
            extra={
                'upstream': name,
                'state': entry.state,
                'cold_s': entry.cold_s,
                'revision': change.entry.revision,
            },
        )


takers.register(UPSTREAM_KIND)(Taker(take_all_upstreams, take_upstream))


async def watch_store(watcher: Watcher, kind: str) -> None:
    """Follow one kind until cancelled."""
    since: int | None = None
    changed_at_s = -inf
    pause_s = RETRY_MIN_S
    while True:
        try:
            with trio.CancelScope() as scope:
                watcher.waits[kind] = scope
                before = since
                since = await _follow(watcher, kind, before)
                if since != before:
                    changed_at_s = await _rest(watcher, changed_at_s)
        except HistoryGoneError as error:
            log.info('listed again', extra={'kind': kind, 'cause': str(error)})
            since = None
        except StoreError as error:
            _note_store(watcher, kind, str(error))
            await trio.sleep(pause_s)
            pause_s = min(RETRY_MAX_S, pause_s * 2)
        else:
            _note_store(watcher, kind, '')
            pause_s = RETRY_MIN_S


async def _rest(watcher: Watcher, changed_at_s: float) -> float:
    """Rest after changes if there were others a moment ago."""
    since_s = now_s() - changed_at_s
    await trio.sleep(watch_delay_s(len(watcher.passing.site.vms), since_s))
    return now_s()


async def _follow(watcher: Watcher, kind: str, since: int | None) -> int:
    """List the kind, or wait for changes; returns the next revision."""
    taker = takers.find(kind)
    if since is None:
        listing: Listing = await list_kind(watcher.store, kind)
        taker.take_all(watcher, listing.entries)
        return listing.revision
    vm_count = len(watcher.passing.site.vms)
    wait_s = watch_timeout_s(WATCH_WAITS_S[kind], vm_count)
    changes, revision = await watch_kind(watcher.store, kind, since, wait_s)
    for change in changes:
        taker.take_change(watcher, change)
    return revision


def _note_store(watcher: Watcher, kind: str, cause: str) -> None:
    """Note that the store does or does not answer, for registrations."""
    if kind != UPSTREAM_KIND:
        return
    registrations = watcher.passing.site.registrations
    if record_outage(registrations, now_s(), is_on=bool(cause)):
        for other, scope in watcher.waits.items():
            if WATCH_WAITS_S[other] > WATCH_WAITS_S[kind]:
                scope.cancel()
        log.info(
            'store lost' if cause else 'store back', extra={'cause': cause}
        )


async def drop_overdue_upstreams(watcher: Watcher) -> None:
    """Remove the upstreams that did not register again after an outage."""
    while True:
        gone = remove_expired_upstreams(watcher.passing.site, now_s())
        if gone:
            log.info('upstreams did not return', extra={'gone': gone})
        await trio.sleep(OVERDUE_STEP_S)

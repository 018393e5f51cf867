"""Applies the objects of the platform's store to this VM, by kind."""

from collections.abc import Callable, Iterable
from itertools import chain
from typing import NamedTuple, TypeVar

import logbook
import trio

from bluebellhub.adapters.peer_link import (
    PeerLink,
    set_peer_address,
    set_peer_version,
)
from bluebellhub.adapters.proxy.state import Proxy
from bluebellhub.clock import now_epoch_s, now_s
from bluebellhub.errors import ObjectError
from bluebellhub.faults import report_fault
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
from bluebellhub.platform.quarantine_object import (
    QUARANTINE_KIND,
    read_quarantine,
)
from bluebellhub.platform.store import Change, StoredEntry
from bluebellhub.platform.store_calls import Store
from bluebellhub.registration import record_restore
from bluebellhub.registry import Registry, make_registry
from bluebellhub.retention import (
    Retention,
    discard_object,
    make_retention,
    retain_objects,
    retained_objects,
)
from bluebellhub.site.crash_evidence import apply_crash_evidence
from bluebellhub.site.reports import CrashEvidence
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

__all__ = ['ObjectHandler', 'Watcher', 'make_watcher', 'object_handlers']

ReadObject = TypeVar('ReadObject')

log = logbook.Logger('bluebellhub.watching')


class Watcher(NamedTuple):
    """The root: what the watches read from and apply changes to.

    ``objects`` holds by kind and name the objects of kinds that are applied
    together, ``waits`` the cancel scope of each kind's current call, and
    ``eras`` the era of the store that each kind was listed in. ``retention``
    holds the objects that a restored store lacks.
    """

    proxy: Proxy
    store: Store
    link: PeerLink
    objects: dict[str, dict[str, StoredEntry]]
    waits: dict[str, trio.CancelScope]
    eras: dict[str, int | None]
    retention: Retention[StoredEntry]


def make_watcher(proxy: Proxy, store: Store, link: PeerLink) -> Watcher:
    """Create a watcher that has read nothing yet."""
    return Watcher(proxy, store, link, {}, {}, {}, make_retention())


class ObjectHandler(NamedTuple):
    """How a kind's listing and its later changes are applied.

    ``record_restore`` is called before the first listing of a new era, and
    ``apply_again`` when objects that the store lacks do not count any more.
    """

    apply_listing: Callable[[Watcher, list[StoredEntry]], None]
    apply_change: Callable[[Watcher, Change], None]
    record_restore: Callable[[Watcher], None]
    apply_again: Callable[[Watcher], None]


object_handlers: Registry[ObjectHandler] = make_registry('watched kind')


def _read_each(
    watcher: Watcher,
    kind: str,
    entries: Iterable[StoredEntry],
    read: Callable[[StoredEntry], ReadObject],
) -> dict[str, ReadObject]:
    """Decode objects, by name; one that is not valid hides no other."""
    found: dict[str, ReadObject] = {}
    for entry in entries:
        try:
            found[entry.name] = read(entry)
        except ObjectError as error:
            log.warning('object not valid, ignored: {}', error)
        except Exception as error:
            report_fault(error, 'stored_object', kind=kind, name=entry.name)
    return found


def _combined_handler(
    kind: str, apply: Callable[[Watcher, list[StoredEntry]], None]
) -> ObjectHandler:
    """Return the handler of a kind whose few objects apply together."""

    def apply_listing(watcher: Watcher, entries: list[StoredEntry]) -> None:
        watcher.objects[kind] = {entry.name: entry for entry in entries}
        apply_all(watcher)

    def apply_change(watcher: Watcher, change: Change) -> None:
        found = watcher.objects.setdefault(kind, {})
        found.pop(change.entry.name, None)
        if not change.is_removed:
            found[change.entry.name] = change.entry
        discard_object(watcher.retention, kind, change.entry.name)
        apply_all(watcher)

    def apply_all(watcher: Watcher) -> None:
        found = watcher.objects[kind]
        lost = retained_objects(watcher.retention, kind, found)
        apply(watcher, [*found.values(), *lost.values()])

    def record_restored(watcher: Watcher) -> None:
        found = watcher.objects.get(kind, {})
        lost = retained_objects(watcher.retention, kind, found)
        retain_objects(watcher.retention, kind, {**lost, **found}, now_s())

    return ObjectHandler(
        apply_listing, apply_change, record_restored, apply_all
    )


def _register_combined(
    kind: str,
) -> Callable[[Callable[[Watcher, list[StoredEntry]], None]], None]:
    """Register a function that applies all objects of a kind together."""

    def register(apply: Callable[[Watcher, list[StoredEntry]], None]) -> None:
        object_handlers.register(kind)(_combined_handler(kind, apply))

    return register


@_register_combined(CONFIG_KIND)
def apply_config(watcher: Watcher, entries: list[StoredEntry]) -> None:
    """Activate a newer configuration; one that is not valid is ignored."""
    configurations = (entry for entry in entries if entry.name == CONFIG_NAME)
    tables = _read_each(
        watcher,
        CONFIG_KIND,
        configurations,
        lambda entry: read_table(entry.spec),
    )
    for table in tables.values():
        if apply_routing_table(watcher.proxy.site, table):
            log.info(
                'configuration activated', extra={'version': table.version}
            )
            for problem in table.problems:
                log.warning('part of the configuration ignored: {}', problem)


@_register_combined(EVACUATION_KIND)
def apply_evacuations(watcher: Watcher, entries: list[StoredEntry]) -> None:
    """Send no new work to the evacuated failure domains."""
    names = sorted(entry.name for entry in entries)
    if set(names) != watcher.proxy.site.scheduler.domains_out:
        log.info('evacuated failure domains changed', extra={'names': names})
    set_evacuated(watcher.proxy.site, names)


@_register_combined(MOVE_KIND)
def apply_moves(watcher: Watcher, entries: list[StoredEntry]) -> None:
    """Apply the commands for version moves; ignore those not valid."""
    found = _read_each(watcher, MOVE_KIND, entries, read_move)
    commands = list(found.values())
    log.info('version moves received', extra={'orders': commands})
    apply_move_commands(watcher.proxy.site, commands, now_s())


@_register_combined(QUARANTINE_KIND)
def apply_quarantine(watcher: Watcher, entries: list[StoredEntry]) -> None:
    """Apply the stored evidence against parts of prompts."""
    found = _read_each(
        watcher,
        QUARANTINE_KIND,
        entries,
        lambda entry: read_quarantine(entry, now_epoch_s()),
    )
    evidence = CrashEvidence(list(chain.from_iterable(found.values())), [])
    parts = apply_crash_evidence(watcher.proxy.site, evidence, now_s())
    if parts:
        log.info(
            'parts of prompts quarantined by stored evidence',
            extra={'quarantined_parts': parts},
        )


@_register_combined(VM_KIND)
def apply_vms(watcher: Watcher, entries: list[StoredEntry]) -> None:
    """Set the addresses at which the VMs listen for each other."""
    locations = _read_each(watcher, VM_KIND, entries, read_vm)
    set_vms(watcher.proxy.site, locations)
    for name, location in locations.items():
        set_peer_address(watcher.link, name, location.address)
        set_peer_version(watcher.link, name, location.message_version)


def apply_all_upstreams(watcher: Watcher, entries: list[StoredEntry]) -> None:
    """Apply all registrations; ignore those that are not valid."""
    found = _read_each(watcher, UPSTREAM_KIND, entries, read_registration)
    gone = apply_registrations(watcher.proxy.site, found.values(), now_s())
    log.info('upstreams listed', extra={'count': len(found), 'gone': gone})


def apply_upstream(watcher: Watcher, change: Change) -> None:
    """Apply one registration or its removal."""
    site = watcher.proxy.site
    name = change.entry.name
    if change.is_removed:
        is_gone = apply_removal(site, name, now_s())
        log.info('upstream removed', extra={'upstream': name, 'gone': is_gone})
        return
    found = _read_each(
        watcher, UPSTREAM_KIND, [change.entry], read_registration
    )
    for entry in found.values():
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


def record_upstreams_restore(watcher: Watcher) -> None:
    """Expect registrations that are older than what this VM knows."""
    record_restore(watcher.proxy.site.registrations, now_s())


def remove_missing_upstreams(watcher: Watcher) -> None:
    """Remove the upstreams that did not register again in time."""
    gone = remove_expired_upstreams(watcher.proxy.site, now_s())
    if gone:
        log.info('upstreams removed after an outage', extra={'gone': gone})


object_handlers.register(UPSTREAM_KIND)(
    ObjectHandler(
        apply_all_upstreams,
        apply_upstream,
        record_upstreams_restore,
        remove_missing_upstreams,
    )
)

"""Passes changes of the store between the VMs of a failure domain."""

from itertools import count
from typing import Final, NamedTuple

import logbook
import trio

from bluebellhub.adapters.peer_link import send_all
from bluebellhub.adapters.proxy.gossip import gossip_handlers
from bluebellhub.adapters.proxy.object_handlers import (
    Watcher,
    object_handlers,
)
from bluebellhub.adapters.proxy.state import Proxy
from bluebellhub.clock import now_s
from bluebellhub.errors import PeerMessageError
from bluebellhub.faults import isolate_fault
from bluebellhub.peer_messages import decode_message, encode_message
from bluebellhub.registration import outage_age_s, record_past_outage
from bluebellhub.site.relay_roles import (
    change_recipients,
    is_known_relay,
    is_relay,
    other_local_vms,
    stands_by,
)
from bluebellhub.site.state import Site
from bluebellhub.site.store_messages import (
    StoreChanges,
    StorePositions,
    is_valid,
)
from bluebellhub.site.store_relays import (
    apply_store_positions,
    make_store_positions,
    stated_outage_end_s,
    take_relayed_changes,
)
from bluebellhub.site.stored_objects import Change, Position

__all__ = ['apply_each', 'relay_store', 'send_changes']

ROLE_INTERVAL_S: Final = 0.25
# Positions are sent every 0.5 s.
POSITIONS_EVERY: Final = 2
REFUSALS_PER_LOG: Final = 100
# What the encoder and the decoder raise for an object that they cannot carry.
ENCODING_ERRORS: Final = (
    OverflowError,
    PeerMessageError,
    RecursionError,
    TypeError,
    ValueError,
)

log = logbook.Logger('bluebellhub.relaying')


class RelayRole(NamedTuple):
    """Whether a VM relays, and whether it does so next to a better relay."""

    relays: bool
    stands_by: bool


async def relay_store(watcher: Watcher) -> None:
    """Apply relayed changes and, as a relay, tell how far this VM has read."""
    site = watcher.proxy.site

    def apply_changes(message: StoreChanges) -> None:
        _apply_relayed(watcher, message)

    site.store_relays.flags['apply_changes'] = apply_changes
    role = RelayRole(relays=False, stands_by=False)
    for number in count():
        with isolate_fault('store_relay'):
            role = _take_role(watcher, role)
            if role.relays and number % POSITIONS_EVERY == 0:
                _send_positions(watcher)
        await trio.sleep(ROLE_INTERVAL_S)


def _take_role(watcher: Watcher, before: RelayRole) -> RelayRole:
    """Return this VM's role now; end long waits when it stands by no longer."""
    site = watcher.proxy.site
    current_s = now_s()
    relays = is_relay(site, current_s)
    role = RelayRole(relays, relays and stands_by(site, current_s))
    if before.stands_by and not role.stands_by:
        for scope in watcher.waits.values():
            scope.cancel()
    if role.relays != before.relays:
        _count(site, 'began' if relays else 'ended')
    if role != before:
        log.info('store relay', extra=role._asdict())
    return role


def _send_positions(watcher: Watcher) -> None:
    site = watcher.proxy.site
    positions = make_store_positions(site, now_s())
    send_all(watcher.link, other_local_vms(site), positions)


def send_changes(
    watcher: Watcher,
    kind: str,
    before: Position,
    after: Position,
    changes: list[Change],
) -> None:
    """Relay what this VM has read between two positions, if it is a relay.

    Changes that are too large, or that a message cannot carry, are announced
    by the position after them only.
    """
    site = watcher.proxy.site
    current_s = now_s()
    if not changes or not is_relay(site, current_s):
        return
    outage_s = outage_age_s(site.registrations, current_s)
    message = StoreChanges(
        kind, after.era, before.revision, after.revision, changes, outage_s
    )
    size = _message_size(message)
    names: list[str] = []
    if size is not None:
        names = change_recipients(site, size, current_s)
    if names:
        send_all(watcher.link, names, message)
    else:
        _send_positions(watcher)
    _count(site, 'sent' if names else 'announced')


def _message_size(message: StoreChanges) -> int | None:
    """Return the encoded size, or ``None`` if it cannot be encoded."""
    try:
        encoded = encode_message(message)
        decode_message(encoded)
    except ENCODING_ERRORS as error:
        log.info(
            'changes not relayed',
            extra={'kind': message.kind, 'cause': str(error)},
        )
        return None
    return len(encoded)


def apply_each(watcher: Watcher, kind: str, changes: list[Change]) -> None:
    """Apply changes of a kind; an unexpected error ends only one of them."""
    for change in changes:
        name = change.entry.name
        with isolate_fault('stored_object', kind=kind, name=name):
            object_handlers.find(kind).apply_change(watcher, change)


def _apply_relayed(watcher: Watcher, message: StoreChanges) -> None:
    """Apply what a relay has read, unless it is known or has a gap."""
    site = watcher.proxy.site
    current_s = now_s()
    if message.outage_age_s is not None:
        record_past_outage(site.registrations, current_s - message.outage_age_s)
    changes = take_relayed_changes(site, message, current_s)
    if changes is None:
        _count(site, 'gap')
        log.info(
            'relayed changes do not follow those known here',
            extra={'kind': message.kind, 'before': message.before},
        )
        return
    _count(site, 'applied' if changes else 'repeated')
    apply_each(watcher, message.kind, changes)


@gossip_handlers.register(StoreChanges.__name__)
def _receive_changes(proxy: Proxy, sender: str, message: StoreChanges) -> None:
    site = proxy.site
    apply_changes = site.store_relays.flags['apply_changes']
    is_accepted = (
        message.kind in object_handlers.entries
        and is_known_relay(site, sender)
        and is_valid(message)
    )
    if not is_accepted:
        _refuse(site, sender, message)
    elif apply_changes is not None:
        apply_changes(message)


@gossip_handlers.register(StorePositions.__name__)
def _receive_positions(
    proxy: Proxy, sender: str, message: StorePositions
) -> None:
    site = proxy.site
    current_s = now_s()
    if not apply_store_positions(site, sender, message, current_s):
        _refuse(site, sender, message)
        return
    ended_at_s = stated_outage_end_s(site, current_s)
    if ended_at_s is not None:
        record_past_outage(site.registrations, ended_at_s)


def _refuse(
    site: Site, sender: str, message: StoreChanges | StorePositions
) -> None:
    """Count a message that is malformed, older or from an unknown sender."""
    _count(site, 'refused')
    count = site.scheduler.counters['store_relays', 'refused']
    if count % REFUSALS_PER_LOG == 1:
        log.warning(
            'message about the store refused',
            extra={
                'sender': sender,
                'message': type(message).__name__,
                'count': count,
            },
        )


def _count(site: Site, event: str) -> None:
    site.scheduler.counters['store_relays', event] += 1

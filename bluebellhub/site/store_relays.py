"""How a VM keeps up with the store: by itself, or by following relays.

The relays of its failure domain pass on each change, and tell twice a second
how far they have read and when the store last responded. A VM follows them,
and reads by itself what it missed. It watches the store by itself as long as
no relay got a response of the store recently.
"""

from math import inf
from typing import Final, Literal

from bluebellhub.registration import outage_age_s
from bluebellhub.site.relay_reports import (
    Following,
    confirmed_until_s,
    make_following,
    update_report,
)
from bluebellhub.site.relay_roles import (
    has_relays,
    is_known_relay,
    is_relay,
    local_order,
)
from bluebellhub.site.state import Site
from bluebellhub.site.store_history import (
    KindHistory,
    advance,
    is_later_era,
    make_history,
    record_changes,
)
from bluebellhub.site.store_messages import (
    ConfirmedPosition,
    StoreChanges,
    StorePositions,
    is_valid,
)
from bluebellhub.site.stored_objects import Change, Position

__all__ = [
    'Step',
    'apply_store_positions',
    'find_history',
    'make_store_positions',
    'next_step',
    'record_own_read',
    'relays_confirm',
    'stated_outage_end_s',
    'take_relayed_changes',
]

Step = Literal['watch', 'follow', 'read', 'list']

# A VM follows relays again once they have confirmed a kind for this time.
HOLD_S: Final = 3.0
# A relayed change arrives within this time of the position that includes it.
READ_DELAY_S: Final = 0.3
# The VMs of a domain that read or fall back together do so within this time.
SPREAD_S: Final = 0.3
# Positions of a live relay are at most this old.
REPORT_AGE_MAX_S: Final = 1.2


def find_history(site: Site, kind: str) -> KindHistory:
    """Return the history of a kind, which is empty at first."""
    return site.store_relays.histories.setdefault(kind, make_history())


def make_store_positions(site: Site, now_s: float) -> StorePositions:
    """Return what this relay tells about the store."""
    kinds = {}
    for kind, history in site.store_relays.histories.items():
        state = history.state
        position = state['position']
        if position is not None and state['confirmed_at_s'] > -inf:
            kinds[kind] = ConfirmedPosition(
                position.era,
                state['unchanged_since'],
                position.revision,
                max(0.0, now_s - state['confirmed_at_s']),
            )
    age_s = outage_age_s(site.registrations, now_s)
    return StorePositions(site.start_id, now_s, kinds, age_s)


def apply_store_positions(
    site: Site, sender: str, message: StorePositions, now_s: float
) -> bool:
    """Apply what a relay tells; returns whether it is valid and newer."""
    if not is_known_relay(site, sender) or not is_valid(message):
        return False
    relays = site.store_relays
    report = update_report(relays.reports.get(sender), message, now_s)
    if report is None:
        return False
    relays.reports[sender] = report
    for kind, found in message.kinds.items():
        history = find_history(site, kind)
        position = history.state['position']
        if position is None:
            continue
        since = Position(found.unchanged_since, found.era)
        if _is_ahead(since, position):
            _want(site, kind, since, now_s)
        elif found.era == position.era:
            advance(history, found.revision)
    return True


def take_relayed_changes(
    site: Site, message: StoreChanges, now_s: float
) -> list[Change] | None:
    """Record relayed changes; return those that were not known here.

    Return ``None`` and record nothing if changes before them are missing.
    """
    position = find_history(site, message.kind).state['position']
    after = Position(message.after, message.era)
    if position is None or not _is_ahead(after, position):
        return []
    if message.era != position.era or message.before > position.revision:
        _want(site, message.kind, after, now_s)
        return None
    history = find_history(site, message.kind)
    return record_changes(history, message.changes, message.after)


def _is_ahead(found: Position, position: Position) -> bool:
    if found.era == position.era:
        return found.revision > position.revision
    return is_later_era(found.era, position.era)


def _find_following(site: Site, kind: str) -> Following:
    return site.store_relays.following.setdefault(kind, make_following())


def _is_behind(site: Site, kind: str) -> bool:
    wanted = _find_following(site, kind)['wanted']
    position = find_history(site, kind).state['position']
    return bool(wanted and position and _is_ahead(wanted, position))


def _want(site: Site, kind: str, wanted: Position, now_s: float) -> None:
    """Record a position that this VM has to reach."""
    following = _find_following(site, kind)
    if not _is_behind(site, kind):
        following['wanted'] = wanted
        following['wanted_since_s'] = now_s
    elif following['wanted'] and _is_ahead(wanted, following['wanted']):
        following['wanted'] = wanted


def record_own_read(site: Site, kind: str) -> None:
    """Record that the store itself has told this VM how far it is."""
    _find_following(site, kind)['wanted'] = None


def _spread_s(site: Site) -> float:
    """Return this VM's part of the time over which calls are spread."""
    order = local_order(site)
    return SPREAD_S * order.index(site.vm) / len(order)


def relays_confirm(
    site: Site, kind: str, wait_s: float, now_s: float, late_s: float = 0.0
) -> bool:
    """Return whether a relay has confirmed a kind recently, or ``late_s`` ago.

    The watches of relays for this kind wait ``wait_s`` seconds.
    """
    position = find_history(site, kind).state['position']
    if not has_relays(site) or position is None:
        return False
    end_s = confirmed_until_s(site.store_relays, kind, position.era, wait_s)
    return now_s <= end_s + late_s


def _update_following(
    site: Site, kind: str, wait_s: float, now_s: float
) -> bool:
    """Decide whether this VM follows the relays for a kind."""
    following = _find_following(site, kind)
    follows = following['follows']
    if relays_confirm(site, kind, wait_s, now_s):
        since_s = following['confirmed_since_s']
        since_s = now_s if since_s is None else since_s
        following['confirmed_since_s'] = since_s
        follows = follows or now_s - since_s >= following['hold_s']
    else:
        following['confirmed_since_s'] = None
        spread_s = _spread_s(site)
        if follows and not relays_confirm(site, kind, wait_s, now_s, spread_s):
            follows = False
            following['hold_s'] = HOLD_S
    following['follows'] = follows
    return follows


def next_step(site: Site, kind: str, wait_s: float, now_s: float) -> Step:
    """Return what this VM does next to keep up with a kind of object.

    It watches the store, or follows the relays and, if it has missed a change,
    reads the changes or lists all objects.
    """
    if not has_relays(site):
        return 'watch'
    position = find_history(site, kind).state['position']
    if position is None or is_relay(site, now_s):
        _find_following(site, kind)['follows'] = False
        _find_following(site, kind)['confirmed_since_s'] = None
        return 'watch'
    if not _update_following(site, kind, wait_s, now_s):
        return 'watch'
    following = _find_following(site, kind)
    delay_s = READ_DELAY_S + _spread_s(site)
    is_due = now_s - following['wanted_since_s'] >= delay_s
    wanted = following['wanted']
    if wanted is None or not is_due or not _is_behind(site, kind):
        return 'follow'
    return 'read' if wanted.era == position.era else 'list'


def stated_outage_end_s(site: Site, now_s: float) -> float | None:
    """Return when the store's outage ended, if all live relays state one."""
    ends_s = [
        report.outage_ended_at_s
        for report in site.store_relays.reports.values()
        if now_s - (report.sent_at_s + report.clock_offset_s)
        <= REPORT_AGE_MAX_S
    ]
    known_s = [end_s for end_s in ends_s if end_s is not None]
    return max(known_s) if known_s and len(known_s) == len(ends_s) else None

"""What the relays of a failure domain said about the store, and how old it is.

Clocks of VMs differ, and a message may wait long before it is sent or read: on
a busy link, or while either VM is frozen. The least difference between the time
of arrival here and the time of sending there is taken as the difference of the
clocks, and all above it as the delay of a message.
"""

from collections.abc import Callable
from math import inf
from typing import Final, NamedTuple, TypedDict

from bluebellhub.site.store_history import KindHistory, is_later_era
from bluebellhub.site.store_messages import (
    ConfirmedPosition,
    StoreChanges,
    StorePositions,
)
from bluebellhub.site.stored_objects import Position

__all__ = [
    'Following',
    'RelayReport',
    'StoreRelays',
    'confirmed_until_s',
    'last_confirmed_s',
    'make_following',
    'make_store_relays',
    'update_report',
]

# A relay has two kinds whose watches wait 1.2 s. One that has got no response
# of the store for this long is frozen, or cut off from the store or from here.
SILENCE_MAX_S: Final = 2.2
# A watch ends, and the next positions arrive, this long after its wait.
CONFIRMATION_MARGIN_S: Final = 1.0
# How fast two clocks may drift apart, in seconds per second.
CLOCK_DRIFT: Final = 0.001


class RelayReport(NamedTuple):
    """The newest positions of a relay, in times of this VM's clock.

    ``sent_at_s`` is on the relay's clock, and ``clock_offset_s`` leads from
    there to this VM's. ``confirmed_at_s`` holds by kind when the store
    responded to the relay. ``past_starts`` identifies earlier starts of the
    relay.
    """

    start_id: int
    past_starts: frozenset[int]
    sent_at_s: float
    clock_offset_s: float
    received_at_s: float
    kinds: dict[str, ConfirmedPosition]
    confirmed_at_s: dict[str, float]
    outage_ended_at_s: float | None


class Following(TypedDict):
    """Whether a VM follows the relays for a kind.

    They have confirmed it since ``confirmed_since_s``. After a fallback the VM
    follows them again once this lasts ``hold_s`` seconds. ``wanted`` is a
    position ahead of this VM's that was seen first at ``wanted_since_s``.
    """

    follows: bool
    confirmed_since_s: float | None
    hold_s: float
    wanted: Position | None
    wanted_since_s: float


class RelayFlags(TypedDict):
    """Until when this VM relays, and what applies relayed changes here."""

    relay_until_s: float
    apply_changes: Callable[[StoreChanges], None] | None


class StoreRelays(NamedTuple):
    """The root: what was read and followed by kind, and reports by relay."""

    histories: dict[str, KindHistory]
    following: dict[str, Following]
    reports: dict[str, RelayReport]
    flags: RelayFlags


def make_store_relays() -> StoreRelays:
    """Create the state of a VM that has read nothing, from no relay either."""
    return StoreRelays(
        {}, {}, {}, {'relay_until_s': -inf, 'apply_changes': None}
    )


def make_following() -> Following:
    """Create the state of a kind that no relay has confirmed."""
    return {
        'follows': False,
        'confirmed_since_s': None,
        'hold_s': 0.0,
        'wanted': None,
        'wanted_since_s': 0.0,
    }


def update_report(
    known: RelayReport | None, message: StorePositions, now_s: float
) -> RelayReport | None:
    """Return a relay's report after a message, or ``None`` if it is older."""
    offset_s = now_s - message.sent_at_s
    past_starts: frozenset[int] = frozenset()
    if known is not None and known.start_id == message.start_id:
        if message.sent_at_s <= known.sent_at_s:
            return None
        drift_s = CLOCK_DRIFT * (now_s - known.received_at_s)
        offset_s = min(offset_s, known.clock_offset_s + drift_s)
        past_starts = known.past_starts
    elif known is not None:
        if message.start_id in known.past_starts:
            return None
        past_starts = known.past_starts | {known.start_id}
    sent_s = message.sent_at_s + offset_s
    outage_age_s = message.outage_age_s
    return RelayReport(
        message.start_id,
        past_starts,
        message.sent_at_s,
        offset_s,
        now_s,
        message.kinds,
        {kind: sent_s - found.age_s for kind, found in message.kinds.items()},
        None if outage_age_s is None else sent_s - outage_age_s,
    )


def last_confirmed_s(report: RelayReport) -> float:
    """Return when the store last responded to a relay about any kind."""
    return max(report.confirmed_at_s.values(), default=-inf)


def confirmed_until_s(
    relays: StoreRelays, kind: str, era: int | None, wait_s: float
) -> float:
    """Return until when the relays' word on a kind counts for a VM in an era.

    Watches of relays wait ``wait_s`` seconds. A later era counts as well: the
    VM then lists the objects.
    """
    ends_s = [-inf]
    for report in relays.reports.values():
        found = report.kinds.get(kind)
        if found is None:
            continue
        if found.era == era or is_later_era(found.era, era):
            silent_at_s = last_confirmed_s(report) + SILENCE_MAX_S
            kind_end_s = (
                report.confirmed_at_s[kind] + wait_s + CONFIRMATION_MARGIN_S
            )
            ends_s.append(min(silent_at_s, kind_end_s))
    return max(ends_s)

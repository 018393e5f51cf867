"""Messages by which the relays of a failure domain pass on the store."""

from math import isfinite
from typing import NamedTuple

from bluebellhub.peer_messages import message_types
from bluebellhub.site.stored_objects import Change

__all__ = ['ConfirmedPosition', 'StoreChanges', 'StorePositions', 'is_valid']


@message_types.register('StoreChanges')
class StoreChanges(NamedTuple):
    """All changes of a kind between two revisions of an era, in order.

    A relay for which an outage of the store ended a while ago adds its
    ``outage_age_s``; it is 0 during an outage.
    """

    kind: str
    era: int | None
    before: int
    after: int
    changes: list[Change]
    outage_age_s: float | None = None


class ConfirmedPosition(NamedTuple):
    """The revision of a kind that a relay has read.

    There are no changes after ``unchanged_since`` up to ``revision``. The
    store's last response about this kind is ``age_s`` seconds old.
    """

    era: int | None
    unchanged_since: int
    revision: int
    age_s: float


@message_types.register('StorePositions')
class StorePositions(NamedTuple):
    """What a relay has read, by kind, when its clock showed ``sent_at_s``.

    ``start_id`` identifies the start of the relay. ``outage_age_s`` is as in
    `StoreChanges`.
    """

    start_id: int
    sent_at_s: float
    kinds: dict[str, ConfirmedPosition]
    outage_age_s: float | None = None


def is_valid(message: StoreChanges | StorePositions) -> bool:
    """Return whether all ages and revisions of a message are possible."""
    if not _is_age(message.outage_age_s or 0.0):
        return False
    if isinstance(message, StoreChanges):
        return 0 <= message.before <= message.after
    return isfinite(message.sent_at_s) and all(
        _is_age(found.age_s) and 0 <= found.unchanged_since <= found.revision
        for found in message.kinds.values()
    )


def _is_age(age_s: float) -> bool:
    return isfinite(age_s) and age_s >= 0

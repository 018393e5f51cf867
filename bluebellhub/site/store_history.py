"""What a VM has read of one kind of object in the store.

It learns of a change from its own calls and from relays, in any order and more
than once. The history tells which changes are new, so that an older object
never replaces a newer one.

>>> history = make_history()
>>> record_listing(history, [StoredEntry('a', 4, {})], Position(5, 1))
>>> older = Change(StoredEntry('a', 3, {}), is_removed=False)
>>> newer = Change(StoredEntry('a', 6, {}), is_removed=False)
>>> record_changes(history, [older, newer], 7) == [newer]
True
>>> history.state['position'], history.state['unchanged_since']
(Position(revision=7, era=1), 6)
"""

from collections.abc import Iterable
from math import inf
from typing import NamedTuple, TypedDict

from bluebellhub.site.stored_objects import Change, Position, StoredEntry

__all__ = [
    'KindHistory',
    'advance',
    'has_gone_back',
    'is_later_era',
    'listing_changes',
    'make_history',
    'record_changes',
    'record_listing',
    'record_response',
]


class HistoryState(TypedDict):
    """How far a kind was read; ``position`` is ``None`` before a listing.

    There are no changes after ``unchanged_since`` up to the position. The
    store's last response to this VM shows its state of ``confirmed_at_s``.
    """

    position: Position | None
    unchanged_since: int
    confirmed_at_s: float


class KindHistory(NamedTuple):
    """The root: the state, and the revisions of all objects by name."""

    revisions: dict[str, int]
    state: HistoryState


def make_history() -> KindHistory:
    """Create the history of a kind of which nothing was read."""
    return KindHistory(
        {}, {'position': None, 'unchanged_since': 0, 'confirmed_at_s': -inf}
    )


def is_later_era(era: int | None, known: int | None) -> bool:
    """Return whether an era follows the known one."""
    return era is not None and (known is None or era > known)


def record_response(history: KindHistory, confirmed_at_s: float) -> None:
    """Record the time of the state that a response of the store shows."""
    history.state['confirmed_at_s'] = max(
        confirmed_at_s, history.state['confirmed_at_s']
    )


def has_gone_back(
    history: KindHistory, asked_at: Position | None, listed: Position
) -> bool:
    """Return whether a listing is older than what was applied meanwhile.

    ``asked_at`` is the position when the listing was requested.
    """
    position = history.state['position']
    if position is None or position == asked_at:
        return False
    return position.era == listed.era and listed.revision < position.revision


def listing_changes(
    history: KindHistory, entries: Iterable[StoredEntry], listed: Position
) -> list[Change] | None:
    """Return how a listing differs from what was read before.

    Return ``None`` if there is nothing in the same era to compare it with.
    """
    position = history.state['position']
    if position is None or position.era != listed.era:
        return None
    if listed.revision < position.revision:
        return None
    found = {entry.name: entry for entry in entries}
    changes = [
        Change(StoredEntry(name, revision, None), is_removed=True)
        for name, revision in history.revisions.items()
        if name not in found
    ]
    changes.extend(
        Change(entry, is_removed=False)
        for entry in found.values()
        if entry.revision == 0
        or entry.revision != history.revisions.get(entry.name)
    )
    return changes


def record_listing(
    history: KindHistory, entries: Iterable[StoredEntry], position: Position
) -> None:
    """Record that the objects of a listing replace all known ones."""
    history.revisions.clear()
    for entry in entries:
        history.revisions[entry.name] = entry.revision
    history.state['position'] = position
    history.state['unchanged_since'] = position.revision


def record_changes(
    history: KindHistory,
    changes: list[Change],
    after: int,
    *,
    are_all_new: bool = False,
) -> list[Change]:
    """Record all changes up to the revision ``after``; return the new ones.

    A VM that has not learned of any since it asked the store for changes takes
    all of them as new.
    """
    state = history.state
    position = state['position']
    if position is None:
        return []
    found = changes if are_all_new else _new_changes(history, changes)
    for change in found:
        if change.is_removed:
            history.revisions.pop(change.entry.name, None)
        else:
            history.revisions[change.entry.name] = change.entry.revision
    last = [_last_revision(change, after) for change in changes]
    state['unchanged_since'] = max(state['unchanged_since'], *last, 0)
    advance(history, after)
    return found


def _new_changes(
    history: KindHistory, changes: Iterable[Change]
) -> list[Change]:
    """Return the changes that are not known yet.

    A removal carries the revision of the removed object or its own. A
    revision of 0 is not known and counts as new.
    """
    position = history.state['position']
    applied = 0 if position is None else position.revision
    known: dict[str, int | None] = {}
    found = []
    for change in changes:
        name = change.entry.name
        before = known.get(name, history.revisions.get(name))
        if _is_new(change, before, applied):
            found.append(change)
            known[name] = None if change.is_removed else change.entry.revision
    return found


def _is_new(change: Change, known: int | None, applied: int) -> bool:
    """Return whether a change follows the known revision of its object.

    All changes up to the revision ``applied`` are known.
    """
    revision = change.entry.revision
    if change.is_removed:
        return known is not None and (revision == 0 or revision >= known)
    return revision == 0 or revision > max(applied, known or 0)


def _last_revision(change: Change, after: int) -> int:
    """Return a revision from which on a change is not missed."""
    revision = change.entry.revision
    return after if change.is_removed or revision == 0 else min(revision, after)


def advance(history: KindHistory, revision: int) -> None:
    """Record that all changes up to a revision are known."""
    position = history.state['position']
    if position is not None and revision > position.revision:
        history.state['position'] = position._replace(revision=revision)

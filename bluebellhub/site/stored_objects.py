"""Objects of the store as a VM reads and relays them, and their changes."""

from typing import Any, NamedTuple

__all__ = ['Change', 'Position', 'StoredEntry']


class StoredEntry(NamedTuple):
    """An object of the store.

    ``spec`` is what its author wrote, ``status`` what bluebellhub reports.
    """

    name: str
    revision: int
    spec: Any
    status: Any = None


class Change(NamedTuple):
    """An object that was written or removed."""

    entry: StoredEntry
    is_removed: bool


class Position(NamedTuple):
    """A point in the store's history; the same revision has one in each era."""

    revision: int
    era: int | None

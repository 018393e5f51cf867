"""Objects as stored by the platform's object API."""

from typing import Any, NamedTuple

__all__ = ['StoredObject']


class StoredObject(NamedTuple):
    """One version of an object.

    ``version`` counts the updates of this object; ``revision`` orders the
    updates of all objects in the store.  ``spec`` is ``None`` for a deleted
    object.
    """

    kind: str
    name: str
    version: int
    revision: int
    spec: dict[str, Any] | None

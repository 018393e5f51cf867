"""Objects as the platform's object API keeps them."""

from typing import Any, NamedTuple

__all__ = ['StoredObject']


class StoredObject(NamedTuple):
    """One version of an object.

    ``version`` counts the updates of this object; ``revision`` orders all
    updates in the store.  ``spec`` is ``None`` for a deleted object.
    """

    kind: str
    name: str
    version: int
    revision: int
    spec: dict[str, Any] | None

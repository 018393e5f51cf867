"""The active configuration of a VM.

Objects only advance to newer versions, so a late or duplicate response of
the object API cannot revert a change.
"""

from typing import Any, NamedTuple, TypedDict

from bluebellhub.configuration.kinds import check_object
from bluebellhub.configuration.stored import StoredObject
from bluebellhub.errors import HubError
from bluebellhub.invariants import check_invariant

__all__ = [
    'Configuration',
    'ObjectChange',
    'apply_object',
    'make_configuration',
]

ObjectKey = tuple[str, str]


class ObjectChange(NamedTuple):
    """A change of an object; ``record`` is ``None`` if it was deleted."""

    kind: str
    name: str
    version: int
    record: Any


class Progress(TypedDict):
    """Mutable state: the revision up to which all objects are known."""

    revision: int


class Configuration(NamedTuple):
    """Aggregate root: the active objects, and the objects refused.

    ``objects`` holds the newest valid version of each object, which the VM
    also sends to others; ``records`` holds the typed records of these
    versions.  ``refused`` maps objects whose newest version is invalid to
    the reason.
    """

    objects: dict[ObjectKey, StoredObject]
    records: dict[ObjectKey, Any]
    refused: dict[ObjectKey, str]
    progress: Progress


def make_configuration() -> Configuration:
    """Return a configuration without objects, at revision 0."""
    return Configuration({}, {}, {}, {'revision': 0})


def apply_object(
    configuration: Configuration, stored: StoredObject
) -> ObjectChange | None:
    """Apply an object; returns the change, or ``None`` if there is none.

    An object that fails validation is recorded in ``refused``, and its last
    valid version stays active.
    """
    key = (stored.kind, stored.name)
    old = configuration.objects.get(key)
    if old is not None and old.revision >= stored.revision:
        return None
    record = None
    if stored.spec is not None:
        try:
            record = check_object(stored.kind, stored.name, stored.spec)
        except HubError as error:
            configuration.refused[key] = str(error)
            return None
    _activate(configuration, key, stored, record)
    return ObjectChange(stored.kind, stored.name, stored.version, record)


def _activate(
    configuration: Configuration,
    key: ObjectKey,
    stored: StoredObject,
    record: Any,
) -> None:
    """Make a version of an object the active one."""
    old = configuration.objects.get(key)
    check_invariant(
        'configuration_never_reverts',
        holds=old is None or old.revision < stored.revision,
        detail=f'{key} at {stored.revision}',
    )
    configuration.objects[key] = stored
    configuration.records[key] = record
    configuration.refused.pop(key, None)


def advance_revision(configuration: Configuration, revision: int) -> None:
    """Record that all objects up to ``revision`` are known."""
    old = configuration.progress['revision']
    configuration.progress['revision'] = max(old, revision)

"""The configuration in force on a VM.

Objects only move to newer versions, so a late or doubled answer of the
object API cannot take a change back.
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
    """An object's new record; ``record`` is ``None`` when it was deleted."""

    kind: str
    name: str
    version: int
    record: Any


class Progress(TypedDict):
    """The newest revision up to which all objects are known."""

    revision: int


class Configuration(NamedTuple):
    """The root: objects in force, and the reasons of those refused.

    ``objects`` holds the newest version seen of each object, which is
    what a VM passes on to others.
    """

    objects: dict[ObjectKey, StoredObject]
    records: dict[ObjectKey, Any]
    refused: dict[ObjectKey, str]
    progress: Progress


def make_configuration() -> Configuration:
    """Create a configuration without objects, at revision 0."""
    return Configuration({}, {}, {}, {'revision': 0})


def apply_object(
    configuration: Configuration, stored: StoredObject
) -> ObjectChange | None:
    """Take an object in; returns the change, or ``None`` if there is none.

    An object that fails its checks is noted in ``refused`` and the last
    good version stays in force.
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
    _put_in_force(configuration, key, stored, record)
    return ObjectChange(stored.kind, stored.name, stored.version, record)


def _put_in_force(
    configuration: Configuration,
    key: ObjectKey,
    stored: StoredObject,
    record: Any,
) -> None:
    old = configuration.objects.get(key)
    check_invariant(
        'configuration_never_reverts',
        holds=old is None or old.revision < stored.revision,
        detail=f'{key} at {stored.revision}',
    )
    configuration.objects[key] = stored
    configuration.records[key] = record
    configuration.refused.pop(key, None)


def advance(configuration: Configuration, revision: int) -> None:
    """Note that all objects up to ``revision`` are known."""
    old = configuration.progress['revision']
    configuration.progress['revision'] = max(old, revision)

"""A model of the platform's object API and VM list.

Its state includes faults: an outage, a delay, responses that are lost after
the write has taken effect, and a stale VM list.
"""

from collections import Counter
from typing import Any, NamedTuple, TypedDict

from bluebellhub.adapters.platform import VmEntry
from bluebellhub.configuration import StoredObject, object_kinds
from bluebellhub.configuration.kinds import check_object
from bluebellhub.errors import ConflictError, ObjectError, SettingsError

__all__ = [
    'PlatformModel',
    'changes_since',
    'config_revision',
    'make_platform_model',
    'read_object',
    'visible_vms',
    'write_object',
]


class PlatformState(TypedDict):
    """Scalar state and faults.

    ``lose_replies`` is the number of write responses still to be lost, and
    ``vm_lag_s`` the age of the VM list in seconds.
    """

    revision: int
    down: bool
    delay_s: float
    lose_replies: int
    vm_lag_s: float


class PlatformModel(NamedTuple):
    """Aggregate root: objects, the VM list's history and call counts."""

    objects: dict[tuple[str, str], StoredObject]
    vms: list[tuple[float, tuple[VmEntry, ...]]]
    state: PlatformState
    calls: Counter[str]


def make_platform_model() -> PlatformModel:
    """Create a platform without objects, VMs or faults."""
    state: PlatformState = {
        'revision': 0,
        'down': False,
        'delay_s': 0.0,
        'lose_replies': 0,
        'vm_lag_s': 0.0,
    }
    return PlatformModel({}, [], state, Counter())


def read_object(model: PlatformModel, kind: str, name: str) -> StoredObject:
    """Return an object; a missing one has version 0 and no ``spec``."""
    missing = StoredObject(kind, name, 0, 0, None)
    return model.objects.get((kind, name), missing)


def write_object(
    model: PlatformModel,
    kind: str,
    name: str,
    spec: dict[str, Any] | None,
    version: int,
) -> StoredObject:
    """Create or update an object, or delete it if ``spec`` is None.

    Returns the stored object.  Raises `ConflictError` unless the object is
    at ``version``, and `ObjectError` if a configuration object is invalid.
    """
    current = read_object(model, kind, name)
    if current.version != version:
        raise ConflictError(f'{kind} {name!r}', version, current.version)
    if spec is not None and kind in object_kinds.entries:
        _check_configuration(kind, name, spec)
    model.state['revision'] += 1
    revision = model.state['revision']
    stored = StoredObject(kind, name, current.version + 1, revision, spec)
    model.objects[kind, name] = stored
    return stored


def _check_configuration(kind: str, name: str, spec: dict[str, Any]) -> None:
    """Raise `ObjectError` if a configuration object is invalid."""
    try:
        check_object(kind, name, spec)
    except SettingsError as error:
        raise ObjectError(kind, name, str(error)) from None


def changes_since(model: PlatformModel, revision: int) -> list[StoredObject]:
    """Return configuration objects changed after ``revision``, in order."""
    changed = [
        stored
        for stored in model.objects.values()
        if stored.revision > revision and stored.kind in object_kinds.entries
    ]
    return sorted(changed, key=lambda stored: stored.revision)


def config_revision(model: PlatformModel) -> int:
    """Return the newest revision of a configuration object."""
    return max(
        (
            stored.revision
            for stored in model.objects.values()
            if stored.kind in object_kinds.entries
        ),
        default=0,
    )


def visible_vms(model: PlatformModel, now_s: float) -> tuple[VmEntry, ...]:
    """Return the VM list as it was ``vm_lag_s`` ago."""
    visible: tuple[VmEntry, ...] = ()
    for since_s, entries in model.vms:
        if since_s <= now_s - model.state['vm_lag_s']:
            visible = entries
    return visible

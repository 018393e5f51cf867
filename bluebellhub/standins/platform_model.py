"""A model of the platform's object API and VM list.

Faults are set on it: an outage, a delay, answers that are lost after the
change has taken effect, and a VM list that lags.
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
    """Scalar state and faults; the lag of the VM list is in seconds."""

    revision: int
    down: bool
    delay_s: float
    lose_replies: int
    vm_lag_s: float


class PlatformModel(NamedTuple):
    """The root: objects, VM list history and counted calls."""

    objects: dict[tuple[str, str], StoredObject]
    vms: list[tuple[float, tuple[VmEntry, ...]]]
    state: PlatformState
    calls: Counter[str]


def make_platform_model() -> PlatformModel:
    """Create an empty store without faults."""
    state: PlatformState = {
        'revision': 0,
        'down': False,
        'delay_s': 0.0,
        'lose_replies': 0,
        'vm_lag_s': 0.0,
    }
    return PlatformModel({}, [], state, Counter())


def read_object(model: PlatformModel, kind: str, name: str) -> StoredObject:
    """Return an object; version 0 and no fields if there is none."""
    empty = StoredObject(kind, name, 0, 0, None)
    return model.objects.get((kind, name), empty)


def write_object(
    model: PlatformModel,
    kind: str,
    name: str,
    spec: dict[str, Any] | None,
    version: int,
) -> StoredObject:
    """Update, create or, with no fields, delete an object.

    Raises `ConflictError` unless the object is at ``version``, and
    `ObjectError` if a configuration object fails its checks.
    """
    old = read_object(model, kind, name)
    if old.version != version:
        raise ConflictError(f'{kind} {name!r}', version, old.version)
    if spec is not None and kind in object_kinds.entries:
        _check(kind, name, spec)
    model.state['revision'] += 1
    revision = model.state['revision']
    stored = StoredObject(kind, name, old.version + 1, revision, spec)
    model.objects[kind, name] = stored
    return stored


def _check(kind: str, name: str, spec: dict[str, Any]) -> None:
    try:
        check_object(kind, name, spec)
    except SettingsError as error:
        raise ObjectError(kind, name, str(error)) from None


def changes_since(model: PlatformModel, revision: int) -> list[StoredObject]:
    """Return configuration objects that changed after ``revision``."""
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
    seen: tuple[VmEntry, ...] = ()
    for since_s, entries in model.vms:
        if since_s <= now_s - model.state['vm_lag_s']:
            seen = entries
    return seen

"""Objects that a restored store lacks, until their authors write them again.

A store that was restored from a copy has lost the objects written since.  What
operators and VMs had written is written again within seconds, so these objects
still count until then.

>>> retention = make_retention()
>>> retain_objects(retention, 'evacuations', {'d1': 'a', 'd2': 'b'}, now_s=10.0)
>>> retained_objects(retention, 'evacuations', stored=['d1'])
{'d2': 'b'}
>>> end_retention(retention, now_s=15.0)
['evacuations']
>>> retained_objects(retention, 'evacuations', stored=['d1'])
{}
"""

from collections.abc import Collection, Mapping
from typing import Final, Generic, NamedTuple, TypeVar

__all__ = [
    'Retention',
    'discard_object',
    'end_retention',
    'make_retention',
    'retain_objects',
    'retained_objects',
]

RETENTION_S: Final = 5.0

Stored = TypeVar('Stored')


class Retention(NamedTuple, Generic[Stored]):
    """The root: objects by kind and name, and when their retention ends."""

    objects: dict[str, dict[str, Stored]]
    ends_at_s: dict[str, float]


def make_retention() -> Retention[Stored]:
    """Create the state before a restore."""
    return Retention({}, {})


def retain_objects(
    retention: Retention[Stored],
    kind: str,
    known: Mapping[str, Stored],
    now_s: float,
) -> None:
    """Retain all known objects of a kind, for the listing that follows."""
    retention.objects[kind] = dict(known)
    retention.ends_at_s[kind] = now_s + RETENTION_S


def retained_objects(
    retention: Retention[Stored], kind: str, stored: Collection[str]
) -> dict[str, Stored]:
    """Return the retained objects that are not among the ``stored`` ones."""
    known = retention.objects.get(kind, {})
    return {name: known[name] for name in known if name not in stored}


def discard_object(retention: Retention[Stored], kind: str, name: str) -> None:
    """Retain an object no longer: the store has told what became of it."""
    retention.objects.get(kind, {}).pop(name, None)


def end_retention(retention: Retention[Stored], now_s: float) -> list[str]:
    """End the retentions that are over; return their kinds."""
    ended = [
        kind for kind, end_s in retention.ends_at_s.items() if now_s >= end_s
    ]
    for kind in ended:
        retention.ends_at_s.pop(kind)
        retention.objects.pop(kind)
    return ended

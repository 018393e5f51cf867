"""Removes the fields from a message that a newer build has added to its types.

Records are encoded as arrays of their fields, and new fields come last, so an
array that is longer than its type has fields is cut to their number.
"""

from collections.abc import Iterable, Mapping
from functools import cache
from types import UnionType
from typing import Any, Union, get_args, get_origin, get_type_hints

__all__ = ['without_added_fields']

# A decoded array or map, or a scalar.
Plain = Any


def without_added_fields(plain: Plain, kind: Any) -> Plain:
    """Return decoded content without the fields that its type does not have.

    The content may still not be valid; what is not of the type's form is left
    as it is.

    >>> from typing import NamedTuple
    >>> class Load(NamedTuple):
    ...     running: int
    >>> without_added_fields([[3, 4]], list[Load])
    [[3]]
    """
    if isinstance(plain, list):
        kinds = _part_kinds(kind, len(plain))
        return [
            without_added_fields(part, part_kind)
            for part, part_kind in zip(plain, kinds, strict=False)
        ]
    if isinstance(plain, dict):
        part_kind = _map_kind(kind)
        return {
            key: without_added_fields(part, part_kind)
            for key, part in plain.items()
        }
    return plain


def _part_kinds(kind: Any, count: int) -> Iterable[Any]:
    """Return the types of an array's parts, of which there are ``count``."""
    for option in _options(kind):
        if hasattr(option, '_fields'):
            return _field_kinds(option)
        args = get_args(option)
        if len(args) == 1 or args[1:] == (...,):
            return args[:1] * count
        if get_origin(option) is tuple:
            return args
    return (Any,) * count


def _map_kind(kind: Any) -> Any:
    """Return the type of what a map holds."""
    for option in _options(kind):
        args = get_args(option)
        if len(args) == 2 and issubclass(get_origin(option), Mapping):
            return args[1]
    return Any


def _options(kind: Any) -> tuple[Any, ...]:
    """Return the members of a union, or the type itself."""
    if get_origin(kind) in {Union, UnionType}:
        return get_args(kind)
    return (kind,)


@cache
def _field_kinds(record: Any) -> tuple[Any, ...]:
    """Return the types of a record's fields, in their order."""
    return tuple(get_type_hints(record).values())

"""Typed records read from mappings, field by field.

`read_record` turns a mapping, such as a parsed YAML or JSON object, into a
``NamedTuple`` and checks every field against its annotation::

    read_record(Contract, {'account': 'yard', 'tiers': ['check']}, 'contract')
"""

from collections.abc import Mapping
from typing import Any, TypeVar, get_args, get_origin, get_type_hints

import msgspec

from bluebellhub.errors import SettingsError

__all__ = ['read_record']

Record = TypeVar('Record')


def read_record(kind: type[Record], fields: object, path: str) -> Record:
    """Create a record; ``path`` prefixes the field names in errors.

    Raises `SettingsError` for an unknown, missing or wrong field.
    """
    if not isinstance(fields, Mapping):
        raise SettingsError(path, fields, 'a mapping of fields')
    hints = get_type_hints(kind, include_extras=True)
    for name in fields:
        if name not in hints:
            known = ', '.join(sorted(hints))
            raise SettingsError(f'{path}.{name}', name, f'one of: {known}')
    given = {
        name: _read_field(hints[name], found, f'{path}.{name}')
        for name, found in fields.items()
    }
    _check_missing(kind, hints, given, path)
    return kind(**given)


def _check_missing(
    kind: Any, hints: dict[str, Any], given: dict[str, Any], path: str
) -> None:
    defaults = kind._field_defaults
    for name in hints:
        if name not in given and name not in defaults:
            raise SettingsError(f'{path}.{name}', None, 'a value')


def _read_field(hint: Any, found: object, path: str) -> Any:
    if _is_record(hint):
        return read_record(hint, found, path)
    arguments = get_args(hint)
    if get_origin(hint) is tuple and _is_record(arguments[0]):
        return _read_records(arguments[0], found, path)
    try:
        return msgspec.convert(found, hint)
    except msgspec.ValidationError as error:
        raise SettingsError(path, found, _expected(error)) from None


def _expected(error: msgspec.ValidationError) -> str:
    """Return what the library expected, without what it got and where.

    >>> _expected(msgspec.ValidationError('Expected `int`, got `str`'))
    '`int`'
    """
    text = str(error).removeprefix('Expected ')
    return text.partition(', got')[0].partition(' - at')[0]


def _read_records(hint: Any, found: object, path: str) -> tuple[Any, ...]:
    if not isinstance(found, list | tuple):
        raise SettingsError(path, found, 'a list')
    return tuple(
        read_record(hint, entry, f'{path}[{place}]')
        for place, entry in enumerate(found)
    )


def _is_record(hint: Any) -> bool:
    return isinstance(hint, type) and hasattr(hint, '_field_defaults')

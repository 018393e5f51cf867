"""Converts mappings to typed records, field by field.

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

    Raises `SettingsError` for an unknown, missing or invalid field.
    """
    if not isinstance(fields, Mapping):
        raise SettingsError(path, fields, 'a mapping of fields')
    hints = get_type_hints(kind, include_extras=True)
    for name in fields:
        if name not in hints:
            known = ', '.join(sorted(hints))
            raise SettingsError(f'{path}.{name}', name, f'one of: {known}')
    values = {
        name: _read_field(hints[name], value, f'{path}.{name}')
        for name, value in fields.items()
    }
    _check_missing(kind, hints, values, path)
    return kind(**values)


def _check_missing(
    kind: Any, hints: dict[str, Any], values: dict[str, Any], path: str
) -> None:
    """Raise `SettingsError` if a field without a default is not given."""
    defaults = kind._field_defaults
    for name in hints:
        if name not in values and name not in defaults:
            raise SettingsError(f'{path}.{name}', None, 'a value')


def _read_field(hint: Any, value: object, path: str) -> Any:
    """Convert one value to its annotated type; records may be nested."""
    if _is_record(hint):
        return read_record(hint, value, path)
    arguments = get_args(hint)
    if get_origin(hint) is tuple and _is_record(arguments[0]):
        return _read_records(arguments[0], value, path)
    try:
        return msgspec.convert(value, hint)
    except msgspec.ValidationError as error:
        raise SettingsError(path, value, _expected_type(error)) from None


def _expected_type(error: msgspec.ValidationError) -> str:
    """Return the expected type in the message of a validation error.

    >>> _expected_type(msgspec.ValidationError('Expected `int`, got `str`'))
    '`int`'
    """
    text = str(error).removeprefix('Expected ')
    return text.partition(', got')[0].partition(' - at')[0]


def _read_records(hint: Any, value: object, path: str) -> tuple[Any, ...]:
    if not isinstance(value, list | tuple):
        raise SettingsError(path, value, 'a list')
    return tuple(
        read_record(hint, entry, f'{path}[{index}]')
        for index, entry in enumerate(value)
    )


def _is_record(hint: Any) -> bool:
    return isinstance(hint, type) and hasattr(hint, '_field_defaults')

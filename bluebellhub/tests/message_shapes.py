"""Shapes of the messages between VMs: what the decoders of a build accept.

The shapes of earlier landings are kept in ``samples/shapes``, one file each, so
that a message of this build can be held against them without their source.
Run in a working tree of a landing, this module prints its shapes::

    python -m bluebellhub.tests.message_shapes > shapes.yaml
"""

import sys
import types
from collections.abc import Iterable, Mapping
from importlib import import_module
from typing import (
    Any,
    Final,
    Literal,
    Union,
    get_args,
    get_origin,
    get_type_hints,
)

import yaml

from bluebellhub.peer_messages import message_types

__all__ = ['misfit', 'register_messages', 'shape_of']

# The modules whose import registers all messages.
MODULES: Final = (
    'bluebellhub.adapters.hub',
    'bluebellhub.adapters.proxy.run',
    'bluebellhub.usage',
    'bluebellhub.duty',
)
SCALARS: Final[Mapping[str, tuple[type, ...]]] = types.MappingProxyType(
    {
        'str': (str,),
        'int': (int,),
        'float': (float, int),
        'bool': (bool,),
        'NoneType': (type(None),),
        'bytes': (bytes,),
    }
)

Shape = Any


def shape_of(hint: Any) -> Shape:
    """Return the shape of a type as mappings, lists and names."""
    origin, args = get_origin(hint), get_args(hint)
    if hasattr(hint, '_fields'):
        hints = get_type_hints(hint)
        least = len(hints) - len(hint._field_defaults)
        return _fields_shape(hints.values(), least)
    if origin is Literal:
        return {'one_of': list(args)}
    if origin is tuple and args[1:] != (...,):
        return _fields_shape(args, len(args))
    parts = [shape_of(arg) for arg in args if arg is not ...]
    if origin in {Union, types.UnionType}:
        return {'any_of': parts}
    if parts:
        is_map = issubclass(origin, Mapping)
        return {'map': parts} if is_map else {'each': parts[0]}
    return 'any' if hint is Any else hint.__name__


def _fields_shape(hints: Iterable[Any], least: int) -> Shape:
    return {'fields': [shape_of(hint) for hint in hints], 'least': least}


def misfit(plain: Any, shape: Shape, place: str = 'message') -> str | None:
    """Return why a decoder of this shape would refuse ``plain``, or ``None``.

    >>> misfit([1, 2, 3], {'fields': ['int', 'int'], 'least': 1})
    'message: expected 1 to 2 fields, got 3'
    """
    if isinstance(shape, str):
        found = isinstance(plain, SCALARS.get(shape, (object,)))
        return None if found else f'{place}: expected {shape}, got {plain!r}'
    (kind, *_), checks = shape, CHECKS
    return checks[kind](plain, shape, place)


def _misfit_in_fields(plain: Any, shape: Shape, place: str) -> str | None:
    most, least = len(shape['fields']), shape['least']
    if not isinstance(plain, list) or not least <= len(plain) <= most:
        got = len(plain) if isinstance(plain, list) else repr(plain)
        return f'{place}: expected {least} to {most} fields, got {got}'
    pairs = zip(plain, shape['fields'], strict=False)
    return _first(
        misfit(part, field, f'{place}.{number}')
        for number, (part, field) in enumerate(pairs)
    )


def _misfit_in_map(plain: Any, shape: Shape, place: str) -> str | None:
    if not isinstance(plain, dict):
        return f'{place}: expected a map, got {plain!r}'
    key, content = shape['map']
    return _first(
        misfit(name, key, place) or misfit(part, content, f'{place}[{name!r}]')
        for name, part in plain.items()
    )


def _misfit_in_each(plain: Any, shape: Shape, place: str) -> str | None:
    if not isinstance(plain, list):
        return f'{place}: expected a list, got {plain!r}'
    return _first(misfit(part, shape['each'], f'{place}[]') for part in plain)


def _misfit_in_any(plain: Any, shape: Shape, place: str) -> str | None:
    misfits = [misfit(plain, each, place) for each in shape['any_of']]
    return None if None in misfits else misfits[0]


def _misfit_in_one(plain: Any, shape: Shape, place: str) -> str | None:
    if plain in shape['one_of']:
        return None
    return f'{place}: expected one of {shape["one_of"]}, got {plain!r}'


CHECKS: Final = types.MappingProxyType(
    {
        'fields': _misfit_in_fields,
        'map': _misfit_in_map,
        'each': _misfit_in_each,
        'any_of': _misfit_in_any,
        'one_of': _misfit_in_one,
    }
)


def _first(misfits: Any) -> str | None:
    return next((found for found in misfits if found), None)


def register_messages() -> None:
    """Import the modules that define messages."""
    for module in MODULES:
        import_module(module)


def main() -> None:
    """Print the shapes of all messages of this build."""
    register_messages()
    shapes = {
        name: shape_of(message_types.find(name))
        for name in message_types.names()
    }
    yaml.safe_dump(shapes, sys.stdout, default_flow_style=None)


if __name__ == '__main__':
    main()

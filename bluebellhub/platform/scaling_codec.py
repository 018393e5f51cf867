"""Decodes the bounds of a service's replicas in the configuration."""

from typing import Any, Final, get_type_hints

import msgspec

from bluebellhub.errors import ObjectFieldError
from bluebellhub.platform.wire import WireScaling
from bluebellhub.scaling.bounds import ScalingBounds

__all__ = ['read_scaling']

FIELD_TYPES: Final = get_type_hints(WireScaling, include_extras=True)


def read_scaling(
    kind: str, name: str, service: str, wire: Any
) -> ScalingBounds:
    """Decode the bounds in the object of this kind and name.

    Raises `ObjectFieldError`, which names the field that is missing, has the
    wrong type, or is out of range or below the other bound.
    """
    path = f'services[{service}].scaling'
    if not isinstance(wire, dict):
        raise ObjectFieldError(kind, name, path, wire, 'expected an object')
    found = {}
    for field, field_type in FIELD_TYPES.items():
        if field not in wire:
            raise ObjectFieldError(
                kind, name, f'{path}.{field}', None, 'it is required'
            )
        try:
            found[field] = msgspec.convert(wire[field], field_type)
        except msgspec.ValidationError as error:
            raise ObjectFieldError(
                kind, name, f'{path}.{field}', wire[field], str(error)
            ) from None
    if found['maxReplicas'] < found['minReplicas']:
        raise ObjectFieldError(
            kind,
            name,
            f'{path}.maxReplicas',
            found['maxReplicas'],
            f'expected at least minReplicas, {found["minReplicas"]}',
        )
    return ScalingBounds(*found.values())

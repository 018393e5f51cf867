"""Configuration objects: kinds, validation and the active versions."""

from bluebellhub.configuration.configuration import (
    Configuration,
    ObjectChange,
    apply_object,
    make_configuration,
)
from bluebellhub.configuration.kinds import object_kinds
from bluebellhub.configuration.stored import StoredObject

__all__ = [
    'Configuration',
    'ObjectChange',
    'StoredObject',
    'apply_object',
    'make_configuration',
    'object_kinds',
]

"""Configuration objects: their kinds, checks and the version in force."""

from bluebellhub.configuration.configuration import (
    Change,
    Configuration,
    accept,
    make_configuration,
)
from bluebellhub.configuration.kinds import object_kinds
from bluebellhub.configuration.stored import StoredObject

__all__ = [
    'Change',
    'Configuration',
    'StoredObject',
    'accept',
    'make_configuration',
    'object_kinds',
]

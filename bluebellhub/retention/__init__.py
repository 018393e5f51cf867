"""Objects that a restored store lacks, until their authors write them again."""

from bluebellhub.retention.retention import (
    Retention,
    discard_object,
    end_retention,
    make_retention,
    retain_objects,
    retained_objects,
)

__all__ = [
    'Retention',
    'discard_object',
    'end_retention',
    'make_retention',
    'retain_objects',
    'retained_objects',
]

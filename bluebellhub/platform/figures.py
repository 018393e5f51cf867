"""Reads the figures in headers; what is malformed is told from a number."""

import re
from typing import Final

from bluebellhub.request.heads import LimitField

__all__ = [
    'read_count',
    'read_counts',
    'read_decimal',
    'read_limit',
]

COUNT: Final = re.compile(rb'\d{1,9}')
DECIMAL_NUMBER: Final = re.compile(rb'\d{1,9}(\.\d{1,9})?')


def read_decimal(field: bytes | None) -> float | None:
    """Return a decimal number; ``None`` if it is absent or malformed."""
    if field is None or not DECIMAL_NUMBER.fullmatch(field):
        return None
    return float(field)


def read_limit(field: bytes | None) -> LimitField:
    """Return a limit per second, unless it is absent or malformed."""
    per_s = read_decimal(field)
    return LimitField(per_s, field if per_s is None else None)


def read_counts(field: bytes | None, expected: int) -> list[int]:
    """Return comma-separated counts; none unless all ``expected`` are there.

    A count with more digits than any real one has is malformed: divided or
    raised to a power later on, it would exceed the range of a float.
    """
    parts = (field or b'').split(b',')
    counts = [read_count(part.strip()) for part in parts]
    found = [count for count in counts if count is not None]
    return found if len(found) == len(counts) == expected else []


def read_count(field: bytes | None) -> int | None:
    """Return a count; ``None`` if it is absent or malformed."""
    if field is None or not COUNT.fullmatch(field):
        return None
    return int(field)

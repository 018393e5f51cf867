"""The store's objects on parts of prompts that crash upstreams."""

from collections.abc import Iterable
from typing import Final

import msgspec
import xxhash

from bluebellhub.errors import ObjectError
from bluebellhub.platform.store import StoredEntry
from bluebellhub.platform.wire import WireQuarantine
from bluebellhub.quarantine import CrashReport

__all__ = [
    'QUARANTINE_KIND',
    'quarantine_name',
    'quarantine_spec',
    'read_quarantine',
]

# A kind that bluebellhub defines.
QUARANTINE_KIND: Final = 'hub-quarantine'
MS_PER_S: Final = 1000.0


def quarantine_name(part: str) -> str:
    """Return the name of the object for a part of a prompt.

    Callers choose the part's id, so it is not used as a name itself.
    """
    return xxhash.xxh64_hexdigest(part.encode())


def quarantine_spec(
    reports: Iterable[CrashReport], now_epoch_s: float
) -> WireQuarantine:
    """Encode the evidence against one part of a prompt."""
    listed = list(reports)
    return {
        'part': listed[0].part,
        'crashes': {
            report.crash: int((now_epoch_s - report.age_s) * MS_PER_S)
            for report in listed
        },
    }


def read_quarantine(
    entry: StoredEntry, now_epoch_s: float
) -> list[CrashReport]:
    """Decode the evidence against a part of a prompt.

    Raises `ObjectError` if the entry is not valid.  A crash in the future,
    after a step of the clock, counts as one that happens now.
    """
    try:
        wire = msgspec.convert(entry.spec, WireQuarantine)
    except msgspec.ValidationError as error:
        raise ObjectError(QUARANTINE_KIND, entry.name, str(error)) from None
    return [
        CrashReport(
            wire['part'], crash, max(0.0, now_epoch_s - at_ms / MS_PER_S)
        )
        for crash, at_ms in wire['crashes'].items()
    ]

"""Structured logging: one JSON object a line on standard output.

The volume is bounded and a reader that stalls is not waited for.  Lines
that are left out are counted, and the next line that is written says so.
"""

import os
import select
import sys
from typing import Final

import logbook
import msgspec

from bluebellhub.clock import now_s

__all__ = ['BoundedHandler', 'format_record', 'set_up_logs']

LINES_PER_S: Final = 200
BURST_LINES: Final = 400
# A pipe takes this much as a whole or not at all.
LINE_MAX_BYTES: Final = 4096

_encoder: Final = msgspec.json.Encoder()


def format_record(record: logbook.LogRecord, handler: object) -> str:
    """Return a log record as one line of JSON."""
    fields = {
        'time': record.time,
        'level': record.level_name,
        'logger': record.channel,
        'message': record.message,
        **record.extra,
    }
    if record.exc_info:
        fields['exception'] = record.formatted_exception
    return _encoder.encode(fields).decode()


class BoundedHandler(logbook.Handler):
    """Writes lines to a descriptor within a rate, without waiting."""

    def __init__(self, descriptor: int, level: int) -> None:
        super().__init__(level=level)
        self.formatter = format_record
        self.descriptor = descriptor
        self.credit = float(BURST_LINES)
        self.filled_at_s = now_s()
        self.left_out = 0

    def emit(self, record: logbook.LogRecord) -> None:
        """Write a record, or count it as left out."""
        moment_s = now_s()
        brought = (moment_s - self.filled_at_s) * LINES_PER_S
        self.credit = min(float(BURST_LINES), self.credit + brought)
        self.filled_at_s = moment_s
        if self.credit < 1.0 or not self._takes_bytes():
            self.left_out += 1
            return
        self.credit -= 1.0
        if self.left_out:
            record.extra['lines_left_out'] = self.left_out
            self.left_out = 0
        line = self.format(record).encode()[: LINE_MAX_BYTES - 1]
        os.write(self.descriptor, b'%s\n' % line)

    def _takes_bytes(self) -> bool:
        writable = select.select([], [self.descriptor], [], 0)[1]
        return bool(writable)


def set_up_logs(level: str) -> BoundedHandler:
    """Create the handler; it acts while its context is open."""
    handler = BoundedHandler(sys.stdout.fileno(), logbook.lookup_level(level))
    return handler.applicationbound()

"""Structured logging to standard output, one JSON object per line.

The rate of lines is limited, and logging never blocks on a reader that
stalls.  Dropped lines are counted, and the next line reports their number.
"""

import os
import select
import sys
from typing import Final

import logbook
import msgspec

from bluebellhub.clock import now_s

__all__ = ['RateLimitedHandler', 'format_record', 'make_log_handler']

LINES_PER_S: Final = 200
BURST_LINES: Final = 400
# Writes up to this size to a pipe are atomic.
LINE_MAX_BYTES: Final = 4096
TRACEBACK_MAX_CHARS: Final = 2000

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
        # The end of a traceback tells more than its start.
        fields['exception'] = record.formatted_exception[-TRACEBACK_MAX_CHARS:]
    try:
        return _encoder.encode(fields).decode()
    except (OverflowError, TypeError, UnicodeError):
        # JSON has no such value: a number or text from outside.
        texts = {name: ascii(field) for name, field in fields.items()}
        return _encoder.encode(texts).decode()


class RateLimitedHandler(logbook.Handler):
    """Writes lines to a descriptor, limited by rate and without blocking."""

    def __init__(self, descriptor: int, level: int) -> None:
        super().__init__(level=level)
        self.formatter = format_record
        self.descriptor = descriptor
        self.credit = float(BURST_LINES)
        self.refilled_at_s = now_s()
        self.dropped = 0

    def emit(self, record: logbook.LogRecord) -> None:
        """Write a record, or drop and count it."""
        current_s = now_s()
        refill = (current_s - self.refilled_at_s) * LINES_PER_S
        self.credit = min(float(BURST_LINES), self.credit + refill)
        self.refilled_at_s = current_s
        if self.credit < 1.0 or not self._is_writable():
            self.dropped += 1
            return
        self.credit -= 1.0
        if self.dropped:
            record.extra['lines_left_out'] = self.dropped
            self.dropped = 0
        line = self.format(record).encode()[: LINE_MAX_BYTES - 1]
        try:
            os.write(self.descriptor, b'%s\n' % line)
        except OSError:
            # The reader has gone, or the disk is full.
            self.dropped += 1

    def _is_writable(self) -> bool:
        """Return whether a write does not block."""
        writable = select.select([], [self.descriptor], [], 0)[1]
        return bool(writable)


def make_log_handler(level: str) -> RateLimitedHandler:
    """Return a handler for standard output, active in a ``with`` block."""
    handler = RateLimitedHandler(
        sys.stdout.fileno(), logbook.lookup_level(level)
    )
    return handler.applicationbound()

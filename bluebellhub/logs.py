"""Structured logging: one JSON object a line on standard error."""

import sys

import logbook
import msgspec

__all__ = ['format_record', 'set_up_logs']


def format_record(record: logbook.LogRecord, handler: object) -> str:
    """Return a log record as one line of JSON."""
    fields = {
        'time': record.time,
        'level': record.level_name,
        'logger': record.channel,
        'message': record.message,
        **record.extra,
    }
    return msgspec.json.encode(fields).decode()


def set_up_logs(level: str) -> logbook.Handler:
    """Create the handler; it acts while its context is open."""
    handler = logbook.StreamHandler(
        sys.stderr, level=logbook.lookup_level(level)
    )
    handler.formatter = format_record
    return handler.applicationbound()

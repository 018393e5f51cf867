"""The command that collects the log lines of one request."""

import argparse
import json
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any, Final, NamedTuple

from bluebellhub.adapters.platform import Platform
from bluebellhub.cli.commands import CommandResult, command
from bluebellhub.errors import SettingsError

__all__ = ['LogLines', 'explain', 'read_lines']

EXIT_NONE_FOUND: Final = 1
REQUEST_FIELD: Final = 'request'


class LogLines(NamedTuple):
    """Rows of one request and the number of lines that are unreadable."""

    rows: list[dict[str, Any]]
    unreadable: int


@command(
    'explain',
    'collect the log lines of one request, ordered by time',
    request={'help': 'the id of the request'},
    files={'nargs': '+', 'type': Path, 'help': 'log files of the VMs'},
)
async def explain(
    platform: Platform, args: argparse.Namespace
) -> CommandResult:
    """Return the lines ordered by time; status 1 if no log has the id.

    Raises `SettingsError` for a file that cannot be read.
    """
    rows: list[dict[str, Any]] = []
    for path in args.files:
        log_lines = read_lines(_read_log_file(path), args.request, path.name)
        rows.extend(log_lines.rows)
        if log_lines.unreadable:
            print(
                f'{path}: ignored {log_lines.unreadable} lines that are not '
                'log records of bluebellhub',
                file=sys.stderr,
            )
    rows.sort(key=lambda row: row['time'])
    return CommandResult(rows, 0 if rows else EXIT_NONE_FOUND)


def _read_log_file(path: Path) -> Iterator[str]:
    """Return the lines of a file; raises `SettingsError`."""
    try:
        text = path.read_text(encoding='utf-8', errors='replace')
    except OSError as error:
        reason = error.strerror or 'unreadable'
        raise SettingsError('file', str(path), f'a log ({reason})') from None
    return iter(text.splitlines())


def read_lines(lines: Iterator[str], request: str, source: str) -> LogLines:
    """Read one log; a prefix may precede the JSON object of each line.

    Truncated lines and lines of other programs are counted as unreadable.
    """
    rows = []
    unreadable = 0
    for line in lines:
        before, brace, _ = line.partition('{')
        try:
            fields = json.loads(line[len(before) :])
        except ValueError:
            unreadable += bool(line.strip())
            continue
        if not brace or 'time' not in fields or 'message' not in fields:
            unreadable += 1
        elif fields.get(REQUEST_FIELD) == request:
            rows.append(_make_row(fields, before.strip() or source))
    return LogLines(rows, unreadable)


def _make_row(fields: dict[str, Any], source: str) -> dict[str, Any]:
    """Return a table row, whose last cell holds the remaining fields."""
    excluded_fields = {'time', 'message', 'level', 'logger', REQUEST_FIELD}
    rest = ' '.join(
        f'{name}={field}'
        for name, field in fields.items()
        if name not in excluded_fields
    )
    return {
        'time': fields['time'],
        'from': source,
        'message': fields['message'],
        'why': rest,
    }

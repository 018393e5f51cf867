"""The command that gathers what the logs say of one request."""

import argparse
import json
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any, Final, NamedTuple

from bluebellhub.adapters.platform import Platform
from bluebellhub.cli.commands import Table, command
from bluebellhub.errors import SettingsError

__all__ = ['Found', 'explain', 'read_lines']

NONE_FOUND: Final = 1
REQUEST: Final = 'request'


class Found(NamedTuple):
    """Lines of one request, and how many lines could not be read."""

    rows: list[dict[str, Any]]
    unread: int


@command(
    'explain',
    'gather the log lines of one request, in their order',
    request={'help': "the request's id"},
    files={'nargs': '+', 'type': Path, 'help': 'logs of the VMs'},
)
async def explain(platform: Platform, args: argparse.Namespace) -> Table:
    """Print the lines by time; status 1 if no log has the id.

    Raises `SettingsError` for a file that cannot be read.
    """
    rows: list[dict[str, Any]] = []
    for path in args.files:
        found = read_lines(_open(path), args.request, path.name)
        rows.extend(found.rows)
        if found.unread:
            print(
                f'{path}: {found.unread} lines are no log lines of ours',
                file=sys.stderr,
            )
    rows.sort(key=lambda row: row['time'])
    return Table(rows, 0 if rows else NONE_FOUND)


def _open(path: Path) -> Iterator[str]:
    try:
        text = path.read_text(encoding='utf-8', errors='replace')
    except OSError as error:
        reason = error.strerror or 'unreadable'
        raise SettingsError('file', str(path), f'a log ({reason})') from None
    return iter(text.splitlines())


def read_lines(lines: Iterator[str], request: str, source: str) -> Found:
    """Read one log; other text may stand before each line's object.

    Torn lines and lines of other writers are counted.
    """
    rows = []
    unread = 0
    for line in lines:
        before, brace, _ = line.partition('{')
        try:
            fields = json.loads(line[len(before) :])
        except ValueError:
            unread += bool(line.strip())
            continue
        if not brace or 'time' not in fields or 'message' not in fields:
            unread += 1
        elif fields.get(REQUEST) == request:
            rows.append(_row(fields, before.strip() or source))
    return Found(rows, unread)


def _row(fields: dict[str, Any], source: str) -> dict[str, Any]:
    """Return a table row: the rest of the fields in one cell."""
    apart = {'time', 'message', 'level', 'logger', REQUEST}
    rest = ' '.join(
        f'{name}={field}' for name, field in fields.items() if name not in apart
    )
    return {
        'time': fields['time'],
        'from': source,
        'message': fields['message'],
        'why': rest,
    }

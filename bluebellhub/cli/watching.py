"""Commands that print objects whenever they change."""

import argparse
import math
import sys
from collections.abc import Awaitable, Callable
from typing import Any, Final

import trio

from bluebellhub.adapters.platform import Platform
from bluebellhub.cli.commands import Table, command
from bluebellhub.cli.errors import MissingObjectError
from bluebellhub.errors import StoreUnavailableError

__all__ = ['ANY_NAME', 'Row', 'add_watch', 'changed_rows']

POLL_S: Final = 0.5
FOR: Final = {
    'type': float,
    'default': math.inf,
    'help': 'seconds to watch; without it until interrupted',
}
ANY_NAME: Final = {'nargs': '?', 'help': 'one object; all without it'}

Row = dict[str, Any]
Read = Callable[[Platform, str | None], Awaitable[list[Row]]]


def changed_rows(seen: dict[str, Row], rows: list[Row]) -> list[Row]:
    """Return the rows that differ from those seen, and take them as seen.

    A row is known by its first cell; one that is gone is returned with the
    state ``deleted``.
    """
    current = {str(next(iter(row.values()))): row for row in rows}
    changed = [row for key, row in current.items() if seen.get(key) != row]
    for key in seen.keys() - current.keys():
        column = next(iter(seen[key]))
        changed.append({column: key, 'state': 'deleted'})
    seen.clear()
    seen.update(current)
    return changed


def add_watch(noun: str, read: Read) -> None:
    """Register ``NOUN watch``, which prints the rows of ``read``."""

    @command(
        f'{noun} watch',
        f'print every change of {noun}s',
        name=ANY_NAME,
        opt_for_s=FOR,
    )
    async def watch(platform: Platform, args: argparse.Namespace) -> Table:
        seen: dict[str, Row] = {}
        with trio.move_on_after(args.for_s):
            while True:
                rows = await _read_patiently(platform, args.name, read)
                for row in changed_rows(seen, rows):
                    args.emit(row)
                await trio.sleep(POLL_S)
        return Table([], is_printed=True)


async def _read_patiently(
    platform: Platform, name: str | None, read: Read
) -> list[Row]:
    """Read the rows; while the platform gives no answer, try again."""
    is_told = False
    while True:
        try:
            return await read(platform, name)
        except MissingObjectError:
            return []
        except StoreUnavailableError as error:
            if not is_told:
                print(f'bluebellhub: {error}', file=sys.stderr)
            is_told = True
        await trio.sleep(POLL_S)

"""Commands that print objects when they change."""

import argparse
import math
import sys
from collections.abc import Awaitable, Callable
from typing import Any, Final

import trio

from bluebellhub.adapters.platform import Platform
from bluebellhub.cli.commands import CommandResult, command
from bluebellhub.cli.errors import MissingObjectError
from bluebellhub.errors import StoreUnavailableError

__all__ = ['ANY_NAME', 'Row', 'add_watch', 'changed_rows']

POLL_S: Final = 0.5
FOR_OPTION: Final = {
    'type': float,
    'default': math.inf,
    'help': 'seconds to watch; by default until interrupted',
}
ANY_NAME: Final = {'nargs': '?', 'help': 'one object; by default all'}

Row = dict[str, Any]
ReadRows = Callable[[Platform, str | None], Awaitable[list[Row]]]


def changed_rows(previous: dict[str, Row], rows: list[Row]) -> list[Row]:
    """Return the rows that changed, and store ``rows`` in ``previous``.

    The first cell of a row is its key.  A row that has disappeared is
    returned with the state ``deleted``.
    """
    current = {str(next(iter(row.values()))): row for row in rows}
    changed = [row for key, row in current.items() if previous.get(key) != row]
    for key in previous.keys() - current.keys():
        column = next(iter(previous[key]))
        changed.append({column: key, 'state': 'deleted'})
    previous.clear()
    previous.update(current)
    return changed


def add_watch(noun: str, read: ReadRows) -> None:
    """Register ``NOUN watch``, which prints changed rows of ``read``."""

    @command(
        f'{noun} watch',
        f'print every change of {noun}s',
        name=ANY_NAME,
        opt_for_s=FOR_OPTION,
    )
    async def watch(
        platform: Platform, args: argparse.Namespace
    ) -> CommandResult:
        previous: dict[str, Row] = {}
        with trio.move_on_after(args.for_s):
            while True:
                rows = await _read_until_available(platform, args.name, read)
                for row in changed_rows(previous, rows):
                    args.emit(row)
                await trio.sleep(POLL_S)
        return CommandResult([], is_printed=True)


async def _read_until_available(
    platform: Platform, name: str | None, read: ReadRows
) -> list[Row]:
    """Read the rows; retry while the platform does not respond.

    Only the first failure is reported.
    """
    is_reported = False
    while True:
        try:
            return await read(platform, name)
        except MissingObjectError:
            return []
        except StoreUnavailableError as error:
            if not is_reported:
                print(f'bluebellhub: {error}', file=sys.stderr)
            is_reported = True
        await trio.sleep(POLL_S)

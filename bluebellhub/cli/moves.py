"""Commands for version moves."""

import argparse
import time
from typing import Any, Final

import trio

from bluebellhub.adapters.platform import Platform, get_object
from bluebellhub.cli.commands import CommandResult, command
from bluebellhub.cli.errors import EXIT_FAILED, WaitTimeoutError
from bluebellhub.cli.objects import make_row
from bluebellhub.cli.stored_objects import (
    POLL_S,
    read_objects,
    update_object,
    write_object,
)
from bluebellhub.cli.watch import add_watch

__all__ = ['show_moves']

MODEL: Final = {'help': 'the model whose traffic moves'}
SHARE: Final = {
    'type': float,
    'default': 0.05,
    'help': 'largest share of requests until the version is proven',
}
TIMEOUT: Final = {'type': float, 'default': 3600.0, 'help': 'seconds to wait'}


@command(
    'move announce',
    'move a model to another version by a deadline',
    model=MODEL,
    opt_from_version={'required': True, 'help': 'the current version'},
    opt_to_version={'required': True, 'help': 'the version to move to'},
    opt_within_s={
        'type': float,
        'default': 600.0,
        'help': 'seconds from now until the move must be done',
    },
    opt_share=SHARE,
)
async def announce(
    platform: Platform, args: argparse.Namespace
) -> CommandResult:
    """Write the move, which its leader starts immediately."""
    fields = {
        'from_version': args.from_version,
        'to_version': args.to_version,
        'due_at': time.time() + args.within_s,
        'largest_unproven_share': args.share,
    }
    stored = await write_object(
        platform, 'version_move', args.model, fields, None
    )
    return CommandResult([make_row(stored)])


@command('move abort', 'roll a move back', model=MODEL)
async def abort(platform: Platform, args: argparse.Namespace) -> CommandResult:
    """Request an abort; the leader of the move then rolls it back."""
    stored = await update_object(
        platform, 'version_move', args.model, {'wanted': 'abort'}
    )
    return CommandResult([make_row(stored)])


async def _move_status(platform: Platform, model: str) -> dict[str, Any]:
    """Return a move and its status; one of an older move is ignored."""
    move = (await read_objects(platform, 'version_move', model))[0].spec or {}
    status = (await get_object(platform, 'move_status', model)).spec or {}
    is_current = status.get('to_version') == move.get('to_version')
    reported = status if is_current else {}
    return {
        'model': model,
        'to_version': move.get('to_version'),
        'state': reported.get('state', 'announced'),
        'step': reported.get('step', 0),
        'reason': reported.get('reason', ''),
        'leader': reported.get('leader', ''),
    }


@command('move show', 'show moves', model={'nargs': '?', 'help': 'one model'})
async def show_moves(
    platform: Platform, args: argparse.Namespace
) -> CommandResult:
    """Show the status of one move or of all moves."""
    return CommandResult(await _move_statuses(platform, args.model))


async def _move_statuses(
    platform: Platform, model: str | None
) -> list[dict[str, Any]]:
    if model:
        return [await _move_status(platform, model)]
    moves = await read_objects(platform, 'version_move', None)
    return [await _move_status(platform, move.name) for move in moves]


add_watch('move', _move_statuses)


@command(
    'move wait',
    'wait until a move is done or rolled back',
    model=MODEL,
    opt_timeout_s=TIMEOUT,
)
async def wait_for_move(
    platform: Platform, args: argparse.Namespace
) -> CommandResult:
    """Wait for the end of a move.

    The exit status is 0 if the move is done and 1 if it was rolled back.
    Raises `WaitTimeoutError`.
    """
    row: dict[str, Any] = {}
    with trio.move_on_after(args.timeout_s):
        while True:
            row = await _move_status(platform, args.model)
            if row['state'] in {'done', 'taken_back'}:
                failed = row['state'] == 'taken_back'
                return CommandResult([row], EXIT_FAILED if failed else 0)
            await trio.sleep(POLL_S)
    state = str(row.get('state', 'unknown'))
    raise WaitTimeoutError(f'move of {args.model}', args.timeout_s, state)

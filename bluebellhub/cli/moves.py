"""Commands on version moves."""

import argparse
import time
from typing import Any, Final

import trio

from bluebellhub.adapters.platform import Platform, get_object
from bluebellhub.cli.commands import Table, command
from bluebellhub.cli.errors import EXIT_FAILED, WaitTimeoutError
from bluebellhub.cli.objects import row_of
from bluebellhub.cli.storing import POLL_S, save, show, update
from bluebellhub.cli.watching import add_watch

__all__ = ['show_moves']

MODEL: Final = {'help': 'the model whose traffic moves'}
SHARE: Final = {
    'type': float,
    'default': 0.05,
    'help': 'largest ratio of requests while the version is unproven',
}
TIMEOUT: Final = {'type': float, 'default': 3600.0, 'help': 'seconds to wait'}


@command(
    'move announce',
    'move a model to another version by a time',
    model=MODEL,
    opt_from_version={'required': True, 'help': 'the version of today'},
    opt_to_version={'required': True, 'help': 'the version to move to'},
    opt_within_s={
        'type': float,
        'default': 600.0,
        'help': 'seconds from now by which the move is to be done',
    },
    opt_share=SHARE,
)
async def announce(platform: Platform, args: argparse.Namespace) -> Table:
    """Write the move; its leader begins at once."""
    fields = {
        'from_version': args.from_version,
        'to_version': args.to_version,
        'due_at': time.time() + args.within_s,
        'largest_unproven_share': args.share,
    }
    stored = await save(platform, 'version_move', args.model, fields, None)
    return Table([row_of(stored)])


@command('move abort', 'take a move back', model=MODEL)
async def abort(platform: Platform, args: argparse.Namespace) -> Table:
    """Ask the leader to take the new version back."""
    stored = await update(
        platform, 'version_move', args.model, {'wanted': 'abort'}
    )
    return Table([row_of(stored)])


async def _standing(platform: Platform, model: str) -> dict[str, Any]:
    move = (await show(platform, 'version_move', model))[0].spec or {}
    status = (await get_object(platform, 'move_status', model)).spec or {}
    current = status.get('to_version') == move.get('to_version')
    known = status if current else {}
    return {
        'model': model,
        'to_version': move.get('to_version'),
        'state': known.get('state', 'announced'),
        'step': known.get('step', 0),
        'reason': known.get('reason', ''),
        'leader': known.get('leader', ''),
    }


@command('move show', 'show moves', model={'nargs': '?', 'help': 'one model'})
async def show_moves(platform: Platform, args: argparse.Namespace) -> Table:
    """Show the standing of one move or of all."""
    return Table(await _standings(platform, args.model))


async def _standings(
    platform: Platform, model: str | None
) -> list[dict[str, Any]]:
    if model:
        return [await _standing(platform, model)]
    moves = await show(platform, 'version_move', None)
    return [await _standing(platform, move.name) for move in moves]


add_watch('move', _standings)


@command(
    'move wait',
    'wait until a move is done or taken back',
    model=MODEL,
    opt_timeout_s=TIMEOUT,
)
async def wait_for_move(platform: Platform, args: argparse.Namespace) -> Table:
    """Exit with 0 when the move is done, with 1 when it is taken back."""
    standing: dict[str, Any] = {}
    with trio.move_on_after(args.timeout_s):
        while True:
            standing = await _standing(platform, args.model)
            if standing['state'] in {'done', 'taken_back'}:
                failed = standing['state'] == 'taken_back'
                return Table([standing], EXIT_FAILED if failed else 0)
            await trio.sleep(POLL_S)
    state = str(standing.get('state', 'unknown'))
    raise WaitTimeoutError(f'move of {args.model}', args.timeout_s, state)

"""Commands on contracts, upstreams and failure domains."""

import argparse
from functools import partial
from typing import Any, Final

from bluebellhub.adapters.platform import Platform
from bluebellhub.cli.commands import Table, command
from bluebellhub.cli.storing import (
    read_documents,
    remove,
    save,
    show,
    update,
    wait_in_force,
)
from bluebellhub.cli.watching import ANY_NAME, add_watch
from bluebellhub.configuration import StoredObject

__all__ = ['row_of']

HIDDEN_FIELDS: Final = frozenset(('key_sha256',))
FILE: Final = {'help': 'a YAML file with one object a document'}
NAME: Final = {'help': 'the name of the object'}
WAIT: Final = {
    'action': 'store_true',
    'help': 'wait until it is in force on every VM',
}
TIMEOUT: Final = {'type': float, 'default': 30.0, 'help': 'seconds to wait'}
VERSION: Final = {
    'type': int,
    'help': 'write only if the object is at this version',
}


def row_of(stored: StoredObject) -> dict[str, Any]:
    """Return an object as a row, without secrets."""
    fields = stored.spec or {}
    shown = {
        name: found
        for name, found in fields.items()
        if name not in HIDDEN_FIELDS
    }
    return {'name': stored.name, 'version': stored.version, **shown}


async def _apply(
    platform: Platform, kind: str, args: argparse.Namespace
) -> Table:
    rows = []
    for name, fields in read_documents(args.file):
        stored = await save(platform, kind, name, fields, args.version)
        if args.wait:
            await wait_in_force(
                platform, kind, name, stored.version, args.timeout_s
            )
        state = 'in force' if args.wait else 'accepted'
        rows.append({'name': name, 'version': stored.version, 'state': state})
    return Table(rows)


async def _rows(
    kind: str, platform: Platform, name: str | None
) -> list[dict[str, Any]]:
    found = await show(platform, kind, name)
    return [row_of(stored) for stored in found]


async def _show(
    platform: Platform, kind: str, args: argparse.Namespace
) -> Table:
    return Table(await _rows(kind, platform, args.name))


def _add_kind(noun: str, kind: str) -> None:
    """Register apply, show, watch and delete for a kind of object."""

    @command(
        f'{noun} apply',
        f'write {noun}s from a file',
        file=FILE,
        opt_version=VERSION,
        opt_wait=WAIT,
        opt_timeout_s=TIMEOUT,
    )
    async def apply_objects(
        platform: Platform, args: argparse.Namespace
    ) -> Table:
        return await _apply(platform, kind, args)

    @command(f'{noun} show', f'show {noun}s', name=ANY_NAME)
    async def show_objects(
        platform: Platform, args: argparse.Namespace
    ) -> Table:
        return await _show(platform, kind, args)

    add_watch(noun, partial(_rows, kind))

    @command(f'{noun} delete', f'delete a {noun}', name=NAME)
    async def delete_one(platform: Platform, args: argparse.Namespace) -> Table:
        stored = await remove(platform, kind, args.name)
        row = {'name': args.name, 'version': stored.version}
        return Table([{**row, 'state': 'deleted'}])


_add_kind('contract', 'contract')
_add_kind('upstream', 'upstream')


async def _set_and_wait(
    platform: Platform,
    kind: str,
    args: argparse.Namespace,
    changes: dict[str, Any],
    defaults: dict[str, Any] | None = None,
) -> Table:
    stored = await update(platform, kind, args.name, changes, defaults)
    row = row_of(stored)
    if args.wait:
        await wait_in_force(
            platform, kind, args.name, stored.version, args.timeout_s
        )
        row['progress'] = 'in force everywhere'
    return Table([row])


def _add_change(
    name: str, help_text: str, kind: str, changes: dict[str, Any]
) -> None:
    """Register a command that sets fields of one object."""
    defaults: dict[str, Any] | None = None
    if kind == 'failure_domain':
        defaults = {}

    @command(name, help_text, name=NAME, opt_wait=WAIT, opt_timeout_s=TIMEOUT)
    async def change(platform: Platform, args: argparse.Namespace) -> Table:
        return await _set_and_wait(platform, kind, args, changes, defaults)


_add_change(
    'domain out',
    'keep new work away from a failure domain',
    'failure_domain',
    {'state': 'out'},
)
_add_change(
    'domain in',
    'let a failure domain take work again',
    'failure_domain',
    {'state': 'in'},
)
_add_change(
    'upstream leave',
    'keep new work away from an upstream',
    'upstream',
    {'leaving': True},
)
_add_change(
    'upstream return',
    'let an upstream take work again',
    'upstream',
    {'leaving': False},
)


@command('domain show', 'show failure domains', name=ANY_NAME)
async def show_domains(platform: Platform, args: argparse.Namespace) -> Table:
    """Show failure domains that were ever changed."""
    return await _show(platform, 'failure_domain', args)


@command(
    'change wait',
    'wait until the newest version of an object is in force',
    kind={'help': 'contract, upstream, failure_domain or version_move'},
    name=NAME,
    opt_timeout_s=TIMEOUT,
)
async def wait_for_change(
    platform: Platform, args: argparse.Namespace
) -> Table:
    """Wait for the version that the object has now."""
    stored = (await show(platform, args.kind, args.name))[0]
    await wait_in_force(
        platform, args.kind, args.name, stored.version, args.timeout_s
    )
    row = {'kind': args.kind, 'name': args.name}
    return Table([{**row, 'version': stored.version, 'state': 'in force'}])


@command('change show', 'show which changes are in force', name=ANY_NAME)
async def show_changes(platform: Platform, args: argparse.Namespace) -> Table:
    """Show the changes that every VM has put in force."""
    return await _show(platform, 'change_status', args)


add_watch('domain', partial(_rows, 'failure_domain'))
add_watch('change', partial(_rows, 'change_status'))

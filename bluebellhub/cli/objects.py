"""Commands for contracts, upstreams and failure domains."""

import argparse
from functools import partial
from typing import Any, Final

from bluebellhub.adapters.platform import Platform
from bluebellhub.cli.commands import CommandResult, command
from bluebellhub.cli.stored_objects import (
    delete_existing,
    read_documents,
    read_objects,
    update_object,
    wait_until_active,
    write_object,
)
from bluebellhub.cli.watch import ANY_NAME, add_watch
from bluebellhub.configuration import StoredObject

__all__ = ['make_row']

HIDDEN_FIELDS: Final = frozenset(('key_sha256',))
FILE: Final = {'help': 'a YAML file with one object per document'}
NAME: Final = {'help': 'the name of the object'}
WAIT: Final = {
    'action': 'store_true',
    'help': 'wait until the change is in force on every VM',
}
TIMEOUT: Final = {'type': float, 'default': 30.0, 'help': 'seconds to wait'}
VERSION: Final = {
    'type': int,
    'help': 'write only if the object is at this version',
}


def make_row(stored: StoredObject) -> dict[str, Any]:
    """Return an object as a row, without its secret fields."""
    fields = stored.spec or {}
    visible_fields = {
        name: field
        for name, field in fields.items()
        if name not in HIDDEN_FIELDS
    }
    return {'name': stored.name, 'version': stored.version, **visible_fields}


async def _apply(
    platform: Platform, kind: str, args: argparse.Namespace
) -> CommandResult:
    """Write the objects of a file and, if requested, wait for them."""
    rows = []
    for name, fields in read_documents(args.file):
        stored = await write_object(platform, kind, name, fields, args.version)
        if args.wait:
            await wait_until_active(
                platform, kind, name, stored.version, args.timeout_s
            )
        state = 'in force' if args.wait else 'accepted'
        rows.append({'name': name, 'version': stored.version, 'state': state})
    return CommandResult(rows)


async def _make_rows(
    kind: str, platform: Platform, name: str | None
) -> list[dict[str, Any]]:
    objects = await read_objects(platform, kind, name)
    return [make_row(stored) for stored in objects]


async def _show(
    platform: Platform, kind: str, args: argparse.Namespace
) -> CommandResult:
    return CommandResult(await _make_rows(kind, platform, args.name))


def _add_commands(noun: str, kind: str) -> None:
    """Register the apply, show, watch and delete commands of a kind."""

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
    ) -> CommandResult:
        return await _apply(platform, kind, args)

    @command(f'{noun} show', f'show {noun}s', name=ANY_NAME)
    async def show_objects(
        platform: Platform, args: argparse.Namespace
    ) -> CommandResult:
        return await _show(platform, kind, args)

    add_watch(noun, partial(_make_rows, kind))

    @command(f'{noun} delete', f'delete a {noun}', name=NAME)
    async def delete_object(
        platform: Platform, args: argparse.Namespace
    ) -> CommandResult:
        stored = await delete_existing(platform, kind, args.name)
        row = {'name': args.name, 'version': stored.version}
        return CommandResult([{**row, 'state': 'deleted'}])


_add_commands('contract', 'contract')
_add_commands('upstream', 'upstream')


async def _set_and_wait(
    platform: Platform,
    kind: str,
    args: argparse.Namespace,
    changes: dict[str, Any],
    defaults: dict[str, Any] | None = None,
) -> CommandResult:
    """Change fields of an object and, if requested, wait for the change."""
    stored = await update_object(platform, kind, args.name, changes, defaults)
    row = make_row(stored)
    if args.wait:
        await wait_until_active(
            platform, kind, args.name, stored.version, args.timeout_s
        )
        row['progress'] = 'in force everywhere'
    return CommandResult([row])


def _add_change_command(
    name: str, help_text: str, kind: str, changes: dict[str, Any]
) -> None:
    """Register a command that sets ``changes`` in one object.

    A failure domain without a stored object gets one.
    """
    defaults: dict[str, Any] | None = None
    if kind == 'failure_domain':
        defaults = {}

    @command(name, help_text, name=NAME, opt_wait=WAIT, opt_timeout_s=TIMEOUT)
    async def change_object(
        platform: Platform, args: argparse.Namespace
    ) -> CommandResult:
        return await _set_and_wait(platform, kind, args, changes, defaults)


_add_change_command(
    'domain out',
    'stop sending new requests to a failure domain',
    'failure_domain',
    {'state': 'out'},
)
_add_change_command(
    'domain in',
    'send requests to a failure domain again',
    'failure_domain',
    {'state': 'in'},
)
_add_change_command(
    'upstream leave',
    'stop sending new requests to an upstream',
    'upstream',
    {'leaving': True},
)
_add_change_command(
    'upstream return',
    'send requests to an upstream again',
    'upstream',
    {'leaving': False},
)


@command('domain show', 'show failure domains', name=ANY_NAME)
async def show_domains(
    platform: Platform, args: argparse.Namespace
) -> CommandResult:
    """Show the failure domains that have a stored object."""
    return await _show(platform, 'failure_domain', args)


@command(
    'change wait',
    'wait until the current version of an object is in force',
    kind={'help': 'contract, upstream, failure_domain or version_move'},
    name=NAME,
    opt_timeout_s=TIMEOUT,
)
async def wait_for_change(
    platform: Platform, args: argparse.Namespace
) -> CommandResult:
    """Wait until the object's current version is in force everywhere."""
    stored = (await read_objects(platform, args.kind, args.name))[0]
    await wait_until_active(
        platform, args.kind, args.name, stored.version, args.timeout_s
    )
    row = {'kind': args.kind, 'name': args.name}
    return CommandResult(
        [{**row, 'version': stored.version, 'state': 'in force'}]
    )


@command('change show', 'show which changes are in force', name=ANY_NAME)
async def show_changes(
    platform: Platform, args: argparse.Namespace
) -> CommandResult:
    """Show the changes that are in force on every VM."""
    return await _show(platform, 'change_status', args)


add_watch('domain', partial(_make_rows, 'failure_domain'))
add_watch('change', partial(_make_rows, 'change_status'))

"""The command that shows the status of VMs."""

import argparse
from typing import Any

import httpx

from bluebellhub.adapters.platform import Platform, VmEntry, list_vms
from bluebellhub.cli.commands import CommandResult, command

__all__ = ['show_status']

TIMEOUT_S = 2.0


@command(
    'status',
    'show the status of VMs',
    address={'nargs': '*', 'help': 'IP address and port for callers of VMs'},
)
async def show_status(
    platform: Platform, args: argparse.Namespace
) -> CommandResult:
    """Request the status of each address; without any, show the VM list.

    The exit status is 1 if the state of any VM is not ``ok``.
    """
    if not args.address:
        return CommandResult(
            [_make_row(entry) for entry in await list_vms(platform)]
        )
    rows = [await _request_status(address) for address in args.address]
    failed = any(row['state'] != 'ok' for row in rows)
    return CommandResult(rows, 1 if failed else 0)


def _make_row(entry: VmEntry) -> dict[str, Any]:
    return entry._asdict()


async def _request_status(address: str) -> dict[str, Any]:
    """Return the status of one VM, or the reason for its absence."""
    async with httpx.AsyncClient(timeout=TIMEOUT_S) as client:
        try:
            response = await client.get(f'http://{address}/status')
        except httpx.HTTPError as error:
            reason = type(error).__name__
            return {'address': address, 'state': f'no answer ({reason})'}
    return {'address': address, **response.json()}

"""The command that shows how the VMs are."""

import argparse
from typing import Any

import httpx

from bluebellhub.adapters.platform import Platform, VmEntry, list_vms
from bluebellhub.cli.commands import Table, command

__all__ = ['show_status']

TIMEOUT_S = 2.0


@command(
    'status',
    'ask VMs for their state',
    address={'nargs': '*', 'help': "callers' IP number and port of VMs"},
)
async def show_status(platform: Platform, args: argparse.Namespace) -> Table:
    """Ask each address; without any, show the platform's VM list."""
    if not args.address:
        return Table([_row(entry) for entry in await list_vms(platform)])
    rows = [await _ask(address) for address in args.address]
    failed = any(row['state'] != 'ok' for row in rows)
    return Table(rows, 1 if failed else 0)


def _row(entry: VmEntry) -> dict[str, Any]:
    return entry._asdict()


async def _ask(address: str) -> dict[str, Any]:
    async with httpx.AsyncClient(timeout=TIMEOUT_S) as client:
        try:
            response = await client.get(f'http://{address}/status')
        except httpx.HTTPError as error:
            reason = type(error).__name__
            return {'address': address, 'state': f'no answer ({reason})'}
    return {'address': address, **response.json()}

"""Configuration objects and VMs of the demonstration."""

from typing import Any, Final

import httpx
import trio

from bluebellhub.adapters.platform import make_platform, put_object
from bluebellhub.contract import hash_key
from bluebellhub.errors import StoreUnavailableError
from demo.calls import HUBS, call, chat

__all__ = ['PLATFORM', 'configure_fleet']

PLATFORM: Final = '127.0.0.1:18000'
FAILURE_DOMAINS: Final = ('rennes', 'vannes', 'brest')


def _make_objects() -> list[tuple[str, str, dict[str, Any]]]:
    key_hash = hash_key('orchard')
    objects: list[tuple[str, str, dict[str, Any]]] = [
        (
            'contract',
            'yard',
            {
                'key_sha256': key_hash,
                'tiers': ['check', 'plan'],
                'models': ['hire-assistant'],
                'services': ['bookings'],
            },
        ),
        (
            'contract',
            'orchardist',
            {
                'key_sha256': key_hash,
                'tiers': ['check'],
                'models': ['hire-assistant'],
            },
        ),
        (
            'upstream',
            'bookings-1',
            {
                'address': '127.0.0.1:18401',
                'targets': ['bookings'],
                'failure_domain': 'brest',
                'kind': 'service',
                'cold_window': 8,
            },
        ),
    ]
    for number, domain in enumerate(FAILURE_DOMAINS, start=1):
        spec = {
            'address': f'127.0.0.1:1830{number}',
            'targets': ['hire-assistant'],
            'failure_domain': domain,
        }
        objects.append(('upstream', f'hire-{number}', spec))
    return objects


async def configure_fleet(client: httpx.AsyncClient) -> None:
    """Write the objects and the VM list, and wait until all hubs serve."""
    platform = make_platform(PLATFORM)
    async with platform.client:
        for kind, name, spec in _make_objects():
            await _put_with_retries(platform, kind, name, spec)
    vms = [
        [f'hub-{number}', f'127.0.0.1:1820{number}', domain]
        for number, domain in enumerate(FAILURE_DOMAINS, start=1)
    ]
    await client.post(f'http://{PLATFORM}/control', json={'vms': vms})
    for hub in range(len(HUBS)):
        await _wait_until_serving(client, hub)


async def _put_with_retries(
    platform: Any, kind: str, name: str, spec: dict[str, Any]
) -> None:
    """Create an object, and retry until the platform is available."""
    while True:
        try:
            await put_object(platform, kind, name, spec, 0)
        except StoreUnavailableError:
            await trio.sleep(0.2)
        else:
            return


async def _wait_until_serving(client: httpx.AsyncClient, hub: int) -> None:
    while True:
        try:
            response = await call(
                client, hub, '/v1/chat/completions', chat('hi', 1)
            )
        except httpx.HTTPError:
            await trio.sleep(0.2)
            continue
        if response.status == 200:
            return
        await trio.sleep(0.2)

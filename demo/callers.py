"""Scenes of callers and an operator, played on the demonstration fleet."""

import argparse
import sys
from collections.abc import Awaitable, Callable
from typing import Final

import httpx
import trio

from bluebellhub.adapters.platform import make_platform, put_object
from bluebellhub.errors import HubError
from bluebellhub.registry import Registry, make_registry
from demo.calls import HUBS, call, chat
from demo.site import PLATFORM, configure_fleet

__all__ = ['main', 'scenes']

READY_TIMEOUT_S: Final = 60.0


class SceneError(HubError):
    """A scene had an unexpected outcome."""


Scene = Callable[[httpx.AsyncClient], Awaitable[str]]
scenes: Registry[Scene] = make_registry('scene')


def require(*, condition: bool, detail: str) -> None:
    """Raise `SceneError` with ``detail`` unless ``condition`` is true."""
    if not condition:
        raise SceneError(detail)


@scenes.register('1 a streamed plan through hub-1')
async def stream_plan(client: httpx.AsyncClient) -> str:
    """Stream a long response of tier ``plan`` token by token."""
    body = chat('Plan ladders for the cider harvest. ' * 60, 40, stream=True)
    response = await call(
        client, 0, '/v1/chat/completions', body, X_Tier='plan'
    )
    require(condition=response.status == 200, detail=response.text)
    require(
        condition='tok39 ' in response.text, detail='the last token is missing'
    )
    require(condition='[DONE]' in response.text, detail='the end is missing')
    return '40 tokens, whole'


@scenes.register('2 quick checks through all hubs')
async def check_all_hubs(client: httpx.AsyncClient) -> str:
    """Send short requests of two accounts through each hub."""
    for hub in range(len(HUBS)):
        for account in ('yard', 'orchardist'):
            body = chat('Is a 6 m ladder free on Monday?', 5)
            response = await call(
                client,
                hub,
                '/v1/chat/completions',
                body,
                account,
                X_Tier='check',
            )
            require(condition=response.status == 200, detail=response.text)
            require(condition='tok4 ' in response.text, detail=response.text)
    return '6 whole answers'


@scenes.register('3 a booking with one key, sent to two hubs')
async def book_idempotently(client: httpx.AsyncClient) -> str:
    """Send a booking with one idempotency key to two hubs.

    The second hub returns the stored response of the first execution.
    """
    body = {'ladder': 7, 'day': 'Monday'}
    first = await call(
        client, 0, '/services/bookings/bookings', body, Idempotency_Key='k1'
    )
    require(condition=first.status == 201, detail=first.text)
    second = first._replace(status=0)
    for _ in range(20):
        second = await call(
            client,
            1,
            '/services/bookings/bookings',
            body,
            Idempotency_Key='k1',
        )
        if second.status == 201:
            break
        await trio.sleep(0.1)
    require(condition=second == first, detail=f'{second} after {first}')
    listing = await client.get(
        f'http://{HUBS[2]}/services/bookings/bookings',
        headers={'Authorization': 'Bearer yard.orchard'},
    )
    booking_count = sum(listing.json().values())
    require(
        condition=booking_count == 1, detail=f'{booking_count} bookings ran'
    )
    return 'ran once, answered twice'


@scenes.register('4 refusals')
async def check_refusals(client: httpx.AsyncClient) -> str:
    """Check the refusals of three invalid requests.

    They have a wrong API key, a tier that isn't in the contract, and an
    idempotency key that was used for another body.
    """
    wrong_key = await call(
        client, 0, '/v1/chat/completions', chat('hi', 1), 'nobody'
    )
    require(condition=wrong_key.status == 401, detail=wrong_key.text)
    foreign_tier = await call(
        client,
        1,
        '/v1/chat/completions',
        chat('hi', 1),
        'orchardist',
        X_Tier='plan',
    )
    require(condition=foreign_tier.status == 403, detail=foreign_tier.text)
    reused_key = await call(
        client,
        2,
        '/services/bookings/bookings',
        {'ladder': 8},
        Idempotency_Key='k1',
    )
    require(condition=reused_key.status == 422, detail=reused_key.text)
    require(condition='"run":"no"' in reused_key.text, detail=reused_key.text)
    return 'unauthenticated, not_allowed, key_reuse; run: no'


@scenes.register('5 a failure domain out and back')
async def evacuate_domain(client: httpx.AsyncClient) -> str:
    """Take a failure domain out and back while requests are served."""
    platform = make_platform(PLATFORM)
    async with platform.client:
        await put_object(
            platform, 'failure_domain', 'rennes', {'state': 'out'}, 0
        )
        await trio.sleep(3)
        domains_by_hub = [await _read_domains_out(client, hub) for hub in HUBS]
        require(
            condition=domains_by_hub == [['rennes'] for _ in HUBS],
            detail=str(domains_by_hub),
        )
        for hub in range(len(HUBS)):
            body = chat('Is a ladder free?', 3)
            response = await call(client, hub, '/v1/chat/completions', body)
            require(condition=response.status == 200, detail=response.text)
        await put_object(
            platform, 'failure_domain', 'rennes', {'state': 'in'}, 1
        )
    return 'out on all hubs within 3 s; checks answered meanwhile'


async def _read_domains_out(client: httpx.AsyncClient, hub: str) -> list[str]:
    response = await client.get(f'http://{hub}/status')
    return response.json()['domains_out']


async def run_scenes() -> bool:
    """Run all scenes; returns whether all passed."""
    all_passed = True
    async with httpx.AsyncClient(timeout=30.0) as client:
        with trio.fail_after(READY_TIMEOUT_S):
            await configure_fleet(client)
        print('three hubs serve in rennes, vannes and brest')
        for name in scenes.names():
            try:
                result = await scenes.find(name)(client)
            except (HubError, httpx.HTTPError) as error:
                all_passed = False
                result = f'FAILED: {type(error).__name__}: {error}'
            print(f'{name}: {result}')
    print('all scenes went well' if all_passed else 'something went wrong')
    return all_passed


def main() -> None:
    """Run the scenes; exits with status 1 if one failed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('processes', nargs='?', help='ids, for reference')
    parser.parse_args()
    sys.exit(0 if trio.run(run_scenes) else 1)


if __name__ == '__main__':
    main()

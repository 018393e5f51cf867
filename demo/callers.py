"""Callers and an operator of the demonstration fleet."""

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
from demo.site import PLATFORM, set_up

__all__ = ['main', 'scenes']

READY_TIMEOUT_S: Final = 60.0


class SceneError(HubError):
    """A scene did not go as it should."""


Scene = Callable[[httpx.AsyncClient], Awaitable[str]]
scenes: Registry[Scene] = make_registry('scene')


def expect(*, holds: bool, detail: str) -> None:
    """Raise `SceneError` unless the condition holds."""
    if not holds:
        raise SceneError(detail)


@scenes.register('1 a streamed plan through hub-1')
async def stream_plan(client: httpx.AsyncClient) -> str:
    """A grower's long plan arrives token by token."""
    body = chat('Plan ladders for the cider harvest. ' * 60, 40, stream=True)
    answer = await call(client, 0, '/v1/chat/completions', body, X_Tier='plan')
    expect(holds=answer.status == 200, detail=answer.text)
    expect(holds='tok39 ' in answer.text, detail='the last token is missing')
    expect(holds='[DONE]' in answer.text, detail='the end is missing')
    return '40 tokens, whole'


@scenes.register('2 quick checks through all hubs')
async def quick_checks(client: httpx.AsyncClient) -> str:
    """Checks of two accounts are answered at once."""
    for hub in range(len(HUBS)):
        for account in ('yard', 'orchardist'):
            body = chat('Is a 6 m ladder free on Monday?', 5)
            answer = await call(
                client,
                hub,
                '/v1/chat/completions',
                body,
                account,
                X_Tier='check',
            )
            expect(holds=answer.status == 200, detail=answer.text)
            expect(holds='tok4 ' in answer.text, detail=answer.text)
    return '6 whole answers'


@scenes.register('3 a booking with one key, sent to two hubs')
async def book_once(client: httpx.AsyncClient) -> str:
    """The second hub returns the first one's outcome."""
    body = {'ladder': 7, 'day': 'Monday'}
    first = await call(
        client, 0, '/services/bookings/bookings', body, Idempotency_Key='k1'
    )
    expect(holds=first.status == 201, detail=first.text)
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
    expect(holds=second == first, detail=f'{second} after {first}')
    listing = await client.get(
        f'http://{HUBS[2]}/services/bookings/bookings',
        headers={'Authorization': 'Bearer yard.orchard'},
    )
    runs = sum(listing.json().values())
    expect(holds=runs == 1, detail=f'{runs} bookings ran')
    return 'ran once, answered twice'


@scenes.register('4 refusals')
async def refusals(client: httpx.AsyncClient) -> str:
    """A wrong key, a foreign tier and a reused key are refused."""
    wrong = await call(
        client, 0, '/v1/chat/completions', chat('hi', 1), 'nobody'
    )
    expect(holds=wrong.status == 401, detail=wrong.text)
    tier = await call(
        client,
        1,
        '/v1/chat/completions',
        chat('hi', 1),
        'orchardist',
        X_Tier='plan',
    )
    expect(holds=tier.status == 403, detail=tier.text)
    reused = await call(
        client,
        2,
        '/services/bookings/bookings',
        {'ladder': 8},
        Idempotency_Key='k1',
    )
    expect(holds=reused.status == 422, detail=reused.text)
    expect(holds='"run":"no"' in reused.text, detail=reused.text)
    return 'unauthenticated, not_allowed, key_reuse; run: no'


@scenes.register('5 a failure domain out and back')
async def domain_out(client: httpx.AsyncClient) -> str:
    """Work goes to the other domains while one is out."""
    platform = make_platform(PLATFORM)
    async with platform.client:
        await put_object(
            platform, 'failure_domain', 'rennes', {'state': 'out'}, 0
        )
        await trio.sleep(3)
        hubs = [await _domains_out(client, hub) for hub in HUBS]
        expect(holds=hubs == [['rennes'] for _ in HUBS], detail=str(hubs))
        for hub in range(len(HUBS)):
            body = chat('Is a ladder free?', 3)
            answer = await call(client, hub, '/v1/chat/completions', body)
            expect(holds=answer.status == 200, detail=answer.text)
        await put_object(
            platform, 'failure_domain', 'rennes', {'state': 'in'}, 1
        )
    return 'out on all hubs within 3 s; checks answered meanwhile'


async def _domains_out(client: httpx.AsyncClient, hub: str) -> list[str]:
    response = await client.get(f'http://{hub}/status')
    return response.json()['domains_out']


async def play() -> bool:
    """Play all scenes; returns whether all went well."""
    good = True
    async with httpx.AsyncClient(timeout=30.0) as client:
        with trio.fail_after(READY_TIMEOUT_S):
            await set_up(client)
        print('three hubs serve in rennes, vannes and brest')
        for name in scenes.names():
            try:
                told = await scenes.find(name)(client)
            except (HubError, httpx.HTTPError) as error:
                good = False
                told = f'FAILED: {type(error).__name__}: {error}'
            print(f'{name}: {told}')
    print('all scenes went well' if good else 'something went wrong')
    return good


def main() -> None:
    """Play the scenes; exits with 1 if one failed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('processes', nargs='?', help='ids, for reference')
    parser.parse_args()
    sys.exit(0 if trio.run(play) else 1)


if __name__ == '__main__':
    main()

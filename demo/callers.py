"""Callers and an operator of the demonstration fleet."""

import argparse
import sys
from collections.abc import Awaitable, Callable
from typing import Any, Final, NamedTuple

import httpx
import trio

from bluebellhub.adapters.platform import make_platform, put_object
from bluebellhub.contract import hash_key
from bluebellhub.errors import HubError, StoreUnavailableError
from bluebellhub.registry import Registry, make_registry

__all__ = ['main', 'scenes']

PLATFORM: Final = '127.0.0.1:18000'
HUBS: Final = ('127.0.0.1:18101', '127.0.0.1:18102', '127.0.0.1:18103')
READY_TIMEOUT_S: Final = 60.0
UNAVAILABLE: Final = 503
TRIES: Final = 5
DOMAINS: Final = ('rennes', 'vannes', 'brest')


class SceneError(HubError):
    """A scene did not go as it should."""


class Answer(NamedTuple):
    """An HTTP answer's status and body."""

    status: int
    text: str


Scene = Callable[[httpx.AsyncClient], Awaitable[str]]
scenes: Registry[Scene] = make_registry('scene')


def expect(*, holds: bool, detail: str) -> None:
    """Raise `SceneError` unless the condition holds."""
    if not holds:
        raise SceneError(detail)


async def call(
    client: httpx.AsyncClient,
    hub: int,
    path: str,
    body: dict[str, Any],
    account: str = 'yard',
    **headers: str,
) -> Answer:
    """Send a request; after a refusal for want of capacity, try again."""
    names = {name.replace('_', '-'): text for name, text in headers.items()}
    answer = Answer(UNAVAILABLE, '')
    for _ in range(TRIES):
        response = await client.post(
            f'http://{HUBS[hub]}{path}',
            json=body,
            headers={'Authorization': f'Bearer {account}.orchard', **names},
        )
        answer = Answer(response.status_code, response.text)
        if answer.status != UNAVAILABLE:
            break
        await trio.sleep(int(response.headers.get('Retry-After', '1')))
    return answer


def chat(text: str, tokens: int, **fields: Any) -> dict[str, Any]:
    """Return the body of a completion request."""
    message = {'role': 'user', 'content': text}
    return {
        'model': 'hire-assistant',
        'messages': [message],
        'max_tokens': tokens,
        **fields,
    }


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


def _objects() -> list[tuple[str, str, dict[str, Any]]]:
    key = hash_key('orchard')
    found: list[tuple[str, str, dict[str, Any]]] = [
        (
            'contract',
            'yard',
            {
                'key_sha256': key,
                'tiers': ['check', 'plan'],
                'models': ['hire-assistant'],
                'services': ['bookings'],
            },
        ),
        (
            'contract',
            'orchardist',
            {
                'key_sha256': key,
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
    for number, domain in enumerate(DOMAINS, start=1):
        spec = {
            'address': f'127.0.0.1:1830{number}',
            'targets': ['hire-assistant'],
            'failure_domain': domain,
        }
        found.append(('upstream', f'hire-{number}', spec))
    return found


async def _set_up(client: httpx.AsyncClient) -> None:
    """Write the objects and wait until the fleet serves."""
    platform = make_platform(PLATFORM)
    async with platform.client:
        for kind, name, spec in _objects():
            await _put_patiently(platform, kind, name, spec)
    vms = [
        [f'hub-{number}', f'127.0.0.1:1820{number}', domain]
        for number, domain in enumerate(DOMAINS, start=1)
    ]
    await client.post(f'http://{PLATFORM}/control', json={'vms': vms})
    for hub in range(len(HUBS)):
        await _wait_until_served(client, hub)


async def _put_patiently(
    platform: Any, kind: str, name: str, spec: dict[str, Any]
) -> None:
    while True:
        try:
            await put_object(platform, kind, name, spec, 0)
        except StoreUnavailableError:
            await trio.sleep(0.2)
        else:
            return


async def _wait_until_served(client: httpx.AsyncClient, hub: int) -> None:
    while True:
        try:
            answer = await call(
                client, hub, '/v1/chat/completions', chat('hi', 1)
            )
        except httpx.HTTPError:
            await trio.sleep(0.2)
            continue
        if answer.status == 200:
            return
        await trio.sleep(0.2)


async def play() -> bool:
    """Play all scenes; returns whether all went well."""
    good = True
    async with httpx.AsyncClient(timeout=30.0) as client:
        with trio.fail_after(READY_TIMEOUT_S):
            await _set_up(client)
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

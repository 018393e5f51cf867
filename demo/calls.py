"""Requests of the demonstration's callers."""

from typing import Any, Final, NamedTuple

import httpx
import trio

__all__ = ['HUBS', 'Answer', 'call', 'chat']

HUBS: Final = ('127.0.0.1:18101', '127.0.0.1:18102', '127.0.0.1:18103')
UNAVAILABLE: Final = 503
TRIES: Final = 5


class Answer(NamedTuple):
    """An HTTP answer's status and body."""

    status: int
    text: str


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

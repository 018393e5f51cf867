"""Requests that callers send in the demonstration."""

from typing import Any, Final, NamedTuple

import httpx
import trio

__all__ = ['HUBS', 'CallResponse', 'call', 'chat']

HUBS: Final = ('127.0.0.1:18101', '127.0.0.1:18102', '127.0.0.1:18103')
UNAVAILABLE: Final = 503
ATTEMPTS_MAX: Final = 5


class CallResponse(NamedTuple):
    """Status and body of an HTTP response."""

    status: int
    text: str


async def call(
    client: httpx.AsyncClient,
    hub: int,
    path: str,
    body: dict[str, Any],
    account: str = 'yard',
    **headers: str,
) -> CallResponse:
    """Send a request, and again after a refusal for lack of capacity.

    Returns the last response after at most ``ATTEMPTS_MAX`` attempts.
    Underscores in the names of ``headers`` stand for hyphens.
    """
    extra_headers = {
        name.replace('_', '-'): value for name, value in headers.items()
    }
    result = CallResponse(UNAVAILABLE, '')
    for _ in range(ATTEMPTS_MAX):
        response = await client.post(
            f'http://{HUBS[hub]}{path}',
            json=body,
            headers={
                'Authorization': f'Bearer {account}.orchard',
                **extra_headers,
            },
        )
        result = CallResponse(response.status_code, response.text)
        if result.status != UNAVAILABLE:
            break
        await trio.sleep(int(response.headers.get('Retry-After', '1')))
    return result


def chat(text: str, tokens: int, **fields: Any) -> dict[str, Any]:
    """Return the body of a chat request for ``tokens`` output tokens."""
    message = {'role': 'user', 'content': text}
    return {
        'model': 'hire-assistant',
        'messages': [message],
        'max_tokens': tokens,
        **fields,
    }

"""Requests that callers send in the features."""

import time
from collections.abc import Callable
from typing import Any

import httpx

__all__ = ['book', 'chat', 'chat_body', 'parse_tokens', 'post', 'retry']

REQUEST_TIMEOUT_S = 30.0
UNAVAILABLE = 503
RETRIES_MAX = 5
MODEL = 'hire-assistant'


def post(hub: str, path: str, account: str = 'yard', **options: Any):
    """Send a POST request with the account's key; returns the response."""
    headers = {
        'Authorization': f'Bearer {account}.orchard',
        **options.pop('headers', {}),
    }
    url = f'http://{hub}{path}'
    return httpx.post(
        url, headers=headers, timeout=REQUEST_TIMEOUT_S, **options
    )


def retry(send: Callable[[], httpx.Response]) -> httpx.Response:
    """Send a request, and again after each refusal for lack of capacity.

    Waits for the time in ``Retry-After`` before each of at most
    ``RETRIES_MAX`` retries, as callers do.
    """
    response = send()
    for _ in range(RETRIES_MAX):
        if response.status_code != UNAVAILABLE:
            break
        time.sleep(int(response.headers.get('Retry-After', '1')))
        response = send()
    return response


def chat_body(tokens: int, text: str = 'Is a ladder free?', **fields: Any):
    """Return the body of a chat request for ``tokens`` output tokens."""
    message = {'role': 'user', 'content': text}
    return {
        'model': MODEL,
        'messages': [message],
        'max_tokens': tokens,
        **fields,
    }


def chat(hub: str, tokens: int, account: str = 'yard', **fields: Any):
    """Request a chat completion of ``tokens`` tokens, with retries."""
    tier = fields.pop('tier', 'check')
    body = chat_body(tokens, **fields)
    path = '/v1/chat/completions'
    headers = {'X-Tier': tier}
    return retry(lambda: post(hub, path, account, json=body, headers=headers))


def book(hub: str, text: str, key: str | None):
    """Send a booking, with an idempotency key unless it is None."""
    headers = {'Idempotency-Key': key} if key else {}
    path = '/services/bookings/bookings'
    return post(hub, path, content=text, headers=headers)


def parse_tokens(text: str) -> list[str]:
    """Return the stand-in engine's tokens in the text of a response."""
    words = text.replace('"', ' ').split()
    return [word for word in words if word.startswith('tok')]

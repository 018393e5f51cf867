"""Requests of callers."""

import time
from collections.abc import Callable
from typing import Any

import httpx

__all__ = ['book', 'chat', 'chat_body', 'post', 'retry', 'tokens_of']

TIMEOUT_S = 30.0
UNAVAILABLE = 503
TRIES = 5
MODEL = 'hire-assistant'


def post(hub: str, path: str, account: str = 'yard', **options: Any):
    """Send a request; headers are given without the key."""
    headers = {
        'Authorization': f'Bearer {account}.orchard',
        **options.pop('headers', {}),
    }
    url = f'http://{hub}{path}'
    return httpx.post(url, headers=headers, timeout=TIMEOUT_S, **options)


def retry(send: Callable[[], httpx.Response]) -> httpx.Response:
    """Send again after a refusal for want of capacity, as callers do."""
    answer = send()
    for _ in range(TRIES):
        if answer.status_code != UNAVAILABLE:
            break
        time.sleep(int(answer.headers.get('Retry-After', '1')))
        answer = send()
    return answer


def chat_body(tokens: int, text: str = 'Is a ladder free?', **fields: Any):
    """Return the body of a request for so many tokens."""
    message = {'role': 'user', 'content': text}
    return {
        'model': MODEL,
        'messages': [message],
        'max_tokens': tokens,
        **fields,
    }


def chat(hub: str, tokens: int, account: str = 'yard', **fields: Any):
    """Ask for a completion of so many tokens."""
    tier = fields.pop('tier', 'check')
    body = chat_body(tokens, **fields)
    path = '/v1/chat/completions'
    headers = {'X-Tier': tier}
    return retry(lambda: post(hub, path, account, json=body, headers=headers))


def book(hub: str, text: str, key: str | None):
    """Send a booking."""
    headers = {'Idempotency-Key': key} if key else {}
    path = '/services/bookings/bookings'
    return post(hub, path, content=text, headers=headers)


def tokens_of(text: str) -> list[str]:
    """Return the stand-in engine's tokens in an answer."""
    words = text.replace('"', ' ').split()
    return [word for word in words if word.startswith('tok')]

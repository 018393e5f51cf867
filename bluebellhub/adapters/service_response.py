"""Reads the response of a plain service, which is bounded in size."""

from typing import Final

import httpx
import trio

from bluebellhub.adapters.exchange import Head
from bluebellhub.errors import HubError

__all__ = ['ResponseTooLargeError', 'read_response']

BODY_MAX_BYTES: Final = 8_388_608


class ResponseTooLargeError(HubError):
    """The body of a service's response exceeds `BODY_MAX_BYTES`."""

    def __init__(self) -> None:
        super().__init__(f'expected at most {BODY_MAX_BYTES} bytes')


async def read_response(
    client: httpx.AsyncClient, request: httpx.Request
) -> tuple[Head, bytes]:
    """Return a complete response; raises `ResponseTooLargeError`."""
    response = await client.send(request, stream=True)
    body = bytearray()
    try:
        async for chunk in response.aiter_bytes():
            # One read may hold many chunks.
            await trio.lowlevel.checkpoint()
            body += chunk
            if len(body) > BODY_MAX_BYTES:
                raise ResponseTooLargeError
    finally:
        with trio.CancelScope(shield=True):
            await response.aclose()
    media_type = response.headers.get('content-type', 'text/plain')
    return Head(response.status_code, media_type), bytes(body)

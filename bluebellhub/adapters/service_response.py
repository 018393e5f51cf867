"""Reads the response of a plain service, which is bounded in size."""

from typing import Final, NamedTuple

import httpx
import trio

from bluebellhub.adapters.exchange import Head
from bluebellhub.adapters.memory import Reservation, reserve_memory
from bluebellhub.errors import HubError

__all__ = ['ResponseTooLargeError', 'ServiceResponse', 'read_response']

BODY_MAX_BYTES: Final = 8_388_608


class ResponseTooLargeError(HubError):
    """The body of a service's response exceeds `BODY_MAX_BYTES`."""

    def __init__(self) -> None:
        super().__init__(f'expected at most {BODY_MAX_BYTES} bytes')


class ServiceResponse(NamedTuple):
    """A complete response of a plain service."""

    head: Head
    body: bytes


async def read_response(
    client: httpx.AsyncClient,
    request: httpx.Request,
    reservation: Reservation,
) -> ServiceResponse:
    """Return a complete response.

    Raises `ResponseTooLargeError` and `MemoryExhaustedError`.
    """
    response = await client.send(request, stream=True)
    body = bytearray()
    try:
        async for chunk in response.aiter_bytes():
            # One read may hold many chunks.
            await trio.lowlevel.checkpoint()
            body += chunk
            if len(body) > BODY_MAX_BYTES:
                raise ResponseTooLargeError
            reserve_memory(reservation, len(body))
    finally:
        with trio.CancelScope(shield=True):
            await response.aclose()
    media_type = response.headers.get('content-type', 'text/plain')
    return ServiceResponse(Head(response.status_code, media_type), bytes(body))

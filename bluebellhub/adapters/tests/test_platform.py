"""Responses of the object API that cannot be decoded."""

import httpx
import pytest

from bluebellhub.adapters.platform import (
    Platform,
    get_object,
    list_objects,
    list_vms,
    make_platform,
    put_object,
    watch,
)
from bluebellhub.errors import StoreUnavailableError

CALLS = (
    lambda platform: get_object(platform, 'contract', 'yard'),
    lambda platform: list_objects(platform, 'contract'),
    lambda platform: put_object(platform, 'contract', 'yard', {}, 1),
    lambda platform: watch(platform, 0, 1.0),
    list_vms,
)


def _platform(status: int, body: bytes) -> Platform:
    transport = httpx.MockTransport(
        lambda request: httpx.Response(status, content=body)
    )
    client = httpx.AsyncClient(transport=transport, base_url='http://store')
    return make_platform('127.0.0.1:1')._replace(client=client)


@pytest.mark.parametrize('call', CALLS)
@pytest.mark.parametrize('status', [200, 409, 422, 503])
@pytest.mark.parametrize('body', [b'', b'<html>', b'{}', b'[1]'])
async def test_unreadable_response_raises_store_unavailable(call, status, body):
    with pytest.raises(StoreUnavailableError):
        await call(_platform(status, body))

"""Upstreams that state a rate limit in their responses."""

from functools import partial

import pytest
import trio

from bluebellhub.adapters.proxy.tests.response_parts import IDEMPOTENT, OK
from bluebellhub.adapters.proxy.tests.scripted_upstreams import (
    listen,
    read_head,
    running_hub,
    send_and_receive,
)
from bluebellhub.platform.tests.wire import NOT_EXECUTED, request

LIMIT = b'Server-Limit: 0.5\r\n'
LIMIT_PER_S = 0.5
# Of those that know a limit, one and a half times as much may arrive in 4 s,
# and five requests more.
MOST_ARRIVALS = int(4.0 * 1.5 * LIMIT_PER_S) + 5
REQUESTS = 40
SIZE = b'Content-Length: 2\r\n\r\nok'
SUCCESS = OK + LIMIT + SIZE
REFUSAL = b'HTTP/1.1 503 No\r\n' + NOT_EXECUTED + LIMIT + SIZE
FAILURE = OK.replace(b'200 OK', b'500 No') + LIMIT + SIZE


async def _serve(response, arrivals, stream):
    """Answer all requests of a connection alike, and count them."""
    async with stream:
        while await read_head(stream):
            arrivals.append(response)
            await stream.send_all(response)


@pytest.mark.parametrize('response', [SUCCESS, REFUSAL, FAILURE])
async def test_upstream_gets_no_more_requests_than_it_states(response):
    limited = []
    unlimited = []
    async with trio.open_nursery() as nursery:
        ports = (
            await listen(nursery, partial(_serve, response, limited)),
            await listen(nursery, partial(_serve, OK + SIZE, unlimited)),
        )
        addresses = tuple(f'127.0.0.1:{port}' for port in ports)
        async with running_hub(addresses=addresses, **IDEMPOTENT) as hub:
            sent = request(method=b'GET', headers=b'Connection: close\r\n')
            for _ in range(REQUESTS):
                await send_and_receive(hub, sent)
        nursery.cancel_scope.cancel()
    assert 0 < len(limited) <= MOST_ARRIVALS
    assert len(unlimited) >= REQUESTS - MOST_ARRIVALS

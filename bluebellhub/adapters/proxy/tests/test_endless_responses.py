"""Upstreams that send bytes without end, until the VM closes."""

from contextlib import asynccontextmanager
from functools import partial

import pytest
import trio

from bluebellhub.adapters.proxy.tests.scripted_upstreams import (
    listen,
    running_hub,
    send_and_receive,
    send_without_end,
)
from bluebellhub.platform.tests.wire import SIGNATURE, request

OK = b'HTTP/1.1 200 OK\r\n' + SIGNATURE
ERROR = b'HTTP/1.1 500 No\r\n' + SIGNATURE
CHUNKED = b'Transfer-Encoding: chunked\r\n\r\n'
STREAM = OK + b'Content-Type: text/event-stream\r\n'
CLOSE = b'Connection: close\r\n'
FILLER = b'x' * 65_536
CHUNK = b'%x\r\n%s\r\n' % (len(FILLER), FILLER)
INFORMATIONAL = b'HTTP/1.1 103 Early Hints\r\n\r\n' * 500
# Above what a VM may buffer of a response, and what sockets hold.
SENT_MAX_BYTES = 32_000_000
ONCE = {'repeat': 'once', 'attempts_max': 1}
STREAMED = {'is_stream': True, 'is_resumable': False, 'attempts_max': 1}


@asynccontextmanager
async def _endless_hub(start, part, route):
    """Run a VM before such an upstream; yields it and the bytes sent."""
    sent_bytes = []
    handler = partial(send_without_end, start, part, sent_bytes)
    async with trio.open_nursery() as nursery:
        port = await listen(nursery, handler)
        async with running_hub(
            addresses=(f'127.0.0.1:{port}',), **route
        ) as hub:
            yield hub, sent_bytes
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize(
    ('start', 'part', 'route', 'status'),
    [
        (b'', FILLER, ONCE, 502),
        (b'HTTP/1.1 200 OK\r\nX-Fill: ', FILLER, ONCE, 502),
        (OK, b'X-Fill: x\r\n' * 5000, ONCE, 502),
        (OK + CHUNKED, FILLER, ONCE, 502),
        (OK + CHUNKED + b'5;', FILLER, ONCE, 502),
        (ERROR + b'\r\n', FILLER, ONCE, 502),
        (ERROR + CHUNKED, CHUNK, ONCE, 502),
        (STREAM + b'\r\ndata: ', FILLER, STREAMED, 502),
        (STREAM + CHUNKED, CHUNK, STREAMED, 502),
    ],
)
async def test_endless_response_ends_with_an_error(start, part, route, status):
    async with _endless_hub(start, part, route) as (hub, sent_bytes):
        response = await send_and_receive(hub, request(headers=CLOSE))
        assert not hub.proxy.node.scheduler.requests
        assert sum(sent_bytes) < SENT_MAX_BYTES
    assert response.startswith(b'HTTP/1.1 %d ' % status)


@pytest.mark.parametrize(
    ('start', 'part', 'route'),
    [
        (b'', INFORMATIONAL, ONCE),
        (OK + CHUNKED, CHUNK, ONCE),
        (STREAM + CHUNKED, b'3\r\na\n\n\r\n', STREAMED),
    ],
)
async def test_valid_response_without_end_is_cut_at_the_time_limit(
    start, part, route
):
    sent = request(headers=CLOSE).replace(b'3000', b'400')
    async with _endless_hub(start, part, route) as (hub, _):
        response = await send_and_receive(hub, sent)
        assert not hub.proxy.node.scheduler.requests
    assert not response.endswith(b'0\r\n\r\n')

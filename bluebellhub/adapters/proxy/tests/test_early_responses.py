"""Upstreams that respond before they have read a long request."""

from contextlib import asynccontextmanager
from functools import partial

import pytest
import trio

from bluebellhub.adapters.proxy.tests.scripted_upstreams import (
    listen,
    read_head,
    running_hub,
    send_and_receive,
)
from bluebellhub.platform.tests.wire import REQUEST_ID, SIGNATURE, request

# Above what the sockets of both ends hold.
LARGE_BYTES = 4_000_000
FILLER = b'b' * LARGE_BYTES
CLOSE = b'Connection: close\r\n'
EARLY_S = 0.3
IDEMPOTENT = {'repeat': 'idempotent', 'attempts_max': 1}


def _response(status, more=b''):
    return (
        b'HTTP/1.1 %d X\r\nKeep-Alive: timeout=5\r\n%s%s'
        b'Content-Length: 4\r\n\r\nbody'
    ) % (status, SIGNATURE + REQUEST_ID, more)


async def _serve(response, bodies, stream):
    """Answer after the head of a request, then read on.

    What arrives in place of the body is added to ``bodies``; a request
    without a body is only answered.
    """
    async with stream:
        received = await read_head(stream)
        while received:
            head, _, body = received.partition(b'\r\n\r\n')
            await stream.send_all(response)
            if b'content-length: 0' not in head.lower():
                await trio.sleep(EARLY_S)
                bodies.append(await _read_body(stream, body))
                return
            received = await read_head(stream)


async def _read_body(stream, body):
    while len(body) < LARGE_BYTES:
        part = await stream.receive_some()
        if not part:
            break
        body += part
    return body


@asynccontextmanager
async def _early_hub(response):
    bodies = []
    async with trio.open_nursery() as nursery:
        port = await listen(nursery, partial(_serve, response, bodies))
        async with running_hub(
            addresses=(f'127.0.0.1:{port}',), **IDEMPOTENT
        ) as hub:
            yield hub, bodies
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize('status', [200, 404, 500])
async def test_next_request_is_not_written_into_an_unsent_body(status):
    async with _early_hub(_response(status)) as (hub, bodies):
        first = await send_and_receive(hub, request(body=FILLER, headers=CLOSE))
        second = await send_and_receive(hub, request(headers=CLOSE))
        while not bodies:
            await trio.sleep(0.01)
    assert first.startswith(b'HTTP/1.1 %d ' % status)
    assert second.startswith(b'HTTP/1.1 %d ' % status)
    assert FILLER.startswith(bodies[0])


async def test_connection_is_reused_after_a_whole_body():
    async with _early_hub(_response(200)) as (hub, _):
        for _ in range(2):
            await send_and_receive(hub, request(headers=CLOSE))
        connections = list(hub.proxy.idle_connections.values())
    assert [len(idle) for idle in connections] == [1]

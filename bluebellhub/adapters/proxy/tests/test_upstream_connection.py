"""Connections to upstreams that are kept and used again."""

from functools import partial

import h11
import pytest
import trio

from bluebellhub.adapters.proxy.upstream_connection import (
    ConnectError,
    connect,
    keep,
    next_event,
    send_events,
)
from bluebellhub.upstream import UpstreamSpec

ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
LIMIT_S = 10.0


async def _answer(sent, stream):
    async with stream:
        while await stream.receive_some():
            await stream.send_all(sent)


async def _start(nursery, sent=ANSWER):
    listeners = await nursery.start(
        partial(trio.serve_tcp, partial(_answer, sent), 0, host='127.0.0.1')
    )
    port = listeners[0].socket.getsockname()[1]
    return UpstreamSpec('u1', f'127.0.0.1:{port}', ('s',), 'd')


async def _exchange(link):
    request = h11.Request(
        method='GET', target='/', headers=[('Host', 'a.example')]
    )
    await send_events(link, [request, h11.EndOfMessage()])
    event = await next_event(link)
    status = event.status_code
    while not isinstance(event, h11.EndOfMessage):
        event = await next_event(link)
    return status


@pytest.mark.parametrize(
    ('idle_s', 'fresh', 'is_same'),
    [(5.0, False, True), (5.0, True, False), (0.0, False, False)],
)
async def test_a_connection_is_used_again(idle_s, fresh, is_same):
    kept = {}
    with trio.fail_after(LIMIT_S):
        async with trio.open_nursery() as nursery:
            spec = await _start(nursery)
            async with connect(kept, spec, fresh=True) as first:
                await _exchange(first)
                keep(kept, first, idle_s)
            async with connect(kept, spec, fresh=fresh) as second:
                assert (second.stream is first.stream) is is_same
                assert await _exchange(second) == 200
            nursery.cancel_scope.cancel()


async def test_a_kept_connection_belongs_to_its_next_user():
    """The next user may take it before the former one has let go."""
    kept = {}
    with trio.fail_after(LIMIT_S):
        async with trio.open_nursery() as nursery:
            spec = await _start(nursery)
            former = connect(kept, spec, fresh=True)
            link = await former.__aenter__()
            await _exchange(link)
            keep(kept, link, 5.0)
            async with connect(kept, spec, fresh=False) as taken:
                await former.__aexit__(None, None, None)
                assert taken.stream is link.stream
                assert await _exchange(taken) == 200
            nursery.cancel_scope.cancel()


async def test_a_connection_with_more_bytes_is_not_kept():
    kept = {}
    with trio.fail_after(LIMIT_S):
        async with trio.open_nursery() as nursery:
            spec = await _start(nursery, ANSWER + ANSWER)
            async with connect(kept, spec, fresh=True) as link:
                await _exchange(link)
                keep(kept, link, 5.0)
            assert not any(kept.values())
            nursery.cancel_scope.cancel()


async def test_no_listener_means_no_byte_was_sent():
    spec = UpstreamSpec('u1', '127.0.0.1:9', ('s',), 'd')
    with pytest.raises(ConnectError):
        await connect({}, spec, fresh=True).__aenter__()

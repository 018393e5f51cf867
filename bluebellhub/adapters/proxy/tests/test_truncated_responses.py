"""Responses delimited by the end of their connection, cut short by a reset.

Guards against a caller that gets the received part as a complete response: a
reset that the upload runs into leaves only the end of the connection for the
task that reads the response.
"""

from contextlib import asynccontextmanager
from functools import partial

import pytest
import trio

from bluebellhub.adapters.proxy.tests.response_parts import (
    CHUNKED,
    CLOSE,
    IDEMPOTENT,
    LAST,
    NOT_RESUMABLE,
    OK,
    ONCE,
    STREAM,
    TWO_EVENTS,
    body_of,
    event,
    status_of,
)
from bluebellhub.adapters.proxy.tests.scripted_upstreams import (
    fill_retry_budget,
    listen,
    read_head,
    running_hub,
)
from bluebellhub.platform.tests.wire import SIGNATURE, request

# Above what the sockets of both ends hold.
LARGE_BYTES = 4_000_000
LARGE = b'b' * LARGE_BYTES
PAUSE_S = 0.05
# A connection that is kept for the next request shows nothing more.
KEPT_S = 1.0
SOME = 700_000
UNFRAMED = OK + b'\r\nnine byte'
UNFRAMED_STREAM = STREAM + b'\r\n' + event(1) + event(2)


async def _read_upload(stream, read_bytes):
    """Read the head and at least ``read_bytes`` of the body."""
    _, _, body = (await read_head(stream)).partition(b'\r\n\r\n')
    received = len(body)
    while received < read_bytes:
        received += len(await stream.receive_some())


async def _serve(response, read_bytes, pause_s, ending, stream):
    """Read a part of an upload, answer, and end the connection."""
    async with stream:
        await _read_upload(stream, read_bytes)
        await stream.send_all(response)
        await trio.sleep(pause_s)
        if ending == 'reset':
            # SO_LINGER with 0 s: closing the socket sends a reset.
            stream.setsockopt(1, 13, b'\x01\0\0\0\0\0\0\0')
        if ending == 'half_close':
            await stream.send_eof()
            await trio.sleep(pause_s)


@asynccontextmanager
async def _hub(*serve_arguments, **route):
    async with trio.open_nursery() as nursery:
        port = await listen(nursery, partial(_serve, *serve_arguments))
        async with running_hub(
            addresses=(f'127.0.0.1:{port}',), **route
        ) as hub:
            fill_retry_budget(hub)
            yield hub
        nursery.cancel_scope.cancel()


async def _receive(hub, sent):
    """Return what arrives until the connection ends or nothing more comes.

    It is empty if the connection was reset.
    """
    stream = await trio.open_tcp_stream('127.0.0.1', hub.port)
    response = b''
    async with stream:
        try:
            await stream.send_all(sent)
            with trio.move_on_after(KEPT_S):
                while part := await stream.receive_some():
                    response += part
        except trio.BrokenResourceError:
            return b''
    return response


def _is_complete_success(response):
    """Return whether the response looks like a complete success."""
    if not response or status_of(response) != 200:
        return False
    head, _, body = response.partition(b'\r\n\r\n')
    if CHUNKED.strip().lower() in head.lower():
        return body.endswith(LAST)
    return True


def _upload(version, headers, body=LARGE):
    sent = request(body=body, headers=headers)
    return sent.replace(b'HTTP/1.1', version, 1)


@pytest.mark.parametrize(
    ('version', 'headers'),
    [(b'HTTP/1.1', CLOSE), (b'HTTP/1.1', b''), (b'HTTP/1.0', b'')],
)
@pytest.mark.parametrize(
    ('response', 'route'),
    [
        (UNFRAMED, ONCE),
        (UNFRAMED, IDEMPOTENT),
        (UNFRAMED_STREAM, NOT_RESUMABLE),
    ],
)
@pytest.mark.parametrize(
    ('read_bytes', 'pause_s', 'ending'),
    [
        (0, 0.0, 'reset'),
        (0, PAUSE_S, 'reset'),
        (SOME, 0.0, 'reset'),
        (SOME, PAUSE_S, 'reset'),
        (LARGE_BYTES, 0.0, 'reset'),
        (LARGE_BYTES, PAUSE_S, 'reset'),
        (0, 0.0, 'close'),
        (SOME, PAUSE_S, 'close'),
        (SOME, PAUSE_S, 'half_close'),
    ],
)
async def test_upload_cut_by_its_upstream_gets_no_complete_response(
    read_bytes, pause_s, ending, response, route, headers, version
):
    async with _hub(response, read_bytes, pause_s, ending, **route) as hub:
        received = await _receive(hub, _upload(version, headers))
    assert not _is_complete_success(received)


@pytest.mark.parametrize('version', [b'HTTP/1.1', b'HTTP/1.0'])
@pytest.mark.parametrize('body', [b'', b'small', LARGE])
@pytest.mark.parametrize('pause_s', [0.0, PAUSE_S])
@pytest.mark.parametrize('ending', ['close', 'half_close'])
async def test_response_that_ends_after_the_whole_upload_is_complete(
    ending, pause_s, body, version
):
    async with _hub(UNFRAMED, len(body), pause_s, ending, **ONCE) as hub:
        received = await _receive(hub, _upload(version, CLOSE, body))
    assert status_of(received) == 200
    assert body_of(received) == b'nine byte'


@pytest.mark.parametrize('ending', ['close', 'reset'])
async def test_caller_without_chunks_can_tell_that_a_stream_was_cut(ending):
    """Such a caller takes a proper end of the connection for the end."""
    response = STREAM + CHUNKED + TWO_EVENTS
    async with _hub(response, 0, PAUSE_S, ending, **NOT_RESUMABLE) as hub:
        received = await _receive(hub, _upload(b'HTTP/1.0', CLOSE, b''))
    assert not _is_complete_success(received)


@pytest.mark.parametrize('route', [ONCE, IDEMPOTENT, NOT_RESUMABLE])
@pytest.mark.parametrize(
    'status',
    [
        b'000',
        b'001',
        b'099',
        b'600',
        b'777',
        b'999',
        b'2000',
        b'20',
        b'2',
        b'-20',
        b'+200',
        b'two',
        b'2OO',
        b'',
        b'0x1',
    ],
)
@pytest.mark.parametrize('rest', [b' OK\r\n', b'\r\n', b''])
async def test_impossible_status_never_reaches_a_caller(rest, status, route):
    """A response without a status of HTTP was forwarded."""
    head = SIGNATURE + b'Content-Length: 4\r\n\r\nbody' if rest else b''
    response = b'HTTP/1.1 ' + status + rest + head
    async with _hub(response, 0, 0.0, 'close', **route) as hub:
        received = await _receive(hub, _upload(b'HTTP/1.1', CLOSE, b''))
    assert status_of(received) == 502

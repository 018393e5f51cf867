"""Connections of callers: reuse, closing and disconnection."""

from collections.abc import AsyncIterator
from functools import partial
from typing import Final

import pytest
import trio
from hypercorn.trio.tcp_server import TCPServer
from quart import Response

from bluebellhub.adapters.http_server import (
    HttpApp,
    make_http_app,
    read_body,
    serve_app,
)
from bluebellhub.faults import isolated_faults
from bluebellhub.invariants import set_violations_fatal

TIMEOUT_S: Final = 10.0
LONG_KEEP_ALIVE_S: Final = 60.0
SHORT_S: Final = 0.1
BODY: Final = b'ten bytes.'


def _app(disconnected: trio.Event) -> HttpApp:
    app = make_http_app('tested')

    @app.post('/read')
    async def read() -> bytes:
        return await read_body()

    @app.post('/refused')
    async def refuse() -> Response:
        return Response(b'refused', 401)

    @app.post('/endless')
    async def endless() -> Response:
        return Response(_endless(disconnected))

    return app


async def _endless(disconnected: trio.Event) -> AsyncIterator[bytes]:
    try:
        while True:
            yield b'part'
            await trio.sleep(SHORT_S)
    finally:
        disconnected.set()


def _request_head(path: str) -> bytes:
    lines = f'POST {path} HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n'
    return lines.encode()


async def _read_until(stream: trio.SocketStream, end: bytes | None) -> bytes:
    """Read until ``end`` appears, or with ``None`` until the stream ends."""
    received = b''
    async for chunk in stream:
        received += chunk
        if end is not None and end in received:
            break
    return received


async def _connect(
    nursery: trio.Nursery, disconnected: trio.Event, keep_alive_s: float
) -> trio.SocketStream:
    serve = partial(serve_app, _app(disconnected), '127.0.0.1:0', keep_alive_s)
    binds = await nursery.start(serve)
    host, port = binds[0].removeprefix('http://').split(':')
    return await trio.open_tcp_stream(host, int(port))


async def _send_requests(
    stream: trio.SocketStream, path: str, count: int
) -> bytes:
    """Send requests with a delay between head and body.

    A server that does not read the body may respond within the delay.
    """
    received = b''
    for _ in range(count):
        await stream.send_all(_request_head(path))
        await trio.sleep(SHORT_S)
        await stream.send_all(BODY)
        received += await _read_until(stream, BODY)
    return received


@pytest.mark.parametrize('count', [1, 3])
async def test_connection_is_reused_after_body_was_read(count):
    with trio.fail_after(TIMEOUT_S):
        async with trio.open_nursery() as nursery:
            stream = await _connect(nursery, trio.Event(), LONG_KEEP_ALIVE_S)
            received = await _send_requests(stream, '/read', count)
            nursery.cancel_scope.cancel()
    assert received.count(BODY) == count
    assert b'connection: close' not in received.lower()


@pytest.mark.parametrize(
    ('path', 'status'), [('/refused', b'401'), ('/nothing', b'404')]
)
@pytest.mark.parametrize('part', [b'', BODY[:5], BODY])
async def test_connection_with_unread_body_is_closed(path, status, part):
    with trio.fail_after(TIMEOUT_S):
        async with trio.open_nursery() as nursery:
            stream = await _connect(nursery, trio.Event(), LONG_KEEP_ALIVE_S)
            await stream.send_all(_request_head(path) + part)
            received = await _read_until(stream, None)
            nursery.cancel_scope.cancel()
    assert status in received.splitlines()[0]
    assert b'connection: close' in received.lower()


async def test_idle_connection_is_closed_after_keep_alive():
    with trio.fail_after(TIMEOUT_S):
        async with trio.open_nursery() as nursery:
            stream = await _connect(nursery, trio.Event(), SHORT_S)
            await stream.send_all(_request_head('/read') + BODY)
            received = await _read_until(stream, None)
            nursery.cancel_scope.cancel()
    assert BODY in received


async def test_work_is_cancelled_when_caller_disconnects():
    disconnected = trio.Event()
    with trio.fail_after(TIMEOUT_S):
        async with trio.open_nursery() as nursery:
            stream = await _connect(nursery, disconnected, LONG_KEEP_ALIVE_S)
            await stream.send_all(_request_head('/endless') + BODY)
            await _read_until(stream, b'part')
            await stream.aclose()
            await disconnected.wait()
            nursery.cancel_scope.cancel()
    assert disconnected.is_set()


@pytest.mark.parametrize(
    ('error', 'faults'),
    [(trio.BusyResourceError('sending'), 0), (OverflowError(), 1)],
)
async def test_error_in_a_connection_does_not_end_the_server(
    monkeypatch, error, faults
):
    """Malformed requests could make two tasks write to one connection."""
    set_violations_fatal(fatal=False)
    read_data = TCPServer._read_data
    errors = [error]

    async def fail_once(connection: TCPServer) -> None:
        if errors:
            raise errors.pop()
        await read_data(connection)

    monkeypatch.setattr(TCPServer, '_read_data', fail_once)
    with trio.fail_after(TIMEOUT_S):
        async with trio.open_nursery() as nursery:
            failed = await _connect(nursery, trio.Event(), LONG_KEEP_ALIVE_S)
            assert await _read_until(failed, None) == b''
            port = failed.socket.getpeername()[1]
            sound = await trio.open_tcp_stream('127.0.0.1', port)
            assert BODY in await _send_requests(sound, '/read', 1)
            nursery.cancel_scope.cancel()
    assert isolated_faults.pop('connection', 0) == faults

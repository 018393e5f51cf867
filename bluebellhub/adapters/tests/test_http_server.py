"""Connections of callers: used again, closed when unread, given up."""

from collections.abc import AsyncIterator
from functools import partial
from typing import Final

import pytest
import trio
from quart import Response

from bluebellhub.adapters.http_server import (
    HttpApp,
    make_http_app,
    read_body,
    serve_app,
)

TIMEOUT_S: Final = 10.0
LONG_S: Final = 60.0
BRIEF_S: Final = 0.1
BODY: Final = b'ten bytes.'


def _app(left: trio.Event) -> HttpApp:
    app = make_http_app('tested')

    @app.post('/read')
    async def read() -> bytes:
        return await read_body()

    @app.post('/refused')
    async def refuse() -> Response:
        return Response(b'refused', 401)

    @app.post('/endless')
    async def endless() -> Response:
        return Response(_endless(left))

    return app


async def _endless(left: trio.Event) -> AsyncIterator[bytes]:
    try:
        while True:
            yield b'part'
            await trio.sleep(BRIEF_S)
    finally:
        left.set()


def _head(path: str) -> bytes:
    lines = f'POST {path} HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n'
    return lines.encode()


async def _read_until(stream: trio.SocketStream, end: bytes | None) -> bytes:
    """Read until the bytes appear, or with ``None`` until the end."""
    got = b''
    async for chunk in stream:
        got += chunk
        if end is not None and end in got:
            break
    return got


async def _connect(
    nursery: trio.Nursery, left: trio.Event, keep_alive_s: float
) -> trio.SocketStream:
    serve = partial(serve_app, _app(left), '127.0.0.1:0', keep_alive_s)
    binds = await nursery.start(serve)
    host, port = binds[0].removeprefix('http://').split(':')
    return await trio.open_tcp_stream(host, int(port))


async def _answers(stream: trio.SocketStream, path: str, count: int) -> bytes:
    """Send requests whose bodies come after the answer may have begun."""
    got = b''
    for _ in range(count):
        await stream.send_all(_head(path))
        await trio.sleep(BRIEF_S)
        await stream.send_all(BODY)
        got += await _read_until(stream, BODY)
    return got


@pytest.mark.parametrize('count', [1, 3])
async def test_connection_is_used_again_after_a_body_was_read(count):
    with trio.fail_after(TIMEOUT_S):
        async with trio.open_nursery() as nursery:
            stream = await _connect(nursery, trio.Event(), LONG_S)
            got = await _answers(stream, '/read', count)
            nursery.cancel_scope.cancel()
    assert got.count(BODY) == count
    assert b'connection: close' not in got.lower()


@pytest.mark.parametrize(
    ('path', 'status'), [('/refused', b'401'), ('/nothing', b'404')]
)
@pytest.mark.parametrize('part', [b'', BODY[:5], BODY])
async def test_connection_with_an_unread_body_is_closed(path, status, part):
    with trio.fail_after(TIMEOUT_S):
        async with trio.open_nursery() as nursery:
            stream = await _connect(nursery, trio.Event(), LONG_S)
            await stream.send_all(_head(path) + part)
            got = await _read_until(stream, None)
            nursery.cancel_scope.cancel()
    assert status in got.splitlines()[0]
    assert b'connection: close' in got.lower()


async def test_idle_connection_is_closed_after_an_answer():
    with trio.fail_after(TIMEOUT_S):
        async with trio.open_nursery() as nursery:
            stream = await _connect(nursery, trio.Event(), BRIEF_S)
            await stream.send_all(_head('/read') + BODY)
            got = await _read_until(stream, None)
            nursery.cancel_scope.cancel()
    assert BODY in got


async def test_work_ends_when_its_caller_goes_away():
    left = trio.Event()
    with trio.fail_after(TIMEOUT_S):
        async with trio.open_nursery() as nursery:
            stream = await _connect(nursery, left, LONG_S)
            await stream.send_all(_head('/endless') + BODY)
            await _read_until(stream, b'part')
            await stream.aclose()
            await left.wait()
            nursery.cancel_scope.cancel()
    assert left.is_set()

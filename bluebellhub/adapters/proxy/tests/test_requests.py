"""Which requests of callers reach an upstream, and how they end."""

import socket
from functools import partial

import pytest
import trio
from trio.testing import wait_all_tasks_blocked

from bluebellhub.adapters.proxy.server import (
    close_idle_connections,
    has_active_requests,
)
from bluebellhub.adapters.proxy.tests.scripted_upstreams import (
    running_hub,
    send_and_receive,
)
from bluebellhub.platform.tests.wire import (
    FORGED_HEADER,
    RECEIVED_HEADERS,
    SIGNATURE,
    request,
)

OK = b'HTTP/1.1 200 OK\r\n' + SIGNATURE
ERROR = b'HTTP/1.1 500 No\r\n' + SIGNATURE + b'Content-Length: 3\r\n\r\nbad'
COMPLETE = OK + b'Content-Length: 4\r\n\r\nbody'
CLOSE = b'Connection: close\r\n'
PAUSE_S = 4.0
ROUNDS = 20
ENDS = ('answered', 'caller_gone')
ONCE = {'repeat': 'once', 'attempts_max': 2}


def _status(response):
    return int(response.split(b' ')[1])


@pytest.mark.parametrize(
    ('sent', 'status'),
    [
        (b'GET /a/ HTTP/1.1\r\n\r\n', 400),
        (b'GET /a/ HTTP/1.1\r\nHost: a.example\r\n\r\n', 400),
        (b'nonsense\r\n\r\n', 400),
        (request(headers=b'Content-Length: 7\r\n'), 400),
        (request(headers=b'Transfer-Encoding: chunked\r\n'), 400),
        (request(headers=b'Transfer-Encoding: gzip\r\n'), 400),
        (request(headers=b'X-Big: %s\r\n' % (b'a' * 20_000)), 431),
        (request(headers=b'Bad Name: x\r\n'), 400),
        (request().replace(b'Content-Length: 0', b'Content-Length: -1'), 400),
        (
            request().replace(b'Content-Length: 0', b'Content-Length: 9000000')
            + b'x' * 9_000_000,
            413,
        ),
        (
            request().replace(
                b'Content-Length: 0', b'Transfer-Encoding: chunked'
            )
            + b'zz\r\n',
            400,
        ),
        (request(path=b'/b/'), 404),
        (request().replace(b'Bearer k1', b'Bearer k2'), 401),
    ],
)
async def test_invalid_request_reaches_no_upstream(sent, status):
    async with running_hub([(COMPLETE, 'keep')], **ONCE) as hub:
        stream = await trio.open_tcp_stream('127.0.0.1', hub.port)
        async with stream, trio.open_nursery() as nursery:
            nursery.start_soon(_send_until_disconnect, stream, sent)
            response = await stream.receive_some()
            nursery.cancel_scope.cancel()
        assert not hub.received
    assert _status(response) == status
    if status not in {401, 404}:
        assert b'connection: close' in response.lower()


async def _send_until_disconnect(stream, sent):
    """Send, unless the VM closes the connection first."""
    try:
        await stream.send_all(sent)
    except trio.BrokenResourceError:
        return


async def test_pipelined_requests_are_answered_in_order():
    async with running_hub([(COMPLETE, 'close')], **ONCE) as hub:
        pair = request() + request(headers=CLOSE)
        response = await send_and_receive(hub, pair)
        assert len(hub.received) == 2
    assert response.count(b'HTTP/1.1 200') == 2


@pytest.mark.parametrize(('name', 'expected'), RECEIVED_HEADERS)
async def test_upstream_receives_expected_headers(name, expected):
    sent = request(b'hello', headers=CLOSE + FORGED_HEADER)
    async with running_hub([(COMPLETE, 'close')], **ONCE) as hub:
        await send_and_receive(hub, sent)
        received = hub.received[0]
    assert received.startswith(b'POST /a/x HTTP/1.1\r\n')
    fields = dict(
        line.lower().split(b': ', 1)
        for line in received.split(b'\r\n\r\n')[0].split(b'\r\n')[1:]
    )
    assert fields.get(name) == expected


async def test_caller_disconnect_cancels_the_attempt():
    async with running_hub([(b'', 'keep')], **ONCE) as hub:
        stream = await trio.open_tcp_stream('127.0.0.1', hub.port)
        await stream.send_all(request())
        while not hub.received:
            await trio.sleep(0.01)
        await stream.aclose()
        while hub.proxy.node.scheduler.requests:
            await trio.sleep(0.01)
        scheduler = hub.proxy.node.scheduler
        assert not scheduler.upstreams['u0'].work


@pytest.mark.parametrize(
    ('scripts', 'status'), [([[(b'', 'keep')]], 504), ([], 503)]
)
async def test_deadline_ends_with_a_response(scripts, status):
    async with running_hub(*scripts, **ONCE) as hub:
        sent = request(headers=CLOSE).replace(b'3000', b'300')
        response = await send_and_receive(hub, sent)
    assert _status(response) == status


async def _wait_until(condition):
    while not condition():
        await trio.sleep(0.01)


async def test_stopping_vm_waits_for_responses_in_progress():
    """The scheduler ends a request before its error response is written."""
    size = 8_000_000
    head = b'HTTP/1.1 500 No\r\nContent-Length: %d\r\n\r\n' % size
    large = (head + b'x' * size, 'keep')
    route = {'repeat': 'idempotent', 'attempts_max': 1}
    async with running_hub([large], **route) as hub:
        stream = await trio.open_tcp_stream('127.0.0.1', hub.port)
        assert not has_active_requests(hub.proxy)
        await stream.send_all(request(headers=CLOSE))
        await stream.receive_some(1)
        assert not hub.proxy.node.scheduler.requests
        assert has_active_requests(hub.proxy)
        await stream.aclose()
        await _wait_until(lambda: not has_active_requests(hub.proxy))


async def _answer_all(received, stream):
    """Answer every request of a connection."""
    async with stream:
        while part := await stream.receive_some():
            received.append(part)
            await stream.send_all(COMPLETE)


def _send_and_leave(port):
    """Send a request and close before the VM has accepted the connection.

    This blocks the loop, as on a VM that is short of processor time.
    """
    with socket.create_connection(('127.0.0.1', port)) as caller:
        caller.sendall(request())


def _has_ended(hub, count):
    """Return whether so many requests have ended."""
    counters = hub.proxy.node.scheduler.counters
    return sum(counters['ends', outcome] for outcome in ENDS) == count


async def test_no_attempt_starts_for_a_caller_that_has_left():
    received = []
    async with trio.open_nursery() as nursery:
        listeners = await nursery.start(
            partial(
                trio.serve_tcp,
                partial(_answer_all, received),
                0,
                host='127.0.0.1',
            )
        )
        port = listeners[0].socket.getsockname()[1]
        route = {'repeat': 'idempotent', 'attempts_max': 1}
        async with running_hub(
            addresses=(f'127.0.0.1:{port}',), **route
        ) as hub:
            for number in range(ROUNDS):
                # Leaves an idle connection, which the attempt would reuse.
                await send_and_receive(hub, request(), until=b'body')
                _send_and_leave(hub.port)
                await _wait_until(partial(_has_ended, hub, 2 * number + 2))
        nursery.cancel_scope.cancel()
    assert len(received) == ROUNDS


async def test_upstream_that_fails_gets_few_requests():
    """It answers its errors at once, and its connections work."""
    route = {'repeat': 'once', 'attempts_max': 1}
    scripts = [[(ERROR, 'close')], [(COMPLETE, 'close')]]
    async with running_hub(*scripts, **route) as hub:
        statuses = [
            _status(await send_and_receive(hub, request(headers=CLOSE)))
            for _ in range(120)
        ]
    assert statuses[:20].count(500) >= 2
    assert statuses[20:].count(500) <= 25


def _send_now(stream, sent):
    """Send without letting another task run."""
    duplicate = socket.socket(fileno=stream.socket.fileno())
    duplicate.send(sent)
    duplicate.detach()


async def _receive_to_end(stream):
    received = b''
    while part := await stream.receive_some():
        received += part
    return received


async def _use(stream, served):
    """Send some requests before the connection is idle."""
    for _ in range(served):
        await stream.send_all(request())
        await stream.receive_some()


@pytest.mark.parametrize('served', [0, 1])
async def test_request_that_crosses_a_planned_stop_is_answered(served):
    """It was sent on an idle connection before that was closed."""
    script = [(COMPLETE, 'keep')]
    async with running_hub(script, repeat='once') as hub:
        stream = await trio.open_tcp_stream('127.0.0.1', hub.port)
        async with stream:
            await _use(stream, served)
            await _wait_until(lambda: hub.proxy.caller_connections)
            await wait_all_tasks_blocked()
            # No task runs between these two calls.
            _send_now(stream, request())
            close_idle_connections(hub.proxy)
            response = await _receive_to_end(stream)
    assert _status(response) == 200
    assert b'connection: close' in response.lower()


async def test_caller_that_pauses_gets_its_whole_response():
    """A connection whose caller read nothing for 2.5 s was reset."""
    size = 12_000_000
    large = OK + b'Content-Length: %d\r\n\r\n' % size + b'x' * size
    sent = request(headers=CLOSE).replace(b'3000', b'9000')
    async with running_hub([(large, 'keep')], repeat='once') as hub:
        stream = await trio.open_tcp_stream('127.0.0.1', hub.port)
        async with stream:
            await stream.send_all(sent)
            await trio.sleep(PAUSE_S)
            response = await _receive_to_end(stream)
    assert response.endswith(b'0\r\n\r\n')
    assert len(response) > size

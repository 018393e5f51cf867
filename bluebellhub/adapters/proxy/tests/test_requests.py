"""Which requests of callers reach an upstream, and how they end."""

import pytest
import trio

from bluebellhub.adapters.proxy.server import is_answering
from bluebellhub.adapters.proxy.tests.scripted_upstreams import (
    running_hub,
    send_and_receive,
)
from bluebellhub.platform.tests.wire import (
    FORGED,
    RECEIVED,
    SIGNATURE,
    request,
)

OK = b'HTTP/1.1 200 OK\r\n' + SIGNATURE
WHOLE = OK + b'Content-Length: 4\r\n\r\nbody'
CLOSE = b'Connection: close\r\n'
ONCE = {'repeat': 'once', 'attempts_max': 2}


def _status(answer):
    return int(answer.split(b' ')[1])


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
async def test_what_cannot_be_read_reaches_no_upstream(sent, status):
    async with running_hub([(WHOLE, 'keep')], **ONCE) as hub:
        stream = await trio.open_tcp_stream('127.0.0.1', hub.port)
        async with stream, trio.open_nursery() as nursery:
            nursery.start_soon(_send_quietly, stream, sent)
            answer = await stream.receive_some()
            nursery.cancel_scope.cancel()
        assert not hub.received
    assert _status(answer) == status
    if status not in {401, 404}:
        assert b'connection: close' in answer.lower()


async def _send_quietly(stream, sent):
    try:
        await stream.send_all(sent)
    except trio.BrokenResourceError:
        return


async def test_requests_of_one_connection_are_answered_in_turn():
    async with running_hub([(WHOLE, 'close')], **ONCE) as hub:
        pair = request() + request(headers=CLOSE)
        answer = await send_and_receive(hub, pair)
        assert len(hub.received) == 2
    assert answer.count(b'HTTP/1.1 200') == 2


@pytest.mark.parametrize(('name', 'expected'), RECEIVED)
async def test_what_an_upstream_receives(name, expected):
    sent = request(b'hello', headers=CLOSE + FORGED)
    async with running_hub([(WHOLE, 'close')], **ONCE) as hub:
        await send_and_receive(hub, sent)
        received = hub.received[0]
    assert received.startswith(b'POST /a/x HTTP/1.1\r\n')
    fields = dict(
        line.lower().split(b': ', 1)
        for line in received.split(b'\r\n\r\n')[0].split(b'\r\n')[1:]
    )
    assert fields.get(name) == expected


async def test_an_upstream_is_left_when_the_caller_leaves():
    async with running_hub([(b'', 'keep')], **ONCE) as hub:
        stream = await trio.open_tcp_stream('127.0.0.1', hub.port)
        await stream.send_all(request())
        while not hub.received:
            await trio.sleep(0.01)
        await stream.aclose()
        while hub.passing.node.scheduler.requests:
            await trio.sleep(0.01)
        scheduler = hub.passing.node.scheduler
        assert not scheduler.upstreams['u0'].work


@pytest.mark.parametrize(
    ('scripts', 'status'), [([[(b'', 'keep')]], 504), ([], 503)]
)
async def test_a_time_limit_ends_with_an_answer(scripts, status):
    async with running_hub(*scripts, **ONCE) as hub:
        sent = request(headers=CLOSE).replace(b'3000', b'300')
        answer = await send_and_receive(hub, sent)
    assert _status(answer) == status


async def _wait(is_over):
    while not is_over():
        await trio.sleep(0.01)


async def test_a_vm_that_stops_waits_for_answers_that_are_being_written():
    """A request is over for the scheduler before its failure is written."""
    size = 8_000_000
    step = b'HTTP/1.1 500 No\r\nContent-Length: %d\r\n\r\n' % size
    large = (step + b'x' * size, 'keep')
    route = {'repeat': 'idempotent', 'attempts_max': 1}
    async with running_hub([large], **route) as hub:
        stream = await trio.open_tcp_stream('127.0.0.1', hub.port)
        assert not is_answering(hub.passing)
        await stream.send_all(request(headers=CLOSE))
        await stream.receive_some(1)
        assert not hub.passing.node.scheduler.requests
        assert is_answering(hub.passing)
        await stream.aclose()
        await _wait(lambda: not is_answering(hub.passing))

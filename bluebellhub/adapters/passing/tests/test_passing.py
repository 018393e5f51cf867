"""What callers and upstreams see of a VM, byte for byte."""

import pytest
import trio

from bluebellhub.adapters.passing.tests.scripted import (
    ask,
    request,
    running_hub,
)
from bluebellhub.clock import now_s
from bluebellhub.site.admission import admit_call
from bluebellhub.site.tests.small_site import make_call

PROOF = b'X-Bluebellhub-Response-Signature: p\r\n'
OK = b'HTTP/1.1 200 OK\r\n' + PROOF
WHOLE = OK + b'Content-Length: 4\r\n\r\nbody'
FOUR = b'Content-Length: 4\r\n\r\nbody'
CLOSE = b'Connection: close\r\n'
STREAM = OK + b'Content-Type: text/event-stream\r\n'
NO_BODY = b'Content-Length: 0\r\n\r\n'
UNRUN = b'HTTP/1.1 503 No\r\nX-Bluebellhub-Not-Executed: 1\r\n' + NO_BODY
ERROR = b'HTTP/1.1 500 No\r\n' + PROOF + b'Content-Length: 3\r\n\r\nbad'
REPEATABLE = {'repeat': 'idempotent', 'attempts_max': 2}
ONCE = {'repeat': 'once', 'attempts_max': 2}
ENDLESS = {'is_stream': True, 'is_resumable': False, 'attempts_max': 1}
RESUMED = {'is_stream': True, 'is_resumable': True, 'attempts_max': 2}
CHUNKED = b'Transfer-Encoding: chunked\r\n\r\n'


def _event(number):
    return b'id: %d\ndata: d%d\n\n' % (number, number)


def _chunk(part):
    return b'%x\r\n%s\r\n' % (len(part), part)


def _warm(hub):
    """Give the retry budget requests to count."""
    for number in range(60):
        call = make_call(f'other-{number}')
        admit_call(hub.passing.site, call, now_s())


def _status(answer):
    return int(answer.split(b' ')[1])


def _body(answer):
    head, _, body = answer.partition(b'\r\n\r\n')
    if b'transfer-encoding: chunked' not in head.lower():
        return body
    whole = b''
    while body:
        size, _, body = body.partition(b'\r\n')
        whole += body[: int(size or b'0', 16)]
        body = body[int(size or b'0', 16) + 2 :]
    return whole


@pytest.mark.parametrize(
    ('route', 'first', 'second', 'status', 'body'),
    [
        (ONCE, (WHOLE, 'keep'), None, 200, b'body'),
        (ONCE, (OK + b'\r\nto the end', 'close'), None, 200, b'to the end'),
        (
            ONCE,
            (OK + CHUNKED + b'2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n', 'keep'),
            None,
            200,
            b'body',
        ),
        (ONCE, (WHOLE[:-1], 'close'), (WHOLE, 'keep'), 502, None),
        (
            ONCE,
            (OK + CHUNKED + b'4\r\nbody\r\n', 'close'),
            (WHOLE, 'keep'),
            502,
            None,
        ),
        (ONCE, (OK + b'\r\nhalf', 'reset'), (WHOLE, 'keep'), 502, None),
        (ONCE, (b'\x00garbage\r\n\r\n', 'close'), (WHOLE, 'keep'), 502, None),
        (ONCE, (b'', 'close'), (WHOLE, 'keep'), 502, None),
        (ONCE, (ERROR, 'keep'), (WHOLE, 'keep'), 500, b'bad'),
        (ONCE, (UNRUN, 'keep'), (WHOLE, 'keep'), 200, b'body'),
        (ONCE, (UNRUN, 'keep'), (UNRUN, 'keep'), 503, None),
        (
            ONCE,
            (b'HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n', 'keep'),
            (WHOLE, 'keep'),
            502,
            None,
        ),
        (
            ONCE,
            (b'HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody', 'keep'),
            (WHOLE, 'keep'),
            502,
            None,
        ),
        (
            ONCE,
            (
                OK + b'Content-Encoding: br\r\nContent-Length: 4\r\n\r\nbody',
                'keep',
            ),
            (WHOLE, 'keep'),
            502,
            None,
        ),
        (
            ONCE,
            (
                OK + b'X-Bluebellhub-Request-Id: r2\r\n' + FOUR,
                'keep',
            ),
            (WHOLE, 'keep'),
            502,
            None,
        ),
        (
            ONCE,
            (
                b'HTTP/1.1 404 No\r\n' + PROOF + b'Content-Length: 2\r\n\r\nno',
                'keep',
            ),
            None,
            404,
            b'no',
        ),
        (REPEATABLE, (WHOLE[:-1], 'close'), (WHOLE, 'keep'), 200, b'body'),
        (REPEATABLE, (b'', 'close'), (WHOLE, 'keep'), 200, b'body'),
        (
            REPEATABLE,
            (b'\x00garbage\r\n\r\n', 'close'),
            (WHOLE, 'keep'),
            200,
            b'body',
        ),
        (REPEATABLE, (ERROR, 'keep'), (WHOLE, 'keep'), 200, b'body'),
        (REPEATABLE, (ERROR, 'keep'), (ERROR, 'keep'), 500, b'bad'),
        (
            REPEATABLE,
            (WHOLE + b'HTTP/1.1 200 OK\r\n\r\n', 'keep'),
            None,
            200,
            b'body',
        ),
        (
            REPEATABLE,
            (b'HTTP/1.1 100 Continue\r\n\r\n' + WHOLE, 'keep'),
            None,
            200,
            b'body',
        ),
    ],
)
async def test_whole_answers(route, first, second, status, body):
    scripts = [[first, second or first]]
    async with running_hub(*scripts, **route) as hub:
        _warm(hub)
        answer = await ask(hub, request(headers=CLOSE))
    assert _status(answer) == status
    proven = b'x-bluebellhub-response-signature' in answer.lower()
    assert proven is (body is not None)
    if body is not None:
        assert _body(answer) == body


EVENTS = b''.join(_chunk(_event(number)) for number in (1, 2, 3))
TWO = _chunk(_event(1)) + _chunk(_event(2))
LAST = b'0\r\n\r\n'
ALL = _event(1) + _event(2) + _event(3)


@pytest.mark.parametrize(
    ('route', 'first', 'second', 'body', 'is_complete'),
    [
        (ENDLESS, (STREAM + CHUNKED + EVENTS + LAST, 'keep'), None, ALL, True),
        (ENDLESS, (STREAM + b'\r\n' + ALL, 'close'), None, ALL, True),
        (
            ENDLESS,
            (STREAM + CHUNKED + TWO, 'close'),
            None,
            _event(1) + _event(2),
            False,
        ),
        (
            ENDLESS,
            (STREAM + CHUNKED + TWO + _chunk(b'id: 3\nda'), 'reset'),
            None,
            _event(1) + _event(2),
            False,
        ),
        (
            RESUMED,
            (STREAM + CHUNKED + TWO, 'close'),
            (STREAM + CHUNKED + _chunk(_event(3)) + LAST, 'keep'),
            ALL,
            True,
        ),
        (
            RESUMED,
            (STREAM + CHUNKED + TWO + _chunk(b'id: 3\nda'), 'close'),
            (STREAM + CHUNKED + _chunk(_event(3)) + LAST, 'keep'),
            ALL,
            True,
        ),
        (
            RESUMED,
            (STREAM + CHUNKED + TWO, 'close'),
            (STREAM + CHUNKED + EVENTS + LAST, 'keep'),
            ALL,
            True,
        ),
        (
            RESUMED,
            (STREAM + CHUNKED + TWO, 'close'),
            (STREAM + CHUNKED + _chunk(_event(4)) + LAST, 'keep'),
            _event(1) + _event(2),
            False,
        ),
    ],
)
async def test_streams(route, first, second, body, is_complete):
    async with running_hub([first, second or first], **route) as hub:
        _warm(hub)
        answer = await ask(hub, request(headers=CLOSE))
        received = list(hub.received)
    assert _status(answer) == 200
    assert _body(answer) == body
    assert answer.endswith(LAST) is is_complete
    if second is not None:
        assert b'last-event-id: 2\r\n' in received[1].lower()


async def test_an_event_goes_on_before_the_next_one_is_made():
    step = STREAM + CHUNKED + _chunk(_event(1))
    async with running_hub([(step, 'keep')], **ENDLESS) as hub:
        answer = await ask(hub, request(), until=_event(1))
    assert _event(1) in answer


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
        answer = await ask(hub, pair)
        assert len(hub.received) == 2
    assert answer.count(b'HTTP/1.1 200') == 2


@pytest.mark.parametrize(
    ('name', 'expected'),
    [
        (b'x-bluebellhub-tenant', b'yard'),
        (b'x-bluebellhub-expect-instance', b'u0'),
        (b'x-bluebellhub-request-id', b'r1'),
        (b'host', b'a.example'),
        (b'content-length', b'5'),
        (b'authorization', None),
        (b'kv-from', None),
    ],
)
async def test_what_an_upstream_receives(name, expected):
    sent = request(b'hello', headers=CLOSE + b'Kv-From: 1.2.3.4:5/6\r\n')
    async with running_hub([(WHOLE, 'close')], **ONCE) as hub:
        await ask(hub, sent)
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
        while hub.passing.node.scheduler.lives:
            await trio.sleep(0.01)
        scheduler = hub.passing.node.scheduler
        assert not scheduler.upstreams['u0'].work


@pytest.mark.parametrize(
    ('scripts', 'status'), [([[(b'', 'keep')]], 504), ([], 503)]
)
async def test_a_time_limit_ends_with_an_answer(scripts, status):
    async with running_hub(*scripts, **ONCE) as hub:
        sent = request(headers=CLOSE).replace(b'3000', b'300')
        answer = await ask(hub, sent)
    assert _status(answer) == status

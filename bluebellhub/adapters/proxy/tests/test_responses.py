"""What callers and upstreams see of a VM, byte for byte."""

import pytest

from bluebellhub.adapters.proxy.tests.scripted_upstreams import (
    running_hub,
    send_and_receive,
)
from bluebellhub.clock import now_s
from bluebellhub.platform.tests.wire import (
    OTHER_ID,
    PROOF_NAME,
    SIGNATURE,
    UNRUN,
    request,
)
from bluebellhub.site.admission import admit_request
from bluebellhub.site.tests.small_site import make_request_head

OK = b'HTTP/1.1 200 OK\r\n' + SIGNATURE
WHOLE = OK + b'Content-Length: 4\r\n\r\nbody'
FOUR = b'Content-Length: 4\r\n\r\nbody'
CLOSE = b'Connection: close\r\n'
STREAM = OK + b'Content-Type: text/event-stream\r\n'
NO_BODY = b'Content-Length: 0\r\n\r\n'
REFUSED = b'HTTP/1.1 503 No\r\n' + UNRUN + NO_BODY
ERROR = b'HTTP/1.1 500 No\r\n' + SIGNATURE + b'Content-Length: 3\r\n\r\nbad'
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
        call = make_request_head(f'other-{number}')
        admit_request(hub.passing.site, call, now_s())


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
        (ONCE, (REFUSED, 'keep'), (WHOLE, 'keep'), 200, b'body'),
        (ONCE, (REFUSED, 'keep'), (REFUSED, 'keep'), 503, None),
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
                OK + OTHER_ID + FOUR,
                'keep',
            ),
            (WHOLE, 'keep'),
            502,
            None,
        ),
        (
            ONCE,
            (
                b'HTTP/1.1 404 No\r\n'
                + SIGNATURE
                + b'Content-Length: 2\r\n\r\nno',
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
        answer = await send_and_receive(hub, request(headers=CLOSE))
    assert _status(answer) == status
    proven = PROOF_NAME in answer.lower()
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
        answer = await send_and_receive(hub, request(headers=CLOSE))
        received = list(hub.received)
    assert _status(answer) == 200
    assert _body(answer) == body
    assert answer.endswith(LAST) is is_complete
    if second is not None:
        assert b'last-event-id: 2\r\n' in received[1].lower()


async def test_an_event_goes_on_before_the_next_one_is_made():
    step = STREAM + CHUNKED + _chunk(_event(1))
    async with running_hub([(step, 'keep')], **ENDLESS) as hub:
        answer = await send_and_receive(hub, request(), until=_event(1))
    assert _event(1) in answer


@pytest.mark.parametrize(
    ('route', 'first', 'second'),
    [
        (ONCE, (WHOLE, 'keep'), (WHOLE, 'keep')),
        (ONCE, (b'', 'close'), (WHOLE, 'keep')),
        (REPEATABLE, (ERROR, 'keep'), (WHOLE, 'keep')),
        (RESUMED, (STREAM + CHUNKED + TWO, 'close'), (b'', 'close')),
    ],
)
async def test_an_answered_request_leaves_nothing_behind(route, first, second):
    async with running_hub([first, second], **route) as hub:
        _warm(hub)
        await send_and_receive(hub, request(headers=CLOSE))
        node = hub.passing.node
        assert not node.attempts
        assert not node.exchanges
        assert not node.scheduler.requests

"""Responses that callers receive, by the bytes that upstreams send."""

import pytest

from bluebellhub.adapters.proxy.tests.scripted_upstreams import (
    fill_retry_budget,
    running_hub,
    send_and_receive,
)
from bluebellhub.platform.tests.wire import (
    NOT_EXECUTED,
    OTHER_REQUEST_ID,
    SIGNATURE,
    SIGNATURE_NAME,
    request,
)

OK = b'HTTP/1.1 200 OK\r\n' + SIGNATURE
COMPLETE = OK + b'Content-Length: 4\r\n\r\nbody'
FOUR_BYTE_BODY = b'Content-Length: 4\r\n\r\nbody'
CLOSE = b'Connection: close\r\n'
STREAM = OK + b'Content-Type: text/event-stream\r\n'
NO_BODY = b'Content-Length: 0\r\n\r\n'
REFUSED = b'HTTP/1.1 503 No\r\n' + NOT_EXECUTED + NO_BODY
ERROR = b'HTTP/1.1 500 No\r\n' + SIGNATURE + b'Content-Length: 3\r\n\r\nbad'
IDEMPOTENT = {'repeat': 'idempotent', 'attempts_max': 2}
ONCE = {'repeat': 'once', 'attempts_max': 2}
NOT_RESUMABLE = {'is_stream': True, 'is_resumable': False, 'attempts_max': 1}
RESUMABLE = {'is_stream': True, 'is_resumable': True, 'attempts_max': 2}
CHUNKED = b'Transfer-Encoding: chunked\r\n\r\n'
# Above what is buffered of a response.
LARGE_BYTES = 1_200_000
LARGE_ERROR = (
    b'HTTP/1.1 500 No\r\n'
    + SIGNATURE
    + b'Content-Length: %d\r\n\r\n' % LARGE_BYTES
    + b'x' * LARGE_BYTES
)


def _event(number):
    return b'id: %d\ndata: d%d\n\n' % (number, number)


def _chunk(part):
    return b'%x\r\n%s\r\n' % (len(part), part)


def _status(response):
    return int(response.split(b' ')[1])


def _body(response):
    head, _, body = response.partition(b'\r\n\r\n')
    if b'transfer-encoding: chunked' not in head.lower():
        return body
    decoded = b''
    while body:
        size, _, body = body.partition(b'\r\n')
        decoded += body[: int(size or b'0', 16)]
        body = body[int(size or b'0', 16) + 2 :]
    return decoded


@pytest.mark.parametrize(
    ('route', 'first', 'second', 'status', 'body'),
    [
        (ONCE, (COMPLETE, 'keep'), None, 200, b'body'),
        (ONCE, (OK + b'\r\nto the end', 'close'), None, 200, b'to the end'),
        (
            ONCE,
            (OK + CHUNKED + b'2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n', 'keep'),
            None,
            200,
            b'body',
        ),
        (ONCE, (COMPLETE[:-1], 'close'), (COMPLETE, 'keep'), 502, None),
        (
            ONCE,
            (OK + CHUNKED + b'4\r\nbody\r\n', 'close'),
            (COMPLETE, 'keep'),
            502,
            None,
        ),
        (ONCE, (OK + b'\r\nhalf', 'reset'), (COMPLETE, 'keep'), 502, None),
        (
            ONCE,
            (b'\x00garbage\r\n\r\n', 'close'),
            (COMPLETE, 'keep'),
            502,
            None,
        ),
        (ONCE, (b'', 'close'), (COMPLETE, 'keep'), 502, None),
        (ONCE, (ERROR, 'keep'), (COMPLETE, 'keep'), 500, b'bad'),
        (ONCE, (REFUSED, 'keep'), (COMPLETE, 'keep'), 200, b'body'),
        (ONCE, (REFUSED, 'keep'), (REFUSED, 'keep'), 503, None),
        (
            ONCE,
            (b'HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n', 'keep'),
            (COMPLETE, 'keep'),
            502,
            None,
        ),
        (
            ONCE,
            (b'HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody', 'keep'),
            (COMPLETE, 'keep'),
            502,
            None,
        ),
        (
            ONCE,
            (
                OK + b'Content-Encoding: br\r\nContent-Length: 4\r\n\r\nbody',
                'keep',
            ),
            (COMPLETE, 'keep'),
            502,
            None,
        ),
        (
            ONCE,
            (
                OK + OTHER_REQUEST_ID + FOUR_BYTE_BODY,
                'keep',
            ),
            (COMPLETE, 'keep'),
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
        (
            IDEMPOTENT,
            (COMPLETE[:-1], 'close'),
            (COMPLETE, 'keep'),
            200,
            b'body',
        ),
        (IDEMPOTENT, (b'', 'close'), (COMPLETE, 'keep'), 200, b'body'),
        (
            IDEMPOTENT,
            (b'\x00garbage\r\n\r\n', 'close'),
            (COMPLETE, 'keep'),
            200,
            b'body',
        ),
        (IDEMPOTENT, (ERROR, 'keep'), (COMPLETE, 'keep'), 200, b'body'),
        (IDEMPOTENT, (ERROR, 'keep'), (ERROR, 'keep'), 500, b'bad'),
        (
            IDEMPOTENT,
            (COMPLETE + b'HTTP/1.1 200 OK\r\n\r\n', 'keep'),
            None,
            200,
            b'body',
        ),
        (
            IDEMPOTENT,
            (b'HTTP/1.1 100 Continue\r\n\r\n' + COMPLETE, 'keep'),
            None,
            200,
            b'body',
        ),
    ],
)
async def test_unstreamed_response_status_and_body(
    route, first, second, status, body
):
    scripts = [[first, second or first]]
    async with running_hub(*scripts, **route) as hub:
        fill_retry_budget(hub)
        response = await send_and_receive(hub, request(headers=CLOSE))
    assert _status(response) == status
    is_signed = SIGNATURE_NAME in response.lower()
    assert is_signed is (body is not None)
    if body is not None:
        assert _body(response) == body


THREE_EVENTS = b''.join(_chunk(_event(number)) for number in (1, 2, 3))
TWO_EVENTS = _chunk(_event(1)) + _chunk(_event(2))
LAST = b'0\r\n\r\n'
ALL = _event(1) + _event(2) + _event(3)


@pytest.mark.parametrize(
    ('route', 'first', 'second', 'body', 'is_complete'),
    [
        (
            NOT_RESUMABLE,
            (STREAM + CHUNKED + THREE_EVENTS + LAST, 'keep'),
            None,
            ALL,
            True,
        ),
        (NOT_RESUMABLE, (STREAM + b'\r\n' + ALL, 'close'), None, ALL, True),
        (
            NOT_RESUMABLE,
            (STREAM + CHUNKED + TWO_EVENTS, 'close'),
            None,
            _event(1) + _event(2),
            False,
        ),
        (
            NOT_RESUMABLE,
            (STREAM + CHUNKED + TWO_EVENTS + _chunk(b'id: 3\nda'), 'reset'),
            None,
            _event(1) + _event(2),
            False,
        ),
        (
            RESUMABLE,
            (STREAM + CHUNKED + TWO_EVENTS, 'close'),
            (STREAM + CHUNKED + _chunk(_event(3)) + LAST, 'keep'),
            ALL,
            True,
        ),
        (
            RESUMABLE,
            (STREAM + CHUNKED + TWO_EVENTS + _chunk(b'id: 3\nda'), 'close'),
            (STREAM + CHUNKED + _chunk(_event(3)) + LAST, 'keep'),
            ALL,
            True,
        ),
        (
            RESUMABLE,
            (STREAM + CHUNKED + TWO_EVENTS, 'close'),
            (STREAM + CHUNKED + THREE_EVENTS + LAST, 'keep'),
            ALL,
            True,
        ),
        (
            RESUMABLE,
            (STREAM + CHUNKED + TWO_EVENTS, 'close'),
            (STREAM + CHUNKED + _chunk(_event(4)) + LAST, 'keep'),
            _event(1) + _event(2),
            False,
        ),
        # Without a length, the end of the connection ends the stream.
        (
            NOT_RESUMABLE,
            (STREAM + b'\r\n' + _event(1) + _event(2) + b'id: 3\nda', 'close'),
            None,
            _event(1) + _event(2),
            False,
        ),
        (
            NOT_RESUMABLE,
            (STREAM + CHUNKED + TWO_EVENTS + _chunk(b'id: 3') + LAST, 'keep'),
            None,
            _event(1) + _event(2),
            False,
        ),
        (
            RESUMABLE,
            (STREAM + b'\r\n' + _event(1) + _event(2) + b'id: 3\nda', 'close'),
            (STREAM + CHUNKED + _chunk(_event(3)) + LAST, 'keep'),
            ALL,
            True,
        ),
        (
            NOT_RESUMABLE,
            (STREAM + b'\r\n' + ALL.replace(b'\n', b'\r\n'), 'close'),
            None,
            ALL.replace(b'\n', b'\r\n'),
            True,
        ),
        (
            NOT_RESUMABLE,
            (STREAM + b'\r\n' + ALL + b'\n', 'close'),
            None,
            ALL + b'\n',
            True,
        ),
    ],
)
async def test_streamed_response_body_and_end(
    route, first, second, body, is_complete
):
    async with running_hub([first, second or first], **route) as hub:
        fill_retry_budget(hub)
        response = await send_and_receive(hub, request(headers=CLOSE))
        received = list(hub.received)
    assert _status(response) == 200
    assert _body(response) == body
    assert response.endswith(LAST) is is_complete
    if second is not None:
        assert b'last-event-id: 2\r\n' in received[1].lower()


@pytest.mark.parametrize(
    'second',
    [
        ERROR,
        REFUSED,
        COMPLETE,
        ERROR.replace(b'500', b'404'),
        ERROR.replace(b'500', b'503'),
        ERROR.replace(b'500 No', b'404 No\r\nContent-Type: text/event-stream'),
        LARGE_ERROR,
        LARGE_ERROR.replace(b'500', b'404'),
        OK + b'\r\n' + b'x' * LARGE_BYTES,
        STREAM.replace(SIGNATURE, b'') + CHUNKED + _chunk(_event(3)) + LAST,
    ],
)
async def test_stream_gets_no_part_of_another_response(second):
    first = STREAM + CHUNKED + TWO_EVENTS
    script = [(first, 'close'), (second, 'close')]
    async with running_hub(script, **RESUMABLE) as hub:
        fill_retry_budget(hub)
        response = await send_and_receive(hub, request(headers=CLOSE))
        assert len(hub.received) > 1
    assert _body(response) == _event(1) + _event(2)
    assert not response.endswith(LAST)


async def test_event_is_forwarded_before_the_next_one_arrives():
    first_event = STREAM + CHUNKED + _chunk(_event(1))
    async with running_hub([(first_event, 'keep')], **NOT_RESUMABLE) as hub:
        response = await send_and_receive(hub, request(), until=_event(1))
    assert _event(1) in response


@pytest.mark.parametrize(
    ('route', 'first', 'second'),
    [
        (ONCE, (COMPLETE, 'keep'), (COMPLETE, 'keep')),
        (ONCE, (b'', 'close'), (COMPLETE, 'keep')),
        (IDEMPOTENT, (ERROR, 'keep'), (COMPLETE, 'keep')),
        (RESUMABLE, (STREAM + CHUNKED + TWO_EVENTS, 'close'), (b'', 'close')),
    ],
)
async def test_completed_request_leaves_no_state(route, first, second):
    async with running_hub([first, second], **route) as hub:
        fill_retry_budget(hub)
        await send_and_receive(hub, request(headers=CLOSE))
        node = hub.proxy.node
        assert not node.attempts
        assert not node.exchanges
        assert not node.scheduler.requests

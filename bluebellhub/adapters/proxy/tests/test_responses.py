"""Responses that callers receive, by the bytes that upstreams send."""

import pytest
import trio

from bluebellhub.adapters.proxy.tests.response_parts import (
    CHUNKED,
    CLOSE,
    COMPLETE,
    ERROR,
    IDEMPOTENT,
    NOT_RESUMABLE,
    OK,
    ONCE,
    REFUSED,
    RESUMABLE,
    STREAM,
    TWO_EVENTS,
    body_of,
    status_of,
)
from bluebellhub.adapters.proxy.tests.scripted_upstreams import (
    fill_retry_budget,
    running_hub,
    send_and_receive,
)
from bluebellhub.platform.tests.wire import (
    OTHER_REQUEST_ID,
    SIGNATURE,
    SIGNATURE_NAME,
    request,
)

# Half of the time limit of `request`.
AT_ONCE_S = 1.5
# The media type of the stream that was requested.
STREAM_ERROR = ERROR.replace(
    b'Content-Length', b'Content-Type: text/event-stream\r\nContent-Length'
)
FOUR_BYTE_BODY = b'Content-Length: 4\r\n\r\nbody'


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
    assert status_of(response) == status
    is_signed = SIGNATURE_NAME in response.lower()
    assert is_signed is (body is not None)
    if body is not None:
        assert body_of(response) == body


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


@pytest.mark.parametrize('route', [ONCE, NOT_RESUMABLE])
async def test_error_in_the_media_type_of_a_stream_is_forwarded(route):
    """It was held until the upstream closed, and the caller got nothing."""
    async with running_hub([(STREAM_ERROR, 'keep')], **route) as hub:
        with trio.fail_after(AT_ONCE_S):
            response = await send_and_receive(hub, request(headers=CLOSE))
    assert status_of(response) == 500
    assert body_of(response) == b'bad'

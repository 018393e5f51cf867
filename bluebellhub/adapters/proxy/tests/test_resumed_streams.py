"""Streams that go on at another upstream, and what they get from there."""

import pytest

from bluebellhub.adapters.proxy.tests.response_parts import (
    CHUNKED,
    CLOSE,
    COMPLETE,
    ERROR,
    LAST,
    OK,
    REFUSED,
    RESUMABLE,
    STREAM,
    TWO_EVENTS,
    body_of,
    chunk,
    event,
)
from bluebellhub.adapters.proxy.tests.scripted_upstreams import (
    fill_retry_budget,
    running_hub,
    send_and_receive,
)
from bluebellhub.platform.tests.wire import SIGNATURE, request

# Above what is buffered of a response.
LARGE_BYTES = 1_200_000
LARGE_ERROR = (
    b'HTTP/1.1 500 No\r\n'
    + SIGNATURE
    + b'Content-Length: %d\r\n\r\n' % LARGE_BYTES
    + b'x' * LARGE_BYTES
)


@pytest.mark.parametrize(
    ('first_ids', 'second_ids', 'is_complete'),
    [
        ((2, 4), (6, 8), True),
        ((2, 4), (2, 4, 6, 8), True),
        ((2, 4), (8, 10), False),
        ((6,), (12, 18), True),
        ((1, 2, 5), (9, 10), True),
        ((1, 2, 3), (5, 6), False),
    ],
)
async def test_stream_is_resumed_where_its_numbering_goes_on(
    first_ids, second_ids, is_complete
):
    """An event that is missing between two attempts truncates the stream."""
    first = STREAM + CHUNKED + b''.join(chunk(event(n)) for n in first_ids)
    second = STREAM + CHUNKED + b''.join(chunk(event(n)) for n in second_ids)
    script = [(first, 'close'), (second + LAST, 'keep')]
    async with running_hub(script, **RESUMABLE) as hub:
        fill_retry_budget(hub)
        response = await send_and_receive(hub, request(headers=CLOSE))
    ids = sorted({*first_ids, *second_ids}) if is_complete else first_ids
    assert body_of(response) == b''.join(event(number) for number in ids)
    assert response.endswith(LAST) is is_complete


async def test_stream_without_ids_is_not_begun_again():
    """Once a part was forwarded, it could only be repeated."""
    first = STREAM + CHUNKED + chunk(b'data: d1\n\n')
    route = {**RESUMABLE, 'is_stream': False, 'repeat': 'idempotent'}
    script = [(first, 'close'), (first + LAST, 'keep')]
    async with running_hub(script, **route) as hub:
        fill_retry_budget(hub)
        response = await send_and_receive(hub, request(headers=CLOSE))
    assert body_of(response) == b'data: d1\n\n'
    assert not response.endswith(LAST)


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
        STREAM.replace(SIGNATURE, b'') + CHUNKED + chunk(event(3)) + LAST,
    ],
)
async def test_stream_gets_no_part_of_another_response(second):
    first = STREAM + CHUNKED + TWO_EVENTS
    script = [(first, 'close'), (second, 'close')]
    async with running_hub(script, **RESUMABLE) as hub:
        fill_retry_budget(hub)
        response = await send_and_receive(hub, request(headers=CLOSE))
        assert len(hub.received) > 1
    assert body_of(response) == event(1) + event(2)
    assert not response.endswith(LAST)

"""Streams that callers receive, by the bytes that upstreams send."""

import pytest

from bluebellhub.adapters.proxy.tests.response_parts import (
    CHUNKED,
    CLOSE,
    LAST,
    NOT_RESUMABLE,
    RESUMABLE,
    STREAM,
    TWO_EVENTS,
    body_of,
    chunk,
    event,
    status_of,
)
from bluebellhub.adapters.proxy.tests.scripted_upstreams import (
    fill_retry_budget,
    running_hub,
    send_and_receive,
)
from bluebellhub.platform.tests.wire import request

THREE_EVENTS = b''.join(chunk(event(number)) for number in (1, 2, 3))
ALL = event(1) + event(2) + event(3)


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
            event(1) + event(2),
            False,
        ),
        (
            NOT_RESUMABLE,
            (STREAM + CHUNKED + TWO_EVENTS + chunk(b'id: 3\nda'), 'reset'),
            None,
            event(1) + event(2),
            False,
        ),
        (
            RESUMABLE,
            (STREAM + CHUNKED + TWO_EVENTS, 'close'),
            (STREAM + CHUNKED + chunk(event(3)) + LAST, 'keep'),
            ALL,
            True,
        ),
        (
            RESUMABLE,
            (STREAM + CHUNKED + TWO_EVENTS + chunk(b'id: 3\nda'), 'close'),
            (STREAM + CHUNKED + chunk(event(3)) + LAST, 'keep'),
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
            (STREAM + CHUNKED + chunk(event(4)) + LAST, 'keep'),
            event(1) + event(2),
            False,
        ),
        # Without a length, the end of the connection ends the stream.
        (
            NOT_RESUMABLE,
            (STREAM + b'\r\n' + event(1) + event(2) + b'id: 3\nda', 'close'),
            None,
            event(1) + event(2),
            False,
        ),
        (
            NOT_RESUMABLE,
            (STREAM + CHUNKED + TWO_EVENTS + chunk(b'id: 3') + LAST, 'keep'),
            None,
            event(1) + event(2),
            False,
        ),
        (
            RESUMABLE,
            (STREAM + b'\r\n' + event(1) + event(2) + b'id: 3\nda', 'close'),
            (STREAM + CHUNKED + chunk(event(3)) + LAST, 'keep'),
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
    assert status_of(response) == 200
    assert body_of(response) == body
    assert response.endswith(LAST) is is_complete
    if second is not None:
        assert b'last-event-id: 2\r\n' in received[1].lower()


GARBAGE = b'\x00\x17no event\n\n'


@pytest.mark.parametrize(
    'spoiled',
    [
        chunk(GARBAGE),
        chunk(GARBAGE + event(3)),
        chunk(GARBAGE[:-2] + event(3)),
        chunk(b'id: \ndata: d3\n\n'),
        chunk(b'id: x3\ndata: d3\n\n'),
        chunk(b'id: %s\ndata: d3\n\n' % (b'9' * 5000)),
        chunk(event(2)),
        chunk(event(1)),
        # The empty line between two events is spoiled.
        chunk(event(3)[:-1] + event(4)),
        chunk(event(3)[:-2] + b'\x17\n' + event(4)),
    ],
)
@pytest.mark.parametrize(
    ('route', 'body', 'is_complete'),
    [(RESUMABLE, ALL, True), (NOT_RESUMABLE, event(1) + event(2), False)],
)
async def test_bytes_that_are_no_event_of_the_stream_are_not_forwarded(
    route, body, is_complete, spoiled
):
    """A faulty upstream writes bytes between the events of its stream."""
    first = STREAM + CHUNKED + TWO_EVENTS + spoiled
    second = STREAM + CHUNKED + chunk(event(3)) + LAST
    async with running_hub([(first, 'keep'), (second, 'keep')], **route) as hub:
        fill_retry_budget(hub)
        response = await send_and_receive(hub, request(headers=CLOSE))
    assert body_of(response) == body
    assert response.endswith(LAST) is is_complete


@pytest.mark.parametrize('route', [RESUMABLE, NOT_RESUMABLE])
@pytest.mark.parametrize(
    'ids', [(2, 4, 6), (6, 12, 18), (1, 2, 5, 9), (0, 7, 8), (1, 2, 3, 5)]
)
async def test_sound_stream_is_not_cut_for_ids_that_leave_numbers_out(
    route, ids
):
    """The ids of a stream increase, by one or by more."""
    events = b''.join(event(number) for number in ids)
    stream = STREAM + CHUNKED + chunk(events) + LAST
    async with running_hub([(stream, 'keep')], **route) as hub:
        response = await send_and_receive(hub, request(headers=CLOSE))
        assert len(hub.received) == 1
    assert body_of(response) == events
    assert response.endswith(LAST)


@pytest.mark.parametrize(
    'part', [b': keep-alive\n\n', b'\n\n', b'retry-of: x\nid: 3\n\n']
)
async def test_comments_and_other_fields_are_forwarded(part):
    stream = STREAM + CHUNKED + TWO_EVENTS + chunk(part) + LAST
    async with running_hub([(stream, 'keep')], **NOT_RESUMABLE) as hub:
        response = await send_and_receive(hub, request(headers=CLOSE))
    assert body_of(response) == event(1) + event(2) + part
    assert response.endswith(LAST)


EMPTY = (STREAM + b'\r\n', 'close')
STATED_EMPTY = (STREAM + CHUNKED + LAST, 'keep')
SOUND = (STREAM + b'\r\n' + ALL, 'close')


@pytest.mark.parametrize(
    ('route', 'first', 'second', 'status', 'body'),
    [
        (NOT_RESUMABLE, EMPTY, SOUND, 502, None),
        (RESUMABLE, EMPTY, SOUND, 200, ALL),
        (RESUMABLE, EMPTY, EMPTY, 502, None),
        (NOT_RESUMABLE, STATED_EMPTY, None, 200, b''),
    ],
)
async def test_end_before_the_first_event_is_no_end_of_a_stream(
    route, first, second, status, body
):
    """Unless the upstream states it; the caller got an empty success."""
    async with running_hub([first, second or first], **route) as hub:
        fill_retry_budget(hub)
        response = await send_and_receive(hub, request(headers=CLOSE))
    assert status_of(response) == status
    if body is not None:
        assert body_of(response) == body


async def test_event_is_forwarded_before_the_next_one_arrives():
    first_event = STREAM + CHUNKED + chunk(event(1))
    async with running_hub([(first_event, 'keep')], **NOT_RESUMABLE) as hub:
        response = await send_and_receive(hub, request(), until=event(1))
    assert event(1) in response

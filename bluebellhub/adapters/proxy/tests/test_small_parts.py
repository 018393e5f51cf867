"""Bodies in very small chunks, which must not keep other tasks waiting."""

from functools import partial

import pytest
import trio

from bluebellhub.adapters.proxy.event_stream import (
    EVENT_MAX_BYTES,
    EventTooLargeError,
    split_events,
)
from bluebellhub.adapters.proxy.tests.scripted_upstreams import (
    listen,
    running_hub,
    send_and_receive,
    send_without_end,
)
from bluebellhub.platform.tests.wire import SIGNATURE, request

ONCE = {'repeat': 'once', 'attempts_max': 1}
STREAMED = {'is_stream': True, 'is_resumable': False, 'attempts_max': 1}
START = (
    b'HTTP/1.1 %d X\r\n' + SIGNATURE + b'%sTransfer-Encoding: chunked\r\n\r\n'
)
STREAM_TYPE = b'Content-Type: text/event-stream\r\n'
STREAM = START % (200, STREAM_TYPE)
SMALL_CHUNKS = b'6\r\ntoken \r\n' * 10_000
SMALL_EVENTS = b''.join(
    b'e\r\nid: %05d\na: \n\n\r\n' % number for number in range(10_000)
)
CLOSE = b'Connection: close\r\n'
CHECK_S = 0.01
# A task that is ready to run waits no longer, also beside other load.
PAUSE_MAX_S = 0.5
# Searched again with each part, it takes minutes.
LONG_EVENT_S = 20.0


async def _watch_pauses(pauses):
    """Collect for how long another task was kept waiting, in seconds."""
    while True:
        before_s = trio.current_time()
        await trio.sleep(CHECK_S)
        pauses.append(trio.current_time() - before_s - CHECK_S)


async def _longest_pause_s(route, sent, addresses=()):
    """Return the longest pause while a VM handles one request."""
    pauses = [0.0]
    async with running_hub(addresses=addresses, **route) as hub:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_watch_pauses, pauses)
            await send_and_receive(hub, sent)
            nursery.cancel_scope.cancel()
    return max(pauses)


@pytest.mark.parametrize(
    ('start', 'part', 'route'),
    [
        (STREAM, SMALL_CHUNKS, STREAMED),
        (STREAM, SMALL_EVENTS, STREAMED),
        (START % (200, b''), SMALL_CHUNKS, ONCE),
        (START % (500, b''), SMALL_CHUNKS, ONCE),
        (b'', b'HTTP/1.1 103 Early Hints\r\n\r\n' * 10_000, ONCE),
    ],
)
async def test_response_in_small_parts_keeps_no_other_task_waiting(
    start, part, route
):
    sent = request(headers=CLOSE).replace(b'3000', b'2000')
    async with trio.open_nursery() as nursery:
        handler = partial(send_without_end, start, part, [])
        port = await listen(nursery, handler)
        addresses = (f'127.0.0.1:{port}',)
        pause_s = await _longest_pause_s(route, sent, addresses)
        nursery.cancel_scope.cancel()
    assert pause_s < PAUSE_MAX_S


async def test_request_in_small_chunks_keeps_no_other_task_waiting():
    chunked = request(headers=CLOSE).replace(
        b'Content-Length: 0', b'Transfer-Encoding: chunked'
    )
    sent = chunked + b'1\r\nx\r\n' * 100_000 + b'0\r\n\r\n'
    assert await _longest_pause_s(ONCE, sent) < PAUSE_MAX_S


async def test_long_event_in_small_parts_ends_soon():
    incomplete = bytearray()
    with trio.fail_after(LONG_EVENT_S):
        with pytest.raises(EventTooLargeError):
            for _ in range(EVENT_MAX_BYTES):
                await trio.lowlevel.checkpoint()
                split_events(incomplete, b'token ')


@pytest.mark.parametrize('separator', [b'\n\n', b'\r\n\r\n', b'\r\r'])
@pytest.mark.parametrize('size', [1, 2, 3, 5, 100])
def test_events_are_split_alike_in_parts_of_any_size(separator, size):
    events = [b'id: %d' % number + separator for number in range(9)]
    stream = b''.join(events)
    incomplete = bytearray()
    found = []
    for start in range(0, len(stream), size):
        found.extend(split_events(incomplete, stream[start : start + size]))
    assert found == events
    assert not incomplete

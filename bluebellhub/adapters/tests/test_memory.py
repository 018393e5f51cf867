"""Memory that a VM keeps for requests, whatever upstreams and callers send."""

import tracemalloc
from contextlib import asynccontextmanager
from functools import partial

import pytest
import trio

from bluebellhub.adapters.memory import (
    FREE_BYTES,
    TOTAL_MAX_BYTES,
    MemoryExhaustedError,
    make_memory_budget,
    make_reservation,
    release_memory,
    reserve_memory,
)
from bluebellhub.adapters.proxy.tests.response_parts import (
    CHUNKED,
    CLOSE,
    COMPLETE,
    OK,
    STREAM,
    body_of,
)
from bluebellhub.adapters.proxy.tests.scripted_upstreams import (
    listen,
    running_hub,
    send_and_receive,
    send_without_end,
)
from bluebellhub.platform.tests.wire import SIGNATURE, request

KIB = 1024
ONCE = {'repeat': 'once', 'attempts_max': 1}
STREAMED = {'is_stream': True, 'is_resumable': False, 'attempts_max': 1}
ERROR = b'HTTP/1.1 500 No\r\n' + SIGNATURE
FILLER = b'x' * 65_536
CHUNK = b'%x\r\n%s\r\n' % (len(FILLER), FILLER)
UPSTREAMS = 20
REQUESTS = 40
# What the smallest VMs have left for requests.
VM_MAX_BYTES = 100_000_000


@pytest.mark.parametrize(
    ('sizes', 'reserved'),
    [
        ([0], 0),
        ([FREE_BYTES], 0),
        ([FREE_BYTES + 5], 5),
        ([FREE_BYTES + 5, FREE_BYTES + 2], 5),
        ([FREE_BYTES + 5, FREE_BYTES + 9], 9),
        ([FREE_BYTES + TOTAL_MAX_BYTES], TOTAL_MAX_BYTES),
    ],
)
def test_reservation_covers_the_most_that_was_kept(sizes, reserved):
    reservation = make_reservation(make_memory_budget())
    for size in sizes:
        reserve_memory(reservation, size)
    assert reservation.budget['reserved_bytes'] == reserved
    release_memory(reservation)
    assert reservation.budget['reserved_bytes'] == 0


@pytest.mark.parametrize('size', [1, FREE_BYTES])
def test_small_requests_do_not_need_the_budget(size):
    budget = make_memory_budget()
    reserve_memory(make_reservation(budget), FREE_BYTES + TOTAL_MAX_BYTES)
    reserve_memory(make_reservation(budget), size)
    with pytest.raises(MemoryExhaustedError):
        reserve_memory(make_reservation(budget), FREE_BYTES + 1)


@asynccontextmanager
async def _hub(start, part, route):
    """Run a VM before many endless upstreams and a sound one."""
    async with trio.open_nursery() as nursery:
        handler = partial(send_without_end, start, part, [])
        ports = [await listen(nursery, handler) for _ in range(UPSTREAMS)]
        addresses = [f'127.0.0.1:{port}' for port in ports]
        async with running_hub(addresses=addresses, **route) as hub:
            yield hub
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize(
    ('start', 'part', 'route'),
    [
        (ERROR + b'\r\n', FILLER, ONCE),
        (ERROR + CHUNKED, CHUNK, ONCE),
        (OK + CHUNKED, CHUNK, ONCE),
        (STREAM + b'\r\ndata: ', FILLER, STREAMED),
    ],
)
async def test_many_endless_responses_do_not_use_up_the_memory(
    start, part, route
):
    """Each was bounded, but not all of them together."""
    tracemalloc.start()
    sent = request(headers=CLOSE).replace(b'3000', b'1500')
    async with _hub(start, part, route) as hub:
        async with trio.open_nursery() as nursery:
            for _ in range(REQUESTS):
                nursery.start_soon(_send_and_drop, hub, sent)
        assert hub.proxy.node.memory['reserved_bytes'] == 0
    peak_bytes = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    assert peak_bytes < VM_MAX_BYTES


async def _send_and_drop(hub, sent):
    """Send a request; drop what comes back."""
    stream = await trio.open_tcp_stream('127.0.0.1', hub.port)
    async with stream:
        await stream.send_all(sent)
        received = 1
        while received:
            received = len(await stream.receive_some())


async def test_large_response_is_forwarded_without_memory_for_it():
    body = b'y' * (900 * KIB)
    response = OK + b'Content-Length: %d\r\n\r\n' % len(body) + body
    async with running_hub([(response, 'keep')], **ONCE) as hub:
        hub.proxy.node.memory['reserved_bytes'] = TOTAL_MAX_BYTES
        received = await send_and_receive(hub, request(headers=CLOSE))
    assert body_of(received) == body


@pytest.mark.parametrize(('size', 'status'), [(64 * KIB, 200), (65 * KIB, 503)])
async def test_large_request_is_refused_without_memory_for_it(size, status):
    async with running_hub([(COMPLETE, 'keep')], **ONCE) as hub:
        hub.proxy.node.memory['reserved_bytes'] = TOTAL_MAX_BYTES
        sent = request(body=b'z' * size, headers=CLOSE)
        received = await send_and_receive(hub, sent)
    assert received.startswith(b'HTTP/1.1 %d ' % status)

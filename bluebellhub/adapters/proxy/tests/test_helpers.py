"""A VM that serves for one that is cut off, and what may fail there."""

from functools import partial

import pytest
import trio

from bluebellhub.adapters.proxy.tests.forwarding_hubs import (
    DEAD_ADDRESS,
    HELPER,
    announce_helper,
    cut_off,
    forwarding_hubs,
)
from bluebellhub.adapters.proxy.tests.response_parts import (
    CHUNKED,
    CLOSE,
    COMPLETE,
    ERROR,
    IDEMPOTENT,
    ONCE,
    RESUMABLE,
    STREAM,
    TWO_EVENTS,
    status_of,
)
from bluebellhub.adapters.proxy.tests.scripted_upstreams import (
    fill_retry_budget,
    listen,
    read_head,
    running_hub,
    send_and_receive,
)
from bluebellhub.clock import now_s
from bluebellhub.platform.tests.wire import REQUEST_ID, TOKENS_NAME, request
from bluebellhub.site.tests.small_site import make_registration
from bluebellhub.site.upstreams import apply_registration

STREAM_HEAD = STREAM + REQUEST_ID + CHUNKED
ATTEMPTS = b'Bluebellhub-Attempts: 2\r\n'
WAIT_S = 2.0
TIME_LIMIT_S = 0.5


async def test_booking_is_not_sent_again_if_the_helper_dies():
    """The helper may have sent it on before it ended."""
    arrivals = []

    async def take_and_end(stream):
        async with stream:
            arrivals.append(await read_head(stream))

    async with trio.open_nursery() as nursery:
        port = await listen(nursery, take_and_end)
        async with running_hub(addresses=(DEAD_ADDRESS,), **ONCE) as hub:
            cut_off(hub)
            for name in ('hub-2', 'hub-3'):
                announce_helper(hub, port, name)
            received = await send_and_receive(hub, request(headers=CLOSE))
        nursery.cancel_scope.cancel()
    assert status_of(received) == 502
    assert len(arrivals) == 1


async def test_booking_at_a_helper_that_stands_still_ends_in_time():
    """It may run once the helper goes on, so nobody else gets it."""
    arrivals = []

    async def take_and_wait(stream):
        async with stream:
            arrivals.append(await read_head(stream))
            await trio.sleep_forever()

    async with trio.open_nursery() as nursery:
        port = await listen(nursery, take_and_wait)
        route = {**ONCE, 'timeout_s': TIME_LIMIT_S}
        async with running_hub(addresses=(DEAD_ADDRESS,), **route) as hub:
            cut_off(hub)
            for name in ('hub-2', 'hub-3'):
                announce_helper(hub, port, name)
            with trio.fail_after(WAIT_S):
                received = await send_and_receive(hub, request(headers=CLOSE))
        nursery.cancel_scope.cancel()
    assert status_of(received) == 504
    assert b'"run":"unknown"' in received
    assert len(arrivals) == 1


async def test_unreachable_helper_is_passed_over():
    async with forwarding_hubs([(COMPLETE, 'keep')], **ONCE) as hubs:
        cut_off(hubs.cut)
        for number in range(5):
            announce_helper(hubs.cut, 1, f'hub-{number + 3}')
        received = [
            await send_and_receive(hubs.cut, request(headers=CLOSE))
            for _ in range(10)
        ]
    assert [status_of(each) for each in received].count(200) >= 8


@pytest.mark.parametrize(
    ('header', 'members', 'status'),
    [
        (ATTEMPTS, True, 200),
        (b'', True, 400),
        (b'Bluebellhub-Attempts: 0\r\n', True, 400),
        (b'Bluebellhub-Attempts: many\r\n', True, 400),
        (ATTEMPTS * 2, True, 400),
        (ATTEMPTS, False, 403),
    ],
)
async def test_only_vms_get_their_requests_forwarded(header, members, status):
    """Malformed ones, and those of strangers, get a typed refusal."""
    async with forwarding_hubs([(COMPLETE, 'keep')], **ONCE) as hubs:
        if not members:
            vms = hubs.helper.proxy.site.vms
            for name, location in vms.items():
                vms[name] = location._replace(address='10.0.0.9:1')
        peer = hubs.helper._replace(port=hubs.peer_port)
        received = await send_and_receive(peer, request(headers=CLOSE + header))
        assert len(hubs.helper.received) == (status == 200)
    assert status_of(received) == status


async def _stream_until_closed(closed, stream):
    """Send the start of a stream, and note that its reader has left."""
    async with stream:
        await read_head(stream)
        await stream.send_all(STREAM_HEAD + TWO_EVENTS)
        await stream.receive_some()
        closed.set()


async def test_error_response_names_the_upstream_that_sent_it():
    """The later attempt's upstream was named, and taken for one that leaves."""
    leaving = ERROR.replace(b'\r\n', b'\r\nServer-Leaving: 1\r\n', 1)
    async with forwarding_hubs([(leaving, 'close')], **IDEMPOTENT) as hubs:
        fill_retry_budget(hubs.helper)
        entry = make_registration(DEAD_ADDRESS, address=DEAD_ADDRESS)
        apply_registration(hubs.helper.proxy.site, entry, now_s())
        peer = hubs.helper._replace(port=hubs.peer_port)
        received = await send_and_receive(
            peer, request(headers=CLOSE + ATTEMPTS)
        )
    assert status_of(received) == 500
    assert b'bluebellhub-upstream: u0\r\n' in received


async def test_caller_that_leaves_ends_the_work_at_the_helper():
    """Also the connection of the helper to its upstream is closed."""
    closed = trio.Event()
    async with trio.open_nursery() as nursery:
        port = await listen(nursery, partial(_stream_until_closed, closed))
        async with forwarding_hubs([(COMPLETE, 'keep')], **RESUMABLE) as hubs:
            entry = make_registration('u0', address=f'127.0.0.1:{port}')
            apply_registration(hubs.helper.proxy.site, entry, now_s())
            cut_off(hubs.cut)
            await send_and_receive(hubs.cut, request(), until=b'd2')
            await closed.wait()
        nursery.cancel_scope.cancel()


async def test_request_counts_once_in_the_limit_of_its_account():
    tokens = TOKENS_NAME + b': 100,20\r\n'
    async with forwarding_hubs([(COMPLETE, 'keep')], **ONCE) as hubs:
        cut_off(hubs.cut)
        await send_and_receive(hubs.cut, request(headers=CLOSE + tokens))
        admitted = [
            dict(hub.proxy.site.quotas.admitted)
            for hub in (hubs.cut, hubs.helper)
        ]
        retries = [
            hub.proxy.site.scheduler.retries for hub in (hubs.cut, hubs.helper)
        ]
    assert admitted == [{}, {'yard': 120.0}]
    assert HELPER not in retries[0]

"""A VM that is cut off from all upstreams, while other VMs reach them.

Guards against callers that were served far worse there than elsewhere.
"""

import socket
from contextlib import contextmanager

import pytest
import trio

from bluebellhub.adapters.proxy.tests.forwarding_hubs import (
    DEAD_ADDRESS,
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
    LAST,
    NOT_RESUMABLE,
    ONCE,
    RESUMABLE,
    STREAM,
    TWO_EVENTS,
    body_of,
    status_of,
)
from bluebellhub.adapters.proxy.tests.scripted_upstreams import (
    fill_retry_budget,
    listen,
    read_head,
    send_and_receive,
)
from bluebellhub.clock import now_s
from bluebellhub.platform.tests.wire import request
from bluebellhub.reachability import is_cut_off
from bluebellhub.site.tests.small_site import make_registration
from bluebellhub.site.upstreams import apply_registration

STREAMED = STREAM + CHUNKED + TWO_EVENTS + LAST
DEADLINE = b'x-bluebellhub-deadline-ms'
WAIT_S = 2.0


@contextmanager
def _hanging_address():
    """Yield an address where new connections get no response."""
    with socket.socket() as listener:
        listener.bind(('127.0.0.1', 0))
        listener.listen(0)
        address = listener.getsockname()
        filling = [socket.socket() for _ in range(3)]
        for waiting in filling:
            waiting.setblocking(False)
            waiting.connect_ex(address)
        yield f'127.0.0.1:{address[1]}'
        for waiting in filling:
            waiting.close()


def _sent(hub):
    """Return the heads that upstreams received, without the time left."""
    return [
        sorted(
            line
            for line in head.lower().split(b'\r\n')
            if not line.startswith(DEADLINE)
        )
        for head in hub.received
    ]


@pytest.mark.parametrize(
    ('route', 'response'),
    [
        (ONCE, COMPLETE),
        (IDEMPOTENT, COMPLETE),
        (NOT_RESUMABLE, STREAMED),
        (RESUMABLE, STREAMED),
        (ONCE, ERROR),
    ],
)
async def test_request_at_a_cut_off_vm_is_served_by_another(route, response):
    sent = request(b'{"a":1}', headers=CLOSE + b'X-Own: kept\r\n')
    async with forwarding_hubs([(response, 'close')], **route) as hubs:
        cut_off(hubs.cut)
        received = await send_and_receive(hubs.cut, sent)
        direct = await send_and_receive(hubs.helper, sent)
        forwarded, expected = _sent(hubs.helper)
    assert status_of(received) == status_of(direct)
    assert body_of(received) == body_of(direct)
    assert b'bluebellhub-' not in received.lower().replace(
        b'x-bluebellhub-', b''
    )
    assert forwarded == expected


@pytest.mark.parametrize('route', [ONCE, IDEMPOTENT, NOT_RESUMABLE])
@pytest.mark.parametrize('hangs', [False, True])
async def test_cut_is_noticed_and_its_requests_are_served(route, hangs):
    """Connections hang or are refused while another VM is in contact."""
    response = STREAMED if route is NOT_RESUMABLE else COMPLETE
    with _hanging_address() as hanging:
        address = hanging if hangs else DEAD_ADDRESS
        async with forwarding_hubs(
            [(response, 'keep')], addresses=(address,), **route
        ) as hubs:
            fill_retry_budget(hubs.cut)
            with trio.fail_after(WAIT_S):
                received = await send_and_receive(
                    hubs.cut, request(headers=CLOSE)
                )
            scheduler = hubs.cut.proxy.site.scheduler
            assert is_cut_off(scheduler.links)
            upstream = scheduler.upstreams[address]
    assert status_of(received) == 200
    # Its failures count against no upstream.
    assert upstream.paused_until_s == 0.0
    assert not upstream.failures_in_row


async def test_dead_upstream_is_told_from_a_cut():
    """Another upstream accepts connections, so the failure counts."""
    async with forwarding_hubs(**IDEMPOTENT) as hubs:
        async with trio.open_nursery() as nursery:
            port = await listen(nursery, _serve_complete)
            address = f'127.0.0.1:{port}'
            entry = make_registration(address, address=address)
            apply_registration(hubs.cut.proxy.site, entry, now_s())
            fill_retry_budget(hubs.cut)
            scheduler = hubs.cut.proxy.site.scheduler
            while not scheduler.upstreams[DEAD_ADDRESS].failures_in_row:
                received = await send_and_receive(
                    hubs.cut, request(headers=CLOSE)
                )
                assert status_of(received) == 200
            nursery.cancel_scope.cancel()
    assert not is_cut_off(scheduler.links)


async def _serve_complete(stream):
    async with stream:
        while await read_head(stream):
            await stream.send_all(COMPLETE)


async def test_vm_serves_by_itself_once_the_cut_has_healed():
    """The probes of the VM find it within half a second."""
    async with forwarding_hubs(addresses=(), **IDEMPOTENT) as hubs:
        cut_off(hubs.cut)
        arrivals = []

        async def serve(stream):
            async with stream:
                while await read_head(stream):
                    arrivals.append(1)
                    await stream.send_all(COMPLETE)

        async with trio.open_nursery() as nursery:
            port = await listen(nursery, serve)
            address = f'127.0.0.1:{port}'
            apply_registration(
                hubs.cut.proxy.site,
                make_registration(address, address=address),
                now_s(),
            )
            links = hubs.cut.proxy.site.scheduler.links
            with trio.fail_after(WAIT_S):
                while is_cut_off(links):
                    await trio.sleep(0.05)
            await send_and_receive(hubs.cut, request(headers=CLOSE))
            nursery.cancel_scope.cancel()
    assert arrivals == [1]


@pytest.mark.parametrize(
    ('helper_report', 'reason'),
    [({'is_cut_off': True}, b'cut_off'), ({}, b'cut_off')],
)
async def test_refusal_says_truly_that_nothing_ran(helper_report, reason):
    """The other VM is known to be cut off, or turns out to be."""
    async with forwarding_hubs([(COMPLETE, 'keep')], **ONCE) as hubs:
        cut_off(hubs.helper)
        cut_off(hubs.cut)
        announce_helper(hubs.cut, hubs.peer_port, **helper_report)
        received = await send_and_receive(hubs.cut, request(headers=CLOSE))
        assert not hubs.helper.received
    assert status_of(received) == 503
    assert reason in received
    assert b'"run":"no"' in received
    assert b'retry-after' in received.lower()

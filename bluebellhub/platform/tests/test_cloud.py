"""Calls of the cloud API over TCP."""

import h11
import msgspec
import pytest
import trio

from bluebellhub.duty import ScaleOrder, UsageOrder
from bluebellhub.errors import (
    CloudBusyError,
    CloudUnavailableError,
    StaleTokenError,
    WithheldCallError,
)
from bluebellhub.platform.cloud import (
    Caller,
    close_cloud,
    make_cloud,
    order_count,
    report_usage,
)

USAGE = UsageOrder(353445120, {'yard': 412})
SCALE = ScaleOrder('hire', 'rennes', 6)


async def _serve(status, received, stream):
    """Read one request and respond to it; status 0 for no response."""
    connection = h11.Connection(h11.SERVER)
    body = b''
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            connection.receive_data(await stream.receive_some(4096))
        elif isinstance(event, h11.Request):
            received.append(event)
        elif isinstance(event, h11.Data):
            body += bytes(event.data)
        else:
            break
    received.append(body)
    if not status:
        await trio.sleep_forever()
    await stream.send_all(
        b'HTTP/1.1 %d X\r\nContent-Length: 0\r\n\r\n' % status
    )


async def _call(call, order, status, *, is_valid=True):
    """Make one call; return what the API received."""
    received = []
    async with trio.open_nursery() as nursery:
        listeners = await nursery.start(
            trio.serve_tcp, lambda stream: _serve(status, received, stream), 0
        )
        port = listeners[0].socket.getsockname()[1]
        cloud = make_cloud(f'127.0.0.1:{port}')
        try:
            await call(cloud, Caller('hub-1', 3145857, lambda: is_valid), order)
        finally:
            await close_cloud(cloud)
            nursery.cancel_scope.cancel()
    return received


@pytest.mark.parametrize(
    ('call', 'order', 'target', 'body'),
    [
        (
            report_usage,
            USAGE,
            b'/usage',
            {'window': 353445120, 'counts': {'yard': 412}},
        ),
        (
            order_count,
            SCALE,
            b'/scale',
            {'service': 'hire', 'zone': 'rennes', 'desiredCount': 6},
        ),
    ],
)
async def test_call_states_holder_and_token(call, order, target, body):
    """The API compares the token, so that it must be on each call."""
    request, content = await _call(call, order, 200)
    headers = dict(request.headers)
    assert (request.method, request.target) == (b'POST', target)
    assert headers[b'x-bluebellhub-duty-holder'] == b'hub-1'
    assert headers[b'x-bluebellhub-fencing-token'] == b'3145857'
    assert msgspec.json.decode(content) == body


@pytest.mark.parametrize(
    ('status', 'error_type'),
    [
        (409, StaleTokenError),
        (429, CloudBusyError),
        (503, CloudUnavailableError),
        (0, CloudUnavailableError),
    ],
)
async def test_failure_has_its_type(status, error_type):
    """A refused token ends the lease, and a busy API does not."""
    with trio.fail_after(3), pytest.raises(ExceptionGroup) as caught:
        await _call(order_count, SCALE, status)
    assert caught.group_contains(error_type)


async def test_no_connection_is_unavailable():
    """A refused connection counts as a call without a response."""
    cloud = make_cloud('127.0.0.1:1')
    with pytest.raises(CloudUnavailableError):
        await order_count(cloud, Caller('hub-1', 1, lambda: True), SCALE)
    await close_cloud(cloud)


async def test_call_is_withheld_if_the_token_ended_while_connecting():
    """A VM that was frozen during the connection must send nothing."""
    with pytest.raises(ExceptionGroup) as caught:
        await _call(order_count, SCALE, 200, is_valid=False)
    assert caught.group_contains(WithheldCallError)

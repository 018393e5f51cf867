"""Responses that an upstream writes once more on a kept connection."""

from contextlib import asynccontextmanager
from functools import partial

import pytest
import trio

from bluebellhub.adapters.proxy.tests.scripted_upstreams import (
    fill_retry_budget,
    listen,
    running_hub,
    send_and_receive,
)
from bluebellhub.platform.tests.wire import (
    NOT_EXECUTED,
    OTHER_REQUEST_ID,
    REQUEST_ID,
    SIGNATURE,
    request,
)

IDEMPOTENT = {'repeat': 'idempotent', 'attempts_max': 1}
ONCE = {'repeat': 'once', 'attempts_max': 2}
NO_BODY = b'Content-Length: 0\r\n\r\n'
COMPLETE = (
    b'HTTP/1.1 200 OK\r\nKeep-Alive: timeout=5\r\n'
    + SIGNATURE
    + REQUEST_ID
    + b'Content-Length: 4\r\n\r\nbody'
)
REFUSAL = b'HTTP/1.1 503 No\r\n' + NOT_EXECUTED
MISDIRECTED = b'HTTP/1.1 421 No\r\n'
OTHER_SUCCESS = (
    b'HTTP/1.1 200 OK\r\n' + SIGNATURE + b'Content-Length: 5\r\n\r\nother'
)
CALLERS_CLOSE = b'Connection: close\r\n'


async def _serve(repeated, received, stream):
    """Answer the first request; write ``repeated`` once the second is there.

    The second request is executed as well.
    """
    async with stream:
        received.append(await stream.receive_some())
        await stream.send_all(COMPLETE)
        second = await stream.receive_some()
        if second:
            received.append(second)
            await stream.send_all(repeated)
            await stream.receive_some()


@asynccontextmanager
async def _repeating_hub(repeated, route):
    received = []
    async with trio.open_nursery() as nursery:
        handler = partial(_serve, repeated, received)
        port = await listen(nursery, handler)
        async with running_hub(
            addresses=(f'127.0.0.1:{port}',), **route
        ) as hub:
            yield hub, received
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize(
    'repeated',
    [
        REFUSAL + NO_BODY,
        REFUSAL + OTHER_REQUEST_ID + NO_BODY,
        MISDIRECTED + NO_BODY,
        MISDIRECTED + OTHER_REQUEST_ID + NO_BODY,
        OTHER_SUCCESS,
        OTHER_SUCCESS.replace(SIGNATURE, SIGNATURE + OTHER_REQUEST_ID),
    ],
)
async def test_repeated_response_is_not_taken_for_the_next_one(repeated):
    async with _repeating_hub(repeated, IDEMPOTENT) as (hub, received):
        sent = request(headers=CALLERS_CLOSE)
        first = await send_and_receive(hub, sent)
        second = await send_and_receive(hub, sent)
    assert first.endswith(b'body')
    assert len(received) == 2
    # The request was executed, so the VM may not say that it was not.
    assert second.startswith(b'HTTP/1.1 502 ')
    assert b'other' not in second


@pytest.mark.parametrize('repeated', [REFUSAL + NO_BODY, OTHER_SUCCESS])
async def test_request_that_may_run_once_gets_a_connection_of_its_own(repeated):
    async with _repeating_hub(repeated, ONCE) as (hub, received):
        for _ in range(2):
            response = await send_and_receive(
                hub, request(headers=CALLERS_CLOSE)
            )
            assert response.endswith(b'body')
    assert len(received) == 2


@pytest.mark.parametrize('refusal', [REFUSAL, REFUSAL + REQUEST_ID])
async def test_refusal_on_a_new_connection_is_believed(refusal):
    script = [(refusal + NO_BODY, 'keep'), (COMPLETE, 'keep')]
    async with running_hub(script, **ONCE) as hub:
        fill_retry_budget(hub)
        response = await send_and_receive(hub, request(headers=CALLERS_CLOSE))
        assert len(hub.received) == 2
    assert response.endswith(b'body')

"""Responses of requests whose upstream is removed before their attempt."""

import pytest
import trio

from bluebellhub.adapters.connections import make_connections
from bluebellhub.adapters.exchange import make_exchange
from bluebellhub.adapters.node import execute_events, make_node, start_request
from bluebellhub.adapters.response_stream import stream_response
from bluebellhub.clock import now_s
from bluebellhub.contract import find_tier
from bluebellhub.request import RefusalError, make_request
from bluebellhub.scheduler import remove_upstream, tick
from bluebellhub.scheduler.tests.small_scheduler import (
    LIMITS,
    make_small_scheduler,
)
from bluebellhub.settings import Settings

LIMIT_S = 5.0
LATE_S = 60.0


async def _probe(spec):
    raise AssertionError(spec.name)


async def _refusal(node, exchange):
    """Return the refusal that ends a request."""
    with pytest.raises(RefusalError) as raised:
        await anext(stream_response(node, make_connections(1.0), exchange))
    return raised.value


async def _expire(node):
    """Let the deadline of all requests pass once they are queued again."""
    while not node.scheduler.queues['m'].waiting:
        await trio.sleep(0.01)
    execute_events(node, tick(node.scheduler, now_s() + LATE_S))


@pytest.mark.parametrize('idempotent', [True, False])
async def test_request_whose_upstream_is_removed_is_refused(idempotent):
    """It got no decision any more, and waited until its caller left."""
    scheduler = make_small_scheduler()
    request = make_request(
        'a',
        find_tier('check'),
        'm',
        prompt_tokens=10,
        arrived_at_s=now_s(),
        idempotent=idempotent,
    )
    with trio.fail_after(LIMIT_S):
        async with trio.open_nursery() as nursery:
            settings = Settings('hub-1', 'd', '127.0.0.1:1')
            node = make_node(settings, scheduler, _probe, nursery)
            exchange = make_exchange('a', b'')
            start_request(node, request, LIMITS, exchange)
            remove_upstream(scheduler, 'u0')
            nursery.start_soon(_expire, node)
            refusal = await _refusal(node, exchange)
    assert refusal.run == 'no'
    assert not node.attempts

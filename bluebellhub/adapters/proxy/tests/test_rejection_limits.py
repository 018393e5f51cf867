"""Upstreams that state in their responses how many they may reject."""

import pytest

from bluebellhub.adapters.proxy.tests.response_parts import IDEMPOTENT, OK
from bluebellhub.adapters.proxy.tests.scripted_upstreams import (
    running_hub,
    send_and_receive,
)
from bluebellhub.platform.tests.wire import NOT_EXECUTED, request

SENT = request(method=b'GET', headers=b'Connection: close\r\n')
SIZE = b'Content-Length: 2\r\n\r\nok'
REJECTED = b'HTTP/1.1 503 No\r\n' + NOT_EXECUTED
ERROR = OK.replace(b'200 OK', b'500 No')


@pytest.mark.parametrize('head', [OK, REJECTED, ERROR])
@pytest.mark.parametrize(
    ('stated', 'expected', 'counted'),
    [
        ([b'6'], 6.0, {'stated': 1}),
        ([b'6', b'6'], 6.0, {'stated': 1}),
        ([b'6', b'2.5'], 2.5, {'stated': 2}),
        ([b'6', None], None, {'stated': 1, 'lifted': 1}),
        ([b'6', b'many'], 6.0, {'stated': 1, 'malformed': 1}),
        ([b'-1'], None, {'malformed': 1}),
        ([None], None, {}),
    ],
)
async def test_rejection_limit_holds_while_responses_state_it(
    head, stated, expected, counted
):
    script = [(head + _limit(number) + SIZE, 'close') for number in stated]
    fields = {**IDEMPOTENT, 'attempts_max': 1}
    async with running_hub(script, **fields) as hub:
        scheduler = hub.proxy.site.scheduler
        for _ in stated:
            scheduler.pauses.by_upstream.clear()
            await send_and_receive(hub, SENT)
        assert len(hub.received) == len(stated)
        assert scheduler.upstreams['u0'].rejections_per_s == expected
        assert {
            change: count
            for (name, change), count in scheduler.counters.items()
            if name == 'rejection_limits'
        } == counted


def _limit(number):
    return b'' if number is None else b'Server-Brittle: %s\r\n' % number

"""Upstreams that stop in the middle of the head of their response."""

import pytest

from bluebellhub.adapters.proxy.tests.response_parts import (
    COMPLETE,
    IDEMPOTENT,
    NOT_RESUMABLE,
    ONCE,
    STREAM,
    status_of,
)
from bluebellhub.adapters.proxy.tests.scripted_upstreams import (
    running_hub,
    send_and_receive,
)
from bluebellhub.platform.tests.wire import request

HEADS = {
    'length': COMPLETE.partition(b'\r\n\r\n')[0] + b'\r\n\r\n',
    'no_length': STREAM + b'\r\n',
}
CUTS = (1, 2, 3, 4, 12, 30, 60)


@pytest.mark.parametrize('ending', ['close', 'reset'])
@pytest.mark.parametrize('cut', CUTS)
@pytest.mark.parametrize('head', HEADS)
@pytest.mark.parametrize('route', [IDEMPOTENT, ONCE, NOT_RESUMABLE])
async def test_truncated_head_is_no_success(route, head, cut, ending):
    script = [(HEADS[head][:-cut], ending)]
    async with running_hub(script, **route) as hub:
        response = await send_and_receive(
            hub, request(headers=b'Connection: close\r\n')
        )
    assert not response or status_of(response) == 502

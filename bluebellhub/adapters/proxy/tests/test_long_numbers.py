"""Numbers with very many digits from callers and upstreams."""

import pytest

from bluebellhub.adapters.proxy.tests.response_parts import (
    CHUNKED,
    CLOSE,
    COMPLETE,
    IDEMPOTENT,
    LAST,
    NOT_RESUMABLE,
    STREAM,
    chunk,
    event,
)
from bluebellhub.adapters.proxy.tests.scripted_upstreams import (
    running_hub,
    send_and_receive,
)
from bluebellhub.platform.tests.wire import (
    LOAD_NAME,
    SIGNATURE,
    TOKENS_NAME,
    request,
)

DIGITS = (90, 400, 5000)


def _number(digits):
    return b'9' * digits


@pytest.mark.parametrize('digits', DIGITS)
@pytest.mark.parametrize('position', [0, 1, 2])
async def test_long_number_in_a_load_ends_no_request(digits, position):
    """One such load ended the process at the next request."""
    counts = [b'1', b'0', b'6']
    counts[position] = _number(digits)
    load = b'%s: %s\r\n' % (LOAD_NAME, b','.join(counts))
    spoiled = COMPLETE.replace(SIGNATURE, SIGNATURE + load + CLOSE)
    async with running_hub([(spoiled, 'keep')], **IDEMPOTENT) as hub:
        for _ in range(3):
            response = await send_and_receive(hub, request(headers=CLOSE))
            assert response.endswith(b'body')
        counters = hub.proxy.node.scheduler.counters
        assert counters['refused_reports', 'u0'] == 3


@pytest.mark.parametrize('digits', DIGITS)
@pytest.mark.parametrize(
    'line',
    [
        TOKENS_NAME + b': %s,1\r\n',
        TOKENS_NAME + b': 1,%s\r\n',
        b'Last-Event-Id: %s\r\n',
    ],
)
async def test_long_number_of_a_caller_ends_no_request(digits, line):
    stream = STREAM + CHUNKED + chunk(event(1)) + LAST
    sent = request(headers=line % _number(digits) + CLOSE)
    async with running_hub([(stream, 'keep')], **NOT_RESUMABLE) as hub:
        for _ in range(2):
            response = await send_and_receive(hub, sent)
            assert response.startswith(b'HTTP/1.1 200 ')
            assert response.endswith(LAST)


@pytest.mark.parametrize('digits', DIGITS)
async def test_long_time_limit_of_a_caller_counts_as_none(digits):
    sent = request(headers=CLOSE).replace(b'3000', _number(digits))
    async with running_hub([(COMPLETE, 'keep')], **IDEMPOTENT) as hub:
        response = await send_and_receive(hub, sent)
    assert response.endswith(b'body')

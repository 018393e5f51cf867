"""Requests that count as usage: those that an upstream began to run."""

import pytest

from bluebellhub.adapters.proxy.tests.response_parts import (
    CHUNKED,
    CLOSE,
    COMPLETE,
    ERROR,
    IDEMPOTENT,
    LAST,
    NOT_RESUMABLE,
    OK,
    ONCE,
    REFUSED,
    RESUMABLE,
    STREAM,
    TWO_EVENTS,
    chunk,
    event,
)
from bluebellhub.adapters.proxy.tests.scripted_upstreams import (
    fill_retry_budget,
    running_hub,
    send_and_receive,
)
from bluebellhub.platform.tests.wire import OTHER_REQUEST_ID, request
from bluebellhub.route import Service

ENGINE = [Service('s', tokens_per_event=4)]
PLAIN = [Service('s')]
WHOLE = (STREAM + CHUNKED + TWO_EVENTS + LAST, 'close')
CUT = (STREAM + CHUNKED + TWO_EVENTS, 'close')
REST = (STREAM + CHUNKED + chunk(event(3)) + LAST, 'close')
NO_EVENT = (STREAM + CHUNKED, 'close')
NOT_FOUND = (ERROR.replace(b'500', b'404'), 'keep')
OTHER = (OK + OTHER_REQUEST_ID + b'Content-Length: 4\r\n\r\nbody', 'keep')

# Each attempt that ran counts once.
CASES = {
    'response': (PLAIN, ONCE, (COMPLETE, 'keep'), None, 1),
    'response that is cut off': (
        PLAIN,
        ONCE,
        (COMPLETE[:-1], 'close'),
        None,
        1,
    ),
    'error': (PLAIN, ONCE, (ERROR, 'keep'), None, 1),
    'client error': (PLAIN, ONCE, NOT_FOUND, None, 1),
    'not executed': (PLAIN, ONCE, (REFUSED, 'keep'), (REFUSED, 'keep'), 0),
    'no response': (PLAIN, ONCE, (b'', 'close'), (b'', 'close'), 0),
    'response to another request': (PLAIN, ONCE, OTHER, OTHER, 0),
    'two errors': (PLAIN, IDEMPOTENT, (ERROR, 'keep'), (ERROR, 'keep'), 2),
    'not executed, then a response': (
        PLAIN,
        IDEMPOTENT,
        (REFUSED, 'keep'),
        (COMPLETE, 'keep'),
        1,
    ),
    'stream': (ENGINE, NOT_RESUMABLE, WHOLE, None, 1),
    'stream without an event': (ENGINE, NOT_RESUMABLE, NO_EVENT, None, 0),
    'stream that another upstream resumes': (ENGINE, RESUMABLE, CUT, REST, 2),
    'error of an engine': (ENGINE, NOT_RESUMABLE, (ERROR, 'keep'), None, 0),
    'whole response of an engine': (ENGINE, ONCE, (COMPLETE, 'keep'), None, 1),
}


@pytest.mark.parametrize('case', CASES)
@pytest.mark.parametrize('duties', ['usage_report', 'autoscale', ''])
async def test_requests_that_ran_are_counted(case, duties):
    services, route, *script, count = CASES[case]
    first, second = script
    async with running_hub(
        [first, second or first], duties=duties, services=services, **route
    ) as hub:
        fill_retry_budget(hub)
        await send_and_receive(hub, request(headers=CLOSE))
        work = hub.proxy.duty_work
    if duties == 'usage_report':
        counted = sum(
            map(sum, (c.values() for c in work.usage.counts.values()))
        )
        assert counted == count
        accounts = {name for c in work.usage.counts.values() for name in c}
        assert accounts <= {'yard'}
    else:
        assert work is None or not work.usage.counts

"""What counts as a failure when the versions of a service are compared.

Guards against a bad version that gets all requests because its failures count
as successes, or not at all.
"""

from functools import partial

import pytest
import trio

from bluebellhub.adapters.proxy.tests.response_parts import (
    CHUNKED,
    CLOSE,
    COMPLETE,
    ERROR,
    IDEMPOTENT,
    LAST,
    NOT_RESUMABLE,
    ONCE,
    REFUSED,
    RESUMABLE,
    STREAM,
    TWO_EVENTS,
)
from bluebellhub.adapters.proxy.tests.scripted_upstreams import (
    fill_retry_budget,
    running_hub,
    send_and_receive,
)
from bluebellhub.clock import now_s
from bluebellhub.platform.tests.wire import request
from bluebellhub.site.version_moves import apply_move_commands
from bluebellhub.version_move import MoveCommand, OutcomeCounts

TIME_LIMIT_S = 0.6
# A caller that leaves so early says nothing of the upstream.
EARLY_S = 0.05
# The caller's own limit is longer than the route's.
SHORT = {'timeout_s': TIME_LIMIT_S, 'objective_s': 0.1}
SILENT = (b'', 'keep')
NOT_FOUND = (ERROR.replace(b'500', b'404'), 'keep')
WHOLE = (STREAM + CHUNKED + TWO_EVENTS + LAST, 'keep')
STALLED = (STREAM + CHUNKED + TWO_EVENTS, 'keep')

# Each outcome is the number of attempts and how many of them were bad.
CASES = {
    'success': (ONCE, (COMPLETE, 'keep'), (1, 0)),
    'whole stream': (NOT_RESUMABLE, WHOLE, (1, 0)),
    'error of a request that may run once': (ONCE, (ERROR, 'keep'), (1, 1)),
    'error of a stream': (NOT_RESUMABLE, (ERROR, 'keep'), (1, 1)),
    'error of each attempt': (IDEMPOTENT, (ERROR, 'keep'), (2, 2)),
    'error of each attempt at a stream': (RESUMABLE, (ERROR, 'keep'), (2, 2)),
    'client error': (ONCE, NOT_FOUND, (1, 1)),
    'truncated response': (ONCE, (COMPLETE[:-1], 'close'), (1, 1)),
    'not executed': (ONCE, (REFUSED, 'keep'), (0, 0)),
    'no response in time': ({**ONCE, **SHORT}, SILENT, (1, 1)),
    'stream without an event': ({**NOT_RESUMABLE, **SHORT}, SILENT, (1, 1)),
    'stream that stalls': ({**NOT_RESUMABLE, **SHORT}, STALLED, (1, 1)),
}


async def _outcome(script, route, send):
    """Return the outcome of the attempts that ``send`` leads to."""
    async with running_hub([script, script], **route) as hub:
        command = MoveCommand('s', 'v2', 60.0)
        apply_move_commands(hub.proxy.site, [command], now_s())
        fill_retry_budget(hub)
        await send(hub)
        scheduler = hub.proxy.node.scheduler
        while scheduler.requests or scheduler.links.deferred:
            await trio.sleep(0.01)
        counts = scheduler.outcome_counts
    return counts.get(('s', 'r', 'v1'), OutcomeCounts())


async def _send_and_leave(hub, wait_s):
    with trio.move_on_after(wait_s):
        await send_and_receive(hub, request(headers=CLOSE))


async def _send_and_receive(hub):
    await send_and_receive(hub, request(headers=CLOSE))


@pytest.mark.parametrize('case', CASES)
async def test_outcome_of_an_attempt(case):
    route, script, expected = CASES[case]
    assert await _outcome(script, route, _send_and_receive) == expected


@pytest.mark.parametrize(
    ('wait_s', 'expected'), [(EARLY_S, (0, 0)), (TIME_LIMIT_S / 2, (1, 1))]
)
@pytest.mark.parametrize('script', [SILENT, STALLED])
@pytest.mark.parametrize('route', [ONCE, NOT_RESUMABLE])
async def test_outcome_of_an_attempt_whose_caller_leaves(
    route, script, wait_s, expected
):
    send = partial(_send_and_leave, wait_s=wait_s)
    assert await _outcome(script, {**route, **SHORT}, send) == expected

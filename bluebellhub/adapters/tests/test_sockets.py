"""Whether any of several addresses accepts a connection."""

from functools import partial

import pytest
import trio
from trio.testing import wait_all_tasks_blocked

from bluebellhub.adapters.proxy.tests.scripted_upstreams import listen
from bluebellhub.adapters.sockets import accepts_any
from bluebellhub.faults import isolated_faults
from bluebellhub.invariants import set_violations_fatal

TIMEOUT_S = 1.0
DEAD = '127.0.0.1:1'


async def _count(accepted, stream):
    async with stream:
        accepted.append(1)


async def test_error_over_one_address_leaves_the_others():
    """It ended the check, which then looked as if none had accepted."""
    set_violations_fatal(fatal=False)
    accepted = []
    async with trio.open_nursery() as nursery:
        port = await listen(nursery, partial(_count, accepted))
        addresses = ['no address', f'127.0.0.1:{port}']
        assert await accepts_any(addresses, TIMEOUT_S)
        nursery.cancel_scope.cancel()
    assert isolated_faults.pop('link_check') == 1


@pytest.mark.parametrize(
    ('dead', 'live', 'is_accepted', 'most'),
    [(0, 0, False, 0), (3, 0, False, 0), (0, 8, True, 2), (6, 1, True, 1)],
)
async def test_check_tries_few_addresses_at_once(dead, live, is_accepted, most):
    """Each connection costs its peer something, and one is enough."""
    accepted = []
    async with trio.open_nursery() as nursery:
        port = await listen(nursery, partial(_count, accepted))
        addresses = [DEAD] * dead + [f'127.0.0.1:{port}'] * live
        assert await accepts_any(addresses, TIMEOUT_S) == is_accepted
        await wait_all_tasks_blocked()
        nursery.cancel_scope.cancel()
    assert len(accepted) <= most

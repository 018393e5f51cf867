"""Whether any of several addresses accepts a connection."""

from functools import partial

import pytest
import trio
from trio.testing import wait_all_tasks_blocked

from bluebellhub.adapters.sockets import accepts_any

TIMEOUT_S = 1.0
DEAD = '127.0.0.1:1'


async def _count(accepted, stream):
    async with stream:
        accepted.append(1)


@pytest.mark.parametrize(
    ('dead', 'live', 'is_accepted', 'most'),
    [(0, 0, False, 0), (3, 0, False, 0), (0, 8, True, 2), (6, 1, True, 1)],
)
async def test_check_tries_few_addresses_at_once(dead, live, is_accepted, most):
    """Each connection costs its peer something, and one is enough."""
    accepted = []
    async with trio.open_nursery() as nursery:
        listeners = await nursery.start(
            partial(
                trio.serve_tcp,
                partial(_count, accepted),
                0,
                host='127.0.0.1',
            )
        )
        port = listeners[0].socket.getsockname()[1]
        addresses = [DEAD] * dead + [f'127.0.0.1:{port}'] * live
        assert await accepts_any(addresses, TIMEOUT_S) == is_accepted
        await wait_all_tasks_blocked()
        nursery.cancel_scope.cancel()
    assert len(accepted) <= most

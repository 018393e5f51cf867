"""How late the event loop runs the tasks of a VM."""

import time

import pytest
import trio

from bluebellhub.adapters.node import TICK_S, lag_ms, make_node, run_ticks
from bluebellhub.scheduler import make_scheduler
from bluebellhub.scheduler.capacity import full_window_slots
from bluebellhub.scheduler.options import SchedulerOptions
from bluebellhub.settings import Settings


@pytest.mark.parametrize('blocked_s', [0.3, 0.6])
async def test_lag_is_for_how_long_the_loop_was_blocked(blocked_s):
    scheduler = make_scheduler(SchedulerOptions(), full_window_slots)
    settings = Settings('hub-1', 'd', '127.0.0.1:1')
    async with trio.open_nursery() as nursery:
        node = make_node(settings, scheduler, trio.sleep, nursery)
        nursery.start_soon(run_ticks, node)
        await trio.sleep(TICK_S / 2)
        time.sleep(blocked_s)
        with trio.fail_after(blocked_s):
            while lag_ms(node) < (blocked_s - TICK_S) * 1000:
                await trio.sleep(0)
        nursery.cancel_scope.cancel()

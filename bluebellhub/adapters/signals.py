"""Signals that a daemon handles from its start to its end.

SIGTERM and SIGINT begin a planned stop, and further ones do not shorten it.
SIGHUP reloads the settings, also while the VM stops.
"""

import signal
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Final

import logbook
import trio

from bluebellhub.faults import isolate_fault

__all__ = ['handle_signals']

HANDLED: Final = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)

log = logbook.Logger('bluebellhub.signals')


@asynccontextmanager
async def handle_signals(
    reload: Callable[[], object],
) -> AsyncIterator[trio.Event]:
    """Handle signals inside the block; yields the event that begins a stop.

    ``reload`` is called at each SIGHUP.  After the block the process is about
    to exit, and signals are ignored.
    """
    stopping = trio.Event()
    with trio.open_signal_receiver(*HANDLED) as received:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_watch, received, stopping, reload)
            yield stopping
            nursery.cancel_scope.cancel()
    for number in HANDLED:
        signal.signal(number, signal.SIG_IGN)


async def _watch(
    received: AsyncIterator[int],
    stopping: trio.Event,
    reload: Callable[[], object],
) -> None:
    """React to each signal until cancelled."""
    async for number in received:
        name = signal.Signals(number).name
        log.info(
            'signal received',
            extra={'signal': name, 'is_stopping': stopping.is_set()},
        )
        if number != signal.SIGHUP:
            stopping.set()
            continue
        with isolate_fault('reload'):
            reload()

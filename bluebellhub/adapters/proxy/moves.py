"""Writes the states of version moves that this VM decides as leader."""

from typing import Final

import logbook
import trio

from bluebellhub.adapters.proxy.state import Proxy
from bluebellhub.clock import now_s
from bluebellhub.errors import StoreError
from bluebellhub.faults import isolate_fault
from bluebellhub.platform.object_codec import MOVE_KIND, move_status
from bluebellhub.platform.store import write_status
from bluebellhub.platform.store_calls import Store
from bluebellhub.site.version_moves import StateWrite, lead_moves

__all__ = ['run_moves']

DECISION_INTERVAL_S: Final = 0.2

log = logbook.Logger('bluebellhub.moves')


async def run_moves(proxy: Proxy, store: Store) -> None:
    """Decide on the version moves while this VM leads, until cancelled.

    After a write, the watch of the store returns the move with its new
    state.  A conflict means that another VM's write came first.
    """
    written: set[StateWrite] = set()
    era = store.era['number']
    while True:
        if store.era['number'] != era:
            # A restored store has lost states, at revisions that it has again.
            era = store.era['number']
            written.clear()
        with isolate_fault('version_moves'):
            await _write_new(proxy, store, written)
        await trio.sleep(DECISION_INTERVAL_S)


async def _write_new(
    proxy: Proxy, store: Store, written: set[StateWrite]
) -> None:
    """Write what this VM decides as leader and has not written yet."""
    for state_write in lead_moves(proxy.site, now_s()):
        if state_write not in written and await _write(store, state_write):
            written.add(state_write)


async def _write(store: Store, state_write: StateWrite) -> bool:
    status = move_status(state_write.state, state_write.to_version)
    try:
        await write_status(
            store, MOVE_KIND, state_write.model, status, state_write.revision
        )
    except StoreError as error:
        log.info(
            'state of a version move not written', extra={'cause': str(error)}
        )
        return False
    log.info('state of a version move written', extra=state_write._asdict())
    return True

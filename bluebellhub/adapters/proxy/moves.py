"""Writes what the leader of version moves decides."""

from typing import Final

import logbook
import trio

from bluebellhub.adapters.proxy.state import Proxy
from bluebellhub.clock import now_s
from bluebellhub.errors import StoreError
from bluebellhub.platform.object_codec import MOVE_KIND, move_status
from bluebellhub.platform.store import Store, write_status
from bluebellhub.site.version_moves import StateWrite, lead_moves

__all__ = ['run_moves']

STEP_S: Final = 0.2

log = logbook.Logger('bluebellhub.moves')


async def run_moves(passing: Proxy, store: Store) -> None:
    """Lead the version moves, while this VM is the one to, until cancelled.

    After a write the order comes back through the watch with its new state;
    a conflict means that another VM's write came first.
    """
    written: set[StateWrite] = set()
    while True:
        for wanted in lead_moves(passing.site, now_s()):
            if wanted not in written and await _write(store, wanted):
                written.add(wanted)
        await trio.sleep(STEP_S)


async def _write(store: Store, wanted: StateWrite) -> bool:
    status = move_status(wanted.state, wanted.to_version)
    try:
        await write_status(
            store, MOVE_KIND, wanted.model, status, wanted.revision
        )
    except StoreError as error:
        log.info('state of a move not written', extra={'cause': str(error)})
        return False
    log.info('state of a move', extra=wanted._asdict())
    return True

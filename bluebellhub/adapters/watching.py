"""Watching the platform's configuration objects."""

from typing import Final

import logbook
import trio

from bluebellhub.adapters.assembly import Assembly
from bluebellhub.adapters.platform import Listing, watch
from bluebellhub.clock import now_s
from bluebellhub.configuration import accept
from bluebellhub.configuration.configuration import advance
from bluebellhub.errors import StoreError
from bluebellhub.scheduler.configure import apply_change

__all__ = ['run_watch', 'take_listing']

WAIT_S: Final = 20.0
RETRY_S: Final = 0.5

log = logbook.Logger('bluebellhub.configuration')


async def run_watch(assembly: Assembly) -> None:
    """Keep a watch open and put changes in force until cancelled."""
    if assembly.platform is None:
        return
    while True:
        since = assembly.configuration.progress['revision']
        try:
            listing = await watch(assembly.platform, since, WAIT_S)
        except StoreError as error:
            log.warning('watch: {}', error)
            await trio.sleep(RETRY_S)
            continue
        take_listing(assembly, listing)


def take_listing(assembly: Assembly, listing: Listing) -> None:
    """Put the objects of a listing in force."""
    configuration = assembly.configuration
    for stored in listing.objects:
        change = accept(configuration, stored)
        key = (stored.kind, stored.name)
        if change is not None:
            apply_change(assembly.node.scheduler, change, now_s())
            log.info('{} {} version {} in force', *key, stored.version)
        elif key in configuration.refused:
            log.warning('{} {}: {}', *key, configuration.refused[key])
    advance(configuration, listing.revision)

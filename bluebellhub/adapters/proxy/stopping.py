"""Planned stop of a VM: no new callers, then an end to the requests."""

from typing import Final

import logbook
import trio

from bluebellhub.adapters.node import execute_events
from bluebellhub.adapters.proxy.server import (
    close_idle_connections,
    has_active_requests,
)
from bluebellhub.adapters.proxy.state import Proxy
from bluebellhub.clock import now_s
from bluebellhub.scheduler.stopping import refuse_waiting
from bluebellhub.settings import Settings

__all__ = ['finish_requests']

# Callers are routed elsewhere after two failed readiness checks, which are
# one second apart.
READINESS_LAG_S: Final = 2.3
# Requests that arrive later than this after SIGTERM are accepted only if
# their time limit ends before the VM stops.
ACCEPT_ALL_S: Final = 2.8
EXIT_MARGIN_S: Final = 0.8
POLL_INTERVAL_S: Final = 0.05

log = logbook.Logger('bluebellhub.run')


async def finish_requests(settings: Settings, proxy: Proxy) -> None:
    """Shut down within the grace period.

    The VM first reports that it is not ready, then closes idle connections,
    then accepts and keeps waiting only requests that end in time, and waits
    for the rest.
    """
    scheduler = proxy.node.scheduler
    log.info('stopping', extra={'running': len(scheduler.requests)})
    started_s = trio.current_time()
    grace_s = settings.site.grace_s
    proxy.site.flags['leaving'] = True
    await trio.sleep(min(READINESS_LAG_S, grace_s * 0.3))
    close_idle_connections(proxy)
    await trio.sleep(min(ACCEPT_ALL_S - READINESS_LAG_S, grace_s * 0.1))
    remaining_s = grace_s - EXIT_MARGIN_S - (trio.current_time() - started_s)
    stops_at_s = now_s() + remaining_s
    proxy.site.flags['stops_at_s'] = stops_at_s
    with trio.move_on_after(max(0.0, remaining_s)):
        while scheduler.requests or has_active_requests(proxy):
            execute_events(proxy.node, refuse_waiting(scheduler, stops_at_s))
            close_idle_connections(proxy)
            await trio.sleep(POLL_INTERVAL_S)

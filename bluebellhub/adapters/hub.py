"""Runs a VM that serves the product's own interface until SIGTERM."""

from functools import partial
from pathlib import Path
from typing import Final

import logbook
import trio
from hypercorn.trio import serve

from bluebellhub.adapters.assembly import Assembly, assemble
from bluebellhub.adapters.connections import close_pools
from bluebellhub.adapters.fleet_runner import run_fleet
from bluebellhub.adapters.front_end import make_app
from bluebellhub.adapters.http_server import make_config
from bluebellhub.adapters.loads import poll_loads
from bluebellhub.adapters.node import execute_events, run_ticks
from bluebellhub.adapters.peer_link import close_link
from bluebellhub.adapters.settings_reload import reload_settings
from bluebellhub.adapters.signals import handle_signals
from bluebellhub.clock import now_s
from bluebellhub.scheduler.stopping import refuse_waiting
from bluebellhub.settings import Settings

__all__ = ['run']

DRAIN_POLL_S: Final = 0.05

log = logbook.Logger('bluebellhub.daemon')


async def run(settings: Settings, path: Path) -> None:
    """Serve until SIGTERM or SIGINT, then finish the running requests.

    At SIGHUP the settings file at ``path`` is read again.
    """
    reload = partial(reload_settings, path, settings)
    async with handle_signals(reload) as stopping:
        async with trio.open_nursery() as nursery:
            assembly = assemble(settings, nursery)
            shutdown = trio.Event()
            _start_tasks(assembly, nursery)
            nursery.start_soon(_drain, assembly, stopping, shutdown)
            await _serve(assembly, shutdown)
            nursery.cancel_scope.cancel()
        await _close(assembly)
        log.info('{} stopped', settings.vm)


def _start_tasks(assembly: Assembly, nursery: trio.Nursery) -> None:
    nursery.start_soon(run_ticks, assembly.node)
    nursery.start_soon(poll_loads, assembly.node, assembly.connections)
    if assembly.runner is not None:
        nursery.start_soon(run_fleet, assembly.runner)


async def _close(assembly: Assembly) -> None:
    """Close the connections to upstreams, the platform and other VMs."""
    await close_pools(assembly.connections)
    if assembly.runner is not None:
        await assembly.runner.platform.client.aclose()
        close_link(assembly.runner.link)


async def _serve(assembly: Assembly, shutdown: trio.Event) -> None:
    settings = assembly.node.settings
    config = make_config(settings.listen)
    config.graceful_timeout = settings.limits.drain_s
    log.info('{} listens on {}', settings.vm, settings.listen)
    await serve(
        make_app(assembly.front_end),
        config,
        mode='asgi',
        shutdown_trigger=shutdown.wait,
    )


async def _drain(
    assembly: Assembly, stopping: trio.Event, shutdown: trio.Event
) -> None:
    """Wait for the stop, then refuse new requests and drain the others.

    Sets ``shutdown`` when they have ended, at the latest after ``drain_s``.
    """
    await stopping.wait()
    node = assembly.node
    node.scheduler.flags['draining'] = True
    log.info('draining {} requests', len(node.scheduler.requests))
    drain_s = node.settings.limits.drain_s
    stops_at_s = now_s() + drain_s
    with trio.move_on_after(drain_s):
        while node.scheduler.requests or node.exchanges:
            execute_events(node, refuse_waiting(node.scheduler, stops_at_s))
            await trio.sleep(DRAIN_POLL_S)
    shutdown.set()

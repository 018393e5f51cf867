"""The daemon ``bluebellhubd``, which runs one VM of the scheduler."""

import argparse
import faulthandler
import os
import signal
import sys
from pathlib import Path

import logbook
import trio
from hypercorn.trio import serve

from bluebellhub.adapters.assembly import Assembly, assemble
from bluebellhub.adapters.connections import close_pools
from bluebellhub.adapters.fleet_runner import run_fleet
from bluebellhub.adapters.front_end import make_app
from bluebellhub.adapters.http_server import make_config
from bluebellhub.adapters.loads import poll_loads
from bluebellhub.adapters.node import run_ticks
from bluebellhub.adapters.peer_link import close_link
from bluebellhub.adapters.proxy.run import run_site
from bluebellhub.errors import HubError
from bluebellhub.invariants import set_violations_fatal
from bluebellhub.logs import make_log_handler
from bluebellhub.settings import Settings, load_settings

__all__ = ['main', 'run_daemon']

EXIT_SETTINGS = 2
DRAIN_POLL_S = 0.05
SETTINGS_VARIABLE = 'BLUEBELLHUB_CONFIG'

log = logbook.Logger('bluebellhub.daemon')


async def run_daemon(settings: Settings) -> None:
    """Serve until SIGTERM or SIGINT, then finish the running requests."""
    async with trio.open_nursery() as nursery:
        assembly = assemble(settings, nursery)
        shutdown = trio.Event()
        nursery.start_soon(run_ticks, assembly.node)
        nursery.start_soon(poll_loads, assembly.node)
        if assembly.runner is not None:
            nursery.start_soon(run_fleet, assembly.runner)
        nursery.start_soon(_await_signal, assembly, shutdown)
        await _serve(assembly, shutdown)
        nursery.cancel_scope.cancel()
    await _close(assembly)
    log.info('{} stopped', settings.vm)


async def _close(assembly: Assembly) -> None:
    """Close the connections to upstreams, the platform and other VMs."""
    await close_pools(assembly.node.connections)
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


async def _await_signal(assembly: Assembly, shutdown: trio.Event) -> None:
    """Wait for a signal, then refuse new requests and drain the others.

    Sets ``shutdown`` when they have ended, at the latest after ``drain_s``.
    """
    signals = (signal.SIGTERM, signal.SIGINT)
    with trio.open_signal_receiver(*signals) as received:
        await anext(received)
    node = assembly.node
    node.scheduler.flags['draining'] = True
    log.info('draining {} requests', len(node.scheduler.requests))
    with trio.move_on_after(node.settings.limits.drain_s):
        while node.scheduler.requests or node.exchanges:
            await trio.sleep(DRAIN_POLL_S)
    shutdown.set()


def _default_path() -> Path | None:
    """Return the settings file that the environment names."""
    name = os.environ.get(SETTINGS_VARIABLE)
    return Path(name) if name else None


def make_parser() -> argparse.ArgumentParser:
    """Create the parser of the command line."""
    parser = argparse.ArgumentParser(prog='bluebellhubd', description=__doc__)
    parser.add_argument(
        '--settings',
        type=Path,
        default=_default_path(),
        help=f'the settings file; by default ${SETTINGS_VARIABLE}',
    )
    parser.add_argument(
        '--check', action='store_true', help='check the settings and exit'
    )
    return parser


def main() -> None:
    """Run the daemon; exits with status 2 if the settings are not valid."""
    # Prints the Python stack if a C extension crashes.
    faulthandler.enable()
    parser = make_parser()
    args = parser.parse_args()
    if args.settings is None:
        parser.error(f'expected --settings or ${SETTINGS_VARIABLE}')
    try:
        settings = load_settings(args.settings)
    except HubError as error:
        print(f'bluebellhubd: {error}', file=sys.stderr)
        sys.exit(EXIT_SETTINGS)
    if args.check:
        print('the settings are usable')
        return
    set_violations_fatal(fatal=os.environ.get('BLUEBELLHUB_FATAL') == '1')
    with make_log_handler(settings.log_level):
        if settings.site.store:
            trio.run(run_site, settings, args.settings)
        else:
            trio.run(run_daemon, settings)


if __name__ == '__main__':
    main()

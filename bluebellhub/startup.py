"""Command line of the daemon, which runs one VM of the scheduler."""

import argparse
import faulthandler
import os
import sys
from importlib import import_module
from pathlib import Path
from types import MappingProxyType
from typing import Final

import trio

from bluebellhub.errors import HubError
from bluebellhub.invariants import set_violations_fatal
from bluebellhub.logs import make_log_handler
from bluebellhub.settings import Settings, load_settings

__all__ = ['run_daemon']

EXIT_SETTINGS: Final = 2
SETTINGS_VARIABLE: Final = 'BLUEBELLHUB_CONFIG'
# The module whose ``run`` serves requests, by whether the settings have a
# `site.store`.  Only that module is loaded, so that a VM starts quickly.
RUNNERS: Final = MappingProxyType(
    {
        False: 'bluebellhub.adapters.hub',
        True: 'bluebellhub.adapters.proxy.run',
    }
)


def _default_path() -> Path | None:
    """Return the settings file that the environment names."""
    name = os.environ.get(SETTINGS_VARIABLE)
    return Path(name) if name else None


def make_parser() -> argparse.ArgumentParser:
    """Create the parser of the command line."""
    parser = argparse.ArgumentParser(
        prog='bluebellhubd', description='Run one VM of the scheduler.'
    )
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


def run_daemon() -> None:
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
        _serve(settings, args.settings)


def _serve(settings: Settings, path: Path) -> None:
    """Serve requests until SIGTERM."""
    runner = import_module(RUNNERS[bool(settings.site.store)])
    trio.run(runner.run, settings, path)

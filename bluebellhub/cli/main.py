"""Entry point of the command-line tool: arguments, output, exit status."""

import argparse
import json
import os
import sys
from functools import partial
from pathlib import Path
from typing import Any

import trio
from tabulate import tabulate

from bluebellhub.adapters.platform import make_platform
from bluebellhub.cli import check, explain, moves, objects, status
from bluebellhub.cli.commands import Command, CommandResult, commands
from bluebellhub.cli.errors import exit_status
from bluebellhub.configuration.addresses import check_address
from bluebellhub.errors import HubError

__all__ = ['main', 'make_parser']

COMMAND_MODULES = (check, explain, moves, objects, status)
FLAG_PREFIX = 'opt_'
EXIT_INTERRUPTED = 130


def make_parser() -> argparse.ArgumentParser:
    """Create the argument parser from the registered commands."""
    parser = argparse.ArgumentParser(prog='bluebellhub', description=__doc__)
    parser.add_argument(
        '--platform',
        default=os.environ.get('BLUEBELLHUB_PLATFORM', '127.0.0.1:8000'),
        help='address of the object API; BLUEBELLHUB_PLATFORM sets the default',
    )
    parser.add_argument(
        '--json', action='store_true', help='print JSON instead of a table'
    )
    nouns = parser.add_subparsers(dest='noun', required=True)
    verbs: dict[str, Any] = {}
    for name in commands.names():
        noun, _, verb = name.partition(' ')
        entry = commands.find(name)
        if not verb:
            _add_arguments(nouns.add_parser(noun, help=entry.help_text), entry)
            continue
        if noun not in verbs:
            group = nouns.add_parser(noun)
            verbs[noun] = group.add_subparsers(dest='verb', required=True)
        _add_arguments(
            verbs[noun].add_parser(verb, help=entry.help_text), entry
        )
    return parser


def _add_arguments(parser: argparse.ArgumentParser, entry: Command) -> None:
    """Add a command's arguments to its parser."""
    for name, options in entry.arguments.items():
        parser_options = dict(options)
        if name == 'file':
            parser_options['type'] = Path
        if name.startswith(FLAG_PREFIX):
            flag = name.removeprefix(FLAG_PREFIX)
            parser.add_argument(
                f'--{flag.replace("_", "-")}', dest=flag, **parser_options
            )
        else:
            parser.add_argument(name, **parser_options)
    parser.set_defaults(run=entry.run)


async def _run(args: argparse.Namespace) -> CommandResult:
    check_address(args.platform, '--platform')
    platform = make_platform(args.platform)
    async with platform.client:
        return await args.run(platform, args)


def _print_result(result: CommandResult, *, as_json: bool) -> None:
    if as_json:
        print(json.dumps(result.rows, indent=2))
    elif result.rows:
        print(tabulate(result.rows, headers='keys'))
    else:
        print('none')


def _print_row(row: dict[str, Any], *, as_json: bool) -> None:
    """Print one row immediately, on a separate line."""
    cells = (f'{name}={cell}' for name, cell in row.items())
    print(json.dumps(row) if as_json else ' '.join(cells), flush=True)


def main(argv: list[str] | None = None) -> None:
    """Run one command and exit with its exit status."""
    args = make_parser().parse_args(argv)
    args.emit = partial(_print_row, as_json=args.json)
    try:
        result = trio.run(_run, args)
    except KeyboardInterrupt:
        sys.exit(EXIT_INTERRUPTED)
    except HubError as error:
        print(f'bluebellhub: {error}', file=sys.stderr)
        sys.exit(exit_status(error))
    if not result.is_printed:
        _print_result(result, as_json=args.json)
    sys.exit(result.status)


if __name__ == '__main__':
    main()

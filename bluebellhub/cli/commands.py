"""The registry of the tool's commands, by ``noun verb``."""

import argparse
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

from bluebellhub.adapters.platform import Platform
from bluebellhub.registry import Registry, make_registry

__all__ = ['Command', 'CommandResult', 'command', 'commands']


class CommandResult(NamedTuple):
    """The result of a command: rows of named cells and an exit status.

    ``is_printed`` is true if the command has already printed its rows.
    """

    rows: list[dict[str, Any]]
    status: int = 0
    is_printed: bool = False


CommandFunction = Callable[
    [Platform, argparse.Namespace], Awaitable[CommandResult]
]


class Command(NamedTuple):
    """A command; ``arguments`` maps names of arguments to their options.

    The options are keyword arguments of `argparse`'s ``add_argument``.
    """

    run: CommandFunction
    help_text: str
    arguments: dict[str, dict[str, Any]]


commands: Registry[Command] = make_registry('command')


def command(
    title: str, help_text: str, /, **arguments: dict[str, Any]
) -> Callable[[CommandFunction], CommandFunction]:
    """Return a decorator that registers a command under ``title``.

    Arguments whose name starts with ``opt_`` become flags, the others
    positional arguments.
    """

    def register(run: CommandFunction) -> CommandFunction:
        commands.register(title)(Command(run, help_text, arguments))
        return run

    return register

"""Commands of the tool, a registry by ``noun verb``."""

import argparse
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

from bluebellhub.adapters.platform import Platform
from bluebellhub.registry import Registry, make_registry

__all__ = ['Command', 'Table', 'command', 'commands']


class Table(NamedTuple):
    """A command's result: rows of named cells, and an exit status.

    ``is_printed`` tells that the command printed its rows as they came.
    """

    rows: list[dict[str, Any]]
    status: int = 0
    is_printed: bool = False


Run = Callable[[Platform, argparse.Namespace], Awaitable[Table]]


class Command(NamedTuple):
    """One command; ``arguments`` maps flags to argparse options."""

    run: Run
    help_text: str
    arguments: dict[str, dict[str, Any]]


commands: Registry[Command] = make_registry('command')


def command(
    title: str, help_text: str, /, **arguments: dict[str, Any]
) -> Callable[[Run], Run]:
    """Register a command; argument names with a leading ``opt_`` are flags."""

    def store(run: Run) -> Run:
        commands.register(title)(Command(run, help_text, arguments))
        return run

    return store

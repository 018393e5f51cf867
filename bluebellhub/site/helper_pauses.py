"""Pauses of VMs that have failed to serve forwarded requests."""

from collections.abc import Collection
from math import inf
from typing import Final, NamedTuple

__all__ = [
    'Helpers',
    'forget_helpers',
    'is_paused',
    'make_helpers',
    'record_helper_failure',
    'record_helper_response',
]

PAUSE_BASE_S: Final = 0.5
PAUSE_MAX_S: Final = 4.0


class HelperPause(NamedTuple):
    """After failures in a row, a VM gets no requests until ``until_s``."""

    failures_in_row: int
    until_s: float


class Helpers(NamedTuple):
    """The root: the VMs that failed as helpers lately, by name."""

    pauses: dict[str, HelperPause]


def make_helpers() -> Helpers:
    """Create the state of a VM that has forwarded nothing."""
    return Helpers({})


def is_paused(helpers: Helpers, name: str, now_s: float) -> bool:
    """Return whether the VM gets no forwarded requests now."""
    pause = helpers.pauses.get(name)
    return pause is not None and now_s < pause.until_s


def forget_helpers(helpers: Helpers, known: Collection[str]) -> None:
    """Remove the pauses of VMs that are no longer ``known``."""
    for name in helpers.pauses.keys() - set(known):
        helpers.pauses.pop(name)


def record_helper_failure(helpers: Helpers, name: str, now_s: float) -> None:
    """Pause a VM that failed to serve, longer after each failure in a row."""
    known = helpers.pauses.get(name, HelperPause(0, -inf))
    pause_s = min(PAUSE_MAX_S, PAUSE_BASE_S * 2**known.failures_in_row)
    helpers.pauses[name] = HelperPause(
        min(known.failures_in_row + 1, 8), now_s + pause_s
    )


def record_helper_response(helpers: Helpers, name: str) -> None:
    """Forget the failures of a VM that has responded."""
    helpers.pauses.pop(name, None)

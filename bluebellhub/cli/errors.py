"""Errors of the command-line tool and the exit status of each."""

from typing import Final

from bluebellhub.errors import (
    ConflictError,
    HubError,
    ObjectError,
    SettingsError,
    StoreUnavailableError,
)
from bluebellhub.platform.documents import DocumentError

__all__ = [
    'EXIT_FAILED',
    'EXIT_TIMEOUT',
    'MissingObjectError',
    'WaitTimeoutError',
    'exit_status',
]

EXIT_FAILED: Final = 1
EXIT_USAGE: Final = 2
EXIT_CONFLICT: Final = 3
EXIT_UNAVAILABLE: Final = 4
EXIT_TIMEOUT: Final = 5


class MissingObjectError(HubError):
    """There is no object of this kind and name."""

    def __init__(self, kind: str, name: str) -> None:
        super().__init__(f'{kind} {name!r}: no such object')


class WaitTimeoutError(HubError):
    """A change was not completed within the time limit."""

    def __init__(self, subject: str, waited_s: float, state: str) -> None:
        super().__init__(f'{subject}: {state} after {waited_s:g} s')


EXIT_STATUSES: Final = (
    (ConflictError, EXIT_CONFLICT),
    (StoreUnavailableError, EXIT_UNAVAILABLE),
    (WaitTimeoutError, EXIT_TIMEOUT),
    (DocumentError, EXIT_USAGE),
    (SettingsError, EXIT_USAGE),
    (ObjectError, EXIT_USAGE),
)


def exit_status(error: HubError) -> int:
    """Return the exit status for the type of an error."""
    for kind, status in EXIT_STATUSES:
        if isinstance(error, kind):
            return status
    return EXIT_FAILED

"""Cancels attempts from outside the task that runs them."""

from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from typing import TypedDict, TypeVar

import trio

from bluebellhub.errors import HubError

__all__ = [
    'AttemptCancelledError',
    'AttemptControl',
    'cancel_attempt',
    'cancellable',
    'make_attempt_control',
    'wait_for',
]

Result = TypeVar('Result')


class AttemptCancelledError(HubError):
    """The scheduler has cancelled the attempt."""


class AttemptControl(TypedDict):
    """State for cancelling an attempt: its current wait's scope and a flag."""

    scope: trio.CancelScope | None
    cancelled: bool


def make_attempt_control() -> AttemptControl:
    """Create the control of an attempt that has not started."""
    return {'scope': None, 'cancelled': False}


@contextmanager
def cancellable(control: AttemptControl) -> Iterator[None]:
    """Run an attempt, or a part of it, until it is cancelled."""
    with trio.CancelScope() as scope:
        control['scope'] = scope
        yield
    control['scope'] = None


def cancel_attempt(control: AttemptControl) -> None:
    """Cancel an attempt in its current wait, or else at its next one."""
    control['cancelled'] = True
    if control['scope'] is not None:
        control['scope'].cancel()


async def wait_for(
    control: AttemptControl,
    wait_s: float,
    wait: Callable[[], Awaitable[Result]],
) -> Result:
    """Wait for at most ``wait_s`` seconds.

    Raises `trio.TooSlowError` after that time and `AttemptCancelledError`
    when the attempt is cancelled.
    """
    if control['cancelled']:
        raise AttemptCancelledError
    with trio.move_on_after(wait_s) as scope:
        control['scope'] = scope
        try:
            return await wait()
        finally:
            control['scope'] = None
    if control['cancelled']:
        raise AttemptCancelledError
    raise trio.TooSlowError

"""Cancels attempts from outside the task that runs them."""

from collections.abc import Iterator
from contextlib import contextmanager
from typing import TypedDict

import trio

__all__ = [
    'AttemptControl',
    'cancel_attempt',
    'cancellable',
    'make_attempt_control',
]


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

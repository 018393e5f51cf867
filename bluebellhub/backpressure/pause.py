"""Pauses that upstreams ask for when they turn requests away.

An upstream that has no room may state for how long it wants no request.  That
concerns only the VM that it has told; each VM ends the pause at a time of its
own, so that not all of them come back at once.
"""

from collections.abc import Callable
from typing import Final, NamedTuple

__all__ = [
    'PAUSE_MAX_S',
    'Pauses',
    'is_asked_to_wait',
    'make_pauses',
    'record_pause',
]

# A longer pause is more likely a mistake, and would leave the upstream unused
# until it starts anew.
PAUSE_MAX_S: Final = 3600.0
# The pause ends by up to this ratio later than asked for, at random.
SPREAD_RATIO: Final = 0.1
SPREAD_MAX_S: Final = 1.0


class Pause(NamedTuple):
    """No requests until ``until_s``, to this incarnation of an upstream."""

    incarnation: str
    until_s: float


class Pauses(NamedTuple):
    """The root: pauses by upstream; ``random`` returns a number below 1."""

    random: Callable[[], float]
    by_upstream: dict[str, Pause]


def make_pauses(random: Callable[[], float]) -> Pauses:
    """Create the state of a VM that no upstream has asked to wait."""
    return Pauses(random, {})


def record_pause(
    pauses: Pauses,
    upstream: str,
    incarnation: str,
    pause_s: float,
    now_s: float,
) -> bool:
    """Record that an upstream wants no request for ``pause_s`` seconds.

    Returns whether this VM did not wait already.  A pause that was asked for
    before is never shortened: the responses may have crossed on the way.
    """
    _forget_ended(pauses, now_s)
    was_asked = is_asked_to_wait(pauses, upstream, incarnation, now_s)
    spread_s = min(SPREAD_MAX_S, SPREAD_RATIO * pause_s) * pauses.random()
    until_s = now_s + pause_s + spread_s
    if was_asked:
        until_s = max(until_s, pauses.by_upstream[upstream].until_s)
    pauses.by_upstream[upstream] = Pause(incarnation, until_s)
    return not was_asked


def is_asked_to_wait(
    pauses: Pauses, upstream: str, incarnation: str, now_s: float
) -> bool:
    """Return whether the upstream wants no request from this VM now."""
    pause = pauses.by_upstream.get(upstream)
    if pause is None or pause.incarnation != incarnation:
        return False
    return now_s < pause.until_s


def _forget_ended(pauses: Pauses, now_s: float) -> None:
    ended = [
        name
        for name, pause in pauses.by_upstream.items()
        if now_s >= pause.until_s
    ]
    for name in ended:
        pauses.by_upstream.pop(name)

"""Upstreams that state in their responses that they are leaving.

The statement holds for this incarnation of the upstream until it is removed: a
registration that still says ready is older, and may stay so while the store
cannot be reached.
"""

from typing import NamedTuple

__all__ = [
    'Departures',
    'forget_departure',
    'is_departing',
    'make_departures',
    'record_departure',
]


class Departures(NamedTuple):
    """The root: the incarnations that are leaving, by upstream."""

    incarnations: dict[str, str]


def make_departures() -> Departures:
    """Create the state of a VM that knows of no departure."""
    return Departures({})


def record_departure(
    departures: Departures, upstream: str, incarnation: str
) -> bool:
    """Record that an upstream is leaving; return whether it was not known."""
    if is_departing(departures, upstream, incarnation):
        return False
    departures.incarnations[upstream] = incarnation
    return True


def is_departing(
    departures: Departures, upstream: str, incarnation: str
) -> bool:
    """Return whether this incarnation of an upstream is leaving."""
    return departures.incarnations.get(upstream) == incarnation


def forget_departure(departures: Departures, upstream: str) -> None:
    """Forget an upstream that was removed."""
    departures.incarnations.pop(upstream, None)

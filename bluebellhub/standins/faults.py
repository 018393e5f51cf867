"""Faults of stand-in engines, by a registry of kinds.

A kind's handler returns the effect of a fault on the step time and on the
request for a route, the engine's load and the time.
"""

from collections.abc import Callable
from random import Random
from typing import NamedTuple

from bluebellhub.registry import Registry, make_registry

__all__ = ['Effect', 'Fault', 'fault_kinds', 'make_fault']


class Effect(NamedTuple):
    """Effect of a fault: a factor on step times, and a failed request."""

    slowdown: float = 1.0
    fails: bool = False


class Fault(NamedTuple):
    """A fault of an engine.

    ``share`` is the probability that a request fails at a token, and
    ``slowdown`` a factor on step times.  The fault is active from ``start_s``
    until ``end_s`` while the engine has at least ``load_min`` requests, on
    one ``route`` or, if it is empty, on all.
    """

    kind: str
    random: Random
    share: float = 0.0
    slowdown: float = 1.0
    route: str = ''
    load_min: int = 0
    start_s: float = 0.0
    end_s: float = float('inf')


FaultHandler = Callable[[Fault, str, int, float], Effect]

fault_kinds: Registry[FaultHandler] = make_registry('fault kind')


def make_fault(kind: str, seed: int = 0, **fields) -> Fault:
    """Create a fault of a registered kind; raises `UnknownEntryError`."""
    fault_kinds.find(kind)
    return Fault(kind, Random(seed), **fields)


def _is_active(fault: Fault, load: int, now_s: float) -> bool:
    return fault.start_s <= now_s < fault.end_s and load >= fault.load_min


@fault_kinds.register('slow')
def apply_slow(fault: Fault, route: str, load: int, now_s: float) -> Effect:
    """Multiply the step time by the fault's ``slowdown``."""
    if not _is_active(fault, load, now_s):
        return Effect()
    return Effect(slowdown=fault.slowdown)


@fault_kinds.register('failing')
def apply_failing(fault: Fault, route: str, load: int, now_s: float) -> Effect:
    """Fail requests at random, with probability ``share`` at each token."""
    matches_route = not fault.route or fault.route == route
    if not route or not matches_route or not _is_active(fault, load, now_s):
        return Effect()
    return Effect(fails=fault.random.random() < fault.share)

"""Faults of stand-in engines, a registry of kinds.

A fault is judged for a route, the engine's load and the time, and returns
its effect on the step time and on the request.
"""

from collections.abc import Callable
from random import Random
from typing import NamedTuple

from bluebellhub.registry import Registry, make_registry

__all__ = ['Effect', 'Fault', 'fault_kinds', 'make_fault']


class Effect(NamedTuple):
    """What a fault does: a factor on step times, and a failure."""

    slowdown: float = 1.0
    fails: bool = False


class Fault(NamedTuple):
    """An active fault.

    ``share`` is the ratio of tokens at which a request fails and
    ``slowdown`` a factor on step times.  The fault acts from ``start_s`` to
    ``end_s``, on one ``route`` or on all, at ``load_min`` requests or more.
    """

    kind: str
    random: Random
    share: float = 0.0
    slowdown: float = 1.0
    route: str = ''
    load_min: int = 0
    start_s: float = 0.0
    end_s: float = float('inf')


FaultRule = Callable[[Fault, str, int, float], Effect]

fault_kinds: Registry[FaultRule] = make_registry('fault kind')


def make_fault(kind: str, seed: int = 0, **fields) -> Fault:
    """Create a fault of a registered kind; raises `UnknownEntryError`."""
    fault_kinds.find(kind)
    return Fault(kind, Random(seed), **fields)


def _acts(fault: Fault, load: int, now_s: float) -> bool:
    return fault.start_s <= now_s < fault.end_s and load >= fault.load_min


@fault_kinds.register('slow')
def judge_slow(fault: Fault, route: str, load: int, now_s: float) -> Effect:
    """Make the engine a straggler."""
    if not _acts(fault, load, now_s):
        return Effect()
    return Effect(slowdown=fault.slowdown)


@fault_kinds.register('failing')
def judge_failing(fault: Fault, route: str, load: int, now_s: float) -> Effect:
    """Fail a share of the tokens' requests, on one route or on all."""
    concerned = not fault.route or fault.route == route
    if not route or not concerned or not _acts(fault, load, now_s):
        return Effect()
    return Effect(fails=fault.random.random() < fault.share)

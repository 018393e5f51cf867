"""The state of a simulated fleet of several failure domains."""

from collections import Counter, deque
from heapq import heappush
from itertools import count
from random import Random
from typing import NamedTuple

__all__ = [
    'SAMPLE_S',
    'Fleet',
    'Result',
    'Server',
    'Simulation',
    'domain_count',
    'domain_of',
    'is_domain_out',
    'loads_at',
    'schedule',
    'snapshot',
]

SAMPLE_S = 0.05


class Fleet(NamedTuple):
    """A fleet; ``loads`` holds each domain's ratio of its usual capacity.

    ``loads`` is a tuple or a function of the time.  ``lossy`` maps pairs of
    domains to the ratio of late requests, ``out`` a domain to when it is out.
    ``remote_age_s`` is the age of what another domain has reported.
    """

    loads: object
    upstreams: int = 2
    slots: int = 8
    vms: int = 20
    work_s: float = 0.6
    local_age_s: float = 0.25
    remote_age_s: float = 0.5
    decision_s: float = 0.5
    empty: tuple = ()
    lossy: dict = {}
    out: dict = {}


class Result(NamedTuple):
    """Ratios of requests, and requests in progress away from home.

    ``crossing`` holds their number at each decision, ``pairs`` how
    many requests went from one domain to another.
    """

    in_time: float
    crossed: float
    in_time_by_domain: dict
    crossing: list
    pairs: Counter


class Server(NamedTuple):
    """An upstream; ``in_flight`` holds the VM of each request sent there."""

    name: str
    domain: int
    slots: int
    running: set
    queue: deque
    in_flight: list


class Simulation(NamedTuple):
    """The state of a run; ``agenda`` is a heap of due actions."""

    fleet: Fleet
    is_decided: bool
    random: Random
    servers: list
    shares: list
    snapshots: deque
    waiting: Counter
    agenda: list
    order: count
    tally: Counter
    pairs: Counter
    crossing: list


def schedule(simulation, at_s, action, *args):
    entry = (at_s, next(simulation.order), action, args)
    heappush(simulation.agenda, entry)


def loads_at(fleet, now_s):
    return fleet.loads(now_s) if callable(fleet.loads) else fleet.loads


def domain_count(fleet):
    return len(loads_at(fleet, 0.0))


def domain_of(simulation, vm):
    return vm % domain_count(simulation.fleet)


def snapshot(simulation, age_s):
    position = round(age_s / SAMPLE_S) + 1
    return simulation.snapshots[-min(position, len(simulation.snapshots))]


def is_domain_out(fleet, domain, now_s):
    start_s, end_s = fleet.out.get(domain, (0.0, 0.0))
    return start_s <= now_s < end_s

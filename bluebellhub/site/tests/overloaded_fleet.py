"""Simulates VMs whose callers ask for more than the engines can serve.

The VMs decide by themselves, from their own requests and from reports of some
age.  An engine serves requests in order of arrival: one prompt after the other,
and a slot for each request until its last event.  A caller whose request was
refused sends it once more, to any VM.
"""

from collections import Counter
from functools import partial
from math import pi, sin
from random import Random
from typing import NamedTuple

from bluebellhub.request import AttemptFailure
from bluebellhub.request.heads import TokenCounts
from bluebellhub.route import Account, Route, Split, make_table
from bluebellhub.scheduler import (
    Dispatch,
    Refuse,
    attempt_failed,
    request_sent,
    response_ended,
    submit,
    tick,
    tokens_arrived,
)
from bluebellhub.site.admission import UNLIMITED, admit_request
from bluebellhub.site.priority import RequestPriority, queue_rank
from bluebellhub.site.state import Bounds, make_site, set_vms
from bluebellhub.site.tests.overloaded_engines import (
    TOKENS_PER_EVENT,
    Load,
    capacity_per_s,
    has_room,
    make_engines,
    start_request,
)
from bluebellhub.site.tests.overloaded_reports import send_reports
from bluebellhub.site.tests.overloaded_statements import apply_head
from bluebellhub.site.tests.small_site import (
    make_registration,
    make_request_head,
)
from bluebellhub.site.upstreams import (
    apply_registration,
    apply_routing_table,
)
from bluebellhub.site.vm_location import VmLocation
from bluebellhub.standins.virtual_clock import call_at, make_clock, run_until

__all__ = ['Result', 'make_vm', 'simulate']

TICK_S = 0.05
TIMEOUT_S = 6.0
ROUND_TRIP_S = 0.002


class Result(NamedTuple):
    """Ratios of all requests, and counts by kind or account and outcome.

    ``needless`` counts refusals while engines had free slots and none a queue.
    ``upset`` counts refusals while a lower tier was queued at the same VM.
    """

    in_time: float
    late: float
    again: float
    refused: float
    needless: int
    upset: int
    counts: Counter
    retry_s: list
    rejected_s: list


class Fleet(NamedTuple):
    load: Load
    clock: object
    random: Random
    sites: list
    engines: dict
    sent: dict
    result: Counter
    retry_s: list
    rejected_s: list


def simulate(load, duration_s=16.0, seed=1):
    """Return what came in time, late and not at all."""
    engines = make_engines(load)
    names = [f'hub-{number:03}' for number in range(load.vms)]
    places = {
        name: VmLocation('10.0.0.9:1', f'd{number % load.domains}')
        for number, name in enumerate(names)
    }
    sites = [
        make_vm(load, name, places, seed + number)
        for number, name in enumerate(names)
    ]
    fleet = Fleet(
        load, make_clock(), Random(seed), sites, engines, {}, Counter(), [], []
    )
    for number, site in enumerate(sites):
        offset_s = TICK_S * number / len(sites)
        call_at(fleet.clock, offset_s, _tick, fleet, site)
    send_reports(0.0, fleet.sites, fleet.random, fleet.clock)
    _arrive_next(fleet, 0.0)
    run_until(fleet.clock, duration_s)
    return _summarize(fleet)


def make_vm(load, name, places, seed):
    site = make_site(name, places[name].domain, Bounds(), -60.0, seed)
    set_vms(site, places)
    routes = [
        Route(
            kind.name,
            'a.example',
            f'/{kind.name}/',
            (Split('s', 1.0),),
            is_stream=True,
            timeout_s=TIMEOUT_S,
            objective_s=kind.objective_s,
            rank=kind.rank,
        )
        for kind in load.kinds
    ]
    accounts = {account: Account(account) for account in load.senders}
    apply_routing_table(site, make_table(1, routes, (), accounts))
    for number, engine in enumerate(make_engines(load).values()):
        entry = make_registration(
            f'u{number}',
            slots=engine.slots,
            failure_domain=f'd{number % load.domains}',
        )
        apply_registration(site, entry, 0.0)
    return site


def _arrive_next(fleet, now_s):
    load = fleet.load
    wave = (1 - sin(2 * pi * now_s / load.period_s + pi / 2)) / 2
    ratio = load.low + (load.high - load.low) * wave
    next_s = now_s + fleet.random.expovariate(ratio * capacity_per_s(load))
    call_at(fleet.clock, next_s, _arrive, fleet)


def _arrive(now_s, fleet):
    _arrive_next(fleet, now_s)
    kind = fleet.random.choice(fleet.load.kinds)
    senders = fleet.load.senders
    account = fleet.random.choices(list(senders), list(senders.values()))[0]
    fleet.result['all', ''] += 1
    fleet.result['all', kind.name] += 1
    fleet.result['all', account] += 1
    _send(now_s, fleet, kind, account, now_s, 0)


def _send(now_s, fleet, kind, account, arrived_s, attempt):
    site = fleet.random.choice(fleet.sites)
    left_s = arrived_s + TIMEOUT_S - now_s
    head = make_request_head(
        f'{len(fleet.sent)}',
        path=f'/{kind.name}/',
        key=account,
        time_limit_s=left_s,
        tokens=TokenCounts(kind.prompt_tokens, kind.events * TOKENS_PER_EVENT),
    )
    request = admit_request(site, head, now_s).request
    fleet.sent[request.request_id] = (kind, account, arrived_s, attempt)
    _apply(
        now_s, fleet, site, submit(site.scheduler, request, UNLIMITED, now_s)
    )


def _apply(now_s, fleet, site, events):
    for event in events:
        if isinstance(event, Dispatch):
            _arrive_at_engine(now_s, fleet, site, event)
        elif isinstance(event, Refuse):
            _end_refused(now_s, fleet, site, event)


def _arrive_at_engine(now_s, fleet, site, event):
    engine = fleet.engines[event.upstream]
    if has_room(fleet.load, engine, now_s):
        engine.queue.append((site, event))
        _start_next(now_s, fleet, engine)
        return
    fleet.rejected_s.append((event.upstream, now_s))
    request_sent(site.scheduler, event.request_id)
    rejected_s = now_s + ROUND_TRIP_S
    call_at(fleet.clock, rejected_s, _end_rejected, fleet, site, event)


def _end_rejected(now_s, fleet, site, event):
    apply_head(now_s, fleet, site, event)
    failed = attempt_failed(
        site.scheduler, event.request_id, AttemptFailure('refused'), now_s
    )
    _apply(now_s, fleet, site, failed)


def _end_refused(now_s, fleet, site, event):
    kind, account, arrived_s, attempt = fleet.sent[event.request_id]
    engines = fleet.engines.values()
    fleet.result['needless', ''] += any(
        len(engine.running) < engine.slots for engine in engines
    ) and not any(engine.queue for engine in engines)
    queue = site.scheduler.queues['s']
    fleet.result['upset', ''] += any(
        rank > queue_rank(RequestPriority(kind.rank, kind.rank))
        for rank in queue.tiers
        if queue.tiers[rank].by_account
    )
    left_s = arrived_s + TIMEOUT_S - now_s
    retry_s = event.error.retry_after_s or 0.0
    fleet.retry_s.append((now_s, retry_s, left_s))
    if attempt:
        _count(fleet, kind, account, 'refused')
        return
    wait_s = 0.0 if account in fleet.load.hasty else min(retry_s, left_s / 3)
    call_at(
        fleet.clock,
        now_s + wait_s,
        _send,
        fleet,
        kind,
        account,
        arrived_s,
        attempt + 1,
    )


def _count(fleet, kind, account, outcome):
    for name in ('', kind.name, account):
        fleet.result[outcome, name] += 1


def _start_next(now_s, fleet, engine):
    while engine.queue and len(engine.running) < engine.slots:
        site, event = engine.queue.popleft()
        kind = fleet.sent[event.request_id][0]
        engine.running.add(event.request_id)
        first_s, last_s = start_request(engine, kind, now_s)
        call_at(fleet.clock, first_s, _first_token, fleet, site, event)
        call_at(fleet.clock, last_s, _finish, fleet, site, event)


def _first_token(now_s, fleet, site, event):
    kind, account, arrived_s, attempt = fleet.sent[event.request_id]
    request = site.scheduler.requests[event.request_id].request
    if attempt and now_s < request.arrived_at_s + kind.objective_s:
        _count(fleet, kind, account, 'again')
    is_late = now_s - arrived_s > kind.objective_s
    _count(fleet, kind, account, 'late' if is_late else 'in_time')
    apply_head(now_s, fleet, site, event)
    arrived = partial(tokens_arrived, site.scheduler, event.request_id)
    _apply(now_s, fleet, site, arrived(0, TOKENS_PER_EVENT, now_s))


def _finish(now_s, fleet, site, event):
    kind = fleet.sent[event.request_id][0]
    engine = fleet.engines[event.upstream]
    engine.running.remove(event.request_id)
    left = (kind.events - 1) * TOKENS_PER_EVENT
    scheduler = site.scheduler
    tokens_arrived(scheduler, event.request_id, TOKENS_PER_EVENT, left, now_s)
    _apply(
        now_s, fleet, site, response_ended(scheduler, event.request_id, now_s)
    )
    _start_next(now_s, fleet, engine)


def _tick(now_s, fleet, site):
    _apply(now_s, fleet, site, tick(site.scheduler, now_s))
    call_at(fleet.clock, now_s + TICK_S, _tick, fleet, site)


def _summarize(fleet):
    total = fleet.result['all', '']
    counts = fleet.result
    return Result(
        counts['in_time', ''] / total,
        counts['late', ''] / total,
        counts['again', ''] / total,
        counts['refused', ''] / total,
        counts['needless', ''],
        counts['upset', ''],
        counts,
        fleet.retry_s,
        fleet.rejected_s,
    )

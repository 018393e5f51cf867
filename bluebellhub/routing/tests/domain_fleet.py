"""Simulates VMs of several failure domains that share plain upstreams.

Each request takes a slot for some time; it is in time if it begins within the
objective.  VMs know their own requests, and those of other VMs with a delay
that is longer between domains.  Without a decision, the policy has only its
constant preference for local upstreams.
"""

from collections import Counter, deque
from heapq import heappop
from itertools import count
from random import Random

from bluebellhub.routing import Candidate, policies
from bluebellhub.routing.domain_shares import (
    DomainShares,
    find_pair,
    link_of,
    make_domain_shares,
    may_leave,
    set_decision,
)
from bluebellhub.routing.domains import DomainLoad, decide_shares
from bluebellhub.routing.links import record_bad_response, record_in_time
from bluebellhub.routing.tests.domain_fleet_state import (
    SAMPLE_S,
    Fleet,
    Result,
    Server,
    Simulation,
    domain_count,
    domain_of,
    is_domain_out,
    loads_at,
    schedule,
    snapshot,
)

__all__ = ['Fleet', 'Result', 'simulate']

OBJECTIVE_S = 0.3
LOST_S = 0.4


def simulate(fleet, *, is_decided, duration_s=20.0, seed=1):
    """Return what the policy achieves with or without the decision."""
    domains = domain_count(fleet)
    servers = [
        Server(f'{domain}-{number}', domain, fleet.slots, set(), deque(), [])
        for domain in range(domains)
        for number in range(fleet.upstreams)
        if domain not in fleet.empty
    ]
    history = round(fleet.remote_age_s / SAMPLE_S) + 1
    simulation = Simulation(
        fleet,
        is_decided,
        Random(seed),
        servers,
        [make_domain_shares() for _ in range(domains * fleet.vms)],
        deque(maxlen=history),
        Counter(),
        [],
        count(),
        Counter(),
        Counter(),
        [],
    )
    schedule(simulation, 0.0, _sample)
    schedule(simulation, 0.0, _decide)
    for domain in range(domains):
        schedule(simulation, 0.0, _arrive, domain)
    while simulation.agenda[0][0] < duration_s:
        at_s, _, action, args = heappop(simulation.agenda)
        action(simulation, at_s, *args)
    return _result(simulation, domains)


def _result(simulation, domains):
    tally = simulation.tally
    return Result(
        tally['in_time'] / tally['requests'],
        sum(simulation.pairs.values()) / tally['requests'],
        {
            domain: tally['in_time', domain] / max(1, tally['requests', domain])
            for domain in range(domains)
        },
        simulation.crossing,
        simulation.pairs,
    )


def _sample(simulation, now_s):
    """Take the samples that reports of a later time contain."""
    sent = {
        server.name: Counter(server.in_flight) for server in simulation.servers
    }
    simulation.snapshots.append((sent, Counter(simulation.waiting)))
    schedule(simulation, now_s + SAMPLE_S, _sample)


def _decide(simulation, now_s):
    """Let every domain decide; its VMs decide alike."""
    domains = range(domain_count(simulation.fleet))
    for here in domains:
        loads = {
            domain: _load(simulation, here, domain, now_s) for domain in domains
        }
        local = loads.pop(here)
        for vm in range(here, len(simulation.shares), len(domains)):
            shares = simulation.shares[vm]
            before = shares.decisions.get('s')
            decision = decide_shares(local, list(loads.values()), before)
            set_decision(shares, 's', decision, now_s)
    simulation.crossing.append(
        sum(
            domain_of(simulation, vm) != server.domain
            for server in simulation.servers
            for vm in server.in_flight
        )
    )
    schedule(simulation, now_s + simulation.fleet.decision_s, _decide)


def _load(simulation, here, domain, now_s):
    """Return a domain's load as the VMs of another domain know it."""
    fleet = simulation.fleet
    is_out = is_domain_out(fleet, domain, now_s)
    servers = [entry for entry in simulation.servers if entry.domain == domain]
    work = _work_seen(simulation, here)
    age_s = fleet.local_age_s if here == domain else fleet.remote_age_s
    queued = snapshot(simulation, age_s)[1][domain]
    return DomainLoad(
        str(domain),
        0 if is_out else sum(server.slots for server in servers),
        sum(number for (to, _), number in work.items() if to == domain),
        work[domain, here],
        queued + sum(n for (_, sender), n in work.items() if sender == domain),
        age_s,
        is_out=is_out,
    )


def _work_seen(simulation, here):
    """Return the requests between domains, by both, as seen in one."""
    fleet = simulation.fleet
    found = Counter()
    for is_near, age_s in (
        (True, fleet.local_age_s),
        (False, fleet.remote_age_s),
    ):
        sent, _ = snapshot(simulation, age_s)
        for server in simulation.servers:
            for vm, number in sent[server.name].items():
                domain = domain_of(simulation, vm)
                if (domain == here) == is_near:
                    found[server.domain, domain] += number
    return found


def _arrive(simulation, now_s, domain):
    """Let a request arrive at a VM of a domain, and plan the next one."""
    fleet = simulation.fleet
    capacity_per_s = fleet.upstreams * fleet.slots / fleet.work_s
    per_s = max(0.01, loads_at(fleet, now_s)[domain] * capacity_per_s)
    next_s = now_s + simulation.random.expovariate(per_s)
    schedule(simulation, next_s, _arrive, domain)
    vm = domain + domain_count(fleet) * simulation.random.randrange(fleet.vms)
    simulation.tally['requests'] += 1
    simulation.tally['requests', domain] += 1
    simulation.waiting[domain] += 1
    _place(simulation, now_s, vm, now_s, str(next(simulation.order)))


def _place(simulation, now_s, vm, arrived_s, request_id):
    """Send a request; it waits for as long as no upstream may take it."""
    domain = domain_of(simulation, vm)
    if now_s - arrived_s > OBJECTIVE_S:
        simulation.waiting[domain] -= 1
        return
    candidates = [
        candidate
        for server in simulation.servers
        if (candidate := _candidate(simulation, server, vm, request_id, now_s))
    ]
    if not candidates:
        args = (vm, arrived_s, request_id)
        schedule(simulation, now_s + SAMPLE_S, _place, *args)
        return
    simulation.waiting[domain] -= 1
    policy = policies.find('proportional')
    chosen = policy(candidates, simulation.random, 0)
    server = next(
        server
        for server in simulation.servers
        if server.name == chosen.upstream
    )
    server.in_flight.append(vm)
    server.queue.append((vm, arrived_s))
    if not chosen.is_local:
        simulation.pairs[domain, server.domain] += 1
    _start_next(simulation, now_s, server)


def _candidate(simulation, server, vm, request_id, now_s):
    """Return an upstream as a VM knows it, or ``None`` if it gets nothing."""
    fleet = simulation.fleet
    here = domain_of(simulation, vm)
    is_local = server.domain == here
    shares = simulation.shares[vm]
    if is_domain_out(fleet, server.domain, now_s):
        return None
    if simulation.is_decided and not is_local:
        if not may_leave(shares, 's', str(server.domain), request_id, now_s):
            return None
    local = server.in_flight.count(vm)
    free = server.slots - local - _others(simulation, server, vm)
    if free <= 0:
        return None
    decision = shares.decisions['s']
    pair = find_pair(shares, 's', str(server.domain))
    return Candidate(
        server.name,
        local,
        0.02,
        0,
        load=1.0 - free / server.slots,
        first_s=0.02,
        finish_s=0.02,
        is_local=is_local,
        free_slots=free,
        unreported=1.0,
        stay_share=1.0 - decision.push if simulation.is_decided else None,
        domain_part=pair.part if pair else 1.0,
    )


def _others(simulation, server, vm):
    """Return the requests of other VMs there, by their last reports."""
    fleet = simulation.fleet
    here = domain_of(simulation, vm)
    near, _ = snapshot(simulation, fleet.local_age_s)
    far, _ = snapshot(simulation, fleet.remote_age_s)
    return sum(
        number
        for sender, number in near[server.name].items()
        if sender != vm and domain_of(simulation, sender) == here
    ) + sum(
        number
        for sender, number in far[server.name].items()
        if domain_of(simulation, sender) != here
    )


def _start_next(simulation, now_s, server):
    """Start the next request of an upstream's queue if a slot is free."""
    if not server.queue or len(server.running) >= server.slots:
        return
    vm, arrived_s = server.queue.popleft()
    domain = domain_of(simulation, vm)
    loss = simulation.fleet.lossy.get((domain, server.domain), 0.0)
    is_lost = simulation.random.random() < loss
    began_s = now_s + is_lost * LOST_S
    is_in_time = began_s - arrived_s <= OBJECTIVE_S
    simulation.tally['in_time'] += is_in_time
    simulation.tally['in_time', domain] += is_in_time
    _record_link(simulation.shares[vm], server, began_s, is_bad=is_lost)
    request = next(simulation.order)
    server.running.add(request)
    mean_s = simulation.fleet.work_s
    end_s = now_s + simulation.random.uniform(0.5, 1.5) * mean_s
    schedule(simulation, end_s, _finish, server, request, vm)


def _record_link(shares: DomainShares, server, at_s, *, is_bad):
    domain = str(server.domain)
    link = link_of(shares, domain)
    shares.links[domain] = (
        record_bad_response(link, server.name, 2, at_s)
        if is_bad
        else record_in_time(link)
    )


def _finish(simulation, now_s, server, request, vm):
    """End a request and start the next one."""
    server.running.remove(request)
    server.in_flight.remove(vm)
    _start_next(simulation, now_s, server)

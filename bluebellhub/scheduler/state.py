"""State of the scheduler of one VM."""

from collections import Counter
from collections.abc import Callable
from math import inf
from random import Random
from typing import NamedTuple, TypedDict

from bluebellhub.admission import Queue, make_queue
from bluebellhub.backpressure import (
    Departures,
    Pauses,
    RateLimits,
    forget_departure,
    is_asked_to_wait,
    is_departing,
    make_departures,
    make_pauses,
    make_rate_limits,
)
from bluebellhub.contract import AccountUsage, Contract
from bluebellhub.failure_domain import FailureDomain
from bluebellhub.quarantine import Quarantine, make_quarantine
from bluebellhub.rates import RetryBounds, RetryBudget, make_retry_budget
from bluebellhub.reachability import Reachability, make_reachability
from bluebellhub.request import RequestState
from bluebellhub.routing import PrefixIndex, make_prefix_index
from bluebellhub.routing.domain_shares import DomainShares, make_domain_shares
from bluebellhub.routing.output_length import OutputLengths, make_lengths
from bluebellhub.routing.prefix import forget_upstream
from bluebellhub.scheduler.options import SchedulerOptions
from bluebellhub.scheduler.rank_ratios import Balance
from bluebellhub.scheduler.shares import TargetShare
from bluebellhub.upstream import Upstream
from bluebellhub.version_move.comparison import OutcomeCounts
from bluebellhub.version_move.gate import MoveGate
from bluebellhub.version_move.step_times import StepTotal

__all__ = [
    'Flags',
    'Scheduler',
    'add_upstream',
    'asks_to_wait',
    'is_leaving',
    'make_scheduler',
    'queue_of',
    'remove_upstream',
    'signals_of',
    'upstreams_for',
]

SlotSource = Callable[[Upstream, float], int]
ColdShare = Callable[[Upstream], float]


class Flags(TypedDict):
    """Scalar state of the scheduler.

    ``fleet`` is set if the VM belongs to a fleet, ``starved`` if a lease was
    too small for a request, and ``checks_links`` if other VMs can serve the
    requests of this one when it is cut off from the upstreams.
    ``decisions`` counts routing decisions.  Loads
    that other VMs report are up to ``report_age_s`` old.  The periodic work
    of this VM last began ``loop_lag_s`` seconds late.
    """

    draining: bool
    isolated: bool
    fleet: bool
    starved: bool
    checks_links: bool
    decisions: int
    retry_credit: float
    vm_count: int
    report_age_s: float
    loop_lag_s: float
    failure_domain: str


class Signals(TypedDict):
    """Observations of one upstream since they were last reset.

    ``on_time`` and ``late`` count first tokens, ``restarts`` restarts.
    ``peak`` is the largest number of requests in progress at once.  The
    last restart was observed at ``restarted_at_s``.
    """

    on_time: int
    late: int
    restarts: int
    peak: int
    restarted_at_s: float


class Scheduler(NamedTuple):
    """Aggregate root; the parts are stored by name or id.

    ``slots`` returns the number of slots of an upstream that this VM may
    use, and ``cold_share`` the requests per second that it may send to a
    cold upstream.  ``by_target`` holds the names of the upstreams by target.
    ``ramping_domains`` holds the failure domains that returned to service,
    and when.  ``outcome_counts`` counts requests by model, route and
    version, and ``step_totals`` sums up step times by upstream, both for
    models with a version move.

    Three fields hold the rank of a tier by target.  ``admission_floors`` is
    the lowest tier that is admitted now.  ``requested_floors`` is the floor
    that this VM needs to shed requests, and until when.  ``agreed_floors``
    is the floor that all live VMs have agreed to.

    ``links`` tells whether this VM reaches upstreams.  ``rate_limits``,
    ``pauses`` and ``departures`` are what upstreams state in their responses.
    ``unblocked_shares`` is the share of upstreams that
    receive no long prefill, by target.  ``expired_leases`` names the cold
    upstreams whose lease has expired and whose running requests must therefore
    stop.  ``domain_shares`` is what may leave the failure domain, and
    ``shares`` this VM's part of the capacity, by target.  ``balances`` are the
    sums that the decisions of one moment share.
    """

    options: SchedulerOptions
    slots: SlotSource
    cold_share: ColdShare
    retries: RetryBudget
    random: Random
    flags: Flags
    contracts: dict[str, Contract]
    account_usage: dict[str, AccountUsage]
    queues: dict[str, Queue]
    upstreams: dict[str, Upstream]
    by_target: dict[str, list[str]]
    requests: dict[str, RequestState]
    quarantine: Quarantine
    links: Reachability
    rate_limits: RateLimits
    pauses: Pauses
    departures: Departures
    prefixes: PrefixIndex
    lengths: OutputLengths
    signals: dict[str, Signals]
    domains_out: set[str]
    ramping_domains: dict[str, tuple[FailureDomain, float]]
    moves: dict[str, MoveGate]
    outcome_counts: dict[tuple[str, str, str], OutcomeCounts]
    step_totals: dict[str, StepTotal]
    admission_floors: dict[str, int]
    requested_floors: dict[str, tuple[int, float]]
    agreed_floors: dict[str, int]
    unblocked_shares: dict[str, float]
    expired_leases: set[str]
    domain_shares: DomainShares
    counters: Counter[tuple[str, str]]
    shares: dict[str, TargetShare]
    balances: dict[str, Balance]


def unlimited_cold_share(upstream: Upstream) -> float:
    """Set no limit: only its window bounds a cold upstream."""
    return inf


def make_scheduler(
    options: SchedulerOptions,
    slots: SlotSource,
    seed: int = 0,
    *,
    cold_share: ColdShare = unlimited_cold_share,
    retries: RetryBudget | None = None,
    rate_limits: RateLimits | None = None,
) -> Scheduler:
    """Create a scheduler without upstreams, contracts or requests."""
    flags: Flags = {
        'draining': False,
        'isolated': False,
        'fleet': False,
        'starved': False,
        'checks_links': False,
        'decisions': 0,
        'retry_credit': 10.0,
        'vm_count': 1,
        'report_age_s': 0.0,
        'loop_lag_s': 0.0,
        'failure_domain': '',
    }
    random = Random(seed)
    return Scheduler(
        options=options,
        slots=slots,
        cold_share=cold_share,
        retries=retries or make_retry_budget(RetryBounds()),
        random=random,
        flags=flags,
        contracts={},
        account_usage={},
        queues={},
        upstreams={},
        by_target={},
        requests={},
        quarantine=make_quarantine(),
        links=make_reachability(),
        rate_limits=rate_limits or make_rate_limits(),
        pauses=make_pauses(random.random),
        departures=make_departures(),
        prefixes=make_prefix_index(),
        lengths=make_lengths(),
        signals={},
        domains_out=set(),
        ramping_domains={},
        moves={},
        outcome_counts={},
        step_totals={},
        admission_floors={},
        requested_floors={},
        agreed_floors={},
        unblocked_shares={},
        expired_leases=set(),
        domain_shares=make_domain_shares(),
        counters=Counter(),
        shares={},
        balances={},
    )


def add_upstream(scheduler: Scheduler, upstream: Upstream) -> None:
    """Add an upstream, or replace its settings and keep learned estimates."""
    name = upstream.spec.name
    old = scheduler.upstreams.get(name)
    if old is not None:
        _remove_from_targets(scheduler, old)
        upstream = old._replace(spec=upstream.spec)
    scheduler.upstreams[name] = upstream
    for target in upstream.spec.targets:
        names = scheduler.by_target.setdefault(target, [])
        names.append(name)
        names.sort()


def remove_upstream(scheduler: Scheduler, name: str) -> None:
    """Remove an upstream; requests in progress there run to their end."""
    old = scheduler.upstreams.pop(name, None)
    if old is not None:
        _remove_from_targets(scheduler, old)
        forget_upstream(scheduler.prefixes, name)
        forget_departure(scheduler.departures, name)


def _remove_from_targets(scheduler: Scheduler, upstream: Upstream) -> None:
    """Remove the upstream's name from ``by_target``."""
    for target in upstream.spec.targets:
        scheduler.by_target[target].remove(upstream.spec.name)


def upstreams_for(scheduler: Scheduler, target: str) -> list[Upstream]:
    """Return the upstreams that serve a model or service."""
    names = scheduler.by_target.get(target, ())
    return [scheduler.upstreams[name] for name in names]


def asks_to_wait(
    scheduler: Scheduler, upstream: Upstream, now_s: float
) -> bool:
    """Return whether the upstream wants no request from this VM now."""
    return is_asked_to_wait(
        scheduler.pauses, upstream.spec.name, upstream.incarnation, now_s
    )


def is_leaving(scheduler: Scheduler, upstream: Upstream) -> bool:
    """Return whether the upstream says that it is about to leave.

    Its registration may say so, or a response of it.
    """
    return upstream.spec.leaving or is_departing(
        scheduler.departures, upstream.spec.name, upstream.incarnation
    )


def signals_of(scheduler: Scheduler, name: str) -> Signals:
    """Return the observations of an upstream; creates them if missing."""
    return scheduler.signals.setdefault(
        name,
        {
            'on_time': 0,
            'late': 0,
            'restarts': 0,
            'peak': 0,
            'restarted_at_s': -float('inf'),
        },
    )


def queue_of(scheduler: Scheduler, target: str) -> Queue:
    """Return the queue of a model or service; creates it if missing."""
    queue = scheduler.queues.get(target)
    if queue is None:
        queue = make_queue()
        scheduler.queues[target] = queue
    return queue

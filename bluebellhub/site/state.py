"""State behind a VM's decisions on the users' platform."""

from collections import Counter
from math import inf
from random import Random
from typing import NamedTuple, TypedDict

from bluebellhub.backpressure import (
    RateShare,
    Statements,
    make_rate_limits,
    rate_share,
    refresh_shares,
)
from bluebellhub.duty import Duty, DutyBounds, make_duty
from bluebellhub.rates import (
    ColdBounds,
    QuotaBounds,
    Quotas,
    RetryBounds,
    cold_share_per_s,
    make_quotas,
    make_retry_budget,
)
from bluebellhub.registration import RegistrationTable, make_registration_table
from bluebellhub.route import ActiveConfig, make_active_config
from bluebellhub.scheduler import Scheduler, make_scheduler
from bluebellhub.scheduler.capacity import unused_window_slots
from bluebellhub.scheduler.options import SchedulerOptions
from bluebellhub.site.grid import Grid, make_grid, report_age_s
from bluebellhub.site.helper_pauses import (
    Helpers,
    forget_helpers,
    make_helpers,
)
from bluebellhub.site.relay_reports import StoreRelays, make_store_relays
from bluebellhub.site.reports import Peer, RemoteDomain
from bluebellhub.site.vm_location import VmLocation
from bluebellhub.upstream import Upstream
from bluebellhub.version_move import LeaderState, MoveCommand, StepTotal

__all__ = ['Bounds', 'Site', 'SiteFlags', 'SiteMove', 'make_site', 'set_vms']

START_ID_BITS = 53
OPTIONS = SchedulerOptions(
    policy='proportional',
    discipline='shared',
    retry_budget='windowed',
    adapts_windows=False,
    probes_silent=False,
)


class SiteMove(NamedTuple):
    """A version move as this VM sees it.

    ``leader_state`` collects the evidence on every VM, so that any of them can
    become the leader. ``step_totals`` holds the step times that VMs report to
    this one while it leads, by upstream and VM. ``full_since_s`` is when the
    leader gave the new version all requests.
    """

    command: MoveCommand
    from_version: str
    started_at_s: float
    leader_state: LeaderState
    step_totals: dict[str, dict[str, StepTotal]]
    full_since_s: float | None = None


class Bounds(NamedTuple):
    """How far the limits on the whole fleet may be exceeded."""

    quota: QuotaBounds = QuotaBounds()
    retry: RetryBounds = RetryBounds()
    cold: ColdBounds = ColdBounds()
    duty: DutyBounds = DutyBounds()


class SiteFlags(TypedDict):
    """Scalar state: counts of requests and reports, and the VM's shutdown.

    ``adopted_age_s`` is the uptime of the VM whose bucket levels were adopted
    last, and ``grid`` determines the VMs that gossip is sent to. A VM that is
    ``leaving`` reports itself as not ready, but admits the requests that end by
    ``stops_at_s``. ``unread_kinds`` names the kinds of objects in the store
    that this VM has not listed yet.
    """

    requests: int
    report_count: int
    adopted_age_s: float
    leaving: bool
    stops_at_s: float
    grid: Grid
    unread_kinds: set[str]


class Site(NamedTuple):
    """The root: one VM's part in the site.

    ``vms`` holds the locations of all VMs by name and is empty until their list
    has been read. ``peers`` and ``domains`` hold the reports of other VMs and
    of remote failure domains. ``admitted_by_peers`` sums what the peers
    reported as admitted, by account; ``moves`` holds the version moves by
    service. ``duty`` is this VM's part in the duties that one VM at a time
    holds. ``helpers`` are the VMs that serve for this one while it is cut off.
    ``rejection_limits`` are those that upstreams state.
    """

    vm: str
    start_id: int
    started_at_s: float
    bounds: Bounds
    scheduler: Scheduler
    active_config: ActiveConfig
    registrations: RegistrationTable
    quotas: Quotas
    vms: dict[str, VmLocation]
    peers: dict[str, Peer]
    domains: dict[str, RemoteDomain]
    admitted_by_peers: Counter[str]
    moves: dict[str, SiteMove]
    flags: SiteFlags
    duty: Duty
    store_relays: StoreRelays
    helpers: Helpers
    rejection_limits: Statements


def make_site(
    vm: str, failure_domain: str, bounds: Bounds, now_s: float, seed: int = 0
) -> Site:
    """Create the state of a VM that starts now."""
    vms: dict[str, VmLocation] = {}
    random = Random(seed)

    def cold_share(upstream: Upstream) -> float:
        """Return this VM's share of a cold upstream's rate, in requests/s."""
        if not vms:
            return 0.0
        return cold_share_per_s(
            bounds.cold,
            upstream.spec.cold_per_s,
            vm,
            vms,
            upstream.spec.name,
        )

    def limit_share(upstream: str, limit_per_s: float) -> RateShare:
        """Return this VM's share of the limit that an upstream states."""
        return rate_share(upstream, limit_per_s, vm, vms)

    scheduler = make_scheduler(
        OPTIONS,
        unused_window_slots,
        seed,
        cold_share=cold_share,
        retries=make_retry_budget(bounds.retry, now_s),
        rate_limits=make_rate_limits(limit_share),
    )
    scheduler.flags['failure_domain'] = failure_domain
    start_id = random.getrandbits(START_ID_BITS)
    return Site(
        vm,
        start_id,
        now_s,
        bounds,
        scheduler,
        make_active_config(),
        make_registration_table(),
        make_quotas(bounds.quota, now_s),
        vms,
        {},
        {},
        Counter(),
        {},
        {
            'requests': 0,
            'report_count': 0,
            'adopted_age_s': 0.0,
            'leaving': False,
            'stops_at_s': inf,
            'grid': make_grid(vm, {}),
            'unread_kinds': set(),
        },
        make_duty(vm, start_id, bounds.duty, now_s),
        make_store_relays(),
        make_helpers(),
        {},
    )


def set_vms(site: Site, vms: dict[str, VmLocation]) -> None:
    """Set the locations of all VMs, this one included."""
    site.vms.clear()
    site.vms.update(vms)
    site.scheduler.flags['vm_count'] = max(1, len(site.vms))
    refresh_shares(site.scheduler.rate_limits)
    forget_helpers(site.helpers, site.vms)
    grid = make_grid(site.vm, site.vms)
    site.flags['grid'] = grid
    site.scheduler.flags['report_age_s'] = report_age_s(grid)
    for share in site.scheduler.shares.values():
        share.mean['report_age_s'] = report_age_s(grid)

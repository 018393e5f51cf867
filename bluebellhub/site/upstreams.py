"""Updates the scheduler's upstreams from registrations and services."""

from collections.abc import Iterable
from typing import Final

from bluebellhub.faults import isolate_fault
from bluebellhub.registration import (
    Registration,
    current_registration,
    current_registrations,
    register,
    release_held,
    remove_expired,
    replace_all,
    unregister,
)
from bluebellhub.request.heads import UpstreamLoad
from bluebellhub.route import RoutingTable, Service, activate_table
from bluebellhub.scheduler import add_upstream, confirm_end, remove_upstream
from bluebellhub.site.rejection_limits import assume_rejection_limit
from bluebellhub.site.state import Site
from bluebellhub.upstream import UpstreamSpec, make_upstream, mark_cold
from bluebellhub.upstream.slowdown import Slowdown, bounded_ratio

__all__ = [
    'apply_registration',
    'apply_registrations',
    'apply_removal',
    'apply_response_load',
    'apply_response_status',
    'apply_routing_table',
    'remove_expired_upstreams',
    'set_evacuated',
]

# Estimates for an upstream that has not responded yet.
PREFILL_TOKENS_PER_S: Final = 50_000.0
STEP_S: Final = 0.005
FASTER_RATIO_MAX: Final = 10.0
# The fixed delay of an engine hides the prefill time of shorter prompts.
LEARN_MIN_TOKENS: Final = 1500
ERROR_SMOOTHING_FACTOR: Final = 0.15


def apply_routing_table(site: Site, table: RoutingTable) -> bool:
    """Activate a newer configuration; returns whether it was newer."""
    if not activate_table(site.active_config, table):
        return False
    for entry in site.registrations.entries.values():
        _update_upstream(site, entry)
    return True


def apply_registration(site: Site, entry: Registration, now_s: float) -> bool:
    """Apply a registration; returns whether it changed anything.

    A new incarnation of an upstream replaces the old one and the estimates
    that were learned for it.
    """
    current = current_registration(site.registrations, entry, now_s)
    return current is not None and _apply_current(site, current, now_s)


def _apply_current(site: Site, entry: Registration, now_s: float) -> bool:
    known = site.registrations.entries.get(entry.name)
    if not register(site.registrations, entry):
        return False
    if known is not None and known.started_at_ms != entry.started_at_ms:
        _remove_ended(site, entry.name, now_s)
    _update_upstream(site, entry)
    upstream = site.scheduler.upstreams[entry.name]
    if entry.cold_s > 0:
        site.scheduler.upstreams[entry.name] = mark_cold(
            upstream, now_s, entry.cold_s
        )
    return True


def apply_removal(site: Site, name: str, now_s: float) -> bool:
    """Apply the removal of a registration.

    Returns whether it takes effect at once; around an outage of the store it
    may be deferred.
    """
    if not unregister(site.registrations, name, now_s):
        return False
    _remove_ended(site, name, now_s)
    return True


def apply_registrations(
    site: Site, entries: Iterable[Registration], now_s: float
) -> list[str]:
    """Replace all registrations; returns the names of the removed upstreams."""
    registrations = site.registrations
    listed = current_registrations(registrations, entries, now_s)
    for entry in listed:
        with isolate_fault('registration', upstream=entry.name):
            _apply_current(site, entry, now_s)
    gone = replace_all(registrations, listed, now_s)
    for name in gone:
        _remove_ended(site, name, now_s)
    return gone


def remove_expired_upstreams(site: Site, now_s: float) -> list[str]:
    """Remove upstreams that did not register again in time.

    Returns their names.  Registrations that were held back are applied.
    """
    for entry in release_held(site.registrations, now_s):
        _apply_current(site, entry, now_s)
    gone = remove_expired(site.registrations, now_s)
    for name in gone:
        _remove_ended(site, name, now_s)
    return gone


def _remove_ended(site: Site, name: str, now_s: float) -> None:
    """Remove an upstream that has ended, or whose new incarnation follows."""
    confirm_end(site.scheduler, name, now_s)
    remove_upstream(site.scheduler, name)


def set_evacuated(site: Site, domains: Iterable[str]) -> None:
    """Set the failure domains that get no new work; all others get it."""
    site.scheduler.domains_out.clear()
    site.scheduler.domains_out.update(domains)


def apply_response_load(
    site: Site, name: str, load: UpstreamLoad, now_s: float
) -> None:
    """Apply the load that an upstream states in a response.

    What exceeds this VM's own requests counts as the load of other VMs.
    """
    upstream = site.scheduler.upstreams.get(name)
    if upstream is None:
        return
    other_requests = load.running + load.waiting - len(upstream.work)
    slowdown = upstream.slowdown
    if load.slowdown is not None:
        slowdown = Slowdown(bounded_ratio(load.slowdown), now_s, is_own=True)
    site.scheduler.upstreams[name] = upstream._replace(
        other_vms_work=max(0, other_requests), slowdown=slowdown
    )


def apply_response_status(site: Site, name: str, *, is_error: bool) -> None:
    """Update the ratio of error responses of an upstream.

    Its health checks may succeed while it fails a part of its requests, and an
    error that is returned quickly must not make it look fast.
    """
    upstream = site.scheduler.upstreams.get(name)
    if upstream is None:
        return
    change = float(is_error) - upstream.error_ratio
    site.scheduler.upstreams[name] = upstream._replace(
        error_ratio=upstream.error_ratio + ERROR_SMOOTHING_FACTOR * change
    )


def _update_upstream(site: Site, entry: Registration) -> None:
    """Set the scheduler's upstream from a registration and its service."""
    table = site.active_config['table']
    services = table.services if table else {}
    service = services.get(entry.service, Service(entry.service))
    spec = UpstreamSpec(
        name=entry.name,
        address=entry.address,
        targets=(entry.service,),
        failure_domain=entry.failure_domain,
        kind='engine' if service.tokens_per_event else 'service',
        version=entry.version,
        window=entry.slots,
        cold_window=entry.slots,
        prefill_tokens_per_s=PREFILL_TOKENS_PER_S,
        step_s=STEP_S,
        faster_ratio_max=FASTER_RATIO_MAX,
        learn_min_tokens=LEARN_MIN_TOKENS,
        leaving=entry.state == 'draining',
        cold_per_s=service.cold_per_s,
        cold_start_s=service.cold_start_s,
        tokens_per_event=max(1, service.tokens_per_event),
    )
    upstream = make_upstream(spec, warm=True)
    is_new = entry.name not in site.scheduler.upstreams
    add_upstream(
        site.scheduler, upstream._replace(incarnation=str(entry.started_at_ms))
    )
    if is_new:
        assume_rejection_limit(site, entry.name)

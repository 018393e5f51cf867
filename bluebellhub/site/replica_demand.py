"""Demand for replicas, from what a VM knows of upstreams and queues."""

from collections.abc import Collection, Iterable, Iterator, Mapping
from typing import NamedTuple

from bluebellhub.scaling import DomainDemand, ScalingBounds
from bluebellhub.scheduler.state import is_leaving, upstreams_for
from bluebellhub.site.state import Site
from bluebellhub.upstream import Upstream

__all__ = ['domain_demands', 'scaling_bounds']


class ServiceState(NamedTuple):
    """A service's upstreams by failure domain, and what holds for all."""

    service: str
    by_domain: dict[str, list[Upstream]]
    slots: float
    is_moving: bool


def scaling_bounds(site: Site) -> dict[str, ScalingBounds]:
    """Return the bounds of the services that are scaled, by service."""
    table = site.active_config['table']
    services = table.services.values() if table else ()
    return {
        service.name: service.scaling
        for service in services
        if service.scaling is not None
    }


def domain_demands(
    site: Site,
    queued: Mapping[str, int],
    known_domains: Mapping[str, Collection[str]],
) -> Iterator[DomainDemand]:
    """Yield the demand of each scaled service in each failure domain.

    ``queued`` counts the requests that wait on all VMs, by service.
    ``known_domains`` are those in which a service has been seen before.
    """
    for service in scaling_bounds(site):
        state = _service_state(site, service, known_domains.get(service, ()))
        usable_slots = sum(
            _slots(upstreams)
            for domain, upstreams in state.by_domain.items()
            if domain not in site.scheduler.domains_out
        )
        for domain in state.by_domain:
            share = _queue_share(site, state, domain, usable_slots)
            yield _domain_demand(
                site, state, domain, queued.get(service, 0) * share
            )


def _service_state(
    site: Site, service: str, known_domains: Iterable[str]
) -> ServiceState:
    upstreams = upstreams_for(site.scheduler, service)
    by_domain: dict[str, list[Upstream]] = {
        domain: [] for domain in known_domains
    }
    for upstream in upstreams:
        by_domain.setdefault(upstream.spec.failure_domain, []).append(upstream)
    if not by_domain:
        located = {location.domain for location in site.vms.values()}
        by_domain = {domain: [] for domain in sorted(located)}
    slots = _slots(upstreams) / len(upstreams) if upstreams else 0.0
    return ServiceState(service, by_domain, slots, _is_moving(site, service))


def _is_moving(site: Site, service: str) -> bool:
    """Return whether a version move of the service runs."""
    move = site.moves.get(service)
    return move is not None and move.command.state in {None, 'running'}


def _slots(upstreams: Iterable[Upstream]) -> int:
    return sum(upstream.window.slots for upstream in upstreams)


def _queue_share(
    site: Site, state: ServiceState, domain: str, usable_slots: int
) -> float:
    """Return the domain's share of the slots that queued requests may use."""
    if domain in site.scheduler.domains_out:
        return 0.0
    if not usable_slots:
        return 1 / len(state.by_domain)
    return _slots(state.by_domain[domain]) / usable_slots


def _domain_demand(
    site: Site, state: ServiceState, domain: str, queued: float
) -> DomainDemand:
    """Return the demand in a domain; upstreams that leave are no replicas."""
    upstreams = state.by_domain[domain]
    serving = [
        upstream
        for upstream in upstreams
        if not is_leaving(site.scheduler, upstream)
    ]
    in_progress = sum(
        len(upstream.work) + upstream.other_vms_work for upstream in upstreams
    )
    slots = _slots(serving) / len(serving) if serving else state.slots
    return DomainDemand(
        state.service,
        domain,
        in_progress,
        queued,
        len(serving),
        slots,
        domain in site.scheduler.domains_out,
        state.is_moving,
        site.registrations.outage['is_on'],
    )

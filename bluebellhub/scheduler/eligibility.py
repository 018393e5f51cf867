"""Rules that decide whether an upstream may receive new requests."""

from collections.abc import Callable

from bluebellhub.backpressure import is_within_limit
from bluebellhub.quarantine import quarantined_part
from bluebellhub.rates import cold_wait_s
from bluebellhub.registry import Registry, make_registry
from bluebellhub.request import Request
from bluebellhub.scheduler.state import Scheduler, asks_to_wait, is_leaving
from bluebellhub.upstream import Upstream
from bluebellhub.version_move.gate import allows_new, allows_old

__all__ = ['eligibility_rules', 'is_eligible']

EligibilityRule = Callable[[Scheduler, Request, Upstream, float], bool]

eligibility_rules: Registry[EligibilityRule] = make_registry('gate')


@eligibility_rules.register('failure_domain')
def is_domain_in_service(
    scheduler: Scheduler, request: Request, upstream: Upstream, now_s: float
) -> bool:
    """Return false if operators took its failure domain out of service."""
    return upstream.spec.failure_domain not in scheduler.domains_out


@eligibility_rules.register('leaving')
def is_not_leaving(
    scheduler: Scheduler, request: Request, upstream: Upstream, now_s: float
) -> bool:
    """Return false if the upstream is about to leave."""
    return not is_leaving(scheduler, upstream)


@eligibility_rules.register('paused')
def is_unpaused(
    scheduler: Scheduler, request: Request, upstream: Upstream, now_s: float
) -> bool:
    """Return false while the upstream is paused after a failure."""
    return now_s >= upstream.paused_until_s


@eligibility_rules.register('cold_rate')
def is_within_cold_rate(
    scheduler: Scheduler, request: Request, upstream: Upstream, now_s: float
) -> bool:
    """Return whether the request keeps this VM's share of the cold rate.

    That is the rate that a cold upstream sustains; a warm one has no limit.
    """
    cold_rate = upstream.cold_rate
    if cold_rate is None or not upstream.spec.cold_per_s:
        return True
    if now_s >= cold_rate.until_s:
        return True
    return (
        cold_wait_s(cold_rate, now_s) <= 0
        and scheduler.cold_share(upstream) > 0
    )


@eligibility_rules.register('rate_limit')
def is_within_rate_limit(
    scheduler: Scheduler, request: Request, upstream: Upstream, now_s: float
) -> bool:
    """Return whether the request keeps the limit that the upstream states."""
    return is_within_limit(
        scheduler.rate_limits,
        upstream.spec.name,
        upstream.incarnation,
        now_s,
    )


@eligibility_rules.register('rejection_limit')
def is_slot_free(
    scheduler: Scheduler, request: Request, upstream: Upstream, now_s: float
) -> bool:
    """Return false if an upstream that must reject little has no free slot."""
    if upstream.rejections_per_s is None:
        return True
    used = len(upstream.work) + upstream.other_vms_work
    return used < upstream.window.slots


@eligibility_rules.register('asked_pause')
def is_not_asked_to_wait(
    scheduler: Scheduler, request: Request, upstream: Upstream, now_s: float
) -> bool:
    """Return false while the upstream has asked this VM to wait."""
    return not asks_to_wait(scheduler, upstream, now_s)


@eligibility_rules.register('prompt')
def is_prompt_allowed(
    scheduler: Scheduler, request: Request, upstream: Upstream, now_s: float
) -> bool:
    """Return false if a part of the prompt crashes upstreams."""
    parts = request.prompt_parts
    return quarantined_part(scheduler.quarantine, parts, now_s) is None


@eligibility_rules.register('version')
def is_version_allowed(
    scheduler: Scheduler, request: Request, upstream: Upstream, now_s: float
) -> bool:
    """Return whether a version move allows the version of the upstream.

    A new version that is unproven stays within its share of the requests.
    """
    gate = scheduler.moves.get(request.target)
    if gate is None:
        return True
    if upstream.spec.version != gate.to_version:
        return allows_old(gate, now_s)
    return allows_new(gate, request.route, now_s)


def is_eligible(
    scheduler: Scheduler, request: Request, upstream: Upstream, now_s: float
) -> bool:
    """Return whether all rules allow sending the request to the upstream."""
    return all(
        rule(scheduler, request, upstream, now_s)
        for rule in eligibility_rules.entries.values()
    )

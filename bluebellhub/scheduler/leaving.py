"""Requests that leave the failure domain: whether they may, and what it costs.

A VM that has decided nothing on a target, as in the product's own fleet, sends
requests everywhere.
"""

from typing import Final, NamedTuple

from bluebellhub.request import Request, RequestState
from bluebellhub.routing.domain_shares import (
    find_pair,
    link_of,
    may_leave,
    request_bytes,
)
from bluebellhub.routing.domains import NO_LOCAL
from bluebellhub.routing.links import (
    record_bad_response,
    record_in_time,
    record_round_trip,
)
from bluebellhub.scheduler.eligibility import eligibility_rules
from bluebellhub.scheduler.state import Scheduler
from bluebellhub.upstream import Upstream, UpstreamSpec, Work

__all__ = [
    'LeaveTerms',
    'leave_terms',
    'record_connect',
    'record_link_failure',
    'record_link_response',
    'record_remote_send',
]

# A lost packet delays a response by at least the least retransmission timeout.
LINK_LATE_S: Final = 0.2
LINK_LATE_RATIO: Final = 2.0
LINK_FAILURE_KINDS: Final = frozenset(('connect_failed', 'silent', 'cut'))


class LeaveTerms(NamedTuple):
    """What a candidate needs to know of its failure domain.

    ``stay_share`` is the ratio of requests that stay while a local upstream
    takes them in time; ``None`` if nothing is decided.  ``part`` is the ratio
    of the free slots that are granted, ``cost`` the price of the bytes.
    """

    stay_share: float | None = None
    part: float = 1.0
    round_trip_s: float = 0.0
    cost: float = 0.0


@eligibility_rules.register('domain_share')
def is_within_domain_share(
    scheduler: Scheduler, request: Request, upstream: Upstream, now_s: float
) -> bool:
    """Return false if the request must not leave its failure domain.

    Its bytes may cost more than it is worth, or the domain of the upstream
    takes only a share of such requests.  Without an upstream here, the price
    does not count, because the request would always be refused.
    """
    if _is_local(scheduler, upstream):
        return True
    shares = scheduler.domain_shares
    domain = upstream.spec.failure_domain
    pair = find_pair(shares, request.target, domain)
    if pair is not None and pair.reason == NO_LOCAL:
        return True
    if _bytes_cost(scheduler, request) >= 1.0:
        return False
    request_id = request.request_id
    return may_leave(shares, request.target, domain, request_id, now_s)


def leave_terms(
    scheduler: Scheduler, request: Request, upstream: Upstream
) -> LeaveTerms:
    """Return the terms on which the request gets the upstream."""
    shares = scheduler.domain_shares
    decision = shares.decisions.get(request.target)
    if decision is None:
        return LeaveTerms()
    stay_share = 1.0 - decision.push
    domain = upstream.spec.failure_domain
    pair = find_pair(shares, request.target, domain)
    if pair is None:
        return LeaveTerms(stay_share)
    return LeaveTerms(
        stay_share,
        pair.part,
        link_of(shares, domain).round_trip_s,
        _bytes_cost(scheduler, request),
    )


def record_remote_send(scheduler: Scheduler, state: RequestState) -> None:
    """Count an attempt that leaves the failure domain, and its bytes."""
    upstream = _attempted_upstream(scheduler, state)
    if upstream is None or _is_local(scheduler, upstream):
        return
    domain = upstream.spec.failure_domain
    request = state.request
    pair = find_pair(scheduler.domain_shares, request.target, domain)
    reason = pair.reason if pair else 'undecided'
    scheduler.counters['domain_sends', f'{domain}/{reason}'] += 1
    scheduler.counters['domain_bytes', domain] += request_bytes(
        request.prompt_tokens, request.output_tokens
    )


def record_connect(
    scheduler: Scheduler, spec: UpstreamSpec, elapsed_s: float
) -> None:
    """Learn the round trip to a domain from the time to connect."""
    domain = spec.failure_domain
    if domain != scheduler.flags['failure_domain']:
        links = scheduler.domain_shares.links
        links[domain] = record_round_trip(
            link_of(scheduler.domain_shares, domain), elapsed_s
        )


def record_link_response(
    scheduler: Scheduler,
    upstream: Upstream,
    work: Work,
    now_s: float,
) -> None:
    """Record for its link when the first token of some work came."""
    if _is_local(scheduler, upstream):
        return
    expected_s = work.predicted_s * upstream.speed.delay_ratio
    late_s = max(expected_s + LINK_LATE_S, expected_s * LINK_LATE_RATIO)
    if now_s - work.sent_at_s > late_s:
        _record_bad(scheduler, upstream, now_s)
        return
    domain = upstream.spec.failure_domain
    links = scheduler.domain_shares.links
    links[domain] = record_in_time(link_of(scheduler.domain_shares, domain))


def record_link_failure(
    scheduler: Scheduler, upstream: Upstream, kind: str, now_s: float
) -> None:
    """Record for its link that an attempt failed, if the link may be why."""
    if kind in LINK_FAILURE_KINDS and not _is_local(scheduler, upstream):
        _record_bad(scheduler, upstream, now_s)


def _record_bad(scheduler: Scheduler, upstream: Upstream, now_s: float) -> None:
    domain = upstream.spec.failure_domain
    upstream_count = sum(
        other.spec.failure_domain == domain
        for other in scheduler.upstreams.values()
    )
    scheduler.domain_shares.links[domain] = record_bad_response(
        link_of(scheduler.domain_shares, domain),
        upstream.spec.name,
        upstream_count,
        now_s,
    )


def _attempted_upstream(
    scheduler: Scheduler, state: RequestState
) -> Upstream | None:
    """Return the upstream of the current attempt, unless it is gone."""
    if state.attempt is None:
        return None
    return scheduler.upstreams.get(state.attempt.upstream)


def _is_local(scheduler: Scheduler, upstream: Upstream) -> bool:
    """Return whether the upstream is here; without a domain, all are."""
    here = scheduler.flags['failure_domain']
    return not here or upstream.spec.failure_domain == here


def _bytes_cost(scheduler: Scheduler, request: Request) -> float:
    """Return the price of the request's bytes, in worths of a request."""
    size = request_bytes(request.prompt_tokens, request.output_tokens)
    return size * (scheduler.domain_shares.flags['byte_price'] or 0.0)

"""Admission of a caller's request by its route, account and limit."""

from typing import Final, NamedTuple

from bluebellhub.backpressure.retry_after import bounded_retry_s
from bluebellhub.contract import AccountLimits
from bluebellhub.contract.tier import Tier
from bluebellhub.rates import (
    QuotaDemand,
    consume_quota,
    count_request,
    refund_quota,
)
from bluebellhub.request import Request, make_request
from bluebellhub.request.heads import RequestHead, TokenCounts
from bluebellhub.request.refusal import (
    DeadlineError,
    DrainingError,
    NoUpstreamError,
)
from bluebellhub.route import (
    Account,
    Route,
    active_table,
    choose_target,
    find_account,
    find_route,
    is_limited,
    is_retryable,
    request_cost,
)
from bluebellhub.site.liveness import live_share
from bluebellhub.site.priority import (
    RequestPriority,
    queue_rank,
    request_priority,
)
from bluebellhub.site.state import Site

__all__ = ['UNLIMITED', 'Admission', 'admit_request', 'refund']

# The quota of the account is checked here, so the queue's limits are off.
UNLIMITED: Final = AccountLimits(1e9, 10**9)
# Part of the route's latency objective that a request may spend in the queue.
QUEUE_WAIT_RATIO: Final = 0.6
RETRY_AFTER_S: Final = 1.0
# Assumed for a caller that states no time limit.
TIME_LIMIT_S: Final = 10.0
# Upstreams are given whole milliseconds, and at least one.
TIME_LEFT_MIN_S: Final = 0.001


class Admission(NamedTuple):
    """An admitted request; ``cost`` was consumed from the account's quota."""

    request: Request
    priority: RequestPriority
    route: Route
    account: Account | None
    cost: float


def admit_request(
    site: Site,
    head: RequestHead,
    now_s: float,
    *,
    read_s: float = 0.0,
    is_served_here: bool = True,
) -> Admission:
    """Return the admission of a request, or raise its refusal.

    Reading it took ``read_s`` seconds of its time limit.  Unless it
    ``is_served_here``, it counts in no limit, but at the VM that serves it.

    Raises `NoUpstreamError`, `DeadlineError`, `DrainingError` or an error of
    the route, the account or its quota.  A refused request was not sent to any
    upstream.
    """
    _check_store_was_read(site, head)
    table = active_table(site.active_config)
    route = find_route(table, head.host, head.path)
    account = find_account(table, route, head.key)
    target = choose_target(route.splits, site.scheduler.random)
    if is_served_here:
        count_request(site.scheduler.retries, target, now_s)
    if not site.scheduler.by_target.get(target):
        raise NoUpstreamError(
            f'no upstream for {target}',
            retry_after_s=_retry_after_s(site, head),
        )
    priority = request_priority(route, account)
    request = _make_request(site, head, route, priority, target, now_s)
    if account is not None:
        request = request._replace(account=account.name)
    request = _shorten(request, read_s)
    if request.ends_at_s - now_s < TIME_LEFT_MIN_S:
        raise DeadlineError('less than a millisecond of the time limit is left')
    if request.ends_at_s > site.flags['stops_at_s']:
        raise DrainingError('the VM is shutting down', retry_after_s=0.0)
    demand = QuotaDemand(_quota_cost(account, head.tokens), priority.account)
    if not is_served_here:
        demand = demand._replace(cost=0.0)
    if account is not None and demand.cost:
        consume_quota(
            site.quotas, account, demand, live_share(site, now_s), now_s
        )
    return Admission(request, priority, route, account, demand.cost)


def _shorten(request: Request, read_s: float) -> Request:
    """Return the request with what is left of its time limit."""
    limit_s = request.time_limit_s or 0.0
    return request._replace(time_limit_s=max(0.0, limit_s - read_s))


def _check_store_was_read(site: Site, head: RequestHead) -> None:
    """Raise `NoUpstreamError` before all kinds of objects were listed.

    A VM that does not know all of them could use an upstream that operators
    have taken out of service, or exceed a limit of the fleet.
    """
    unread = sorted(site.flags['unread_kinds'])
    if unread or not site.vms:
        missing = ', '.join(unread) or 'the list of VMs'
        raise NoUpstreamError(
            f'not read from the store yet: {missing}',
            retry_after_s=_retry_after_s(site, head),
        )


def _retry_after_s(site: Site, head: RequestHead) -> float:
    """Return when a caller should retry what no upstream can take now."""
    limit_s = TIME_LIMIT_S if head.time_limit_s is None else head.time_limit_s
    return bounded_retry_s(RETRY_AFTER_S, limit_s, site.scheduler.random)


def refund(site: Site, admission: Admission) -> None:
    """Refund the quota of a request that was not executed."""
    if admission.account is not None and admission.cost:
        refund_quota(site.quotas, admission.account.name, admission.cost)


def _quota_cost(account: Account | None, tokens: TokenCounts | None) -> float:
    """Return the request's cost in the account's unit; 0.0 without a limit."""
    if account is None or not is_limited(account):
        return 0.0
    return request_cost(account, sum(tokens) if tokens else None)


def _make_request(
    site: Site,
    head: RequestHead,
    route: Route,
    priority: RequestPriority,
    target: str,
    now_s: float,
) -> Request:
    """Create the request for the queue, with its tier and time limit."""
    site.flags['requests'] += 1
    tokens = head.tokens or TokenCounts(0, 1)
    limit_s = route.timeout_s
    if head.time_limit_s is not None:
        limit_s = min(head.time_limit_s, limit_s)
    tier = Tier(
        f'rank{priority.account}',
        queue_rank(priority),
        route.objective_s * QUEUE_WAIT_RATIO,
        route.gap_s,
    )
    return make_request(
        f'{head.request_id}/{site.flags["requests"]}',
        tier,
        target,
        route=route.name,
        prompt_tokens=tokens.prompt,
        output_tokens=max(1, tokens.output_max),
        arrived_at_s=now_s,
        idempotent=is_retryable(route),
        executions_max=max(1, route.attempts_max),
        time_limit_s=limit_s,
        prompt_parts=head.prompt_parts,
        objective_s=route.objective_s,
    )

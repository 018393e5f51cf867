"""Arrival of a request: admission by limits, then the queue."""

from bluebellhub.admission import QueuedRequest, put, queued_cost_s
from bluebellhub.contract import (
    AccountLimits,
    Contract,
    admit,
    make_account_usage,
    record_demand,
)
from bluebellhub.request import (
    RefusalError,
    Request,
    RequestState,
    make_request_state,
)
from bluebellhub.request.refusal import (
    DeadlineError,
    DrainingError,
    IsolatedError,
    ShedError,
    UnknownTargetError,
)
from bluebellhub.routing.output_length import expected_tokens
from bluebellhub.scheduler.candidate import idle_first_token_s
from bluebellhub.scheduler.crashes import check_prompt
from bluebellhub.scheduler.credit import share_of
from bluebellhub.scheduler.dispatch import dispatch_queued
from bluebellhub.scheduler.events import Event
from bluebellhub.scheduler.finish import refuse
from bluebellhub.scheduler.queued_request import make_queued_request
from bluebellhub.scheduler.shares import count_arrival
from bluebellhub.scheduler.shedding import may_shed, shed, total_slots
from bluebellhub.scheduler.state import Scheduler, queue_of

__all__ = ['account_limits', 'submit']


def account_limits(contract: Contract) -> AccountLimits:
    """Return the limits of the whole contract, not divided among VMs."""
    return AccountLimits(contract.rate_per_s, contract.concurrency)


def submit(
    scheduler: Scheduler,
    request: Request,
    limits: AccountLimits,
    now_s: float,
) -> list[Event]:
    """Admit and queue a request; return events that dispatch or refuse it.

    A refusal is an event, not an exception.  ``limits`` is this VM's share
    of the limits of the account.
    """
    events: list[Event] = []
    state = make_request_state(request)
    scheduler.requests[request.request_id] = state
    scheduler.counters['requests', request.tier.name] += 1
    try:
        _check_accepting(scheduler, request)
        check_prompt(scheduler, request, now_s)
        _charge_account(scheduler, request, limits, now_s)
    except RefusalError as error:
        refuse(scheduler, events, state, error, counted=False)
        return events
    share = share_of(scheduler, request.target)
    output_tokens = expected_tokens(
        scheduler.lengths, request.account, request.route, request.output_tokens
    )
    work = (request.prompt_tokens, output_tokens)
    count_arrival(share, request.tier.rank, request.account, work, now_s)
    _enqueue(scheduler, events, state, now_s)
    events.extend(dispatch_queued(scheduler, request.target, now_s))
    return events


def _check_accepting(scheduler: Scheduler, request: Request) -> None:
    """Raise a refusal if this VM accepts no such request now."""
    if scheduler.flags['draining']:
        raise DrainingError('the VM is shutting down', retry_after_s=1.0)
    if scheduler.flags['isolated']:
        raise IsolatedError('the VM is cut off', retry_after_s=2.0)
    if not scheduler.by_target.get(request.target):
        raise UnknownTargetError(f'nothing serves {request.target!r}')
    floor = scheduler.admission_floors.get(request.target)
    if floor is not None and request.tier.rank > floor:
        raise ShedError('the tier is shed on all VMs', retry_after_s=2.0)


def _charge_account(
    scheduler: Scheduler, request: Request, limits: AccountLimits, now_s: float
) -> None:
    """Add the request to its account's usage.

    Raises a refusal if the usage would exceed the limits.
    """
    usage = scheduler.account_usage.get(request.account)
    if usage is None:
        usage = make_account_usage(limits, now_s)
    usage = record_demand(usage, now_s)
    scheduler.account_usage[request.account] = usage
    scheduler.account_usage[request.account] = admit(usage, limits, now_s)


def _enqueue(
    scheduler: Scheduler, events: list[Event], state: RequestState, now_s: float
) -> None:
    """Queue a request; refuse or shed it if it cannot be in time."""
    if scheduler.options.discipline == 'tiered':
        best_s = idle_first_token_s(scheduler, state)
        if best_s > state.request.tier.first_token_s:
            refuse(scheduler, events, state, _infeasible_error(state, best_s))
            return
    entry = make_queued_request(scheduler, state)
    queue = queue_of(scheduler, state.request.target)
    if _is_queue_too_long(scheduler, state, entry):
        if may_shed(scheduler, state, now_s):
            shed(scheduler, events, state, now_s)
            return
    put(queue, entry)


def _infeasible_error(state: RequestState, best_s: float) -> DeadlineError:
    """Return the refusal if even an idle upstream is too slow."""
    return DeadlineError(
        f'the first token takes {best_s:.2f} s on an idle upstream, '
        f'the tier allows {state.request.tier.first_token_s:g} s'
    )


def _is_queue_too_long(
    scheduler: Scheduler, state: RequestState, entry: QueuedRequest
) -> bool:
    """Compare the slot time queued ahead with the tier's latency limit."""
    request = state.request
    if scheduler.options.discipline != 'tiered':
        return False
    slots = total_slots(scheduler, request.target, request.arrived_at_s)
    if not slots:
        return False
    ahead_s = queued_cost_s(queue_of(scheduler, request.target), entry.rank)
    return ahead_s / slots > request.tier.first_token_s

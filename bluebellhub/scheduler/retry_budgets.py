"""Registry of budgets that limit retries."""

from collections.abc import Callable
from typing import Final

from bluebellhub.rates import consume_retry
from bluebellhub.registry import Registry, make_registry
from bluebellhub.request import RequestState
from bluebellhub.scheduler.state import Scheduler

__all__ = ['earn_credit', 'retry_budgets']

RETRY_CREDIT_MAX: Final = 50.0

RetryBudgetRule = Callable[[Scheduler, RequestState, float], bool]

retry_budgets: Registry[RetryBudgetRule] = make_registry('retry budget')


def earn_credit(scheduler: Scheduler) -> None:
    """Add the credit that a complete response earns for later retries."""
    earned = scheduler.flags['retry_credit'] + scheduler.options.retry_share
    scheduler.flags['retry_credit'] = min(earned, RETRY_CREDIT_MAX)


@retry_budgets.register('credit')
def consume_credit(
    scheduler: Scheduler, state: RequestState, now_s: float
) -> bool:
    """Consume one unit of the credit earned by responses on this VM."""
    credit = scheduler.flags['retry_credit']
    if credit < 1.0:
        return False
    scheduler.flags['retry_credit'] = credit - 1.0
    return True


@retry_budgets.register('windowed')
def consume_windowed(
    scheduler: Scheduler, state: RequestState, now_s: float
) -> bool:
    """Consume one unit of this VM's share of the target's budget.

    The budget is counted over a time window.
    """
    return consume_retry(
        scheduler.retries,
        state.request.target,
        scheduler.flags['vm_count'],
        now_s,
    )

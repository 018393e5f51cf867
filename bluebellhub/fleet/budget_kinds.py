"""Registry of the kinds of leased budgets, by the prefix of their key."""

from collections.abc import Callable
from typing import NamedTuple

from bluebellhub.budget import (
    Budget,
    make_budget,
    set_limit,
    suspend_grants,
)
from bluebellhub.budget.lease import (
    CLOCK_DRIFT_RATIO,
    IN_USE_TIMEOUT_S,
    LEASE_TERM_S,
)
from bluebellhub.failure_domain import ramp_share
from bluebellhub.fleet.state import Fleet
from bluebellhub.membership import former_owners_stopped_at
from bluebellhub.registry import Registry, make_registry
from bluebellhub.upstream import Window
from bluebellhub.version_move import largest_share

__all__ = ['BudgetKind', 'budget_kinds', 'limit_of', 'owned_budget']

RENEWAL_WAIT_S = 0.7
UNLEASED_SHARE = 0.25


class BudgetKind(NamedTuple):
    """The division, the limit and the strictness of a kind of budget.

    A new owner grants no lease on a strict budget before the leases of the
    former owner have expired and the work under them has been withdrawn.
    """

    division: str
    limit: Callable[[Fleet, str, float], float]
    strict: Callable[[Fleet, str], bool]


budget_kinds: Registry[BudgetKind] = make_registry('budget kind')


def _is_never_strict(fleet: Fleet, name: str) -> bool:
    return False


def _is_always_strict(fleet: Fleet, name: str) -> bool:
    return True


def owned_window(fleet: Fleet, name: str) -> Window | None:
    """Return the window of an upstream whose budget this VM owns.

    Returns ``None`` if the upstream is unknown.
    """
    window = fleet.windows.get(name)
    upstream = fleet.scheduler.upstreams.get(name)
    if window is None and upstream is not None:
        window = upstream.window
        fleet.windows[name] = window
    return window


def _window_limit(fleet: Fleet, name: str, now_s: float) -> float:
    """Return the slots of an upstream's window.

    The limit is zero while the upstream is leaving or its failure domain is
    out, and reduced while the failure domain ramps up.
    """
    window = owned_window(fleet, name)
    upstream = fleet.scheduler.upstreams.get(name)
    if window is None or upstream is None or upstream.spec.leaving:
        return 0.0
    domain = upstream.spec.failure_domain
    if domain in fleet.scheduler.domains_out:
        return 0.0
    ramp = fleet.scheduler.ramping_domains.get(domain)
    if ramp is None:
        return float(window.slots)
    share = ramp_share(ramp[0], now_s - ramp[1])
    return float(max(1, int(window.slots * share)))


def _is_cold(fleet: Fleet, name: str) -> bool:
    window = owned_window(fleet, name)
    return window is not None and window.phase == 'cold'


def _rate_limit(fleet: Fleet, name: str, now_s: float) -> float:
    contract = fleet.scheduler.contracts.get(name)
    return contract.rate_per_s * (1 - UNLEASED_SHARE) if contract else 0.0


def _concurrency_limit(fleet: Fleet, name: str, now_s: float) -> float:
    contract = fleet.scheduler.contracts.get(name)
    return contract.concurrency * (1 - UNLEASED_SHARE) if contract else 0.0


def _share_limit(fleet: Fleet, name: str, now_s: float) -> float:
    leader = fleet.leader_states.get(name)
    return largest_share(leader) if leader else 0.0


budget_kinds.register('window')(BudgetKind('whole', _window_limit, _is_cold))
budget_kinds.register('rate')(BudgetKind('real', _rate_limit, _is_never_strict))
budget_kinds.register('concurrency')(
    BudgetKind('whole', _concurrency_limit, _is_never_strict)
)
budget_kinds.register('share')(
    BudgetKind('copy', _share_limit, _is_always_strict)
)


def limit_of(fleet: Fleet, key: str, now_s: float) -> float:
    """Return the current limit of a budget."""
    prefix, _, name = key.partition(':')
    return budget_kinds.find(prefix).limit(fleet, name, now_s)


def owned_budget(fleet: Fleet, key: str, now_s: float) -> Budget | None:
    """Return a budget that this VM owns, with its current limit.

    Returns ``None`` for a strict budget while it is not known when the
    former owner stops.
    """
    prefix, _, name = key.partition(':')
    kind = budget_kinds.find(prefix)
    budget = fleet.budgets.get(key)
    if budget is None:
        budget = _take_over_budget(fleet, kind, key, name, now_s)
        if budget is None:
            return None
    limit = limit_of(fleet, key, now_s)
    is_strict = kind.strict(fleet, name)
    budget = set_limit(budget, limit, is_strict=is_strict)
    fleet.budgets[key] = budget
    return budget


def _take_over_budget(
    fleet: Fleet, kind: BudgetKind, key: str, name: str, now_s: float
) -> Budget | None:
    """Return a budget that this VM owns from now on.

    Grants are suspended until the leases of the former owner have expired;
    for a strict budget, until the work under them has ended too.  For other
    budgets `RENEWAL_WAIT_S` is enough, because by then the holders have
    renewed and reported the leases that they hold.  Returns ``None`` for a
    strict budget while it is not known when the former owner stops.
    """
    budget = make_budget(key, kind.division, 0.0)
    former_stopped_s = former_owners_stopped_at(fleet.members, now_s)
    strict = kind.strict(fleet, name)
    if former_stopped_s is None:
        return (
            None if strict else suspend_grants(budget, now_s + RENEWAL_WAIT_S)
        )
    started_s = fleet.members.state['started_at_s']
    stopped_granting_s = max(former_stopped_s, started_s)
    if strict:
        work_ended_s = stopped_granting_s + IN_USE_TIMEOUT_S * CLOCK_DRIFT_RATIO
        return suspend_grants(budget, work_ended_s)
    leases_expired_s = stopped_granting_s + LEASE_TERM_S * CLOCK_DRIFT_RATIO
    return suspend_grants(budget, min(leases_expired_s, now_s + RENEWAL_WAIT_S))

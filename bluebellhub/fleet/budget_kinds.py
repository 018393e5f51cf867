"""Kinds of leased budgets, a registry by the first part of their key."""

from collections.abc import Callable
from typing import NamedTuple

from bluebellhub.budget import (
    Budget,
    make_budget,
    set_limit,
    suspend_grants,
)
from bluebellhub.budget.lease import CLOCK_DRIFT_RATIO, IN_USE_KEPT_S, TERM_S
from bluebellhub.failure_domain import ramp_share
from bluebellhub.fleet.state import Fleet
from bluebellhub.membership import former_owners_stopped_at
from bluebellhub.registry import Registry, make_registry
from bluebellhub.upstream import Window
from bluebellhub.version_move import largest_share

__all__ = ['BudgetKind', 'budget_kinds', 'limit_of', 'owned_budget']

LISTEN_S = 0.7
FLOOR_SHARE = 0.25


class BudgetKind(NamedTuple):
    """How a kind of budget is divided and limited.

    A strict budget is not granted by a new owner before the former owner's
    leases have expired and the work under them has been withdrawn.
    """

    division: str
    limit: Callable[[Fleet, str, float], float]
    strict: Callable[[Fleet, str], bool]


budget_kinds: Registry[BudgetKind] = make_registry('budget kind')


def _never(fleet: Fleet, name: str) -> bool:
    return False


def _always(fleet: Fleet, name: str) -> bool:
    return True


def window_of(fleet: Fleet, name: str) -> Window | None:
    """Return the window of an upstream that this VM owns."""
    window = fleet.windows.get(name)
    upstream = fleet.scheduler.upstreams.get(name)
    if window is None and upstream is not None:
        window = upstream.window
        fleet.windows[name] = window
    return window


def _window_limit(fleet: Fleet, name: str, now_s: float) -> float:
    """The window, less while its failure domain is out or comes back."""
    window = window_of(fleet, name)
    upstream = fleet.scheduler.upstreams.get(name)
    if window is None or upstream is None or upstream.spec.leaving:
        return 0.0
    domain = upstream.spec.failure_domain
    if domain in fleet.scheduler.domains_out:
        return 0.0
    back = fleet.scheduler.ramping_domains.get(domain)
    if back is None:
        return float(window.slots)
    share = ramp_share(back[0], now_s - back[1])
    return float(max(1, int(window.slots * share)))


def _is_cold(fleet: Fleet, name: str) -> bool:
    window = window_of(fleet, name)
    return window is not None and window.phase == 'cold'


def _rate_limit(fleet: Fleet, name: str, now_s: float) -> float:
    contract = fleet.scheduler.contracts.get(name)
    return contract.rate_per_s * (1 - FLOOR_SHARE) if contract else 0.0


def _concurrency_limit(fleet: Fleet, name: str, now_s: float) -> float:
    contract = fleet.scheduler.contracts.get(name)
    return contract.concurrency * (1 - FLOOR_SHARE) if contract else 0.0


def _share_limit(fleet: Fleet, name: str, now_s: float) -> float:
    lead = fleet.leads.get(name)
    return largest_share(lead) if lead else 0.0


budget_kinds.register('window')(BudgetKind('whole', _window_limit, _is_cold))
budget_kinds.register('rate')(BudgetKind('real', _rate_limit, _never))
budget_kinds.register('concurrency')(
    BudgetKind('whole', _concurrency_limit, _never)
)
budget_kinds.register('share')(BudgetKind('copy', _share_limit, _always))


def limit_of(fleet: Fleet, key: str, now_s: float) -> float:
    """Return the budget's limit now."""
    prefix, _, name = key.partition(':')
    return budget_kinds.find(prefix).limit(fleet, name, now_s)


def owned_budget(fleet: Fleet, key: str, now_s: float) -> Budget | None:
    """Return a budget that this VM owns, with its limit of now.

    ``None`` while it is not known when the former owner stops.
    """
    prefix, _, name = key.partition(':')
    kind = budget_kinds.find(prefix)
    budget = fleet.budgets.get(key)
    if budget is None:
        budget = _take_over(fleet, kind, key, name, now_s)
        if budget is None:
            return None
    limit = limit_of(fleet, key, now_s)
    is_strict = kind.strict(fleet, name)
    budget = set_limit(budget, limit, is_strict=is_strict)
    fleet.budgets[key] = budget
    return budget


def _take_over(
    fleet: Fleet, kind: BudgetKind, key: str, name: str, now_s: float
) -> Budget | None:
    budget = make_budget(key, kind.division, 0.0)
    stopped_s = former_owners_stopped_at(fleet.members, now_s)
    strict = kind.strict(fleet, name)
    if stopped_s is None:
        return None if strict else suspend_grants(budget, now_s + LISTEN_S)
    started_s = fleet.members.state['started_at_s']
    unheard_s = max(stopped_s, started_s)
    if strict:
        ended_s = unheard_s + IN_USE_KEPT_S * CLOCK_DRIFT_RATIO
        return suspend_grants(budget, ended_s)
    lapsed_s = unheard_s + TERM_S * CLOCK_DRIFT_RATIO
    return suspend_grants(budget, min(lapsed_s, now_s + LISTEN_S))

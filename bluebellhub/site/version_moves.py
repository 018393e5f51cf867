"""Version moves that operators order through the platform's store.

Each VM keeps the new version within a share of its own dispatches and tells
how they went.  One VM leads: the first by name of those that hear each other.
It takes a bad version back as soon as the evidence suffices.  Until the move
is nearly due the version gets a small share only, since it may turn bad late;
then it gets everything, and the move is done once the old version has no work.

A change of the order's state in the store is conditional on the revision that
the leader knows, so two VMs that both take themselves for the leader cannot
contradict each other.
"""

from collections.abc import Iterable, Mapping
from typing import Final, NamedTuple

from bluebellhub.scheduler.outcomes import route_outcomes
from bluebellhub.site.liveness import (
    LIVENESS_TIMEOUT_S,
    first_live_vm,
    live_domains,
    live_peers,
)
from bluebellhub.site.reports import MoveDecision
from bluebellhub.site.state import Site, SiteMove
from bluebellhub.version_move import (
    MoveCommand,
    MoveState,
    RouteOutcomes,
    VersionMove,
    initial_status,
    make_gate,
    make_leader_state,
    record_route_outcomes,
    set_share,
)
from bluebellhub.version_move.comparison import is_bad, is_good

__all__ = [
    'StateWrite',
    'apply_decisions',
    'apply_move_commands',
    'lead_moves',
    'leader_decisions',
    'outcome_counts_of',
    'record_outcome_counts',
]

UNPROVEN_SHARE: Final = 0.06
# Requests that all VMs together may send before the share counts.
INITIAL_REQUESTS: Final = 30
# Part of the time after which a version without a fault gets everything.
PROBATION_RATIO: Final = 0.9
REQUESTS_MIN: Final = 20
OVERDUE_RATIO: Final = 2.0
DRAIN_MAX_S: Final = 8.0


class StateWrite(NamedTuple):
    """A state to write, if the order is still at this revision."""

    model: str
    to_version: str
    state: MoveState
    revision: int


def apply_move_commands(
    site: Site, orders: Iterable[MoveCommand], now_s: float
) -> None:
    """Take all orders; those that are not among them have ended."""
    found = {order.model: order for order in orders}
    ended = [model for model in site.moves if model not in found]
    for model in ended:
        site.moves.pop(model)
        site.scheduler.moves.pop(model, None)
    for order in found.values():
        _apply_command(site, order, now_s)


def _apply_command(site: Site, order: MoveCommand, now_s: float) -> None:
    known = site.moves.get(order.model)
    if known is None or known.order.to_version != order.to_version:
        known = _start_move(site, order, now_s)
    site.moves[order.model] = known._replace(order=order)
    gates = site.scheduler.moves
    gates[order.model] = gates[order.model]._replace(
        done=order.state == 'done',
        bad=gates[order.model].bad or order.state == 'taken_back',
    )


def _start_move(site: Site, order: MoveCommand, now_s: float) -> SiteMove:
    move = VersionMove(
        order.model,
        _old_version(site, order),
        order.to_version,
        now_s + order.duration_s,
        UNPROVEN_SHARE,
    )
    site.scheduler.moves[order.model] = make_gate(
        order.model, order.to_version, now_s
    )._replace(largest_unproven=UNPROVEN_SHARE)
    leader_state = make_leader_state(move, initial_status(move, None), 0, now_s)
    return SiteMove(order, move.from_version, now_s, leader_state)


def _old_version(site: Site, order: MoveCommand) -> str:
    versions = sorted(
        entry.version
        for entry in site.registrations.entries.values()
        if entry.service == order.model and entry.version != order.to_version
    )
    return versions[0] if versions else ''


def outcome_counts_of(site: Site) -> dict[str, list[RouteOutcomes]]:
    """Return how this VM's requests went, for all moves."""
    return {
        model: route_outcomes(
            site.scheduler, model, move.from_version, move.order.to_version
        )
        for model, move in site.moves.items()
    }


def record_outcome_counts(
    site: Site, vm: str, outcome_counts: Mapping[str, list[RouteOutcomes]]
) -> None:
    """Take a VM's running totals."""
    for model, totals in outcome_counts.items():
        move = site.moves.get(model)
        if move is None:
            continue
        for by_route in totals:
            record_route_outcomes(move.leader_state, vm, by_route)


def leader_decisions(site: Site, now_s: float) -> dict[str, MoveDecision]:
    """Return what this VM decides of the moves, if it leads."""
    if first_live_vm(site, now_s) != site.vm:
        return {}
    decisions = {}
    for model, move in site.moves.items():
        is_whole = move.full_since_s is not None
        decisions[model] = MoveDecision(
            move.order.to_version,
            1.0 if is_whole else UNPROVEN_SHARE,
            is_whole,
            site.scheduler.moves[model].bad,
        )
    return decisions


def apply_decisions(
    site: Site, decisions: Mapping[str, MoveDecision], now_s: float
) -> None:
    """Follow the leader; its word lapses when it is not heard."""
    for model, word in decisions.items():
        gate = site.scheduler.moves.get(model)
        if gate is None or gate.to_version != word.to_version:
            continue
        is_first = gate.share <= 0
        gate = set_share(
            gate, word.share, now_s + LIVENESS_TIMEOUT_S, proven=word.is_proven
        )
        if is_first and not word.is_proven:
            ahead = INITIAL_REQUESTS / max(1, len(site.vms)) / UNPROVEN_SHARE
            gate = gate._replace(dispatched=int(ahead))
        site.scheduler.moves[model] = gate._replace(bad=gate.bad or word.is_bad)


def lead_moves(site: Site, now_s: float) -> list[StateWrite]:
    """Decide on the moves, if this VM leads; returns states to write."""
    if first_live_vm(site, now_s) != site.vm:
        return []
    record_outcome_counts(site, site.vm, outcome_counts_of(site))
    apply_decisions(site, leader_decisions(site, now_s), now_s)
    writes = []
    for model in list(site.moves):
        state = _advance(site, model, now_s)
        order = site.moves[model].order
        if state != order.state and order.state in {None, 'running'}:
            write = StateWrite(model, order.to_version, state, order.revision)
            writes.append(write)
    return writes


def _advance(site: Site, model: str, now_s: float) -> MoveState:
    """Return the state that a move should have now."""
    move = site.moves[model]
    comparisons = move.leader_state.comparisons.values()
    gate = site.scheduler.moves[model]
    overdue_s = move.began_s + move.order.duration_s * OVERDUE_RATIO
    unproven = move.full_since_s is None and now_s > overdue_s
    if gate.bad or unproven or any(is_bad(verdict) for verdict in comparisons):
        site.scheduler.moves[model] = gate._replace(bad=True)
        return 'taken_back'
    if move.full_since_s is None and _has_passed_probation(move, now_s):
        move = move._replace(full_since_s=now_s)
        site.moves[model] = move
    if move.full_since_s is None:
        return 'running'
    rested = now_s - move.full_since_s > LIVENESS_TIMEOUT_S
    late = now_s - move.full_since_s > DRAIN_MAX_S
    if late or (rested and not _count_old_requests(site, model, now_s)):
        return 'done'
    return 'running'


def _has_passed_probation(move: SiteMove, now_s: float) -> bool:
    """Tell whether the time is nearly up and nothing speaks against it."""
    if now_s < move.began_s + move.order.duration_s * PROBATION_RATIO:
        return False
    comparisons = move.leader_state.comparisons.values()
    outcome_counts = sum(verdict.new.requests for verdict in comparisons)
    return outcome_counts >= REQUESTS_MIN and all(
        is_good(verdict, rare=True) for verdict in comparisons
    )


def _count_old_requests(site: Site, model: str, now_s: float) -> int:
    """Count the requests at upstreams of other versions, of all VMs."""
    to_version = site.moves[model].order.to_version
    old = [
        upstream
        for upstream in site.scheduler.upstreams.values()
        if model in upstream.spec.targets
        and upstream.spec.version != to_version
    ]
    own = sum(len(upstream.work) for upstream in old)
    names = {upstream.spec.name for upstream in old}
    told = [peer.report.work for peer in live_peers(site, now_s)]
    told.extend(domain.report.work for domain in live_domains(site, now_s))
    return own + sum(
        count for work in told for name, count in work.items() if name in names
    )

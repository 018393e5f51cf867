"""Version moves that operators start through the platform's store.

Each VM limits the new version to a share of its own dispatches and reports the
outcomes. One VM leads: the first by name of the live VMs. It rolls a bad
version back as soon as the evidence suffices. Until the move is nearly due the
new version gets a small share only, since it may turn bad late. Then it gets
all requests, and the move is done once the old version has none in progress.

The state of a command in the store is changed only if the revision is the one
that the leader knows, so two VMs that both act as the leader cannot overwrite
each other's decision.
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
from bluebellhub.site.move_verdict import (
    has_passed_probation,
    rollback_reason,
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
    roll_back_move,
    set_share,
)

__all__ = [
    'StateWrite',
    'apply_decisions',
    'apply_move_commands',
    'lead_moves',
    'leader_decisions',
    'local_outcome_counts',
    'record_outcome_counts',
]

UNPROVEN_SHARE: Final = 0.06
# Requests that all VMs together may send before the share is enforced.
INITIAL_REQUESTS: Final = 30
# A move is done after this time with all requests on the new version, even if
# the old version still has some in progress.
DRAIN_MAX_S: Final = 8.0


class StateWrite(NamedTuple):
    """A state to write if the command is still at this revision.

    ``reason`` tells operators why a version is taken back.
    """

    model: str
    to_version: str
    state: MoveState
    revision: int
    reason: str = ''


def apply_move_commands(
    site: Site, commands: Iterable[MoveCommand], now_s: float
) -> None:
    """Apply all commands; moves without a command have ended."""
    found = {command.model: command for command in commands}
    ended = [model for model in site.moves if model not in found]
    for model in ended:
        site.moves.pop(model)
        site.scheduler.moves.pop(model, None)
    if not site.moves:
        site.scheduler.step_totals.clear()
    for command in found.values():
        _apply_command(site, command, now_s)


def _apply_command(site: Site, command: MoveCommand, now_s: float) -> None:
    """Start or update a move and set its gate to the state in the store.

    A move that has ended stays so, also if a restored store does not know it.
    """
    known = site.moves.get(command.model)
    if known is None or known.command.to_version != command.to_version:
        known = _start_move(site, command, now_s)
    site.moves[command.model] = known._replace(command=command)
    gates = site.scheduler.moves
    gates[command.model] = gates[command.model]._replace(
        done=gates[command.model].done or command.state == 'done',
        bad=gates[command.model].bad or command.state == 'taken_back',
    )


def _start_move(site: Site, command: MoveCommand, now_s: float) -> SiteMove:
    """Start a move.

    The new version gets no requests before a decision of the leader, and at
    most `UNPROVEN_SHARE` while it is unproven.
    """
    move = VersionMove(
        command.model,
        _old_version(site, command),
        command.to_version,
        now_s + command.duration_s,
        UNPROVEN_SHARE,
    )
    site.scheduler.moves[command.model] = make_gate(
        command.model, command.to_version, now_s
    )._replace(largest_unproven=UNPROVEN_SHARE)
    leader_state = make_leader_state(move, initial_status(move, None), 0, now_s)
    return SiteMove(command, move.from_version, now_s, leader_state, {})


def _old_version(site: Site, command: MoveCommand) -> str:
    """Return the first by name of the service's other versions, or ''."""
    versions = sorted(
        entry.version
        for entry in site.registrations.entries.values()
        if entry.service == command.model
        and entry.version != command.to_version
    )
    return versions[0] if versions else ''


def local_outcome_counts(site: Site) -> dict[str, list[RouteOutcomes]]:
    """Return the outcome counts of this VM's requests, for all moves."""
    return {
        model: route_outcomes(
            site.scheduler, model, move.from_version, move.command.to_version
        )
        for model, move in site.moves.items()
    }


def record_outcome_counts(
    site: Site, vm: str, outcome_counts: Mapping[str, list[RouteOutcomes]]
) -> None:
    """Record a VM's outcome counts, which are running totals, by service."""
    for model, totals in outcome_counts.items():
        move = site.moves.get(model)
        if move is None:
            continue
        for outcomes in totals:
            record_route_outcomes(move.leader_state, vm, outcomes)


def leader_decisions(site: Site, now_s: float) -> dict[str, MoveDecision]:
    """Return this VM's decisions on the moves; empty if it does not lead."""
    if first_live_vm(site, now_s) != site.vm:
        return {}
    decisions = {}
    for model, move in site.moves.items():
        is_full = move.full_since_s is not None
        decisions[model] = MoveDecision(
            move.command.to_version,
            1.0 if is_full else UNPROVEN_SHARE,
            is_full,
            site.scheduler.moves[model].bad,
        )
    return decisions


def apply_decisions(
    site: Site, decisions: Mapping[str, MoveDecision], now_s: float
) -> None:
    """Apply the leader's decisions.

    They expire after the liveness timeout. While a move is not done, the new
    version then gets no requests until the next decision.
    """
    for model, decision in decisions.items():
        gate = site.scheduler.moves.get(model)
        if gate is None or gate.to_version != decision.to_version:
            continue
        is_first = gate.share <= 0
        gate = set_share(
            gate,
            decision.share,
            now_s + LIVENESS_TIMEOUT_S,
            proven=decision.is_proven,
        )
        if is_first and not decision.is_proven:
            credited = INITIAL_REQUESTS / max(1, len(site.vms)) / UNPROVEN_SHARE
            gate = gate._replace(dispatched=int(credited))
        site.scheduler.moves[model] = gate._replace(
            bad=gate.bad or decision.is_bad
        )


def lead_moves(site: Site, now_s: float) -> list[StateWrite]:
    """Advance the moves if this VM leads; returns the states to write."""
    if first_live_vm(site, now_s) != site.vm:
        return []
    record_outcome_counts(site, site.vm, local_outcome_counts(site))
    apply_decisions(site, leader_decisions(site, now_s), now_s)
    writes = []
    for model in list(site.moves):
        state = _advance(site, model, now_s)
        command = site.moves[model].command
        reason = site.moves[model].leader_state.status.reason
        if state != command.state and command.state in {None, 'running'}:
            write = StateWrite(
                model, command.to_version, state, command.revision, reason
            )
            writes.append(write)
    return writes


def _advance(site: Site, model: str, now_s: float) -> MoveState:
    """Return the state that a move should have now."""
    move = site.moves[model]
    gate = site.scheduler.moves[model]
    if gate.done:
        return 'done'
    reason = 'marked bad by a VM'
    if not gate.bad:
        reason = rollback_reason(site, model, now_s)
    if reason:
        _take_back(site, model, reason)
        return 'taken_back'
    if move.full_since_s is None and has_passed_probation(move, now_s):
        move = move._replace(full_since_s=now_s)
        site.moves[model] = move
    if move.full_since_s is None:
        return 'running'
    is_settled = now_s - move.full_since_s > LIVENESS_TIMEOUT_S
    drain_timed_out = now_s - move.full_since_s > DRAIN_MAX_S
    if drain_timed_out or (
        is_settled and not _count_old_requests(site, model, now_s)
    ):
        return 'done'
    return 'running'


def _take_back(site: Site, model: str, reason: str) -> None:
    """Mark the new version as bad; the first reason is kept."""
    gates = site.scheduler.moves
    gates[model] = gates[model]._replace(bad=True)
    move = site.moves[model]
    if move.leader_state.status.state != 'taken_back':
        leader_state = roll_back_move(move.leader_state, reason)
        site.moves[model] = move._replace(leader_state=leader_state)


def _count_old_requests(site: Site, model: str, now_s: float) -> int:
    """Count the requests at upstreams of other versions, on all VMs."""
    to_version = site.moves[model].command.to_version
    old_upstreams = [
        upstream
        for upstream in site.scheduler.upstreams.values()
        if model in upstream.spec.targets
        and upstream.spec.version != to_version
    ]
    local_count = sum(len(upstream.work) for upstream in old_upstreams)
    names = {upstream.spec.name for upstream in old_upstreams}
    peer_work = [peer.report.work for peer in live_peers(site, now_s)]
    peer_work.extend(domain.report.work for domain in live_domains(site, now_s))
    return local_count + sum(
        count
        for work in peer_work
        for name, count in work.items()
        if name in names
    )

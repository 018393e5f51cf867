"""Version moves and configuration changes on one VM."""

from typing import Final

from bluebellhub.budget import LEASE_TERM_S, Grant, revoke
from bluebellhub.configuration import ObjectChange
from bluebellhub.fleet.messages import (
    BadVersion,
    EngineCommand,
    OutcomeReport,
    Outgoing,
    Revoke,
    StoreWrite,
)
from bluebellhub.fleet.state import Fleet, is_owner, send_all
from bluebellhub.membership import CONFIRMATION_TIMEOUT_S, has_quorum, owner_of
from bluebellhub.scheduler.configure import apply_change
from bluebellhub.scheduler.outcomes import route_outcomes
from bluebellhub.scheduler.state import upstreams_for
from bluebellhub.version_move import (
    LeaderState,
    MoveStatus,
    VersionMove,
    advance_move,
    initial_status,
    make_leader_state,
    record_route_outcomes,
    roll_back_move,
    set_share,
)

__all__ = [
    'apply_engine_response',
    'apply_object_change',
    'apply_share',
    'lead_moves',
    'mark_version_bad',
    'record_outcome_report',
    'send_outcome_reports',
]

STATUS_KIND: Final = 'move_status'
COMMAND_TIMEOUT_S: Final = 2.0
UNFENCED_DELAY_S: Final = (
    CONFIRMATION_TIMEOUT_S + LEASE_TERM_S + COMMAND_TIMEOUT_S
)


def apply_object_change(
    fleet: Fleet, change: ObjectChange, now_s: float
) -> None:
    """Apply a configuration change on this VM.

    Leases on upstreams that get no more requests are given up at once; the
    owner revokes those of the other holders.
    """
    apply_change(fleet.scheduler, change, now_s)
    if change.kind == 'version_move':
        _apply_move(fleet, change)
    elif change.kind == STATUS_KIND:
        _apply_status(fleet, change, now_s)
    _revoke_closed_windows(fleet)


def _apply_move(fleet: Fleet, change: ObjectChange) -> None:
    """Apply a new, changed or deleted version move."""
    fleet.leader_states.pop(change.name, None)
    if change.record is None:
        fleet.moves.pop(change.name, None)
        return
    fleet.moves[change.name] = change.record
    to_version = change.record.to_version
    if f'{change.name}/{to_version}' in fleet.bad_versions:
        mark_version_bad(fleet, change.name, to_version)
    _reapply_status(fleet, change.name)


def _reapply_status(fleet: Fleet, model: str) -> None:
    """Apply the status of a move that arrived before the move itself."""
    status = fleet.configuration.records.get((STATUS_KIND, model))
    if status is not None:
        change = ObjectChange(STATUS_KIND, model, 0, status)
        apply_change(fleet.scheduler, change, 0.0)


def _revoke_closed_windows(fleet: Fleet) -> None:
    """Give up leases on upstreams that get no more requests.

    These are leaving, or their failure domain is out.  The leases of other
    VMs are revoked if this VM owns the budget.
    """
    scheduler = fleet.scheduler
    closed = [
        f'window:{name}'
        for name, upstream in scheduler.upstreams.items()
        if upstream.spec.leaving
        or upstream.spec.failure_domain in scheduler.domains_out
    ]
    owned = [key for key in closed if key in fleet.budgets]
    for key in closed:
        revoke(fleet.holder, key)
    if owned:
        send_all(fleet, Revoke(owned))


def apply_share(
    fleet: Fleet, model: str, granted: Grant, until_s: float
) -> None:
    """Apply the share leased to the new version until ``until_s``."""
    gate = fleet.scheduler.moves.get(model)
    if gate is None:
        return
    proven = granted.amount > gate.largest_unproven
    fleet.scheduler.moves[model] = set_share(
        gate, granted.amount, until_s, proven=proven
    )


def mark_version_bad(fleet: Fleet, model: str, version: str) -> None:
    """Mark a version as bad; it gets no more requests.

    A move to it that this VM leads is rolled back.  The other VMs are
    informed when the version is marked for the first time.
    """
    name = f'{model}/{version}'
    if name not in fleet.bad_versions:
        fleet.bad_versions.add(name)
        send_all(fleet, BadVersion(model, version))
    gate = fleet.scheduler.moves.get(model)
    if gate is not None and gate.to_version == version and not gate.bad:
        fleet.scheduler.moves[model] = gate._replace(bad=True)
    leader = fleet.leader_states.get(model)
    if leader is not None and leader.move.to_version == version:
        if leader.status.state != 'taken_back':
            fleet.leader_states[model] = roll_back_move(
                leader, 'marked bad by a VM'
            )


def record_outcome_report(
    fleet: Fleet, sender: str, report: OutcomeReport
) -> None:
    """Add reported outcome counts to a move that this VM leads."""
    leader = fleet.leader_states.get(report.model)
    if leader is None or leader.move.to_version != report.to_version:
        return
    for outcomes in report.route_outcomes:
        record_route_outcomes(leader, sender, outcomes)


def send_outcome_reports(fleet: Fleet, now_s: float) -> None:
    """Send this VM's cumulative outcome counts to the leaders of moves."""
    shard_map = fleet.members.state['shard_map']
    for model, move in fleet.moves.items():
        leader_name = owner_of(shard_map, f'share:{model}')
        outcomes = route_outcomes(
            fleet.scheduler, model, move.from_version, move.to_version
        )
        if leader_name is not None and outcomes:
            report = OutcomeReport(model, move.to_version, outcomes)
            fleet.outbox.messages.append(Outgoing(leader_name, report))


def lead_moves(fleet: Fleet, now_s: float) -> None:
    """Advance the moves that this VM leads.

    Claims the leadership of a move if this VM owns the budget of its share
    but doesn't lead it.  Does nothing without a quorum.
    """
    if not has_quorum(fleet.members, now_s):
        return
    for model, move in fleet.moves.items():
        if not is_owner(fleet, f'share:{model}'):
            continue
        leader = fleet.leader_states.get(model)
        if leader is None:
            _claim_leadership(fleet, model, move)
        else:
            _advance_leader(fleet, model, leader, now_s)


def _stored_status(fleet: Fleet, model: str) -> tuple[int, MoveStatus | None]:
    """Return the version and the record of a move's status in the store."""
    key = (STATUS_KIND, model)
    stored = fleet.configuration.objects.get(key)
    version = stored.version if stored else 0
    return version, fleet.configuration.records.get(key)


def _claim_leadership(fleet: Fleet, model: str, move: VersionMove) -> None:
    """Write this VM's name as the leader into the status of a move.

    The write increments the version, which is the fencing number, so that
    later writes and commands of a former leader fail.
    """
    version, stored = _stored_status(fleet, model)
    status = initial_status(move, stored)
    if status.state != 'running':
        return
    _write_status(fleet, status, version)


def _write_status(fleet: Fleet, status: MoveStatus, version: int) -> None:
    """Request a conditional write of a status with this VM as the leader."""
    claimed = status._replace(leader=fleet.identity.name)
    fields = claimed._asdict()
    fields.pop('model')
    fleet.outbox.writes.append(
        StoreWrite(STATUS_KIND, status.model, fields, version)
    )


def _apply_status(fleet: Fleet, change: ObjectChange, now_s: float) -> None:
    """Apply the status of a move that the store has confirmed.

    This VM becomes the leader if the status names it, and stops being the
    leader if the status names another VM.
    """
    model = change.name
    status = change.record
    move = fleet.moves.get(model)
    if move is None or status is None:
        return
    if status.to_version != move.to_version:
        return
    if status.state == 'taken_back':
        mark_version_bad(fleet, model, move.to_version)
    leader = fleet.leader_states.get(model)
    if status.leader != fleet.identity.name:
        fleet.leader_states.pop(model, None)
    elif leader is not None:
        fleet.leader_states[model] = leader._replace(fence=change.version)
    elif is_owner(fleet, f'share:{model}'):
        new_leader = make_leader_state(move, status, change.version, now_s)
        if f'{model}/{move.to_version}' in fleet.bad_versions:
            new_leader = roll_back_move(new_leader, 'marked bad by a VM')
        fleet.leader_states[model] = new_leader


def _advance_leader(
    fleet: Fleet, model: str, leader: LeaderState, now_s: float
) -> None:
    """Advance a move and write its status if that has changed."""
    _command_loads(fleet, leader, now_s)
    advanced = advance_move(leader, now_s, fleet.time_of_day[-1]())
    fleet.leader_states[model] = advanced
    if advanced.status.state == 'taken_back':
        mark_version_bad(fleet, model, advanced.move.to_version)
    _, stored = _stored_status(fleet, model)
    status = advanced.status._replace(leader=fleet.identity.name)
    if stored != status:
        _write_status(fleet, status, advanced.fence)


def _command_loads(fleet: Fleet, leader: LeaderState, now_s: float) -> None:
    """Command the upstreams of the new version to load it.

    Upstreams that ignore fencing numbers get the command only after
    `UNFENCED_DELAY_S`, when no command of a former leader can be in
    progress.
    """
    move = leader.move
    has_waited = now_s - leader.leader_since_s >= UNFENCED_DELAY_S
    specs = [
        upstream.spec for upstream in upstreams_for(fleet.scheduler, move.model)
    ]
    fleet.outbox.engine_commands.extend(
        EngineCommand(spec.name, move.model, spec.version, leader.fence)
        for spec in specs
        if spec.version == move.to_version
        and spec.name not in leader.loaded
        and (spec.fences or has_waited)
    )


def apply_engine_response(
    fleet: Fleet, command: EngineCommand, *, accepted: bool
) -> None:
    """Record an accepted command; a refusal ends this VM's leadership."""
    leader = fleet.leader_states.get(command.model)
    if leader is None or leader.fence != command.fence:
        return
    if accepted:
        leader.loaded.add(command.upstream)
    else:
        fleet.leader_states.pop(command.model)

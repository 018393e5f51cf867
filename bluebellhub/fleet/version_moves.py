"""Version moves and other changes as one VM carries them out."""

from typing import Final

from bluebellhub.budget import TERM_S, Grant, revoke
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
from bluebellhub.membership import FRESH_S, has_quorum, owner_of
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
ORDER_TIMEOUT_S: Final = 2.0
UNFENCED_WAIT_S: Final = FRESH_S + TERM_S + ORDER_TIMEOUT_S


def apply_object_change(
    fleet: Fleet, change: ObjectChange, now_s: float
) -> None:
    """Put a configuration change in force on this VM.

    Leases on upstreams that get no more work are given up at once; their
    owner tells the other holders.
    """
    apply_change(fleet.scheduler, change, now_s)
    if change.kind == 'version_move':
        _take_move(fleet, change)
    elif change.kind == STATUS_KIND:
        _take_status(fleet, change, now_s)
    _give_up_closed(fleet)


def _take_move(fleet: Fleet, change: ObjectChange) -> None:
    fleet.leads.pop(change.name, None)
    if change.record is None:
        fleet.moves.pop(change.name, None)
        return
    fleet.moves[change.name] = change.record
    to_version = change.record.to_version
    if f'{change.name}/{to_version}' in fleet.bad:
        mark_version_bad(fleet, change.name, to_version)
    _reapply_status(fleet, change.name)


def _reapply_status(fleet: Fleet, model: str) -> None:
    """A status may have arrived before its move."""
    status = fleet.configuration.records.get((STATUS_KIND, model))
    if status is not None:
        change = ObjectChange(STATUS_KIND, model, 0, status)
        apply_change(fleet.scheduler, change, 0.0)


def _give_up_closed(fleet: Fleet) -> None:
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
    """Take the leader's share for the new version, until it lapses."""
    gate = fleet.scheduler.moves.get(model)
    if gate is None:
        return
    proven = granted.amount > gate.largest_unproven
    fleet.scheduler.moves[model] = set_share(
        gate, granted.amount, until_s, proven=proven
    )


def mark_version_bad(fleet: Fleet, model: str, version: str) -> None:
    """Stop sending to a version and remember that it is bad."""
    name = f'{model}/{version}'
    if name not in fleet.bad:
        fleet.bad.add(name)
        send_all(fleet, BadVersion(model, version))
    gate = fleet.scheduler.moves.get(model)
    if gate is not None and gate.to_version == version and not gate.bad:
        fleet.scheduler.moves[model] = gate._replace(bad=True)
    lead = fleet.leads.get(model)
    if lead is not None and lead.move.to_version == version:
        if lead.standing.state != 'taken_back':
            fleet.leads[model] = roll_back_move(lead, 'marked bad by a VM')


def record_outcome_report(
    fleet: Fleet, sender: str, report: OutcomeReport
) -> None:
    """Add totals to a move that this VM leads."""
    lead = fleet.leads.get(report.model)
    if lead is None or lead.move.to_version != report.to_version:
        return
    for totals in report.totals:
        record_route_outcomes(lead, sender, totals)


def send_outcome_reports(fleet: Fleet, now_s: float) -> None:
    """Send this VM's running totals to the leaders of the moves."""
    shard_map = fleet.members.state['shard_map']
    for model, move in fleet.moves.items():
        leader = owner_of(shard_map, f'share:{model}')
        totals = route_outcomes(
            fleet.scheduler, model, move.from_version, move.to_version
        )
        if leader is not None and totals:
            report = OutcomeReport(model, move.to_version, totals)
            fleet.outbox.messages.append(Outgoing(leader, report))


def lead_moves(fleet: Fleet, now_s: float) -> None:
    """Advance the moves that this VM leads."""
    if not has_quorum(fleet.members, now_s):
        return
    for model, move in fleet.moves.items():
        if not is_owner(fleet, f'share:{model}'):
            continue
        lead = fleet.leads.get(model)
        if lead is None:
            _claim_lead(fleet, model, move)
        else:
            _advance(fleet, model, lead, now_s)


def _stored_status(fleet: Fleet, model: str) -> tuple[int, MoveStatus | None]:
    key = (STATUS_KIND, model)
    stored = fleet.configuration.objects.get(key)
    version = stored.version if stored else 0
    return version, fleet.configuration.records.get(key)


def _claim_lead(fleet: Fleet, model: str, move: VersionMove) -> None:
    """Write this VM's name into the status.

    The write raises the version, which is the fencing number: a former
    leader's later writes and orders fail.
    """
    version, status = _stored_status(fleet, model)
    standing = initial_status(move, status)
    if standing.state != 'running':
        return
    _save(fleet, standing, version)


def _save(fleet: Fleet, standing: MoveStatus, version: int) -> None:
    claimed = standing._replace(leader=fleet.identity.name)
    fields = claimed._asdict()
    fields.pop('model')
    fleet.outbox.writes.append(
        StoreWrite(STATUS_KIND, standing.model, fields, version)
    )


def _take_status(fleet: Fleet, change: ObjectChange, now_s: float) -> None:
    """React to a status that the store has confirmed.

    One that names this VM as the leader gives it the lead; one of another
    leader takes the lead away.
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
    lead = fleet.leads.get(model)
    if status.leader != fleet.identity.name:
        fleet.leads.pop(model, None)
    elif lead is not None:
        fleet.leads[model] = lead._replace(fence=change.version)
    elif is_owner(fleet, f'share:{model}'):
        taken = make_leader_state(move, status, change.version, now_s)
        if f'{model}/{move.to_version}' in fleet.bad:
            taken = roll_back_move(taken, 'marked bad by a VM')
        fleet.leads[model] = taken


def _advance(fleet: Fleet, model: str, lead: LeaderState, now_s: float) -> None:
    _order_loads(fleet, lead, now_s)
    advanced = advance_move(lead, now_s, fleet.time_of_day[-1]())
    fleet.leads[model] = advanced
    if advanced.standing.state == 'taken_back':
        mark_version_bad(fleet, model, advanced.move.to_version)
    _, status = _stored_status(fleet, model)
    wanted = advanced.standing._replace(leader=fleet.identity.name)
    if status != wanted:
        _save(fleet, wanted, advanced.fence)


def _order_loads(fleet: Fleet, lead: LeaderState, now_s: float) -> None:
    """Order the new version's upstreams to load it.

    An upstream that ignores fencing numbers gets the order only when the
    former leader's orders must be over.
    """
    move = lead.move
    waited = now_s - lead.led_since_s >= UNFENCED_WAIT_S
    specs = [peer.spec for peer in upstreams_for(fleet.scheduler, move.model)]
    fleet.outbox.orders.extend(
        EngineCommand(spec.name, move.model, spec.version, lead.fence)
        for spec in specs
        if spec.version == move.to_version
        and spec.name not in lead.ordered
        and (spec.fences or waited)
    )


def apply_engine_response(
    fleet: Fleet, order: EngineCommand, *, accepted: bool
) -> None:
    """Note that an upstream took an order; a refused one ends the lead."""
    lead = fleet.leads.get(order.model)
    if lead is None or lead.fence != order.fence:
        return
    if accepted:
        lead.ordered.add(order.upstream)
    else:
        fleet.leads.pop(order.model)

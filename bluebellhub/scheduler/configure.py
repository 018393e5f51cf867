"""Effects of configuration changes on a scheduler, registered by kind."""

from collections.abc import Callable

from bluebellhub.configuration import ObjectChange
from bluebellhub.failure_domain import is_out
from bluebellhub.registry import Registry, make_registry
from bluebellhub.scheduler.state import (
    Scheduler,
    add_upstream,
    remove_upstream,
)
from bluebellhub.upstream import make_upstream
from bluebellhub.version_move.gate import make_gate

__all__ = ['appliers', 'apply_change']

Applier = Callable[[Scheduler, ObjectChange, float], None]

appliers: Registry[Applier] = make_registry('configuration applier')


def apply_change(
    scheduler: Scheduler, change: ObjectChange, now_s: float
) -> None:
    """Apply a change on this VM."""
    appliers.find(change.kind)(scheduler, change, now_s)


@appliers.register('contract')
def apply_contract(
    scheduler: Scheduler, change: ObjectChange, now_s: float
) -> None:
    """Add, replace or remove a contract."""
    if change.record is None:
        scheduler.contracts.pop(change.name, None)
        return
    scheduler.contracts[change.name] = change.record


@appliers.register('upstream')
def apply_upstream(
    scheduler: Scheduler, change: ObjectChange, now_s: float
) -> None:
    """Add, update or remove an upstream; a new one starts cold."""
    if change.record is None:
        remove_upstream(scheduler, change.name)
        return
    add_upstream(scheduler, make_upstream(change.record))


@appliers.register('failure_domain')
def apply_domain(
    scheduler: Scheduler, change: ObjectChange, now_s: float
) -> None:
    """Take a failure domain out of service or return it to service."""
    if change.record is not None and is_out(change.record):
        scheduler.domains_out.add(change.name)
        scheduler.ramping_domains.pop(change.name, None)
        return
    if change.name in scheduler.domains_out and change.record is not None:
        scheduler.ramping_domains[change.name] = (change.record, now_s)
    scheduler.domains_out.discard(change.name)


@appliers.register('move_status')
def apply_move_status(
    scheduler: Scheduler, change: ObjectChange, now_s: float
) -> None:
    """Close the gate after a rollback; open it fully when the move is done."""
    gate = scheduler.moves.get(change.name)
    status = change.record
    if gate is None or status is None:
        return
    if status.to_version != gate.to_version:
        return
    scheduler.moves[change.name] = gate._replace(
        bad=gate.bad or status.state == 'taken_back',
        done=status.state == 'done',
    )


@appliers.register('version_move')
def apply_move(
    scheduler: Scheduler, change: ObjectChange, now_s: float
) -> None:
    """Start, replace or remove a version move."""
    if change.record is None:
        scheduler.moves.pop(change.name, None)
        return
    move = change.record
    gate = make_gate(move.model, move.to_version, now_s)
    scheduler.moves[change.name] = gate._replace(
        largest_unproven=move.largest_unproven_share
    )

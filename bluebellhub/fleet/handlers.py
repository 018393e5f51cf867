"""Registry of the handlers of messages from other VMs, by type."""

from collections.abc import Callable
from typing import Any, Final

from bluebellhub.budget import (
    Budget,
    Grant,
    GrantBatch,
    Renewal,
    RenewalBatch,
    apply_grants,
    grant_lease,
    holders_above_share,
    revoke,
)
from bluebellhub.configuration import apply_object
from bluebellhub.configuration.configuration import advance_revision
from bluebellhub.fleet.admission_floors import apply_floors
from bluebellhub.fleet.budget_kinds import owned_budget, owned_window
from bluebellhub.fleet.leases import renew
from bluebellhub.fleet.messages import (
    BadVersion,
    ConfigRequest,
    ConfigUpdate,
    MapRequest,
    OutcomeReport,
    Outgoing,
    Revoke,
)
from bluebellhub.fleet.state import Fleet, is_owner, send_all
from bluebellhub.fleet.version_moves import (
    apply_object_change,
    apply_share,
    mark_version_bad,
    record_outcome_report,
)
from bluebellhub.membership import (
    Heartbeat,
    ShardMap,
    adopt_map,
    apply_heartbeat,
    has_quorum,
)
from bluebellhub.peer_messages import wire_name
from bluebellhub.registry import Registry, make_registry
from bluebellhub.scheduler.state import signals_of
from bluebellhub.upstream import restart
from bluebellhub.upstream.window import apply_limit, observe_many

__all__ = ['handle_message', 'peer_handlers']

REQUEST_INTERVAL_S: Final = 0.3
REVOKE_INTERVAL_S: Final = 0.1
SHRINK_INTERVAL_S: Final = 0.5

Handler = Callable[[Fleet, str, Any, float], None]

peer_handlers: Registry[Handler] = make_registry('peer message handler')


def handle_message(
    fleet: Fleet, sender: str, message: Any, now_s: float
) -> None:
    """Handle a message from the VM called ``sender``.

    Responses are added to the fleet's outbox.  Raises `UnknownEntryError`
    for a message type without a handler.
    """
    peer_handlers.find(wire_name(message))(fleet, sender, message, now_s)


@peer_handlers.register('Heartbeat')
def handle_heartbeat(
    fleet: Fleet, sender: str, heartbeat: Heartbeat, now_s: float
) -> None:
    """Record the sender's state; request a newer map or newer objects."""
    apply_heartbeat(fleet.members, heartbeat, now_s)
    for name in heartbeat.bad:
        model, _, version = name.rpartition('/')
        mark_version_bad(fleet, model, version)
    apply_floors(fleet, now_s)
    clocks = fleet.clocks
    known_version = fleet.members.state['shard_map'].version
    if heartbeat.map_version > known_version:
        if now_s - clocks['map_asked_at_s'] > REQUEST_INTERVAL_S:
            clocks['map_asked_at_s'] = now_s
            fleet.outbox.messages.append(
                Outgoing(sender, MapRequest(known_version))
            )
    revision = fleet.configuration.progress['revision']
    if heartbeat.revision > revision:
        if now_s - clocks['config_asked_at_s'] > REQUEST_INTERVAL_S:
            clocks['config_asked_at_s'] = now_s
            request = ConfigRequest(revision)
            fleet.outbox.messages.append(Outgoing(sender, request))


@peer_handlers.register('MapAsk')
def send_shard_map(
    fleet: Fleet, sender: str, request: MapRequest, now_s: float
) -> None:
    """Send the shard map if the requester has an older one."""
    shard_map = fleet.members.state['shard_map']
    if shard_map.version > request.version:
        fleet.outbox.messages.append(Outgoing(sender, shard_map))


@peer_handlers.register('ShardMap')
def apply_shard_map(
    fleet: Fleet, sender: str, shard_map: ShardMap, now_s: float
) -> None:
    """Adopt a newer shard map; drops what this VM no longer owns."""
    if not adopt_map(fleet.members, shard_map, now_s):
        return
    for key in list(fleet.budgets):
        if not is_owner(fleet, key):
            fleet.budgets.pop(key)
            fleet.windows.pop(key.partition(':')[2], None)
    for model in list(fleet.leader_states):
        if not is_owner(fleet, f'share:{model}'):
            fleet.leader_states.pop(model)


@peer_handlers.register('ConfigAsk')
def send_config_update(
    fleet: Fleet, sender: str, request: ConfigRequest, now_s: float
) -> None:
    """Send the objects that the requester lacks."""
    configuration = fleet.configuration
    objects = [
        stored
        for stored in configuration.objects.values()
        if stored.revision > request.revision
    ]
    update = ConfigUpdate(configuration.progress['revision'], objects)
    fleet.outbox.messages.append(Outgoing(sender, update))


@peer_handlers.register('ConfigNews')
def apply_config_update(
    fleet: Fleet, sender: str, update: ConfigUpdate, now_s: float
) -> None:
    """Apply newer objects; announces the new revision at once."""
    old_revision = fleet.configuration.progress['revision']
    by_revision = sorted(update.objects, key=lambda entry: entry.revision)
    for stored in by_revision:
        change = apply_object(fleet.configuration, stored)
        if change is not None:
            apply_object_change(fleet, change, now_s)
    advance_revision(fleet.configuration, update.revision)
    if fleet.configuration.progress['revision'] > old_revision:
        fleet.next_run_s['heartbeat'] = now_s


@peer_handlers.register('RenewalBatch')
def grant_renewals(
    fleet: Fleet, sender: str, batch: RenewalBatch, now_s: float
) -> None:
    """Grant leases if this VM is certain to be the owner.

    A batch is ignored if it was sent under another version of the shard map
    or if this VM has no quorum.
    """
    version = fleet.members.state['shard_map'].version
    if batch.map_version != version:
        return
    if not has_quorum(fleet.members, now_s):
        return
    grants = []
    for renewal in batch.renewals:
        granted = _grant_renewal(fleet, sender, batch, renewal, now_s)
        if granted is not None:
            grants.append(granted)
    response = GrantBatch(batch.number, version, grants)
    fleet.outbox.messages.append(Outgoing(sender, response))


def _grant_renewal(
    fleet: Fleet,
    sender: str,
    batch: RenewalBatch,
    renewal: Renewal,
    now_s: float,
) -> Grant | None:
    """Grant one renewal; returns ``None`` if nothing can be granted."""
    if not is_owner(fleet, renewal.key):
        return None
    _apply_observations(fleet, renewal, now_s)
    budget = owned_budget(fleet, renewal.key, now_s)
    if budget is None:
        return None
    numbers = (batch.number, batch.applied)
    granted = grant_lease(budget, sender, renewal, numbers, now_s)
    if granted is not None and granted.amount < renewal.demand:
        _revoke_surplus(fleet, budget, now_s)
    return granted


def _revoke_surplus(fleet: Fleet, budget: Budget, now_s: float) -> None:
    """Revoke unused leases when another holder has less than its share."""
    due_s = fleet.next_run_s.get(f'trim {budget.key}', 0.0)
    if now_s < due_s:
        return
    fleet.next_run_s[f'trim {budget.key}'] = now_s + REVOKE_INTERVAL_S
    for name in holders_above_share(budget, now_s):
        message = Revoke([budget.key])
        fleet.outbox.messages.append(Outgoing(name, message))


def _apply_observations(fleet: Fleet, renewal: Renewal, now_s: float) -> None:
    """Adjust an owned window to the observations in a holder's renewal."""
    prefix, _, name = renewal.key.partition(':')
    if prefix != 'window':
        return
    window = owned_window(fleet, name)
    if window is None:
        return
    if renewal.restarts:
        fleet.windows[name] = restart(window)
        send_all(fleet, Revoke([renewal.key]))
        return
    fleet.windows[name] = observe_many(
        window, renewal.on_time, renewal.late, now_s, SHRINK_INTERVAL_S
    )


@peer_handlers.register('GrantBatch')
def handle_grants(
    fleet: Fleet, sender: str, batch: GrantBatch, now_s: float
) -> None:
    """Apply granted leases, and the windows and shares granted with them."""
    for granted in apply_grants(fleet.holder, sender, batch, now_s):
        prefix, _, name = granted.key.partition(':')
        lease = fleet.holder.leases[granted.key]
        if prefix == 'window':
            _apply_window(fleet, name, granted, lease.requested_at_s, now_s)
        elif prefix == 'share':
            apply_share(fleet, name, granted, lease.expires_at_s)


def _apply_window(
    fleet: Fleet,
    name: str,
    granted: Grant,
    requested_at_s: float,
    now_s: float,
) -> None:
    """Apply the owner's window, unless it is older than a restart."""
    scheduler = fleet.scheduler
    upstream = scheduler.upstreams.get(name)
    restarted_at_s = signals_of(scheduler, name)['restarted_at_s']
    if upstream is None or requested_at_s <= restarted_at_s:
        return
    if granted.limit > 0:
        scheduler.upstreams[name] = upstream._replace(
            window=apply_limit(upstream.window, granted.limit),
            other_vms_tokens=granted.other_vms_tokens,
            other_vms_at_s=now_s,
        )


@peer_handlers.register('Revoke')
def handle_revocation(
    fleet: Fleet, sender: str, message: Revoke, now_s: float
) -> None:
    """Give up leases at once and request new ones."""
    for key in message.keys:
        revoke(fleet.holder, key)
    renew(fleet, now_s)


@peer_handlers.register('EvidenceReport')
def handle_outcome_report(
    fleet: Fleet, sender: str, report: OutcomeReport, now_s: float
) -> None:
    """Add the outcomes reported by a VM to a move that this VM leads."""
    record_outcome_report(fleet, sender, report)


@peer_handlers.register('BadVersion')
def handle_bad_version(
    fleet: Fleet, sender: str, message: BadVersion, now_s: float
) -> None:
    """Stop sending requests to a bad version."""
    mark_version_bad(fleet, message.model, message.version)

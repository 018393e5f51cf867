"""Reactions to other VMs' messages, a registry by message type."""

from collections.abc import Callable
from typing import Any, Final

from bluebellhub.budget import (
    Budget,
    Grant,
    GrantBatch,
    Renewal,
    RenewalBatch,
    apply_grants,
    grant,
    holders_above_share,
    revoke,
)
from bluebellhub.configuration import apply_object
from bluebellhub.configuration.configuration import advance
from bluebellhub.fleet.admission_floors import apply_floors
from bluebellhub.fleet.budget_kinds import owned_budget, window_of
from bluebellhub.fleet.leases import renew
from bluebellhub.fleet.messages import (
    BadVersion,
    ConfigRequest,
    ConfigUpdate,
    MapRequest,
    OutcomeReport,
    Outgoing,
    Revoke,
    wire_name,
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
from bluebellhub.registry import Registry, make_registry
from bluebellhub.scheduler.state import signals_of
from bluebellhub.upstream import restart
from bluebellhub.upstream.window import apply_limit, observe_many

__all__ = ['handle_message', 'peer_handlers']

ASK_INTERVAL_S: Final = 0.3
TRIM_INTERVAL_S: Final = 0.1
LATE_ROUND_S: Final = 0.5

Handler = Callable[[Fleet, str, Any, float], None]

peer_handlers: Registry[Handler] = make_registry('peer message handler')


def handle_message(
    fleet: Fleet, sender: str, message: Any, now_s: float
) -> None:
    """React to a message from the VM called ``sender``.

    Answers go to the fleet's outbox.  Raises `UnknownEntryError` for a
    message type without a handler.
    """
    peer_handlers.find(wire_name(message))(fleet, sender, message, now_s)


@peer_handlers.register('Heartbeat')
def handle_heartbeat(
    fleet: Fleet, sender: str, heartbeat: Heartbeat, now_s: float
) -> None:
    """Note the sender's state; ask for what it knows and this VM lacks."""
    apply_heartbeat(fleet.members, heartbeat, now_s)
    for name in heartbeat.bad:
        model, _, version = name.rpartition('/')
        mark_version_bad(fleet, model, version)
    apply_floors(fleet, now_s)
    clocks = fleet.clocks
    known = fleet.members.state['shard_map'].version
    if heartbeat.map_version > known:
        if now_s - clocks['map_asked_at_s'] > ASK_INTERVAL_S:
            clocks['map_asked_at_s'] = now_s
            fleet.outbox.messages.append(Outgoing(sender, MapRequest(known)))
    revision = fleet.configuration.progress['revision']
    if heartbeat.revision > revision:
        if now_s - clocks['config_asked_at_s'] > ASK_INTERVAL_S:
            clocks['config_asked_at_s'] = now_s
            ask = ConfigRequest(revision)
            fleet.outbox.messages.append(Outgoing(sender, ask))


@peer_handlers.register('MapAsk')
def answer_map(
    fleet: Fleet, sender: str, ask: MapRequest, now_s: float
) -> None:
    """Send the shard map if it is newer."""
    shard_map = fleet.members.state['shard_map']
    if shard_map.version > ask.version:
        fleet.outbox.messages.append(Outgoing(sender, shard_map))


@peer_handlers.register('ShardMap')
def apply_shard_map(
    fleet: Fleet, sender: str, shard_map: ShardMap, now_s: float
) -> None:
    """Adopt a newer shard map and drop what this VM owns no more."""
    if not adopt_map(fleet.members, shard_map, now_s):
        return
    for key in list(fleet.budgets):
        if not is_owner(fleet, key):
            fleet.budgets.pop(key)
            fleet.windows.pop(key.partition(':')[2], None)
    for model in list(fleet.leads):
        if not is_owner(fleet, f'share:{model}'):
            fleet.leads.pop(model)


@peer_handlers.register('ConfigAsk')
def answer_config(
    fleet: Fleet, sender: str, ask: ConfigRequest, now_s: float
) -> None:
    """Send the objects that the asker lacks."""
    configuration = fleet.configuration
    objects = [
        stored
        for stored in configuration.objects.values()
        if stored.revision > ask.revision
    ]
    news = ConfigUpdate(configuration.progress['revision'], objects)
    fleet.outbox.messages.append(Outgoing(sender, news))


@peer_handlers.register('ConfigNews')
def apply_config_update(
    fleet: Fleet, sender: str, news: ConfigUpdate, now_s: float
) -> None:
    """Put newer objects in force; tells the others at once."""
    before = fleet.configuration.progress['revision']
    by_revision = sorted(news.objects, key=lambda entry: entry.revision)
    for stored in by_revision:
        change = apply_object(fleet.configuration, stored)
        if change is not None:
            apply_object_change(fleet, change, now_s)
    advance(fleet.configuration, news.revision)
    if fleet.configuration.progress['revision'] > before:
        fleet.due['heartbeat'] = now_s


@peer_handlers.register('RenewalBatch')
def answer_renewals(
    fleet: Fleet, sender: str, batch: RenewalBatch, now_s: float
) -> None:
    """Grant leases, as long as this VM is surely the owner."""
    version = fleet.members.state['shard_map'].version
    if batch.map_version != version:
        return
    if not has_quorum(fleet.members, now_s):
        return
    grants = []
    for renewal in batch.renewals:
        granted = _answer_renewal(fleet, sender, batch, renewal, now_s)
        if granted is not None:
            grants.append(granted)
    answer = GrantBatch(batch.number, version, grants)
    fleet.outbox.messages.append(Outgoing(sender, answer))


def _answer_renewal(
    fleet: Fleet,
    sender: str,
    batch: RenewalBatch,
    renewal: Renewal,
    now_s: float,
) -> Grant | None:
    if not is_owner(fleet, renewal.key):
        return None
    _observe(fleet, renewal, now_s)
    budget = owned_budget(fleet, renewal.key, now_s)
    if budget is None:
        return None
    numbers = (batch.number, batch.applied)
    granted = grant(budget, sender, renewal, numbers, now_s)
    if granted is not None and granted.amount < renewal.demand:
        _trim(fleet, budget, now_s)
    return granted


def _trim(fleet: Fleet, budget: Budget, now_s: float) -> None:
    """Ask for unused leases back when another holder is short."""
    due_s = fleet.due.get(f'trim {budget.key}', 0.0)
    if now_s < due_s:
        return
    fleet.due[f'trim {budget.key}'] = now_s + TRIM_INTERVAL_S
    for name in holders_above_share(budget, now_s):
        message = Revoke([budget.key])
        fleet.outbox.messages.append(Outgoing(name, message))


def _observe(fleet: Fleet, renewal: Renewal, now_s: float) -> None:
    """Move an owned window by what the holder has seen."""
    prefix, _, name = renewal.key.partition(':')
    if prefix != 'window':
        return
    window = window_of(fleet, name)
    if window is None:
        return
    if renewal.restarts:
        fleet.windows[name] = restart(window)
        send_all(fleet, Revoke([renewal.key]))
        return
    fleet.windows[name] = observe_many(
        window, renewal.on_time, renewal.late, now_s, LATE_ROUND_S
    )


@peer_handlers.register('GrantBatch')
def handle_grants(
    fleet: Fleet, sender: str, batch: GrantBatch, now_s: float
) -> None:
    """Apply granted leases and the windows and shares they tell."""
    for granted in apply_grants(fleet.holder, sender, batch, now_s):
        prefix, _, name = granted.key.partition(':')
        lease = fleet.holder.leases[granted.key]
        if prefix == 'window':
            _take_window(fleet, name, granted, lease.asked_at_s, now_s)
        elif prefix == 'share':
            apply_share(fleet, name, granted, lease.until_s)


def _take_window(
    fleet: Fleet,
    name: str,
    granted: Grant,
    asked_at_s: float,
    now_s: float,
) -> None:
    """Adopt the owner's window, unless it is older than a restart."""
    scheduler = fleet.scheduler
    upstream = scheduler.upstreams.get(name)
    restarted_at_s = signals_of(scheduler, name)['restarted_at_s']
    if upstream is None or asked_at_s <= restarted_at_s:
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
    """Give up leases at once and ask for new ones."""
    for key in message.keys:
        revoke(fleet.holder, key)
    renew(fleet, now_s)


@peer_handlers.register('EvidenceReport')
def handle_outcome_report(
    fleet: Fleet, sender: str, report: OutcomeReport, now_s: float
) -> None:
    """Add a VM's totals to the evidence of a move led here."""
    record_outcome_report(fleet, sender, report)


@peer_handlers.register('BadVersion')
def handle_bad_version(
    fleet: Fleet, sender: str, message: BadVersion, now_s: float
) -> None:
    """Stop sending to a bad version."""
    mark_version_bad(fleet, message.model, message.version)

"""Periodic duties of a VM, a registry with the period of each."""

from collections.abc import Callable
from typing import Final, NamedTuple

from bluebellhub.budget import RENEW_S, last_renewal_s
from bluebellhub.fleet.admission_floors import apply_floors, tell_floors
from bluebellhub.fleet.leases import renew
from bluebellhub.fleet.messages import Outgoing, StoreRead, StoreWrite
from bluebellhub.fleet.state import Fleet, is_owner
from bluebellhub.fleet.store_objects import MAP_KIND, MAP_NAME
from bluebellhub.fleet.version_moves import lead_moves, send_outcome_reports
from bluebellhub.membership import (
    Heartbeat,
    echo_for,
    is_isolated,
    live_peers,
    number_heartbeat,
    propose_map,
)
from bluebellhub.registry import Registry, make_registry

__all__ = ['PeriodicTask', 'is_watcher', 'periodic_tasks', 'run_periodic_tasks']

HEARTBEAT_S: Final = 0.4
CHECK_S: Final = 0.2
WITHDRAW_S: Final = 2.7
STARVED_S: Final = 0.1
STORE_CHECK_S: Final = 0.8
SLOW_CHECK_S: Final = 5.0
PROPOSE_S: Final = 1.0
STATUS_S: Final = 0.5
WATCHERS_PER_DOMAIN: Final = 2
LAPSE_S: Final = 4.8
STATUS_KIND: Final = 'change_status'


class PeriodicTask(NamedTuple):
    """A function that runs every ``period_s`` seconds."""

    period_s: float
    run: Callable[[Fleet, float], None]


periodic_tasks: Registry[PeriodicTask] = make_registry('duty')


def _every(
    name: str, period_s: float
) -> Callable[[Callable[[Fleet, float], None]], Callable[[Fleet, float], None]]:
    def store(
        run: Callable[[Fleet, float], None],
    ) -> Callable[[Fleet, float], None]:
        periodic_tasks.register(name)(PeriodicTask(period_s, run))
        return run

    return store


def run_periodic_tasks(fleet: Fleet, now_s: float) -> None:
    """Run what is due; messages and writes go to the outbox."""
    for name, duty in periodic_tasks.entries.items():
        if now_s >= fleet.due.get(name, 0.0):
            fleet.due[name] = now_s + duty.period_s
            duty.run(fleet, now_s)


@_every('heartbeat', HEARTBEAT_S)
def send_heartbeats(fleet: Fleet, now_s: float) -> None:
    """Tell every other VM this VM's state."""
    number = number_heartbeat(fleet.members, now_s)
    wanted = tell_floors(fleet, now_s)
    for name in _addressees(fleet):
        heartbeat = Heartbeat(
            vm=fleet.identity.name,
            failure_domain=fleet.identity.failure_domain,
            number=number,
            echo=echo_for(fleet.members, name),
            map_version=fleet.members.state['shard_map'].version,
            revision=fleet.configuration.progress['revision'],
            leaving=fleet.scheduler.flags['draining'],
            admission_floors=dict(fleet.scheduler.admission_floors),
            wanted=wanted,
            bad=sorted(fleet.bad),
        )
        fleet.outbox.messages.append(Outgoing(name, heartbeat))


def _addressees(fleet: Fleet) -> list[str]:
    """Return the other VMs in a fixed order."""
    known = set(fleet.members.peers) | fleet.members.listed
    known.update(fleet.members.state['shard_map'].members)
    known.discard(fleet.identity.name)
    return sorted(known)


@_every('starved', STARVED_S)
def renew_starved(fleet: Fleet, now_s: float) -> None:
    """Renew early when a request waited for want of a lease."""
    flags = fleet.scheduler.flags
    if flags['starved']:
        flags['starved'] = False
        fleet.due['renewal'] = now_s


@_every('check', CHECK_S)
def check_standing(fleet: Fleet, now_s: float) -> None:
    """Refuse new work while cut off; keep the floors up to date."""
    isolated = is_isolated(fleet.members, now_s)
    fleet.scheduler.flags['isolated'] = isolated
    apply_floors(fleet, now_s)


@_every('withdrawal', CHECK_S)
def mark_lapsed(fleet: Fleet, now_s: float) -> None:
    """Mark cold upstreams whose owner has not answered for too long."""
    scheduler = fleet.scheduler
    for name, upstream in scheduler.upstreams.items():
        heard_s = last_renewal_s(fleet.holder, f'window:{name}')
        is_unheard = now_s - heard_s > WITHDRAW_S
        if upstream.work and is_unheard and upstream.window.phase == 'cold':
            scheduler.expired_leases.add(name)


@_every('renewal', RENEW_S)
def renew_leases(fleet: Fleet, now_s: float) -> None:
    """Renew the leases; report evidence on moves."""
    renew(fleet, now_s)
    send_outcome_reports(fleet, now_s)


@_every('moves', RENEW_S)
def advance_moves(fleet: Fleet, now_s: float) -> None:
    """Advance the moves that this VM leads."""
    lead_moves(fleet, now_s)


def is_watcher(fleet: Fleet, now_s: float) -> bool:
    """Tell whether this VM watches the store for its failure domain."""
    own = fleet.identity
    near = [
        name
        for name, peer in live_peers(fleet.members, now_s).items()
        if peer.heartbeat.failure_domain == own.failure_domain
    ]
    return own.name in sorted([own.name, *near])[:WATCHERS_PER_DOMAIN]


@_every('store_check', STORE_CHECK_S)
def check_store(fleet: Fleet, now_s: float) -> None:
    """Read the shard map: watchers often, other VMs now and then."""
    fleet.outbox.reads.append(StoreRead(MAP_KIND, MAP_NAME))
    if not is_watcher(fleet, now_s):
        fleet.due['store_check'] = now_s + SLOW_CHECK_S


@_every('proposal', PROPOSE_S)
def propose(fleet: Fleet, now_s: float) -> None:
    """Write a new shard map when members came or went."""
    shard_map = propose_map(fleet.members, now_s)
    if shard_map is None:
        return
    spec = {
        'members': list(shard_map.members),
        'former': list(shard_map.former),
    }
    fleet.outbox.writes.append(
        StoreWrite(MAP_KIND, MAP_NAME, spec, shard_map.version - 1)
    )


@_every('statuses', STATUS_S)
def report_changes(fleet: Fleet, now_s: float) -> None:
    """Write the status of changes that are in force everywhere."""
    if not is_owner(fleet, 'statuses'):
        return
    everywhere = _revision_everywhere(fleet, now_s)
    for (kind, name), stored in fleet.configuration.objects.items():
        if kind == 'move_status' or stored.revision > everywhere:
            continue
        if fleet.statuses.get((kind, name), 0) >= stored.version:
            continue
        status_name = f'{kind}.{name}'
        version = fleet.stored.get((STATUS_KIND, status_name), 0)
        spec = {'version': stored.version, 'state': 'done'}
        fleet.outbox.writes.append(
            StoreWrite(STATUS_KIND, status_name, spec, version)
        )


def _revision_everywhere(fleet: Fleet, now_s: float) -> int:
    """Return the revision that every live VM has in force.

    A VM that has not been heard for `LAPSE_S` seconds holds no lease.
    """
    live = live_peers(fleet.members, now_s, LAPSE_S)
    revisions = [peer.heartbeat.revision for peer in live.values()]
    own = fleet.configuration.progress['revision']
    return min([own, *revisions])

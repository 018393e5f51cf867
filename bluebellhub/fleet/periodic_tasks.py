"""Registry of the periodic tasks of a VM, with the period of each."""

from collections.abc import Callable
from typing import Final, NamedTuple

from bluebellhub.budget import RENEWAL_INTERVAL_S, last_renewal_s
from bluebellhub.fleet.admission_floors import announce_floors, apply_floors
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

HEARTBEAT_INTERVAL_S: Final = 0.4
STATE_CHECK_INTERVAL_S: Final = 0.2
OWNER_TIMEOUT_S: Final = 2.7
EARLY_RENEWAL_INTERVAL_S: Final = 0.1
STORE_CHECK_INTERVAL_S: Final = 0.8
SLOW_STORE_CHECK_INTERVAL_S: Final = 5.0
PROPOSAL_INTERVAL_S: Final = 1.0
STATUS_INTERVAL_S: Final = 0.5
WATCHERS_PER_DOMAIN: Final = 2
PEER_TIMEOUT_S: Final = 4.8
STATUS_KIND: Final = 'change_status'


class PeriodicTask(NamedTuple):
    """A function that runs every ``period_s`` seconds."""

    period_s: float
    run: Callable[[Fleet, float], None]


periodic_tasks: Registry[PeriodicTask] = make_registry('duty')


def _run_every(
    name: str, period_s: float
) -> Callable[[Callable[[Fleet, float], None]], Callable[[Fleet, float], None]]:
    """Return a decorator that registers a periodic task."""

    def store(
        run: Callable[[Fleet, float], None],
    ) -> Callable[[Fleet, float], None]:
        periodic_tasks.register(name)(PeriodicTask(period_s, run))
        return run

    return store


def run_periodic_tasks(fleet: Fleet, now_s: float) -> None:
    """Run the tasks that are due; messages and writes go to the outbox."""
    for name, task in periodic_tasks.entries.items():
        if now_s >= fleet.next_run_s.get(name, 0.0):
            fleet.next_run_s[name] = now_s + task.period_s
            task.run(fleet, now_s)


@_run_every('heartbeat', HEARTBEAT_INTERVAL_S)
def send_heartbeats(fleet: Fleet, now_s: float) -> None:
    """Send this VM's state to every other VM."""
    number = number_heartbeat(fleet.members, now_s)
    requested = announce_floors(fleet, now_s)
    for name in _recipients(fleet):
        heartbeat = Heartbeat(
            vm=fleet.identity.name,
            failure_domain=fleet.identity.failure_domain,
            number=number,
            echo=echo_for(fleet.members, name),
            map_version=fleet.members.state['shard_map'].version,
            revision=fleet.configuration.progress['revision'],
            leaving=fleet.scheduler.flags['draining'],
            admission_floors=dict(fleet.scheduler.admission_floors),
            requested_floors=requested,
            bad=sorted(fleet.bad_versions),
        )
        fleet.outbox.messages.append(Outgoing(name, heartbeat))


def _recipients(fleet: Fleet) -> list[str]:
    """Return the names of all other known VMs in a fixed order."""
    known = set(fleet.members.peers) | fleet.members.listed
    known.update(fleet.members.state['shard_map'].members)
    known.discard(fleet.identity.name)
    return sorted(known)


@_run_every('starved', EARLY_RENEWAL_INTERVAL_S)
def renew_early(fleet: Fleet, now_s: float) -> None:
    """Renew the leases early if a request had to wait for a lease."""
    flags = fleet.scheduler.flags
    if flags['starved']:
        flags['starved'] = False
        fleet.next_run_s['renewal'] = now_s


@_run_every('check', STATE_CHECK_INTERVAL_S)
def update_state(fleet: Fleet, now_s: float) -> None:
    """Update the isolation flag and the admission floors.

    An isolated VM refuses new requests.
    """
    isolated = is_isolated(fleet.members, now_s)
    fleet.scheduler.flags['isolated'] = isolated
    apply_floors(fleet, now_s)


@_run_every('withdrawal', STATE_CHECK_INTERVAL_S)
def mark_expired_leases(fleet: Fleet, now_s: float) -> None:
    """Mark cold upstreams whose leases this VM could not renew.

    An upstream with running requests is marked if its owner has answered no
    renewal sent in the last `OWNER_TIMEOUT_S` seconds.
    """
    scheduler = fleet.scheduler
    for name, upstream in scheduler.upstreams.items():
        renewed_s = last_renewal_s(fleet.holder, f'window:{name}')
        is_overdue = now_s - renewed_s > OWNER_TIMEOUT_S
        if upstream.work and is_overdue and upstream.window.phase == 'cold':
            scheduler.expired_leases.add(name)


@_run_every('renewal', RENEWAL_INTERVAL_S)
def renew_leases(fleet: Fleet, now_s: float) -> None:
    """Renew the leases; sends the outcome reports for version moves."""
    renew(fleet, now_s)
    send_outcome_reports(fleet, now_s)


@_run_every('moves', RENEWAL_INTERVAL_S)
def advance_moves(fleet: Fleet, now_s: float) -> None:
    """Advance the version moves that this VM leads."""
    lead_moves(fleet, now_s)


def is_watcher(fleet: Fleet, now_s: float) -> bool:
    """Return whether this VM watches the store for its failure domain.

    The first `WATCHERS_PER_DOMAIN` live VMs of each domain, by name, do.
    """
    identity = fleet.identity
    local_names = [
        name
        for name, peer in live_peers(fleet.members, now_s).items()
        if peer.heartbeat.failure_domain == identity.failure_domain
    ]
    return (
        identity.name
        in sorted([identity.name, *local_names])[:WATCHERS_PER_DOMAIN]
    )


@_run_every('store_check', STORE_CHECK_INTERVAL_S)
def check_store(fleet: Fleet, now_s: float) -> None:
    """Read the shard map from the store; VMs that don't watch read rarely."""
    fleet.outbox.reads.append(StoreRead(MAP_KIND, MAP_NAME))
    if not is_watcher(fleet, now_s):
        fleet.next_run_s['store_check'] = now_s + SLOW_STORE_CHECK_INTERVAL_S


@_run_every('proposal', PROPOSAL_INTERVAL_S)
def propose_shard_map(fleet: Fleet, now_s: float) -> None:
    """Write a new shard map after members have joined or left."""
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


@_run_every('statuses', STATUS_INTERVAL_S)
def write_change_statuses(fleet: Fleet, now_s: float) -> None:
    """Write the status of changes that are active on all live VMs."""
    if not is_owner(fleet, 'statuses'):
        return
    active_revision = _active_revision(fleet, now_s)
    for (kind, name), stored in fleet.configuration.objects.items():
        if kind == 'move_status' or stored.revision > active_revision:
            continue
        if fleet.reported_versions.get((kind, name), 0) >= stored.version:
            continue
        status_name = f'{kind}.{name}'
        version = fleet.status_versions.get((STATUS_KIND, status_name), 0)
        spec = {'version': stored.version, 'state': 'done'}
        fleet.outbox.writes.append(
            StoreWrite(STATUS_KIND, status_name, spec, version)
        )


def _active_revision(fleet: Fleet, now_s: float) -> int:
    """Return the revision that is active on every live VM.

    A VM without a heartbeat for `PEER_TIMEOUT_S` seconds holds no lease, so
    it is ignored.
    """
    live = live_peers(fleet.members, now_s, PEER_TIMEOUT_S)
    revisions = [peer.heartbeat.revision for peer in live.values()]
    local_revision = fleet.configuration.progress['revision']
    return min([local_revision, *revisions])

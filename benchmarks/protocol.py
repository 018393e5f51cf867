"""Traffic and processor time of the fleet protocol for one VM.

Only the aggregates run, without I/O.  One VM is built with a given number
of members, upstreams and accounts; it runs its periodic tasks and receives
the messages that the other VMs would send.
"""

from collections import Counter
from collections.abc import Callable
from typing import Any, Final

from bluebellhub.budget import GrantBatch, RenewalBatch
from bluebellhub.budget.lease import Grant
from bluebellhub.configuration import StoredObject
from bluebellhub.contract import make_contract
from bluebellhub.fleet import (
    Fleet,
    Identity,
    handle_message,
    leased_slots,
    make_fleet,
    run_periodic_tasks,
)
from bluebellhub.fleet.handlers import apply_config_update
from bluebellhub.fleet.messages import ConfigUpdate
from bluebellhub.membership import Heartbeat, ShardMap, adopt_map
from bluebellhub.peer_messages import (
    decode_message,
    encode_message,
    wire_name,
)
from bluebellhub.scheduler import Scheduler, make_scheduler
from bluebellhub.scheduler.options import SchedulerOptions
from bluebellhub.upstream import Upstream

__all__ = ['build_member', 'measure_protocol']

SECONDS: Final = 4.0
STEP_S: Final = 0.05
FRAME_BYTES: Final = 60


def _upstream_object(number: int) -> StoredObject:
    spec = {
        'address': '10.0.0.1:8000',
        'targets': [f'model-{number % 4}'],
        'failure_domain': f'domain-{number % 9}',
    }
    return StoredObject('upstream', f'u{number}', 1, number + 1, spec)


def build_member(members: int, upstreams: int, accounts: int = 0) -> Fleet:
    """Create a VM of a fleet of ``members`` VMs that has all objects."""
    cell: list[Fleet] = []
    scheduler = make_scheduler(SchedulerOptions(), _leased_source(cell))
    identity = Identity('hub-0', 'domain-0', 1)
    fleet = make_fleet(identity, scheduler, 0.0)
    cell.append(fleet)
    names = tuple(f'hub-{number}' for number in range(members))
    adopt_map(fleet.members, ShardMap(1, names), 0.0)
    objects = [_upstream_object(number) for number in range(upstreams)]
    apply_config_update(fleet, 'hub-0', ConfigUpdate(upstreams, objects), 0.0)
    _add_accounts(scheduler, accounts)
    return fleet


def _add_accounts(scheduler: Scheduler, accounts: int) -> None:
    for number in range(accounts):
        name = f'account-{number}'
        scheduler.contracts[name] = make_contract(
            name, 'secret', tiers=('check',), models=('model-0',)
        )


def _leased_source(cell: list[Fleet]) -> Callable[[Upstream, float], int]:
    """Return a slot source of the VM that is added to ``cell`` later."""

    def slots(upstream: Upstream, now_s: float) -> int:
        return leased_slots(cell[0])(upstream, now_s)

    return slots


def _encode_heartbeat(sender: str, number: int) -> bytes:
    heartbeat = Heartbeat(
        sender, 'domain-1', number, 0, 1, 10**6, False, {}, {}, []
    )
    return encode_message(heartbeat._replace(revision=0))


def _receive_heartbeats(fleet: Fleet, names: list[str], number: int) -> None:
    """Apply one heartbeat of each other VM."""
    now_s = number * STEP_S
    for name in names:
        message = decode_message(_encode_heartbeat(name, number + 1))
        handle_message(fleet, name, message, now_s)


def measure_protocol(
    members: int, upstreams: int, clock: Callable[[], float]
) -> dict[str, Any]:
    """Run one VM for four seconds of virtual time.

    Returns the messages and bytes that it sends per second, frame headers
    included, and the processor time for sending and receiving in
    milliseconds per second.
    """
    fleet = build_member(members, upstreams)
    names = [f'hub-{number}' for number in range(1, members)]
    sent: Counter[str] = Counter()
    started_at_s = clock()
    for step in range(int(SECONDS / STEP_S)):
        now_s = step * STEP_S
        run_periodic_tasks(fleet, now_s)
        _count_sent(fleet, sent, now_s)
        if step % int(0.4 / STEP_S) == 0:
            _receive_heartbeats(fleet, names, step)
    processor_s = clock() - started_at_s
    return {
        'members': members,
        'upstreams': upstreams,
        'messages/s': round(sent['messages'] / SECONDS),
        'bytes/s': round(sent['bytes'] / SECONDS),
        'heartbeat bytes/s': round(sent['Heartbeat'] / SECONDS),
        'lease bytes/s': round(sent['RenewalBatch'] / SECONDS),
        'ms/s': round(1000 * processor_s / SECONDS, 2),
    }


def _count_sent(fleet: Fleet, sent: Counter[str], now_s: float) -> None:
    """Empty the outbox and count its messages; lease renewals are granted."""
    outbox = fleet.outbox
    outbox.writes.clear()
    outbox.reads.clear()
    for outgoing in outbox.messages:
        encoded = encode_message(outgoing.message)
        message_bytes = len(encoded) + FRAME_BYTES
        sent['messages'] += 1
        sent['bytes'] += message_bytes
        sent[wire_name(outgoing.message)] += message_bytes
        if isinstance(outgoing.message, RenewalBatch):
            _grant_renewals(fleet, outgoing.to, outgoing.message, now_s)
    outbox.messages.clear()


def _grant_renewals(
    fleet: Fleet, owner: str, batch: RenewalBatch, now_s: float
) -> None:
    grants = [Grant(renewal.key, 1.0, 1.6, 16.0) for renewal in batch.renewals]
    grant_batch = GrantBatch(batch.number, 1, grants)
    handle_message(
        fleet, owner, decode_message(encode_message(grant_batch)), now_s
    )

"""A small fleet with upstreams and network faults for the tests."""

from bluebellhub.budget import leased_amount
from bluebellhub.fleet import leased_slots
from bluebellhub.scheduler import make_scheduler
from bluebellhub.scheduler.options import SchedulerOptions
from bluebellhub.standins.virtual_clock import run_until
from bluebellhub.standins.virtual_fleet import add_vm
from bluebellhub.standins.virtual_state import (
    make_virtual_fleet,
    write_as_operator,
)

DOMAINS = ('rennes', 'vannes', 'brest')


def start_vm(virtual, name, domain):
    """Start a VM, or restart it."""
    cell = []

    def slots(upstream, now_s):
        return leased_slots(cell[0])(upstream, now_s)

    cell.append(
        add_vm(virtual, name, domain, make_scheduler(SchedulerOptions(), slots))
    )
    return cell[0]


def start_fleet(vms=5, seed=1, upstreams=3, settle_s=8.0, **fields):
    """Start VMs and upstreams, then run them for ``settle_s`` seconds."""
    virtual = make_virtual_fleet(seed=seed)
    for number in range(vms):
        start_vm(virtual, f'hub-{number}', DOMAINS[number % 3])
    for number in range(upstreams):
        spec = {
            'address': '127.0.0.1:1',
            'targets': ['m'],
            'failure_domain': DOMAINS[number % 3],
            'window': 16,
            'cold_window': 2,
            **fields,
        }
        write_as_operator(virtual, 'upstream', f'u{number}', spec)
    run_until(virtual.clock, settle_s)
    return virtual


def leased_by_vm(virtual, upstream):
    """Return the slots that each VM may use on an upstream now."""
    now_s = virtual.clock.state['now_s']
    key = f'window:{upstream}'
    return {
        name: leased_amount(fleet.holder, key, now_s)
        for name, fleet in virtual.fleets.items()
    }


def total_leased(virtual, upstream):
    """Return the slots that all VMs together may use on an upstream now."""
    return sum(leased_by_vm(virtual, upstream).values())


def run_for(virtual, seconds):
    """Run the fleet for some seconds of virtual time."""
    run_until(virtual.clock, virtual.clock.state['now_s'] + seconds)


def isolate(virtual, name, *, store=True):
    """Partition a VM from all others and, by default, from the store."""
    for other in virtual.fleets:
        if other != name:
            virtual.partitions.add(frozenset((name, other)))
    if store:
        virtual.store_partitions.add(name)

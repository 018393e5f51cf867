"""Coordination of a VM with the other VMs of its fleet.

The fleet composes membership, leased budgets, configuration and version
moves around a VM's scheduler.  Its functions are given the time and put
messages to other VMs, store calls and commands into an outbox, which the
adapters execute.
"""

from bluebellhub.fleet.handlers import handle_message, peer_handlers
from bluebellhub.fleet.leases import leased_limits, leased_slots
from bluebellhub.fleet.messages import Outgoing, StoreWrite
from bluebellhub.fleet.periodic_tasks import periodic_tasks, run_periodic_tasks
from bluebellhub.fleet.state import Fleet, Identity, make_fleet
from bluebellhub.fleet.store_objects import apply_stored_object, apply_vm_list

__all__ = [
    'Fleet',
    'Identity',
    'Outgoing',
    'StoreWrite',
    'apply_stored_object',
    'apply_vm_list',
    'handle_message',
    'leased_limits',
    'leased_slots',
    'make_fleet',
    'peer_handlers',
    'periodic_tasks',
    'run_periodic_tasks',
]

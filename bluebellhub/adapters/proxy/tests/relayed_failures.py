"""What fails in a fleet that follows the store through relays."""

from collections.abc import Callable
from typing import NamedTuple

from bluebellhub.adapters.proxy.tests.relayed_fleet import start_vm

__all__ = ['FAILURES']


class Failure(NamedTuple):
    """What fails, by the relays and all VMs of a domain, and how it ends."""

    begin: Callable
    end: Callable = lambda fleet, relays: None


def _fault(name, choose):
    """Return a failure of the VMs that ``choose`` returns."""
    return Failure(
        lambda fleet, relays: fleet.faults[name].update(choose(relays)),
        lambda fleet, relays: fleet.faults[name].clear(),
    )


def _restart(choose):
    def begin(fleet, relays):
        for vm in choose(relays):
            start_vm(fleet, vm, dict(fleet.watchers[vm].proxy.site.vms))

    return Failure(begin)


def _drop_history(fleet, relays):
    fleet.store['floor'] = fleet.store['revision'] + 1
    fleet.store['revision'] += 1


def _set_store(field, failing, normal):
    return Failure(
        lambda fleet, relays: fleet.store.update({field: failing}),
        lambda fleet, relays: fleet.store.update({field: normal}),
    )


def _lose_messages(ratio):
    return Failure(
        lambda fleet, relays: fleet.faults.update(loss=ratio),
        lambda fleet, relays: fleet.faults.update(loss=0.0),
    )


def _lose_responses():
    return Failure(
        lambda fleet, relays: fleet.store.update(lost=set()),
        lambda fleet, relays: fleet.store.update(lost=None),
    )


FIRST, BOTH = (lambda relays: relays[:1]), (lambda relays: relays)
FAILURES = {
    'none': Failure(lambda fleet, relays: None),
    'one relay frozen': _fault('frozen', FIRST),
    'both relays frozen': _fault('frozen', BOTH),
    'one relay cut from the store': _fault('cut_from_store', FIRST),
    'both relays cut from the store': _fault('cut_from_store', BOTH),
    'one relay refused by the store': _fault('store_down', FIRST),
    'both relays refused by the store': _fault('busy', BOTH),
    'one relay mute': _fault('mute', FIRST),
    'both relays mute': _fault('mute', BOTH),
    'one relay deaf': _fault('deaf', FIRST),
    'both relays deaf': _fault('deaf', BOTH),
    'one relay restarted': _restart(FIRST),
    'both relays restarted': _restart(BOTH),
    'history dropped': Failure(_drop_history),
    'store slow': _set_store('latency_s', 0.3, 0.002),
    'responses lost': _lose_responses(),
    'messages lost': _lose_messages(0.3),
    'all messages lost': _lose_messages(1.0),
}

"""Prints what a fleet under faults has done, to compare two processes."""

from bluebellhub.fleet.tests.small_fleet import later, leased, start_fleet
from bluebellhub.standins.virtual_state import kill_vm, operate

__all__ = ['main']

STEPS = 30
LOSS = 0.1


def main() -> None:
    """Run a fleet that loses messages, a failure domain and a VM."""
    virtual = start_fleet(seed=3)
    virtual.faults['loss'] = LOSS
    operate(virtual, 'failure_domain', 'rennes', {'state': 'out'})
    kill_vm(virtual, 'hub-1')
    for _ in range(STEPS):
        later(virtual, 0.2)
        print(sorted(leased(virtual, 'u1').items()))
    print(sorted(virtual.traffic.items()))
    print(sorted(virtual.platform.calls.items()))
    print(virtual.random.random())


if __name__ == '__main__':
    main()

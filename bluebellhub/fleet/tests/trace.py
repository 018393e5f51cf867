"""Prints the results of a fleet under faults, to compare processes."""

from bluebellhub.fleet.tests.small_fleet import (
    leased_by_vm,
    run_for,
    start_fleet,
)
from bluebellhub.standins.virtual_state import kill_vm, write_as_operator

__all__ = ['main']

STEPS = 30
LOSS = 0.1


def main() -> None:
    """Run a fleet with message loss, a failure domain out and a dead VM."""
    virtual = start_fleet(seed=3)
    virtual.faults['loss'] = LOSS
    write_as_operator(virtual, 'failure_domain', 'rennes', {'state': 'out'})
    kill_vm(virtual, 'hub-1')
    for _ in range(STEPS):
        run_for(virtual, 0.2)
        print(sorted(leased_by_vm(virtual, 'u1').items()))
    print(sorted(virtual.traffic.items()))
    print(sorted(virtual.platform.calls.items()))
    print(virtual.random.random())


if __name__ == '__main__':
    main()

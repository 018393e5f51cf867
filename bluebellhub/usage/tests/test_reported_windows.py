"""Windows that the holder reports while VMs and messages fail."""

import pytest

from bluebellhub.usage import make_usage
from bluebellhub.usage.tests.simulated_usage import (
    BOUNDS,
    START_S,
    make_fleet,
    run,
)

NAMES = [f'hub-{number}' for number in range(1, 9)]
UNTIL_S = 64.0
# Windows that ended at least 5 s before.
WINDOW_COUNT = 12


def restart(name, start_id):
    return lambda fleet: fleet.vms.update({name: make_usage(start_id, BOUNDS)})


def stop(name):
    return lambda fleet: fleet.vms.pop(name)


def hold(name):
    return lambda fleet: fleet.state.update(holder=name)


def set_error(error_s, *names):
    return lambda fleet: fleet.errors.update(dict.fromkeys(names, error_s))


def silence(name):
    return lambda fleet: fleet.state['silent'].add(name)


def set_faults(fleet):
    fleet.state['faults'] = True


def restore(fleet):
    """Restore a store that lacks the last two reports."""
    for window in sorted(fleet.reported)[-2:]:
        fleet.reported.pop(window)


def jump(error_s, *names):
    return [(21.3, set_error(error_s, *names)), (34.1, set_error(0.0, *names))]


# Events, how far a window may be off, and the latest report after its end.
CASES = {
    'nothing fails': ([], 0.0, 2.2),
    # Half of the messages fail in some way: totals are cumulative.
    'late, repeated, reordered, lost': ([(0.0, set_faults)], 0.0, 5.1),
    # What it counted after its last report is lost, at most a second of it.
    'a VM restarts': ([(22.9, restart('hub-4', 99))], 0.05, 5.1),
    'a VM dies': ([(22.9, stop('hub-4'))], 0.05, 5.1),
    'a VM restarts before the holder changes': (
        [(22.9, restart('hub-4', 99)), (31.0, hold('hub-2'))],
        0.05,
        5.1,
    ),
    'the holder changes within a window': ([(23.7, hold('hub-2'))], 0.0, 2.2),
    # Nobody holds the duties for 6.6 s; then its reports begin at once.
    'the holder dies': (
        [(23.7, stop('hub-1')), (30.3, hold('hub-2'))],
        0.05,
        8.5,
    ),
    # The reports are sent once more, with the same counts. The new holder has
    # not received those of the VM that died.
    'the store is restored and the holder changes': (
        [(22.9, stop('hub-4')), (29.5, restore), (29.5, hold('hub-2'))],
        0.05,
        14.5,
    ),
    'a wall clock is 5 s ahead': (jump(5.0, 'hub-3'), 0.01, 2.2),
    'a wall clock is 5 s behind': (jump(-5.0, 'hub-3'), 0.01, 2.2),
    'three wall clocks are ahead': (
        jump(5.0, 'hub-3', 'hub-4', 'hub-5'),
        0.02,
        2.2,
    ),
    'the wall clock of the holder is ahead': (jump(5.0, 'hub-1'), 0.01, 2.2),
    'the holder starts with a wrong clock': (
        [(0.0, set_error(5.0, 'hub-1'))],
        0.05,
        2.2,
    ),
    # Its gossip arrives and its counts do not: the others' are reported.
    'a VM is silent': ([(22.9, silence('hub-4'))], 0.17, 5.1),
}


@pytest.mark.parametrize('case', CASES)
def test_each_window_is_reported_once_and_right(case):
    events, off, latest_s = CASES[case]
    fleet = make_fleet(NAMES)
    run(fleet, UNTIL_S, events)
    first = int(START_S // BOUNDS.window_s)
    for window in range(first, first + WINDOW_COUNT):
        counts, late_s = fleet.reported[window]
        assert 1.0 <= late_s <= latest_s
        for account, true in fleet.truth[window].items():
            assert counts.get(account, 0) <= true * (1 + off)
            assert counts.get(account, 0) >= true * (1 - off) - bool(off)


def test_window_without_requests_is_reported_with_empty_counts():
    fleet = make_fleet(NAMES)
    run(fleet, 20.0, rate_per_s=0.0)
    assert len(fleet.reported) == 4
    assert all(counts == {} for counts, _ in fleet.reported.values())


def test_window_is_not_sent_long_after_it_was_due():
    """Windows of a long time without a holder are not sent one by one."""
    fleet = make_fleet(NAMES)
    run(fleet, 100.0, [(12.0, hold('')), (90.0, hold('hub-2'))])
    late = [late_s for _, late_s in fleet.reported.values()]
    assert max(late) <= 30.0 + BOUNDS.window_s
    assert len(late) < 20

"""VMs that count requests and report them to a holder, in virtual time."""

from collections import Counter
from random import Random
from typing import Any, NamedTuple

from bluebellhub.usage import (
    Usage,
    UsageBounds,
    apply_usage_report,
    collectors,
    count_start,
    due_window,
    is_holding,
    local_true_s,
    make_usage,
    make_usage_report,
    record_claim,
    record_closed,
    record_holding,
)

__all__ = ['BOUNDS', 'START_S', 'Fleet', 'make_fleet', 'run']

BOUNDS = UsageBounds(5.0, 10.0)
# A multiple of the window's length, plus a part of a window.
START_S = 1_767_225_602.0
STEP_S = 0.05


class Fleet(NamedTuple):
    """VMs by name, messages under way, and what was reported.

    ``truth`` are the counts by window in true time. ``reported`` holds the
    counts and the delay after the end of the window. ``values`` are the wall
    clocks' errors by VM, and the holder's name.
    """

    vms: dict[str, Usage]
    messages: list[tuple[float, int, str, str, Any]]
    truth: dict[int, Counter]
    reported: dict[int, tuple[dict[str, int], float]]
    errors: dict[str, float]
    state: dict[str, Any]
    random: Random


def make_fleet(names):
    """Create VMs that have just started; the first holds the duties."""
    vms = {
        name: make_usage(number, BOUNDS)
        for number, name in enumerate(names, start=1)
    }
    state = {'holder': names[0], 'silent': set(), 'faults': False, 'number': 0}
    state['sent'] = {}
    return Fleet(vms, [], {}, {}, Counter(), state, Random(5))


def _wall_s(fleet, name, now_s):
    return START_S + now_s + fleet.errors[name]


def _send(fleet, sender, to, report, now_s):
    """Send a report; with faults it may be late, lost or sent twice."""
    draw = fleet.random.random() if fleet.state['faults'] else 1.0
    delays = [fleet.random.uniform(0, 2.5), 0.01] if draw < 0.3 else [0.002]
    if 0.3 <= draw < 0.4:
        delays = []
    for delay_s in delays:
        fleet.state['number'] += 1
        fleet.messages.append(
            (now_s + delay_s, fleet.state['number'], sender, to, report)
        )


def _report(fleet, name, now_s):
    usage = fleet.vms[name]
    report = make_usage_report(usage, {}, now_s, _wall_s(fleet, name, now_s))
    if name in fleet.state['silent']:
        return
    to = collectors(usage, now_s)
    if is_holding(usage, now_s):
        to = [other for other in fleet.vms if other != name]
    for other in to:
        _send(fleet, name, other, report, now_s)


def _deliver(fleet, now_s):
    due = sorted(entry for entry in fleet.messages if entry[0] <= now_s)
    for message in due:
        fleet.messages.remove(message)
        sender, to, report = message[2:]
        usage = fleet.vms.get(to)
        if usage is None:
            continue
        wall_s = _wall_s(fleet, to, now_s)
        change = apply_usage_report(usage, sender, report, now_s, wall_s)
        if change == 'applied' and report.is_holder:
            if record_claim(usage, sender, now_s):
                _report(fleet, to, now_s)


def _hold(fleet, now_s):
    """Let the holder report the window that is due."""
    name = fleet.state['holder']
    usage = fleet.vms.get(name)
    if usage is None:
        return
    if record_holding(usage, now_s):
        _report(fleet, name, now_s)
    true_s = local_true_s(usage, now_s, _wall_s(fleet, name, now_s))
    live = [other for other in fleet.vms if other != name]
    last = max(fleet.reported, default=None)
    due = due_window(usage, live, last, true_s, now_s)
    if due is not None:
        record_closed(usage, due.window, due.counts)
        _report(fleet, name, now_s)
        sent = fleet.state['sent'].setdefault(due.window, due.counts)
        assert sent == due.counts, 'a window was sent with other counts'
        late_s = START_S + now_s - (due.window + 1) * BOUNDS.window_s
        fleet.reported[due.window] = (due.counts, late_s)


def run(fleet, until_s, events=(), rate_per_s=8.0):
    """Run from 0 s; ``events`` are times and functions of the fleet."""
    pending = sorted(events, key=lambda event: event[0])
    for step in range(int(until_s / STEP_S)):
        now_s = step * STEP_S
        while pending and pending[0][0] <= now_s:
            pending.pop(0)[1](fleet)
        _deliver(fleet, now_s)
        for name, usage in fleet.vms.items():
            if fleet.random.random() < rate_per_s * STEP_S:
                account = fleet.random.choice(['yard', 'hire'])
                wall_s = _wall_s(fleet, name, now_s)
                count_start(usage, account, local_true_s(usage, now_s, wall_s))
                window = int((START_S + now_s) // BOUNDS.window_s)
                fleet.truth.setdefault(window, Counter())[account] += 1
        _hold(fleet, now_s)
        # The VMs' seconds do not begin at the same moment.
        for number, name in enumerate(list(fleet.vms)):
            if (step + number * 3) % 20 == 0:
                _report(fleet, name, now_s)

"""Tells cut links from dead upstreams, in sequences of checks and reports."""

import pytest

from bluebellhub.reachability import (
    apply_check,
    begin_check,
    is_cut_off,
    is_probe_due,
    make_reachability,
    record_peers_contact,
    update_phase,
)

# Steps are a time and what happens then: a check that reaches an upstream or
# none, or a report that another VM was in contact.
FAILED = 'failed'
REACHED = 'reached'
REPORT = 'report'


def _play(steps):
    links = make_reachability()
    for at_s, step in steps:
        if step == REPORT:
            record_peers_contact(links, at_s)
        else:
            begin_check(links, at_s)
            apply_check(links, is_reached=step == REACHED, now_s=at_s)
    return links


@pytest.mark.parametrize(
    ('steps', 'at_s', 'cut_off', 'counts'),
    [
        # Nothing is known yet, or a check connects.
        ([], 10.0, False, True),
        ([(10.0, REACHED)], 10.0, False, True),
        # Another VM is in contact after the check began: the links are cut.
        ([(9.0, REPORT), (10.0, FAILED), (10.2, REPORT)], 10.2, True, False),
        # It was before, and may be again: wait for its next report.
        ([(9.9, REPORT), (10.0, FAILED)], 10.2, False, False),
        # It was not since, so the upstreams have failed.
        ([(9.9, REPORT), (10.0, FAILED)], 11.3, False, True),
        # Nobody is in contact: the upstreams have failed.
        ([(5.0, REPORT), (10.0, FAILED)], 10.1, False, True),
        ([(10.0, FAILED)], 10.1, False, True),
        # One check that connects ends a cut.
        (
            [(9.9, REPORT), (10.0, FAILED), (10.1, REPORT), (10.5, REACHED)],
            10.5,
            False,
            True,
        ),
    ],
)
def test_cut_links_are_told_from_dead_upstreams(steps, at_s, cut_off, counts):
    links = _play(steps)
    assert update_phase(links, at_s) == counts
    assert is_cut_off(links) == cut_off


def test_cut_off_vm_probes_until_an_upstream_accepts():
    links = _play([(9.9, REPORT), (10.0, FAILED), (10.1, REPORT)])
    update_phase(links, 10.1)
    assert not is_probe_due(links, 10.2)
    assert is_probe_due(links, 10.3)
    assert begin_check(links, 10.3)
    assert not begin_check(links, 10.3)
    assert not is_probe_due(links, 10.9)
    apply_check(links, is_reached=False, now_s=10.7)
    assert is_cut_off(links)
    assert is_probe_due(links, 10.7)

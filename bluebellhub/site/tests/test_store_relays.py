"""Decisions of VMs that relay the store's changes, and of those that follow."""

from math import nan

import pytest

from bluebellhub.registration import record_outage
from bluebellhub.site.relay_roles import (
    change_recipients,
    is_relay,
    other_local_vms,
)
from bluebellhub.site.reports import Peer, VmReport
from bluebellhub.site.state import Bounds, make_site, set_vms
from bluebellhub.site.store_history import (
    listing_changes,
    make_history,
    record_changes,
    record_listing,
    record_response,
)
from bluebellhub.site.store_messages import (
    ConfirmedPosition,
    StoreChanges,
    StorePositions,
)
from bluebellhub.site.store_relays import (
    apply_store_positions,
    find_history,
    make_store_positions,
    next_step,
    stated_outage_end_s,
    take_relayed_changes,
)
from bluebellhub.site.stored_objects import Change, Position, StoredEntry
from bluebellhub.site.vm_location import VmLocation

KIND, WAIT_S, NOW_S = 'k', 1.2, 100.0
LISTED_AT = Position(10, 1)
VMS = [f'hub-{number:02}' for number in range(20)]


def _object(name, revision):
    return Change(StoredEntry(name, revision, {}), is_removed=False)


def _removal(name, revision):
    return Change(StoredEntry(name, revision, None), is_removed=True)


def _make_site(vm, vms):
    site = make_site(vm, 'd', Bounds(), 0.0)
    set_vms(site, dict.fromkeys(vms, VmLocation('', 'd')))
    return site


# The order in which the VMs relay, as a further VM sees it.
ORDER = other_local_vms(_make_site('hub-99', [*VMS, 'hub-99']))


def _make_vm(rank=-1, live=VMS, vms=VMS, listed_at=LISTED_AT):
    """Return the VM of a rank among the relays of a domain of 20 VMs.

    The VMs in ``live`` are live during the whole test.
    """
    site = _make_site(ORDER[rank] if vms == VMS else vms[rank], vms)
    for vm in live:
        if vm != site.vm:
            report = VmReport(1, 1, 1, {}, {}, {})
            site.peers[vm] = Peer(report, NOW_S + 100.0)
    if listed_at is not None:
        record_listing(
            find_history(site, KIND), [StoredEntry('a', 4, {})], listed_at
        )
    return site


def _hear(
    site,
    age_s=0.0,
    *,
    now_s=NOW_S,
    sent_s=None,
    sender=0,
    since=10,
    at=10,
    era=1,
    outage_s=None,
    start_id=7,
):
    message = StorePositions(
        start_id,
        now_s - 50.0 if sent_s is None else sent_s,
        {KIND: ConfirmedPosition(era, since, at, age_s)},
        outage_s,
    )
    return apply_store_positions(
        site, other_local_vms(site)[sender], message, now_s
    )


@pytest.mark.parametrize(
    ('rank', 'live', 'relays'),
    [(0, VMS, True), (1, VMS, True), (2, VMS, False), (-1, VMS, False)]
    + [(-1, [], True)],
)
def test_first_two_live_vms_relay(rank, live, relays):
    """A VM that hears no other watches by itself."""
    assert is_relay(_make_vm(rank, live), NOW_S) == relays


def test_no_vm_relays_before_it_can_know_the_others():
    """Else all VMs that start together would send to each other."""
    site = _make_vm(0)
    assert not is_relay(site, site.started_at_s + 1.0)


def test_small_fleet_has_no_relays():
    site = _make_vm(0, vms=VMS[:16], live=VMS[:16])
    assert not is_relay(site, NOW_S)
    assert next_step(site, KIND, WAIT_S, NOW_S) == 'watch'
    assert not _hear(site)


STEPS = [
    ({}, 0.0, 'follow'),
    ({'age_s': 1.7}, 0.0, 'follow'),
    ({'age_s': 2.5}, 0.0, 'watch'),
    ({}, 1.9, 'follow'),
    ({}, 2.5, 'watch'),
    ({'since': 11, 'at': 12}, 0.2, 'follow'),
    ({'since': 11, 'at': 12}, 0.6, 'read'),
    ({'since': 9, 'at': 12}, 0.6, 'follow'),
    ({'since': 1, 'at': 2, 'era': 2}, 0.6, 'list'),
    ({'since': 11, 'at': 12, 'era': 0}, 0.6, 'watch'),
    ({'since': 11, 'at': 12, 'era': None}, 0.6, 'watch'),
]


@pytest.mark.parametrize(('received', 'later_s', 'step'), STEPS)
def test_vm_follows_only_what_is_confirmed(received, later_s, step):
    """A relay that is frozen, cut off or behind would hide changes."""
    site = _make_vm()
    assert _hear(site, **received)
    next_step(site, KIND, WAIT_S, NOW_S)
    assert next_step(site, KIND, WAIT_S, NOW_S + later_s) == step


@pytest.mark.parametrize('listed_at', [None, Position(10, 1)])
def test_vm_without_relays_watches(listed_at):
    """A VM that starts does not wait for relays."""
    site = _make_vm(listed_at=listed_at)
    assert next_step(site, KIND, WAIT_S, NOW_S) == 'watch'


def test_vm_follows_again_only_after_a_while():
    """Else it would change back and forth with a relay that is half cut off."""
    site = _make_vm()
    steps = []
    for after_s in (0.0, 4.0, 4.5, 5.0, 5.5, 6.0, 6.5, 7.0, 7.5):
        if after_s != 4.0:
            _hear(site, now_s=NOW_S + after_s)
        steps.append(next_step(site, KIND, WAIT_S, NOW_S + after_s))
    assert steps == ['follow', *['watch'] * 7, 'follow']


@pytest.mark.parametrize('frozen_s', [3.0, 30.0])
def test_message_from_before_a_freeze_confirms_nothing(frozen_s):
    """It was queued with a low age, and is sent when the relay resumes."""
    site = _make_vm()
    assert _hear(site, sent_s=50.0)
    resumed_s = NOW_S + 0.5 + frozen_s
    assert _hear(site, now_s=resumed_s, sent_s=50.5)
    assert next_step(site, KIND, WAIT_S, resumed_s) == 'watch'
    assert _hear(site, now_s=resumed_s, sent_s=50.5 + frozen_s)
    assert next_step(site, KIND, WAIT_S, resumed_s) == 'follow'


REFUSED = [
    {'age_s': -1.0},
    {'age_s': nan},
    {'since': 13, 'at': 12},
    {'sent_s': 40.0},
    {'sent_s': nan},
    {'start_id': 6},
]


@pytest.mark.parametrize('fields', REFUSED)
def test_malformed_and_older_positions_are_refused(fields):
    site = _make_vm()
    assert _hear(site, sent_s=45.0, start_id=6)
    assert _hear(site, sent_s=50.0)
    assert not _hear(site, **{'sent_s': 51.0, **fields})


def test_positions_of_other_domains_are_refused():
    site = _make_vm()
    message = make_store_positions(site, NOW_S)
    assert not apply_store_positions(site, 'hub-99', message, NOW_S)


TAKEN = [
    ((10, 12), 1, [_object('a', 11)], ['a']),
    ((8, 12), 1, [_object('a', 9), _object('b', 12)], ['b']),
    ((8, 12), 1, [_removal('a', 3), _object('b', 11)], ['b']),
    ((8, 12), 1, [_removal('a', 4)], ['a']),
    ((10, 13), 1, [_object('b', 11), _removal('b', 11)], ['b', 'b']),
    ((9, 10), 1, [_object('a', 10)], []),
    ((11, 12), 1, [_object('a', 12)], None),
    ((1, 3), 2, [_object('a', 2)], None),
    ((10, 12), 0, [_object('a', 12)], []),
]


@pytest.mark.parametrize(('between', 'era', 'changes', 'names'), TAKEN)
def test_only_newer_changes_without_a_gap_are_applied(
    between, era, changes, names
):
    site = _make_vm()
    message = StoreChanges(KIND, era, *between, changes)
    found = take_relayed_changes(site, message, NOW_S)
    taken = None if found is None else [each.entry.name for each in found]
    assert taken == names
    if found:
        assert not take_relayed_changes(site, message, NOW_S)


def test_position_is_unchanged_since_a_change_that_was_known():
    """Else VMs that lack it would be taken past it."""
    history = make_history()
    entries = [StoredEntry('a', 12, {})]
    record_listing(history, entries, Position(10, 1))
    assert not record_changes(history, [_object('a', 12)], 15)
    assert history.state['unchanged_since'] == 12


@pytest.mark.parametrize(
    ('listed', 'names'),
    [((12, 1), ['b', 'c']), ((9, 1), None), ((12, 2), None)],
)
def test_listing_is_compared_within_an_era(listed, names):
    """Relays pass on the difference, as a whole listing may take 1 MB."""
    history = make_history()
    known = [StoredEntry(name, 4, {}) for name in 'ab']
    record_listing(history, known, Position(10, 1))
    found = [StoredEntry('a', 4, {}), StoredEntry('c', 11, {})]
    changes = listing_changes(history, found, Position(*listed))
    assert (changes and [each.entry.name for each in changes]) == names


@pytest.mark.parametrize(
    ('size', 'copies'), [(2000, 2), (10_000, 1), (100_000, 0)]
)
def test_larger_changes_are_sent_fewer_times(size, copies):
    """Two relays with 65 VMs at 5 Mbit/s would be busy for seconds."""
    sent = [
        name
        for rank in (0, 1)
        for name in change_recipients(_make_vm(rank), size, NOW_S)
    ]
    assert [sent.count(name) for name in ORDER[2:]] == [copies] * 18
    assert all(sent.count(name) <= copies for name in ORDER[:2])


@pytest.mark.parametrize(
    ('ages_s', 'defers'), [([0.3, 0.5], True), ([0.3, None], False)]
)
def test_outage_counts_if_all_relays_state_it(ages_s, defers):
    """One relay that is cut off must not delay removals for its domain."""
    site = _make_vm()
    for sender, age_s in enumerate(ages_s):
        _hear(site, sender=sender, outage_s=age_s)
    assert (stated_outage_end_s(site, NOW_S) is not None) == defers


def test_relay_states_an_outage():
    site = _make_vm(0)
    record_response(find_history(site, KIND), NOW_S - 0.5)
    record_outage(site.registrations, NOW_S - 2.0, is_on=True)
    assert make_store_positions(site, NOW_S).outage_age_s == 0.0
    record_outage(site.registrations, NOW_S - 1.0, is_on=False)
    message = make_store_positions(site, NOW_S)
    assert message.outage_age_s == 1.0
    assert message.kinds[KIND] == ConfirmedPosition(1, 10, 10, 0.5)
    assert make_store_positions(site, NOW_S + 2.0).outage_age_s is None

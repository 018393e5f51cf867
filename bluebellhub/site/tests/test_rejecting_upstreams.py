"""Fleets whose engines fail if they have to reject many requests.

VMs sent to each slot that would soon be free, and engines without room for
waiting requests failed again and again.
"""

from collections import defaultdict

import pytest

from bluebellhub.request import AttemptFailure
from bluebellhub.request.heads import UpstreamLoad
from bluebellhub.scheduler import attempt_failed, request_sent
from bluebellhub.scheduler.credit import share_of
from bluebellhub.scheduler.shares import observe_plain
from bluebellhub.site.rejection_limits import (
    apply_stated_rejections,
    make_rejection_report,
)
from bluebellhub.site.state import Bounds
from bluebellhub.site.stated_limits import make_limits_sent
from bluebellhub.site.tests.overloaded_engines import Load, Room
from bluebellhub.site.tests.overloaded_fleet import simulate
from bluebellhub.site.tests.simulated_fleet import (
    make_fleet,
    restart,
    run_fleet,
)
from bluebellhub.site.tests.small_site import (
    dispatched_upstreams,
    make_registration,
    make_small_site,
    send,
)
from bluebellhub.site.upstreams import (
    apply_registration,
    apply_removal,
    apply_response_load,
)

SECOND_S = 1.0
FLEET = Load(low=0.5, high=0.9)
SERVED_RATIO = 0.7
STABLE_S = 4.0
# Rejections per second that an upstream states, and from when on.
STATED = ((4.0, 1.0), (None, 10.0))


def _count_failures(rejected_s, rejections_max):
    """Return how often more requests were rejected in a second than allowed.

    After a failure, an engine counts anew.
    """
    failures = 0
    recent = defaultdict(list)
    for upstream, now_s in rejected_s:
        since_s = now_s - SECOND_S
        recent[upstream] = [at_s for at_s in recent[upstream] if at_s > since_s]
        recent[upstream].append(now_s)
        if len(recent[upstream]) > rejections_max:
            failures += 1
            recent[upstream].clear()
    return failures


def _most_failures(load):
    """Return how often engines may fail while they state a limit."""
    return 2 + 0.1 * load.engines


@pytest.mark.parametrize(
    ('load', 'rejections_max', 'waiting_max'),
    [
        (FLEET, 8, 0),
        (Load(), 8, 0),
        (Load(), 3, 0),
        (Load(low=1.5, high=1.5), 8, 2),
        (FLEET._replace(vms=8, engines=6), 8, 0),
        (Load(vms=8, engines=6), 4, 0),
        (FLEET._replace(engines=3, slots=(6,)), 5, 0),
        (Load(engines=3, slots=(6,)), 5, 0),
    ],
)
def test_engines_do_not_fail_from_rejecting_requests(
    load, rejections_max, waiting_max
):
    load = load._replace(room=Room(rejections_max, waiting_max))
    result = simulate(load)
    failures = _count_failures(result.rejected_s, rejections_max)
    assert failures <= _most_failures(load)
    unread = load._replace(room=load.room._replace(is_read=False))
    served = simulate(unread).in_time
    # Engines that failed would serve less, but these ones never do.
    assert result.in_time >= SERVED_RATIO * served


FULL = UpstreamLoad(8, 0, 8)


@pytest.mark.parametrize(
    ('stated', 'load', 'is_sent'),
    [
        ([None], FULL, True),
        ([4.0], FULL, False),
        ([4.0], UpstreamLoad(7, 0, 8), True),
        ([4.0, None], FULL, True),
        ([4.0, None, 2.0], FULL, False),
    ],
)
def test_nothing_waits_at_an_upstream_that_states_a_limit(
    stated, load, is_sent
):
    site = make_small_site(make_registration(slots=8))
    for number, per_s in enumerate(stated):
        apply_stated_rejections(site, 'u1', per_s, number)
    apply_response_load(site, 'u1', load, 3.0)
    observe_plain(share_of(site.scheduler, 's'), 0.05)
    _, events = send(site, 'r', 3.0)
    assert bool(dispatched_upstreams(events)) == is_sent


@pytest.mark.parametrize(
    ('kind', 'stated', 'has_left', 'is_sent'),
    [
        ('refused', 4.0, True, False),
        ('refused', None, True, True),
        ('answered_error', 4.0, True, True),
        # Given up here, since the upstream had asked to wait meanwhile.
        ('refused', 4.0, False, True),
    ],
)
def test_rejected_request_is_not_sent_there_again_at_once(
    kind, stated, has_left, is_sent
):
    site = make_small_site(make_registration(slots=8))
    apply_stated_rejections(site, 'u1', stated, 0.0)
    admission, _ = send(site, 'r', 1.0)
    request_id = admission.request.request_id
    if has_left:
        request_sent(site.scheduler, request_id)
    attempt_failed(site.scheduler, request_id, AttemptFailure(kind), 1.0)
    _, events = send(site, 'r2', 1.1)
    assert bool(dispatched_upstreams(events)) == is_sent
    _, events = send(site, 'r3', 3.0)
    assert dispatched_upstreams(events)


@pytest.mark.parametrize('loss_ratio', [0.0, 0.3])
def test_vms_learn_of_a_limit_and_of_its_end(loss_ratio):
    """Also if messages are lost, and VMs that start in between."""
    fleet = make_fleet(30, 3, Bounds(), seed=1)
    fleet.loss['ratio'] = loss_ratio
    first, *others = fleet.sites
    for per_s, from_s in STATED:
        apply_stated_rejections(fleet.sites[first], 'u1', per_s, from_s)
        run_fleet(fleet, from_s, from_s + STABLE_S, 100.0)
        assert _known_limits(fleet) == {per_s}
        restart(fleet, others[:5], from_s + STABLE_S)
        run_fleet(fleet, from_s + STABLE_S, from_s + 2 * STABLE_S, 100.0)
        assert _known_limits(fleet) == {per_s}


def _known_limits(fleet):
    return {
        site.scheduler.upstreams['u1'].rejections_per_s
        for site in fleet.sites.values()
    }


@pytest.mark.parametrize(
    ('stated', 'expected'),
    [
        ([('u1', 4.0)], 4.0),
        ([('u1', 4.0), ('u1', None)], None),
        ([('u1', 4.0), ('u2', None)], None),
        ([('u1', 4.0), ('u2', None), ('u1', 2.0)], None),
        ([('u1', 4.0), ('u3', 2.0), ('u1', None)], 2.0),
        ([('u1', 4.0), ('u3', 2.0), ('u3', None)], 4.0),
    ],
)
def test_assumed_limit_ends_with_those_that_it_was_taken_from(stated, expected):
    entries = [make_registration(name) for name in ('u1', 'u2', 'u3')]
    site = make_small_site(*entries)
    for number, (name, per_s) in enumerate(stated):
        apply_stated_rejections(site, name, per_s, number)
    assert site.scheduler.upstreams['u2'].rejections_per_s == expected


def test_assumed_limit_ends_with_the_removal_of_its_upstream():
    site = make_small_site(make_registration(), make_registration('u2'))
    apply_stated_rejections(site, 'u1', 4.0, 0.0)
    apply_removal(site, 'u1', 10.0)
    make_rejection_report(site, make_limits_sent(), 10.0)
    assert site.scheduler.upstreams['u2'].rejections_per_s is None


@pytest.mark.parametrize(
    ('stated', 'expected'),
    [
        ([], None),
        ([('u1', 4.0)], 4.0),
        ([('u1', 4.0), ('u1', None)], None),
        ([('u1', 4.0), ('u2', None)], 4.0),
        ([('u1', 4.0), ('u1', None), ('u2', 2.0)], None),
    ],
)
def test_upstream_that_is_back_counts_as_in_need_like_its_peers(
    stated, expected
):
    site = make_small_site(make_registration(), make_registration('u2'))
    for number, (name, per_s) in enumerate(stated):
        apply_stated_rejections(site, name, per_s, number)
    apply_removal(site, 'u2', 10.0)
    make_rejection_report(site, make_limits_sent(), 10.0)
    back = make_registration('u2', started_at_ms=2)
    apply_registration(site, back, 11.0)
    assert site.scheduler.upstreams['u2'].rejections_per_s == expected

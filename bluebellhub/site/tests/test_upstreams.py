"""Tests of the upstreams that get work: registrations, domains, cold ones."""

import pytest

from bluebellhub.request.heads import UpstreamLoad
from bluebellhub.request.refusal import NoUpstreamError
from bluebellhub.site.state import Bounds, make_site
from bluebellhub.site.tests.small_site import (
    dispatched_upstreams,
    make_registration,
    make_routing_table,
    make_small_site,
    send,
)
from bluebellhub.site.upstreams import (
    apply_registration,
    apply_registrations,
    apply_removal,
    apply_response_load,
    apply_routing_table,
    set_evacuated,
)


@pytest.mark.parametrize(
    ('entry', 'out', 'chosen'),
    [
        (make_registration('u2'), (), ['u2']),
        (make_registration('u2', state='draining'), (), []),
        (make_registration('u2', failure_domain='e'), ('e',), []),
        (make_registration('u2', service='t'), (), []),
    ],
)
def test_only_eligible_upstreams_get_work(entry, out, chosen):
    site = make_small_site(make_registration('u1', state='draining'), entry)
    set_evacuated(site, out)
    _, events = send(site)
    assert dispatched_upstreams(events) == chosen


@pytest.mark.parametrize(
    ('change', 'chosen'),
    [
        (lambda site: apply_removal(site, 'u1', 9.0), []),
        (lambda site: apply_registrations(site, [], 9.0), []),
        (
            lambda site: apply_registrations(site, [make_registration()], 9.0),
            ['u1'],
        ),
        (
            lambda site: apply_registration(
                site, make_registration(state='draining'), 9.0
            ),
            [],
        ),
        (
            lambda site: apply_registration(
                site,
                make_registration(address='10.0.0.2:1', started_at_ms=9),
                9.0,
            ),
            ['u1'],
        ),
    ],
)
def test_registration_changes_update_upstreams(change, chosen):
    site = make_small_site(
        make_registration(), make_registration('other', service='t')
    )
    change(site)
    site.scheduler.by_target.setdefault('s', [])
    if not site.scheduler.by_target['s']:
        with pytest.raises(NoUpstreamError):
            send(site, now_s=9.0)
        return
    _, events = send(site, now_s=9.0)
    assert dispatched_upstreams(events) == chosen


def test_new_incarnation_starts_without_state():
    site = make_small_site(make_registration())
    upstreams = site.scheduler.upstreams
    upstreams['u1'] = upstreams['u1']._replace(paused_until_s=99.0)
    apply_registration(site, make_registration(started_at_ms=5), 1.0)
    assert upstreams['u1'].paused_until_s == 0.0


@pytest.mark.parametrize(
    ('load', 'placed'),
    [
        (UpstreamLoad(1, 0, 2), True),
        (UpstreamLoad(2, 0, 2), False),
        (UpstreamLoad(1, 1, 2), False),
    ],
)
def test_load_in_response_limits_dispatch(load, placed):
    site = make_small_site(make_registration())
    apply_response_load(site, 'u1', load, 0.0)
    _, events = send(site)
    assert bool(dispatched_upstreams(events)) is placed


@pytest.mark.parametrize('vms', [1, 8, 85])
def test_cold_rate_holds_over_all_vms(vms):
    names = [f'hub-{number}' for number in range(vms)]
    sent = 0
    for name in names:
        site = make_site(name, 'd', Bounds(), -60.0)
        site.vms.update(dict.fromkeys(names, ''))
        apply_routing_table(site, make_routing_table())
        cold = make_registration(cold_s=3.0, slots=50)
        apply_registration(site, cold, 0.0)
        for number in range(40):
            _, events = send(site, f'{number}', now_s=number / 40)
            sent += len(dispatched_upstreams(events))
    assert 1 <= sent <= 16 * 1.5 + 5


@pytest.mark.parametrize('is_first', [True, False])
def test_cold_rate_holds_in_either_read_order(is_first):
    """A VM that starts may read registrations before the configuration."""
    site = make_site('hub-1', 'd', Bounds(), -60.0)
    site.vms['hub-1'] = ''
    cold = make_registration(cold_s=3.0, slots=50)
    if is_first:
        apply_registration(site, cold, 0.0)
    apply_routing_table(site, make_routing_table())
    if not is_first:
        apply_registration(site, cold, 0.0)
    sent = 0
    for number in range(60):
        _, events = send(site, f'{number}', now_s=number / 60)
        sent += len(dispatched_upstreams(events))
    assert 1 <= sent <= 16 * 1.5 + 5

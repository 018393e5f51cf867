"""Tests of the order in which requests are sent when capacity is short."""

import pytest

from bluebellhub.request.heads import TokenCounts
from bluebellhub.scheduler import Dispatch, Refuse, submit, tick
from bluebellhub.site.admission import UNLIMITED, admit_request
from bluebellhub.site.tests.overloaded_engines import (
    CHAT,
    LONG,
    SHORT,
    Kind,
    Load,
)
from bluebellhub.site.tests.overloaded_fleet import make_vm, simulate
from bluebellhub.site.tests.small_site import make_request_head
from bluebellhub.site.vm_location import VmLocation

LARGE = Kind('large', 24_000, 5, 0.5)
SMALL = Kind('small', 600, 5, 0.5)
LOW = Kind('low', 600, 5, 0.5, rank=3)
HOPELESS = Kind('hopeless', 600_000, 5, 0.5)
RANKED = (CHAT, SHORT._replace(rank=1), LONG._replace(rank=2))


def make_full_vm(*kinds):
    """Return a VM whose only upstream has all slots in use by other VMs."""
    load = Load(engines=1, slots=(4,), domains=1, kinds=kinds)
    site = make_vm(load, 'hub-1', {'hub-1': VmLocation('10.0.0.9:1', 'd0')}, 1)
    occupy(site, 100)
    return site


def occupy(site, work):
    upstream = site.scheduler.upstreams['u0']
    site.scheduler.upstreams['u0'] = upstream._replace(other_vms_work=work)


def send(site, kind, now_s=0.0):
    tokens = TokenCounts(kind.prompt_tokens, kind.events)
    head = make_request_head(
        kind.name, path=f'/{kind.name}/', key='yard', tokens=tokens
    )
    request = admit_request(site, head, now_s).request
    return submit(site.scheduler, request, UNLIMITED, now_s)


def names(events, of):
    found = [event for event in events if isinstance(event, of)]
    return [event.request_id.split('/')[0] for event in found]


@pytest.mark.parametrize(
    ('kinds', 'work', 'sent'),
    [
        ((LARGE, SMALL), 4, ['small']),
        ((LARGE, SMALL), 2, ['large', 'small']),
        ((SMALL, LARGE), 2, ['large', 'small']),
        ((LOW, SMALL), 2, ['small', 'low']),
        ((LOW, LARGE, SMALL), 3, ['large']),
    ],
)
def test_requests_leave_the_queue_in_order(kinds, work, sent):
    """A large prompt neither blocks the small ones nor is overtaken by all."""
    site = make_full_vm(*kinds)
    for kind in kinds:
        assert not names(send(site, kind), Dispatch)
    site.scheduler.shares['s'].other_demand.clear()
    occupy(site, work)
    dispatched = names(tick(site.scheduler, 0.01), Dispatch)
    assert dispatched[: len(sent)] == sent
    assert work != 4 or 'large' not in dispatched


def test_request_that_cannot_be_in_time_is_refused_at_once():
    site = make_full_vm(HOPELESS, SMALL)
    for kind in (HOPELESS, SMALL):
        send(site, kind)
    site.scheduler.shares['s'].other_demand[0] = 1000.0
    assert names(tick(site.scheduler, 0.01), Refuse) == ['hopeless']


@pytest.mark.parametrize('seed', [1, 2])
def test_lower_ranks_are_refused_first(seed):
    result = simulate(Load(kinds=RANKED), seed=seed)
    refused, in_time = (
        [
            result.counts[outcome, kind.name] / result.counts['all', kind.name]
            for kind in RANKED
        ]
        for outcome in ('refused', 'in_time')
    )
    assert refused == sorted(refused)
    assert refused[0] < 0.1
    assert not result.upset
    assert in_time[0] > 0.5

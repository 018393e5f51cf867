"""Builds a VM of a small site, for tests."""

from bluebellhub.registration import Registration
from bluebellhub.request.heads import RequestHead
from bluebellhub.route import Account, Route, Service, Split, make_table
from bluebellhub.scheduler import Dispatch, Refuse, submit
from bluebellhub.site.admission import UNLIMITED, admit_request
from bluebellhub.site.state import Bounds, make_site, set_vms
from bluebellhub.site.upstreams import apply_registration, apply_routing_table
from bluebellhub.site.vm_location import VmLocation

__all__ = [
    'ACCOUNT',
    'dispatched_upstreams',
    'make_registration',
    'make_request_head',
    'make_routing_table',
    'make_small_site',
    'refusal_errors',
    'send',
]

ACCOUNT = Account('yard', rate_per_s=1000.0, burst=1000.0, counts_tokens=True)


def make_routing_table(version=1, services=None, **fields):
    """Return a configuration with one route to service ``s``."""
    given = {'timeout_s': 10.0, 'objective_s': 1.0, **fields}
    route = Route('r', 'a.example', '/a/', (Split('s', 1.0),), **given)
    return make_table(
        version,
        [route],
        services or [Service('s', cold_per_s=16.0, cold_start_s=3.0)],
        {'k1': ACCOUNT},
    )


def make_registration(name='u1', state='ready', **fields):
    """Return the registration of an upstream with two slots."""
    given = {
        'service': 's',
        'address': '10.0.0.1:1',
        'failure_domain': 'd',
        'version': 'v1',
        'slots': 2,
        **fields,
    }
    return Registration(name, state=state, **given)


def make_small_site(*entries, vms=('hub-1',), **fields):
    """Return a site with a configuration and these upstreams."""
    site = make_site('hub-1', 'd', Bounds(), -60.0)
    set_vms(site, dict.fromkeys(vms, VmLocation('10.0.0.9:1', 'd')))
    apply_routing_table(site, make_routing_table(**fields))
    for entry in entries:
        apply_registration(site, entry, 0.0)
    return site


def make_request_head(request_id='1', **fields):
    """Return the head of a caller's request."""
    given = {
        'method': b'GET',
        'target': b'/a/x',
        'host': 'a.example',
        'path': '/a/x',
        'key': 'k1',
        'time_limit_s': 5.0,
        'tokens': None,
        'resume_after': None,
        'forwarded_headers': (),
        **fields,
    }
    return RequestHead(request_id, **given)


def send(site, request_id='1', now_s=0.0, **fields):
    """Admit and submit a request; returns its admission and the events."""
    admission = admit_request(
        site, make_request_head(request_id, **fields), now_s
    )
    events = submit(site.scheduler, admission.request, UNLIMITED, now_s)
    return admission, events


def dispatched_upstreams(events):
    """Return the upstreams that requests were dispatched to."""
    return [event.upstream for event in events if isinstance(event, Dispatch)]


def refusal_errors(events):
    """Return the errors of the refusals among the events."""
    return [event.error for event in events if isinstance(event, Refuse)]

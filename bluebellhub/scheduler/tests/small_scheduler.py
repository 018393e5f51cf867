"""Scheduler with a few upstreams, for tests."""

from bluebellhub.contract import AccountLimits, find_tier
from bluebellhub.request import make_request
from bluebellhub.scheduler import Refuse, add_upstream, make_scheduler, submit
from bluebellhub.scheduler.capacity import full_window_slots
from bluebellhub.scheduler.options import SchedulerOptions
from bluebellhub.upstream import UpstreamSpec, make_upstream

__all__ = [
    'LIMITS',
    'event_types',
    'make_small_scheduler',
    'refusal_reasons_of',
    'submit_request',
]

LIMITS = AccountLimits(1e6, 10**6)


def make_small_scheduler(upstreams=1, window=2, **fields):
    scheduler = make_scheduler(SchedulerOptions(), full_window_slots)
    for number in range(upstreams):
        spec = UpstreamSpec(
            f'u{number}',
            '127.0.0.1:1',
            ('m',),
            f'd{number}',
            window=window,
            **fields,
        )
        add_upstream(scheduler, make_upstream(spec, warm=True))
    return scheduler


def submit_request(scheduler, name, tier='check', now_s=0.0, **fields):
    given = {'prompt_tokens': 10, 'arrived_at_s': now_s, **fields}
    request = make_request(name, find_tier(tier), 'm', **given)
    return submit(scheduler, request, LIMITS, now_s)


def event_types(events):
    return [type(event) for event in events]


def refusal_reasons_of(events):
    return {
        event.request_id: event.error.reason
        for event in events
        if isinstance(event, Refuse)
    }

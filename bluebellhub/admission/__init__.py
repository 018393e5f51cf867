"""Queue of one model or service, and its order."""

from bluebellhub.admission.queue import (
    Queue,
    QueuedRequest,
    charge,
    head,
    heads,
    make_queue,
    put,
    queued_cost_s,
    ranks,
    remove,
    requests_below,
    requests_of_rank,
    size,
)

__all__ = [
    'Queue',
    'QueuedRequest',
    'charge',
    'head',
    'heads',
    'make_queue',
    'put',
    'queued_cost_s',
    'ranks',
    'remove',
    'requests_below',
    'requests_of_rank',
    'size',
]

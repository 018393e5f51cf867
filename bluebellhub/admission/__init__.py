"""Admission: the queue of one model or service and its order."""

from bluebellhub.admission.queue import (
    Queue,
    Waiting,
    charge,
    head,
    lower_ranks,
    make_queue,
    put,
    queued_cost_s,
    queued_of_rank,
    ranks,
    remove,
    size,
)

__all__ = [
    'Queue',
    'Waiting',
    'charge',
    'head',
    'lower_ranks',
    'make_queue',
    'put',
    'queued_of_rank',
    'queued_cost_s',
    'ranks',
    'remove',
    'size',
]

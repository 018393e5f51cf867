"""Order of the queue, and its sums of expected slot time."""

import pytest

from bluebellhub.admission import (
    QueuedRequest,
    charge,
    head,
    make_queue,
    put,
    queued_cost_s,
    remove,
    requests_below,
)


def _queued_request(
    name, rank=0, account='a', deadline_s=1.0, cost_s=0.1, weight=1.0
):
    return QueuedRequest(deadline_s, name, account, rank, cost_s, weight)


def _dispatch_order(queue):
    order = []
    while (entry := head(queue)) is not None:
        remove(queue, entry.request_id)
        charge(queue, entry)
        order.append(entry.request_id)
    return order


@pytest.mark.parametrize(
    ('entries', 'expected'),
    [
        (
            [_queued_request('low', 2), _queued_request('high', 0)],
            ['high', 'low'],
        ),
        (
            [
                _queued_request('late', deadline_s=2.0),
                _queued_request('soon', deadline_s=1.0),
            ],
            ['soon', 'late'],
        ),
        (
            [
                _queued_request('a1'),
                _queued_request('a2', deadline_s=1.1),
                _queued_request('b1', account='b', deadline_s=9.0),
            ],
            ['a1', 'b1', 'a2'],
        ),
        (
            [
                _queued_request('a1', cost_s=9.0),
                _queued_request('a2', deadline_s=1.1),
                _queued_request('b1', account='b', deadline_s=1.0),
                _queued_request('b2', account='b', deadline_s=2.0),
            ],
            ['a1', 'b1', 'b2', 'a2'],
        ),
    ],
)
def test_queue_order_is_by_tier_then_fair_share_then_deadline(
    entries, expected
):
    queue = make_queue()
    for entry in entries:
        put(queue, entry)
    assert _dispatch_order(queue) == expected


def test_an_account_with_more_weight_is_served_more_often():
    queue = make_queue()
    for number in range(20):
        put(
            queue, _queued_request(f'h{number:02}', account='heavy', weight=3.0)
        )
        put(queue, _queued_request(f'l{number:02}', account='light'))
    first = _dispatch_order(queue)[:12]
    heavy = sum(name.startswith('h') for name in first)
    assert heavy == 9


def test_removal_updates_costs_and_lower_tiers():
    queue = make_queue()
    for rank in (0, 1, 2):
        put(queue, _queued_request(f'r{rank}', rank, cost_s=1.0 + rank))
    assert queued_cost_s(queue, 1) == 3.0
    assert [entry.rank for entry in requests_below(queue, 0)] == [2, 1]
    remove(queue, 'r1')
    assert queued_cost_s(queue, 1) == 1.0
    assert remove(queue, 'r1') is None

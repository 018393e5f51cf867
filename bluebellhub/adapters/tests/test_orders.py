"""Orders at two VMs with lost, late or repeated messages between them."""

import json
from collections import Counter
from typing import Final

import httpx
import pytest
import trio

from bluebellhub.adapters.exchange import Head, make_exchange
from bluebellhub.adapters.order_shards import (
    OrderCoordinator,
    deliver_claim_answer,
    enqueue_claim,
    enqueue_outcome,
    make_order_coordinator,
)
from bluebellhub.adapters.orders import place_order
from bluebellhub.adapters.platform import Platform
from bluebellhub.errors import ConflictError
from bluebellhub.order import Claim
from bluebellhub.request.refusal import OrderUnknownError
from bluebellhub.standins.platform_model import (
    PlatformModel,
    make_platform_model,
    read_object,
    write_object,
)

LATE_DELAY_S: Final = 0.5
TIMEOUT_S: Final = 10.0
RESPONSE: Final = (Head(201, 'text/plain'), b'booked')


def _make_client(model: PlatformModel) -> Platform:
    """Return a client of a store that is an in-memory model."""

    def respond(request: httpx.Request) -> httpx.Response:
        kind, name = request.url.path.split('/')[-2:]
        if request.method == 'GET':
            stored = read_object(model, kind, name)
            status = 200 if stored.version else 404
            return httpx.Response(status, json=list(stored))
        try:
            stored = write_object(
                model,
                kind,
                name,
                json.loads(request.content),
                int(request.headers['If-Match']),
            )
        except ConflictError as error:
            return httpx.Response(409, json={'version': error.found})
        return httpx.Response(200, json=list(stored))

    transport = httpx.MockTransport(respond)
    client = httpx.AsyncClient(transport=transport, base_url='http://store')
    return Platform(client, Counter())


def _two_coordinators(
    nursery: trio.Nursery, request_fault: str, reply_fault: str
) -> tuple[OrderCoordinator, OrderCoordinator]:
    """Return the coordinators of a VM and of the shard's owner.

    The faults apply to messages to the owner and to its replies.
    """
    model = make_platform_model()

    def forward(_shard: str, sent: object) -> bool:
        deliver = enqueue_claim if isinstance(sent, Claim) else enqueue_outcome
        nursery.start_soon(
            _deliver_with_fault, request_fault, deliver, owner, sent
        )
        return True

    orders = make_order_coordinator(_make_client(model), nursery, forward)
    owner = make_order_coordinator(
        _make_client(model),
        nursery,
        reply=lambda answer: nursery.start_soon(
            _deliver_with_fault,
            reply_fault,
            deliver_claim_answer,
            orders,
            answer,
        ),
    )
    return orders, owner


async def _deliver_with_fault(fault, deliver, orders, message):
    if fault == 'lost':
        return
    await trio.sleep(LATE_DELAY_S if fault == 'late' else 0)
    deliver(orders, message)
    if fault == 'doubled':
        deliver(orders, message)


async def _place_and_record(orders, calls, results):
    async def call():
        calls.append(orders)
        await trio.sleep(0)
        return RESPONSE

    exchange = make_exchange('r', b'ladder', path='bookings')
    try:
        results.append(
            await place_order(orders, 'yard/bookings/k', exchange, call)
        )
    except OrderUnknownError as error:
        results.append(error)


@pytest.mark.parametrize('message', ['whole', 'lost', 'late', 'doubled'])
@pytest.mark.parametrize('reply', ['whole', 'lost', 'late', 'doubled'])
@pytest.mark.parametrize('twice', [False, True])
async def test_order_is_dispatched_once(message, reply, twice, autojump_clock):
    calls, results = [], []
    with trio.fail_after(TIMEOUT_S):
        async with trio.open_nursery() as nursery:
            orders, owner = _two_coordinators(nursery, message, reply)
            async with trio.open_nursery() as callers:
                callers.start_soon(_place_and_record, orders, calls, results)
                if twice:
                    callers.start_soon(_place_and_record, owner, calls, results)
            await _place_and_record(owner, calls, results)
            nursery.cancel_scope.cancel()
    assert len(calls) == 1
    assert len(results) == 2 + twice
    assert RESPONSE in results

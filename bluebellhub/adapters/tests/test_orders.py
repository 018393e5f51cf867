"""Orders at two VMs whose messages to each other are lost or late."""

import json
from collections import Counter
from typing import Final

import httpx
import pytest
import trio

from bluebellhub.adapters.exchange import Head, make_exchange
from bluebellhub.adapters.orders import (
    OrderDesk,
    deliver_answer,
    make_desk,
    place_order,
    take_claim,
    take_outcome,
)
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

LATE_S: Final = 0.5
TIMEOUT_S: Final = 10.0
DONE: Final = (Head(201, 'text/plain'), b'booked')


def _platform(model: PlatformModel) -> Platform:
    """Return a client whose store is a model in memory."""

    def answer(request: httpx.Request) -> httpx.Response:
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

    transport = httpx.MockTransport(answer)
    client = httpx.AsyncClient(transport=transport, base_url='http://store')
    return Platform(client, Counter())


def _two_desks(
    nursery: trio.Nursery, message: str, reply: str
) -> tuple[OrderDesk, OrderDesk]:
    """Return a VM's desk and the owner's, with faults between them."""
    model = make_platform_model()

    def forward(_shard: str, sent: object) -> bool:
        take = take_claim if isinstance(sent, Claim) else take_outcome
        nursery.start_soon(_carry, message, take, owner, sent)
        return True

    desk = make_desk(_platform(model), nursery, forward)
    owner = make_desk(
        _platform(model),
        nursery,
        reply=lambda answer: nursery.start_soon(
            _carry, reply, deliver_answer, desk, answer
        ),
    )
    return desk, owner


async def _carry(fault, take, desk, message):
    if fault == 'lost':
        return
    await trio.sleep(LATE_S if fault == 'late' else 0)
    take(desk, message)
    if fault == 'doubled':
        take(desk, message)


async def _place(desk, calls, answers):
    async def call():
        calls.append(desk)
        await trio.sleep(0)
        return DONE

    exchange = make_exchange('r', b'ladder', path='bookings')
    try:
        answers.append(
            await place_order(desk, 'yard/bookings/k', exchange, call)
        )
    except OrderUnknownError as error:
        answers.append(error)


@pytest.mark.parametrize('message', ['whole', 'lost', 'late', 'doubled'])
@pytest.mark.parametrize('reply', ['whole', 'lost', 'late', 'doubled'])
@pytest.mark.parametrize('twice', [False, True])
async def test_an_order_is_dispatched_once(
    message, reply, twice, autojump_clock
):
    calls, answers = [], []
    with trio.fail_after(TIMEOUT_S):
        async with trio.open_nursery() as nursery:
            desk, owner = _two_desks(nursery, message, reply)
            async with trio.open_nursery() as callers:
                callers.start_soon(_place, desk, calls, answers)
                if twice:
                    callers.start_soon(_place, owner, calls, answers)
            await _place(owner, calls, answers)
            nursery.cancel_scope.cancel()
    assert len(calls) == 1
    assert len(answers) == 2 + twice
    assert DONE in answers

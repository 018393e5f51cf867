"""Client of the platform's API for orders, the cloud API.

A call that gets no response within its time limit may still be executed.
"""

from collections.abc import Callable, Mapping
from typing import Any, Final, NamedTuple

import httpcore
import msgspec
import trio

from bluebellhub.adapters.sockets import SOCKET_OPTIONS
from bluebellhub.duty.duty import CALL_TIMEOUT_S
from bluebellhub.duty.orders import ScaleOrder, UsageOrder
from bluebellhub.errors import (
    CloudBusyError,
    CloudUnavailableError,
    StaleTokenError,
    WithheldCallError,
)
from bluebellhub.platform.duty_object import usage_spec
from bluebellhub.platform.store_calls import TRANSPORT_ERRORS
from bluebellhub.platform.wire import WireScale

__all__ = [
    'Caller',
    'Cloud',
    'close_cloud',
    'make_cloud',
    'order_count',
    'report_usage',
]

HOLDER: Final = b'X-Bluebellhub-Duty-Holder'
TOKEN: Final = b'X-Bluebellhub-Fencing-Token'
JSON: Final = (b'Content-Type', b'application/json')
CONFLICT: Final = 409
TOO_MANY: Final = 429
SUCCESS: Final = range(200, 300)
CONNECTIONS_MAX: Final = 2
# A connection that was idle for longer may have been dropped on its way.
KEEPALIVE_S: Final = 5.0
# The last moments at which a call can still be kept back.
SENDING_EVENTS: Final = frozenset(
    ('http11.send_request_headers.started', 'http11.send_request_body.started')
)


class Cloud(NamedTuple):
    """The root: the API's URL and the connections to it."""

    url: str
    connections: httpcore.AsyncConnectionPool


class Caller(NamedTuple):
    """The holder that makes a call, and its token.

    ``may_send`` is asked once more immediately before the call is sent: the
    VM may have been frozen while it connected.
    """

    holder: str
    token: int
    may_send: Callable[[], bool]


def make_cloud(address: str) -> Cloud:
    """Create a client of the API at an IP address and port."""
    connections = httpcore.AsyncConnectionPool(
        max_connections=CONNECTIONS_MAX,
        keepalive_expiry=KEEPALIVE_S,
        socket_options=SOCKET_OPTIONS,
    )
    return Cloud(f'http://{address}', connections)


async def close_cloud(cloud: Cloud) -> None:
    """Close the connections."""
    await cloud.connections.aclose()


async def report_usage(cloud: Cloud, caller: Caller, order: UsageOrder) -> None:
    """Report the usage in a window; raises errors like `order_count`."""
    await _call(cloud, caller, 'usage', usage_spec(order))


async def order_count(cloud: Cloud, caller: Caller, order: ScaleOrder) -> None:
    """Order replicas of a service in a failure domain.

    Raises `StaleTokenError`, `CloudBusyError`, `WithheldCallError` if the token
    became invalid before the call was sent, and `CloudUnavailableError` if
    there is no response in time or it is another error.
    """
    body: WireScale = {
        'service': order.service,
        'zone': order.domain,
        'desiredCount': order.desired_count,
    }
    await _call(cloud, caller, 'scale', body)


async def _call(
    cloud: Cloud, caller: Caller, path: str, body: Mapping[str, Any]
) -> None:
    """Send a call and check the status of its response."""
    status = await _send(cloud, caller, path, msgspec.json.encode(body))
    if status == CONFLICT:
        raise StaleTokenError(path, caller.token)
    if status == TOO_MANY:
        raise CloudBusyError(path)
    if status not in SUCCESS:
        raise CloudUnavailableError(path, f'status {status}')


async def _send(cloud: Cloud, caller: Caller, path: str, content: bytes) -> int:
    """Send a call and return the status of its response."""

    async def check_token(event: str, details: Mapping[str, Any]) -> None:
        if event in SENDING_EVENTS and not caller.may_send():
            raise WithheldCallError(path)

    headers = (
        JSON,
        (HOLDER, caller.holder.encode()),
        (TOKEN, b'%d' % caller.token),
    )
    with trio.move_on_after(CALL_TIMEOUT_S):
        try:
            response = await cloud.connections.request(
                'POST',
                f'{cloud.url}/{path}',
                headers=headers,
                content=content,
                extensions={'trace': check_token},
            )
        except TRANSPORT_ERRORS as error:
            cause = type(error).__name__
            raise CloudUnavailableError(path, cause) from None
        return response.status
    raise CloudUnavailableError(path, f'no response in {CALL_TIMEOUT_S:g} s')

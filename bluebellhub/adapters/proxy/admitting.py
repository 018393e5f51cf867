"""Admission of a request from a caller, or from a VM that is cut off."""

from typing import Final

from bluebellhub.adapters.proxy.caller_connection import (
    CallerConnection,
    ReceivedRequest,
)
from bluebellhub.adapters.proxy.peer_heads import (
    read_attempts,
    without_peer_headers,
)
from bluebellhub.adapters.proxy.state import Proxy
from bluebellhub.clock import now_s
from bluebellhub.reachability import is_cut_off
from bluebellhub.request import Request
from bluebellhub.request.refusal import CutOffError
from bluebellhub.site.admission import Admission, admit_request

__all__ = ['admit_received', 'make_cut_off_error']

RETRY_AFTER_S: Final = 1.0


def admit_received(
    proxy: Proxy, connection: CallerConnection, received: ReceivedRequest
) -> tuple[ReceivedRequest, Admission]:
    """Return the request as its caller sent it, and its admission.

    Raises its refusal.  While this VM is cut off, a caller's request counts in
    the limits of the VM that it is forwarded to.
    """
    if connection.is_peer:
        return _admit_forwarded(proxy, received)
    admission = admit_request(
        proxy.site,
        received.head,
        now_s(),
        read_s=received.read_s,
        is_served_here=not is_cut_off(proxy.site.scheduler.links),
    )
    return received, admission


def _admit_forwarded(
    proxy: Proxy, received: ReceivedRequest
) -> tuple[ReceivedRequest, Admission]:
    """Admit what another VM has forwarded, for the attempts that are left.

    It is not forwarded again: a VM that is cut off too raises `CutOffError`.
    """
    head = received.head
    attempts_left = read_attempts(head)
    if is_cut_off(proxy.site.scheduler.links):
        raise CutOffError('the VM reaches no upstream')
    headers = without_peer_headers(head.forwarded_headers)
    received = received._replace(head=head._replace(forwarded_headers=headers))
    admission = admit_request(
        proxy.site, received.head, now_s(), read_s=received.read_s
    )
    request = admission.request
    request = request._replace(
        executions_max=min(attempts_left, request.executions_max)
    )
    return received, admission._replace(request=request)


def make_cut_off_error(request: Request) -> CutOffError:
    """Return the refusal of a request that arrives at a VM without links."""
    return CutOffError(
        'the VM reaches no upstream',
        retry_after_s=RETRY_AFTER_S,
        attempts_left=request.executions_max,
    )

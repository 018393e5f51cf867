"""Log lines of a request: its refusal, where it was sent, and its end."""

from typing import Final, Literal

import logbook

from bluebellhub.adapters.node import lag_ms
from bluebellhub.adapters.proxy.caller_connection import ReceivedRequest
from bluebellhub.adapters.proxy.state import Proxy, RequestContext
from bluebellhub.clock import now_s
from bluebellhub.latencies import record_decision, record_request
from bluebellhub.request import RefusalError
from bluebellhub.site.liveness import live_vm_names
from bluebellhub.upstream import Upstream

__all__ = [
    'FirstDecision',
    'log_end',
    'log_refused',
    'log_sent',
    'record_first_decision',
]

MS_PER_S: Final = 1000

log = logbook.Logger('bluebellhub.passing')

FirstDecision = Literal['sent', 'refused', 'forwarded']


def log_refused(received: ReceivedRequest, error: RefusalError) -> None:
    """Log that a request was refused before it was admitted."""
    log.info(
        'refused',
        extra={
            'request': received.head.request_id,
            'reason': error.reason,
            'detail': str(error),
        },
    )


def record_first_decision(
    proxy: Proxy, received: ReceivedRequest, decision: FirstDecision
) -> None:
    """Record the time that the first decision on a request took."""
    decision_s = now_s() - received.began_at_s
    record_decision(proxy.node.latencies, decision, decision_s)


def log_sent(proxy: Proxy, context: RequestContext, upstream: Upstream) -> None:
    """Log a dispatch and the data behind the choice of the upstream.

    These are the loads, the predicted time and the number of live VMs.
    """
    now = now_s()
    request = context.admission.request
    work = upstream.work.get(request.request_id)
    table = proxy.site.active_config['table']
    log.info(
        'sent',
        extra={
            'request': context.received.head.request_id,
            'upstream': upstream.spec.name,
            'waited_ms': round((now - request.arrived_at_s) * MS_PER_S),
            'lag_ms': lag_ms(proxy.node),
            'own_work': len(upstream.work),
            'others_work': upstream.other_vms_work,
            'predicted_ms': round(work.predicted_s * MS_PER_S)
            if work
            else None,
            'heard_vms': len(live_vm_names(proxy.site, now)),
            'known_vms': len(proxy.site.vms),
            'configuration': table.version if table else None,
        },
    )


def log_end(proxy: Proxy, context: RequestContext) -> None:
    """Record the end of a request in the metrics and the log."""
    request = context.admission.request
    priority = context.admission.priority
    outcome = context.progress['outcome'] or 'cancelled'
    duration_s = now_s() - request.arrived_at_s
    first_at_s = context.progress['first_at_s']
    first_s = None if first_at_s is None else first_at_s - request.arrived_at_s
    proxy.node.scheduler.counters['ends', outcome] += 1
    record_request(
        proxy.node.latencies, request.target, outcome, duration_s, first_s
    )
    log.info(
        'ended',
        extra={
            'request': context.received.head.request_id,
            'account': request.account,
            'route': request.route,
            'rank': priority.account,
            'route_rank': priority.route,
            'limit_ms': round((request.time_limit_s or 0.0) * MS_PER_S),
            'upstream': context.progress['upstream'],
            'outcome': outcome,
            'took_ms': round(duration_s * MS_PER_S),
            'first_ms': None if first_s is None else round(first_s * MS_PER_S),
            'events': context.progress['position'].last_id,
        },
    )

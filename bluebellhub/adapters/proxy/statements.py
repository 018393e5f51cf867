"""Applies what an upstream states of its load and its needs in a response."""

from collections.abc import Callable
from typing import Final, NamedTuple

import logbook

from bluebellhub.adapters.proxy.state import Proxy
from bluebellhub.backpressure import (
    PAUSE_MAX_S,
    record_departure,
    record_pause,
)
from bluebellhub.clock import now_s
from bluebellhub.request.heads import LimitField, ResponseHead
from bluebellhub.site.rejection_limits import (
    apply_rejection_report,
    apply_stated_rejections,
)
from bluebellhub.site.reports import LimitReport, RejectionLimitReport
from bluebellhub.site.state import Site
from bluebellhub.site.stated_limits import (
    apply_limit_report,
    apply_stated_limit,
)
from bluebellhub.site.upstreams import apply_response_load

__all__ = [
    'apply_load',
    'apply_needs',
    'apply_reported_limits',
    'apply_reported_rejections',
]

LOGGED_MAX_BYTES: Final = 64
LOG_INTERVAL_S: Final = 60.0

log = logbook.Logger('bluebellhub.statements')


class LimitKind(NamedTuple):
    """A kind of limit that upstreams state.

    ``apply`` applies what one states in a response, and returns whether that
    differs from what this VM knew.  ``label`` stands in the log.
    """

    label: str
    counter: str
    apply: Callable[[Site, str, float | None, float], bool]


RATE_LIMIT: Final = LimitKind('rate limit', 'stated_limits', apply_stated_limit)
REJECTION_LIMIT: Final = LimitKind(
    'rejection limit', 'rejection_limits', apply_stated_rejections
)


def apply_needs(proxy: Proxy, name: str, response: ResponseHead) -> None:
    """Apply the limits that the upstream states, its pause and its leave.

    A response without a limit ends an earlier one.  What is malformed
    changes nothing, and neither does a response of another upstream that has
    the address now.
    """
    if response.is_misdirected:
        return
    _apply_limit(proxy, RATE_LIMIT, name, response.rate_limit)
    _apply_limit(proxy, REJECTION_LIMIT, name, response.rejection_limit)
    _apply_pause(proxy, name, response)
    if response.is_leaving:
        _apply_leave(proxy, name)


def _apply_limit(
    proxy: Proxy, kind: LimitKind, name: str, limit: LimitField
) -> None:
    if limit.malformed is not None:
        _log_malformed(proxy, kind.label, name, limit.malformed)
        proxy.node.scheduler.counters[kind.counter, 'malformed'] += 1
    elif kind.apply(proxy.site, name, limit.per_s, now_s()):
        _record_change(proxy, kind, name, limit.per_s, 'response')


def _apply_pause(proxy: Proxy, name: str, response: ResponseHead) -> None:
    """Send the upstream nothing for as long as it asks for in a response.

    A malformed or absurdly long pause changes nothing.
    """
    pause_s = response.pause_s
    malformed = response.malformed_pause
    if pause_s is not None and pause_s > PAUSE_MAX_S:
        malformed = b'%.0f s' % pause_s
    if malformed is not None:
        _log_malformed(proxy, 'pause', name, malformed)
        _count_pause(proxy, 'malformed')
    elif pause_s is not None:
        _record_pause(proxy, name, pause_s)


def _record_pause(proxy: Proxy, name: str, pause_s: float) -> None:
    scheduler = proxy.node.scheduler
    upstream = scheduler.upstreams.get(name)
    if upstream is None:
        return
    incarnation = upstream.incarnation
    if record_pause(scheduler.pauses, name, incarnation, pause_s, now_s()):
        log.info(
            'upstream asks this VM to wait',
            extra={'upstream': name, 'pause_s': pause_s},
        )
        _count_pause(proxy, 'stated')


def _apply_leave(proxy: Proxy, name: str) -> None:
    """Send the upstream nothing any more."""
    scheduler = proxy.node.scheduler
    upstream = scheduler.upstreams.get(name)
    if upstream is None:
        return
    if record_departure(scheduler.departures, name, upstream.incarnation):
        log.info('upstream states that it is leaving', extra={'upstream': name})
        scheduler.counters['departures', 'stated'] += 1


def _count_pause(proxy: Proxy, change: str) -> None:
    proxy.node.scheduler.counters['asked_pauses', change] += 1


def apply_load(proxy: Proxy, name: str, response: ResponseHead) -> None:
    """Apply the load in a response; a malformed one changes nothing."""
    if response.load is not None:
        apply_response_load(proxy.site, name, response.load, now_s())
    if response.malformed_load is not None:
        _log_malformed(proxy, 'load', name, response.malformed_load)
        proxy.node.scheduler.counters['refused_reports', name] += 1


def _may_log(proxy: Proxy, kind: str) -> bool:
    """Return whether a line of this kind may be logged, and note that it is."""
    current_s = now_s()
    logged_at_s = proxy.logged_at_s.get(kind)
    if logged_at_s is not None and current_s - logged_at_s < LOG_INTERVAL_S:
        return False
    proxy.logged_at_s[kind] = current_s
    return True


def _log_malformed(proxy: Proxy, kind: str, name: str, stated: bytes) -> None:
    """Log a figure that cannot be read, unless one was logged lately.

    A faulty upstream may state it in every response, and would fill the log.
    """
    if not _may_log(proxy, kind):
        return
    start = stated[:LOGGED_MAX_BYTES].decode('latin-1')
    log.warning(
        f'malformed {kind} ignored', extra={'upstream': name, 'stated': start}
    )


def apply_reported_limits(proxy: Proxy, report: LimitReport) -> None:
    """Apply the rate limits that another VM reports."""
    for entry in apply_limit_report(proxy.site, report, now_s()):
        _record_change(proxy, RATE_LIMIT, entry.upstream, entry.per_s, 'gossip')


def apply_reported_rejections(
    proxy: Proxy, report: RejectionLimitReport
) -> None:
    """Apply the rejection limits that another VM reports."""
    for entry in apply_rejection_report(proxy.site, report, now_s()):
        _record_change(
            proxy, REJECTION_LIMIT, entry.upstream, entry.per_s, 'gossip'
        )


def _record_change(
    proxy: Proxy, kind: LimitKind, name: str, per_s: float | None, source: str
) -> None:
    """Log and count a limit that this VM keeps from now on, or its end."""
    log.info(
        f'upstream changed its {kind.label}',
        extra={'upstream': name, 'per_s': per_s, 'source': source},
    )
    change = 'lifted' if per_s is None else 'stated'
    proxy.node.scheduler.counters[kind.counter, change] += 1

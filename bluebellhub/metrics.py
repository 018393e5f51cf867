"""Metrics in the Prometheus text format, rendered on request."""

from typing import Final

from aioprometheus.collectors import Counter, Gauge, Registry
from aioprometheus.renderer import render

from bluebellhub.admission import size
from bluebellhub.faults import isolated_faults
from bluebellhub.invariants import violations
from bluebellhub.latencies import Latencies, register_latencies
from bluebellhub.scheduler.state import Scheduler

__all__ = ['render_metrics']

TEXT_FORMAT: Final = ('text/plain',)

LABELS: Final = {
    'requests': 'tier',
    'ends': 'outcome',
    'dispatches': 'tier',
    'answers': 'tier',
    'preemptions': 'tier',
    'callers_left': 'tier',
    'refusals': 'reason',
    'sheds': 'rule',
    'front_end_refusals': 'reason',
    'retries': 'reason',
    'retries_denied': 'reason',
    'peer_messages': 'direction',
    'peer_bytes': 'direction',
    'store_calls': 'call',
    'moves': 'outcome',
    'refused_reports': 'upstream',
    'reports': 'upstream',
    'stated_limits': 'change',
    'rejection_limits': 'change',
    'quarantined': 'evidence',
    'asked_pauses': 'change',
    'departures': 'source',
    'duty_changes': 'change',
    'duty_calls': 'outcome',
    'duty_reports': 'use',
    'usage_reports': 'change',
    'usage_windows': 'outcome',
    'scale_orders': 'outcome',
    'store_relays': 'event',
    'domain_sends': 'to',
    'domain_bytes': 'to',
    'links': 'change',
    'forwarded': 'outcome',
}


def render_metrics(
    scheduler: Scheduler, latencies: Latencies
) -> tuple[bytes, str]:
    """Return the metrics of a VM and their content type."""
    registry = Registry()
    _add_counters(registry, scheduler)
    _add_gauges(registry, scheduler)
    register_latencies(registry, latencies)
    body, headers = render(registry, TEXT_FORMAT)
    return body, headers['Content-Type']


def _add_counters(registry: Registry, scheduler: Scheduler) -> None:
    collectors = {
        name: Counter(
            f'bluebellhub_{name}_total',
            f'Number of {name.replace("_", " ")} by {label}.',
            registry=registry,
        )
        for name, label in LABELS.items()
    }
    for (name, value), count in scheduler.counters.items():
        collectors[name].set({LABELS[name]: value}, count)
    violated = Counter(
        'bluebellhub_invariant_violations_total',
        'Number of violated invariants by name.',
        registry=registry,
    )
    for name, count in violations.items():
        violated.set({'invariant': name}, count)
    isolated = Counter(
        'bluebellhub_isolated_faults_total',
        'Number of unexpected errors that ended one piece of work.',
        registry=registry,
    )
    for work, count in isolated_faults.items():
        isolated.set({'work': work}, count)


def _add_gauges(registry: Registry, scheduler: Scheduler) -> None:
    queued = Gauge(
        'bluebellhub_queued_requests',
        'Requests that wait, by model or service.',
        registry=registry,
    )
    for target, queue in scheduler.queues.items():
        queued.set({'target': target}, size(queue))
    _add_share_gauge(registry, scheduler)
    running = Gauge(
        'bluebellhub_running_requests',
        'Requests from this VM at an upstream.',
        registry=registry,
    )
    window = Gauge(
        'bluebellhub_window_requests',
        'Requests that an upstream can bear.',
        registry=registry,
    )
    for name, upstream in scheduler.upstreams.items():
        running.set({'upstream': name}, len(upstream.work))
        window.set({'upstream': name}, upstream.window.slots)


def _add_share_gauge(registry: Registry, scheduler: Scheduler) -> None:
    share = Gauge(
        'bluebellhub_domain_share',
        'Share of the requests without a place here that may go elsewhere.',
        registry=registry,
    )
    for target, decision in scheduler.domain_shares.decisions.items():
        for domain, pair in decision.pairs.items():
            labels = {'target': target, 'to': domain, 'reason': pair.reason}
            share.set(labels, pair.share)

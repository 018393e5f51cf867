"""Aggregate of one upstream, as one VM knows it."""

from typing import Annotated, Final, Literal, NamedTuple

import msgspec

from bluebellhub.invariants import check_invariant
from bluebellhub.rates.cold_rate import ColdRate
from bluebellhub.upstream.slowdown import Slowdown, ratio_at
from bluebellhub.upstream.speed import Speed, make_speed
from bluebellhub.upstream.window import Window, make_window, restart

__all__ = [
    'LoadReport',
    'Upstream',
    'UpstreamSpec',
    'Work',
    'add_work',
    'backlog_tokens',
    'finish_prefill',
    'is_cold',
    'make_upstream',
    'mark_cold',
    'pending_tokens',
    'predict_first_token_s',
    'prefill_rate',
    'predict_step_s',
    'record_failure',
    'record_load_report',
    'remove_work',
]

BACKOFF_BASE_S: Final = 0.25
BACKOFF_MAX_S: Final = 8.0

Count = Annotated[int, msgspec.Meta(ge=1)]
Positive = Annotated[float, msgspec.Meta(gt=0)]


class UpstreamSpec(NamedTuple):
    """Settings of an upstream, stored as a configuration object.

    ``targets`` are the model or services that it serves.  ``window`` and
    ``cold_window`` count requests.  ``prefill_tokens_per_s`` and ``step_s``,
    the seconds between tokens, are the expected speed.  ``fences`` states
    that it rejects commands with an old fencing number.  While it is cold,
    for ``cold_start_s`` after its start, it sustains ``cold_per_s`` requests
    per second; 0 means no such limit.  An event of a streamed response has
    ``tokens_per_event`` tokens.  The learned prefill rate is at most
    ``faster_ratio_max`` times the setting, and a prefill of fewer than
    ``learn_min_tokens`` does not change it.
    """

    name: str
    address: str
    targets: Annotated[tuple[str, ...], msgspec.Meta(min_length=1)]
    failure_domain: str
    kind: Literal['engine', 'service'] = 'engine'
    version: str = '1'
    hardware: str = 'default'
    window: Count = 32
    cold_window: Count = 2
    prefill_tokens_per_s: Positive = 8000.0
    step_s: Positive = 0.03
    fences: bool = True
    leaving: bool = False
    cold_per_s: float = 0.0
    cold_start_s: float = 0.0
    tokens_per_event: int = 1
    faster_ratio_max: Positive = 1.25
    learn_min_tokens: Count = 64


class LoadReport(NamedTuple):
    """Load published by an upstream; ``taken_at_s`` is when it was sampled."""

    taken_at_s: float
    boot_id: str
    running: int
    waiting_prefill_tokens: int


class Work(NamedTuple):
    """A request in progress at an upstream, sent from this VM.

    ``work_tokens`` counts its uncached tokens and those ahead of it at
    dispatch.  ``predicted_s`` is the predicted time from dispatch to its
    first token.
    """

    rank: int
    uncached_tokens: int
    sent_at_s: float
    work_tokens: float
    predicted_s: float
    prefilled: bool = False


class Upstream(NamedTuple):
    """Aggregate root: settings, learned speed, window and requests.

    ``work`` holds the requests in progress from this VM, by id.  After
    failures the upstream receives no new requests until ``paused_until_s``.
    ``other_vms_tokens`` is the number of tokens from other VMs that waited
    for prefill at ``other_vms_at_s``, and ``other_vms_work`` the number of
    requests from other VMs in progress.  ``cold_rate`` limits the requests
    per second from this VM while the upstream is cold.  ``error_ratio`` is the
    smoothed ratio of error responses.  ``incarnation`` changes with each start
    of an upstream that keeps its name.  ``slowdown`` is what it stated last.
    If it rejects more than ``rejections_per_s`` requests per second, it fails.
    """

    spec: UpstreamSpec
    speed: Speed
    window: Window
    work: dict[str, Work]
    report: LoadReport | None = None
    paused_until_s: float = 0.0
    failures_in_row: int = 0
    other_vms_tokens: int = 0
    other_vms_at_s: float = 0.0
    other_vms_work: int = 0
    cold_rate: ColdRate | None = None
    error_ratio: float = 0.0
    incarnation: str = ''
    slowdown: Slowdown = Slowdown()
    rejections_per_s: float | None = None


def make_upstream(spec: UpstreamSpec, *, warm: bool = False) -> Upstream:
    """Create an upstream without requests, cold unless ``warm``."""
    return Upstream(
        spec,
        make_speed(
            spec.prefill_tokens_per_s, spec.step_s, spec.faster_ratio_max
        ),
        make_window(spec.cold_window, spec.window, warm=warm),
        {},
    )


def pending_tokens(upstream: Upstream) -> int:
    """Return the number of this VM's tokens that wait for prefill there."""
    return sum(
        work.uncached_tokens
        for work in upstream.work.values()
        if not work.prefilled
    )


def prefill_rate(upstream: Upstream, now_s: float) -> float:
    """Return the expected prefill rate in tokens per second."""
    slowdown = ratio_at(upstream.slowdown, now_s)
    return upstream.speed.prefill_tokens_per_s / slowdown


def predict_step_s(upstream: Upstream, now_s: float) -> float:
    """Predict the seconds between two tokens."""
    return upstream.speed.step_s * ratio_at(upstream.slowdown, now_s)


def backlog_tokens(upstream: Upstream, now_s: float) -> float:
    """Estimate the number of tokens that wait for prefill now.

    The count in the last load report is reduced at the learned prefill rate
    and increased by the tokens that this VM has sent since.  The estimate is
    at least the number of tokens known to wait, from this VM and from others.
    """
    local = 0
    sent_since = 0
    report = upstream.report
    taken_at_s = report.taken_at_s if report else now_s
    for work in upstream.work.values():
        if work.prefilled:
            continue
        local += work.uncached_tokens
        if work.sent_at_s > taken_at_s:
            sent_since += work.uncached_tokens
    rate = prefill_rate(upstream, now_s)
    done = (now_s - upstream.other_vms_at_s) * rate
    known = local + max(0.0, upstream.other_vms_tokens - done)
    if report is None:
        return known
    drained = (now_s - taken_at_s) * rate
    return max(known, report.waiting_prefill_tokens + sent_since - drained)


def predict_first_token_s(
    upstream: Upstream, uncached_tokens: int, now_s: float
) -> float:
    """Predict the seconds from dispatch to the first token."""
    ahead = backlog_tokens(upstream, now_s)
    rate = prefill_rate(upstream, now_s)
    return (ahead + uncached_tokens) / rate + predict_step_s(upstream, now_s)


def add_work(
    upstream: Upstream,
    request_id: str,
    rank: int,
    uncached_tokens: int,
    now_s: float,
) -> Upstream:
    """Add a request that is dispatched now.

    Asserts that the requests in progress at a cold upstream stay within its
    window.
    """
    ahead = backlog_tokens(upstream, now_s)
    predicted_s = predict_first_token_s(upstream, uncached_tokens, now_s)
    upstream.work[request_id] = Work(
        rank,
        uncached_tokens,
        now_s,
        ahead + uncached_tokens,
        predicted_s,
    )
    is_cold = upstream.window.phase == 'cold'
    check_invariant(
        'cold_window',
        holds=not is_cold or len(upstream.work) <= upstream.window.slots,
        detail=f'{upstream.spec.name}: {len(upstream.work)} requests',
    )
    return upstream


def finish_prefill(upstream: Upstream, request_id: str) -> Work | None:
    """Mark the prefill of a request as done and return its previous entry.

    Return ``None`` if it is not in progress or its prefill was done already.
    """
    work = upstream.work.get(request_id)
    if work is None or work.prefilled:
        return None
    upstream.work[request_id] = work._replace(prefilled=True)
    return work


def remove_work(upstream: Upstream, request_id: str) -> Upstream:
    """Remove a request that ended at this upstream."""
    upstream.work.pop(request_id, None)
    return upstream


def record_load_report(upstream: Upstream, report: LoadReport) -> Upstream:
    """Record a load report; a new boot id resets the window to cold.

    A report older than the last one is ignored.
    """
    old = upstream.report
    if old is not None and report.taken_at_s < old.taken_at_s:
        return upstream
    window = upstream.window
    if old is not None and old.boot_id != report.boot_id:
        window = restart(window)
    return upstream._replace(report=report, window=window)


def record_failure(
    upstream: Upstream, now_s: float, *, restarted: bool
) -> Upstream:
    """Pause the upstream, with exponential backoff over failures in a row.

    If it ``restarted``, it is cold afterwards.
    """
    backoff_s = BACKOFF_BASE_S * 2**upstream.failures_in_row
    window = restart(upstream.window) if restarted else upstream.window
    pause_s = min(backoff_s, BACKOFF_MAX_S)
    if restarted:
        upstream = mark_cold(upstream, now_s + pause_s, 0.0)
    return upstream._replace(
        window=window,
        failures_in_row=min(upstream.failures_in_row + 1, 8),
        paused_until_s=now_s + pause_s,
    )


def mark_cold(upstream: Upstream, now_s: float, cold_s: float) -> Upstream:
    """Mark the upstream as cold for ``cold_s`` seconds from ``now_s``.

    A ``cold_s`` of 0 means unknown: the upstream is then marked as just
    started, for ``cold_start_s`` of its settings.  It is marked also without
    a ``cold_per_s``, because that rate may become known later.
    """
    until_s = now_s + (cold_s or upstream.spec.cold_start_s)
    cold_rate = upstream.cold_rate or ColdRate(until_s)
    return upstream._replace(
        cold_rate=cold_rate._replace(until_s=max(cold_rate.until_s, until_s))
    )


def is_cold(upstream: Upstream, now_s: float) -> bool:
    """Return whether the upstream was marked as cold and still is."""
    cold_rate = upstream.cold_rate
    return cold_rate is not None and now_s < cold_rate.until_s

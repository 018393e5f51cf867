"""What the first token of a request tells about its upstream."""

from types import MappingProxyType
from typing import Final

from bluebellhub.reachability import has_changed_since
from bluebellhub.request import RequestState
from bluebellhub.scheduler import leaving
from bluebellhub.scheduler.state import Scheduler, signals_of
from bluebellhub.upstream import (
    Work,
    observe_late,
    observe_on_time,
    observe_prefill,
)
from bluebellhub.upstream.slowdown import ratio_at

__all__ = ['observe_first_token']

LATE_RATIOS: Final = MappingProxyType({'cold': 2.0, 'warm': 5.0})
LATE_FIRST_TOKEN_SHARE: Final = 0.8
SHRINK_INTERVAL_S: Final = 0.5


def observe_first_token(
    scheduler: Scheduler, state: RequestState, work: Work, now_s: float
) -> None:
    """Update the upstream's speed and window from a first token.

    One that waited while the links of this VM were cut says nothing of them.
    """
    name = state.attempt.upstream if state.attempt else ''
    upstream = scheduler.upstreams[name]
    if has_changed_since(scheduler.links, work.sent_at_s):
        return
    elapsed_s = now_s - work.sent_at_s
    leaving.record_link_response(scheduler, upstream, work, now_s)
    # What is learned is the usual speed, without a passing slowdown.
    usual = 1 / ratio_at(upstream.slowdown, now_s)
    speed = observe_prefill(
        upstream.speed,
        work.work_tokens,
        elapsed_s * usual,
        work.predicted_s * usual,
        upstream.spec.learn_min_tokens,
    )
    if not scheduler.options.adapts_windows:
        scheduler.upstreams[name] = upstream._replace(
            speed=speed, failures_in_row=0
        )
        return
    ratio = LATE_RATIOS[upstream.window.phase]
    late_s = max(
        ratio * work.predicted_s,
        LATE_FIRST_TOKEN_SHARE * state.request.tier.first_token_s,
    )
    late = elapsed_s > late_s
    if late:
        window = observe_late(upstream.window, now_s, SHRINK_INTERVAL_S)
        signals_of(scheduler, name)['late'] += 1
    else:
        window = observe_on_time(upstream.window)
        signals_of(scheduler, name)['on_time'] += 1
    scheduler.upstreams[name] = upstream._replace(
        speed=speed, window=window, failures_in_row=0
    )

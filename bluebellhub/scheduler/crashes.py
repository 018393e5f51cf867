"""Crashes of upstreams, and requests whose prompts have caused some."""

from bluebellhub.quarantine import (
    confirm_crash,
    defer_suspicion,
    quarantined_part,
    release_s,
    suspect,
)
from bluebellhub.request import AttemptFailure, Request, RequestState
from bluebellhub.request.refusal import PromptQuarantinedError
from bluebellhub.scheduler.events import CheckCrash, Event
from bluebellhub.scheduler.finish import refuse
from bluebellhub.scheduler.state import Scheduler, is_leaving
from bluebellhub.upstream import Upstream, record_failure

__all__ = [
    'check_prompt',
    'confirm_end',
    'crash_checked',
    'refuse_quarantined',
    'suspect_prompt',
]


def suspect_prompt(
    scheduler: Scheduler,
    events: list[Event],
    state: RequestState,
    failure: AttemptFailure,
    now_s: float,
) -> None:
    """Suspect the prompt if an attempt was cut before its first token.

    Whether the upstream has crashed or only lost a connection is found out
    once for all requests that it had.
    """
    attempt = state.attempt
    if attempt is None or not attempt.sent or failure.kind != 'cut':
        return
    upstream = scheduler.upstreams.get(attempt.upstream)
    if upstream is None or state.first_token_at_s is not None:
        return
    crash = _crash_id(upstream)
    parts = state.request.prompt_parts
    if suspect(scheduler.quarantine, crash, parts, now_s):
        events.append(
            CheckCrash(crash, attempt.upstream, upstream.spec.address)
        )


def _crash_id(upstream: Upstream) -> str:
    """Return the id of the crash that ends this incarnation."""
    boot_id = upstream.report.boot_id if upstream.report else ''
    return f'{upstream.spec.name}/{upstream.incarnation or boot_id}'


def crash_checked(
    scheduler: Scheduler, check: CheckCrash, *, has_crashed: bool, now_s: float
) -> list[str]:
    """Apply the result of a check; an upstream that has crashed is paused.

    Returns the parts of prompts that are in quarantine from now on; the next
    tick refuses the requests with them.  While something listens at its
    address, the upstream may have crashed and be back already.
    """
    if not has_crashed:
        defer_suspicion(scheduler.quarantine, check.crash)
        return []
    upstream = scheduler.upstreams.get(check.upstream)
    if upstream is not None and _crash_id(upstream) == check.crash:
        scheduler.upstreams[check.upstream] = record_failure(
            upstream, now_s, restarted=True
        )
    return confirm_crash(scheduler.quarantine, check.crash, now_s)


def confirm_end(scheduler: Scheduler, name: str, now_s: float) -> None:
    """Count it as a crash that an upstream has ended unannounced.

    Its registration has expired, or it has started anew.  Unless a connection
    was lost shortly before, no part of a prompt is suspected of the crash.
    """
    upstream = scheduler.upstreams.get(name)
    if upstream is None or is_leaving(scheduler, upstream):
        return
    parts = confirm_crash(scheduler.quarantine, _crash_id(upstream), now_s)
    scheduler.counters['quarantined', 'late'] += len(parts)


def check_prompt(scheduler: Scheduler, request: Request, now_s: float) -> None:
    """Raise `PromptQuarantinedError` if the prompt must not be processed."""
    part = quarantined_part(scheduler.quarantine, request.prompt_parts, now_s)
    if part is not None:
        raise PromptQuarantinedError(
            part, release_s(scheduler.quarantine, part, now_s)
        )


def refuse_quarantined(
    scheduler: Scheduler, events: list[Event], now_s: float
) -> None:
    """Refuse the requests in quarantine that wait, here or at an upstream.

    Those with a token are past the danger and go on.
    """
    if not scheduler.quarantine.crashed_at_s:
        return
    for state in list(scheduler.requests.values()):
        if state.first_token_at_s is not None:
            continue
        try:
            check_prompt(scheduler, state.request, now_s)
        except PromptQuarantinedError as error:
            refuse(scheduler, events, state, error)

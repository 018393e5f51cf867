"""The leader's verdict on a version move, by the evidence of all VMs."""

from typing import Final

from bluebellhub.scheduler.state import upstreams_for
from bluebellhub.site.state import Site, SiteMove
from bluebellhub.version_move import StepTotal
from bluebellhub.version_move.comparison import is_bad, is_good
from bluebellhub.version_move.step_times import is_slower, sum_step_totals

__all__ = ['has_passed_probation', 'rollback_reason']

# A version without faults gets all requests after this part of the duration.
PROBATION_RATIO: Final = 0.9
# Requests that the new version must have served before it gets all of them.
REQUESTS_MIN: Final = 20
# A move is rolled back if the new version does not get all requests within this
# multiple of the duration.
OVERDUE_RATIO: Final = 2.0


def rollback_reason(site: Site, model: str, now_s: float) -> str:
    """Return why a move has to be rolled back, or an empty text."""
    move = site.moves[model]
    deadline_s = move.started_at_s + move.command.duration_s * OVERDUE_RATIO
    if move.full_since_s is None and now_s > deadline_s:
        return f'overdue; {_outcome_totals(move)}'
    if _is_slower(site, model):
        return f'its steps take longer; {_outcome_totals(move)}'
    for route, comparison in move.leader_state.comparisons.items():
        if is_bad(comparison):
            return f'route {route} went badly; {_outcome_totals(move)}'
    return ''


def _outcome_totals(move: SiteMove) -> str:
    """Return the outcomes of both versions on each route as a text."""
    return ', '.join(
        f'{route}: {comparison.new.bad} of {comparison.new.requests} bad, '
        f'before {comparison.old.bad} of {comparison.old.requests}'
        for route, comparison in move.leader_state.comparisons.items()
    )


def _is_slower(site: Site, model: str) -> bool:
    """Return whether the new version's upstreams take longer for a step."""
    move = site.moves[model]
    totals: dict[bool, list[StepTotal]] = {False: [], True: []}
    for upstream in upstreams_for(site.scheduler, model):
        is_new = upstream.spec.version == move.command.to_version
        by_vm = move.step_totals.get(upstream.spec.name, {})
        totals[is_new].append(sum_step_totals(by_vm.values()))
    return is_slower(totals[False], totals[True])


def has_passed_probation(move: SiteMove, now_s: float) -> bool:
    """Return whether the move is nearly due and the new version looks good."""
    if now_s < move.started_at_s + move.command.duration_s * PROBATION_RATIO:
        return False
    comparisons = move.leader_state.comparisons.values()
    requests = sum(comparison.new.requests for comparison in comparisons)
    return requests >= REQUESTS_MIN and all(
        is_good(comparison, rare=True) for comparison in comparisons
    )

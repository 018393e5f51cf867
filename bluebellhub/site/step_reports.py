"""Reports to the leader of version moves on the step times of upstreams."""

from typing import Final, NamedTuple

from bluebellhub.site.liveness import first_live_vm
from bluebellhub.site.reports import StepReport
from bluebellhub.site.state import Site
from bluebellhub.version_move import StepTotal

__all__ = [
    'StepsSent',
    'apply_step_report',
    'make_step_report',
    'make_steps_sent',
]

STEP_REPORT_INTERVAL_S: Final = 0.5


class StepsSent(NamedTuple):
    """The totals that ``leader`` has, and when they were sent last."""

    leader: str
    at_s: float
    totals: dict[str, StepTotal]


def make_steps_sent() -> StepsSent:
    """Create the state of a VM that has sent no totals."""
    return StepsSent('', 0.0, {})


def make_step_report(
    site: Site, sent: StepsSent, now_s: float
) -> tuple[StepsSent, StepReport | None]:
    """Return the new state and a report, or ``None`` if none is due.

    The report has the running totals that the leader does not have yet.
    """
    if not site.moves or now_s - sent.at_s < STEP_REPORT_INTERVAL_S:
        return sent, None
    leader = first_live_vm(site, now_s)
    known = sent.totals if leader == sent.leader else {}
    totals = dict(site.scheduler.step_totals)
    changed = {
        name: total
        for name, total in totals.items()
        if known.get(name) != total
    }
    sent = StepsSent(leader, now_s, totals)
    if leader == site.vm:
        apply_step_report(site, site.vm, StepReport(totals))
        return sent, None
    return sent, StepReport(changed) if changed else None


def apply_step_report(site: Site, sender: str, report: StepReport) -> None:
    """Record the totals of a VM for the moves of the upstreams' services."""
    for name, total in report.totals.items():
        upstream = site.scheduler.upstreams.get(name)
        targets = upstream.spec.targets if upstream else ()
        for model in targets:
            move = site.moves.get(model)
            if move is not None:
                move.step_totals.setdefault(name, {})[sender] = total

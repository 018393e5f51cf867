"""The holder announces its lease to the other VMs."""

from typing import Final, Literal

from bluebellhub.duty.duty import (
    LEASE_S,
    Announced,
    Duty,
    end_lease,
    is_holding,
)
from bluebellhub.duty.messages import DutyReport
from bluebellhub.duty.reports import record_reports

__all__ = ['ReportUse', 'apply_report', 'make_duty_report']

# A release is announced for this long, since a message may be lost.
RELEASE_ANNOUNCED_S: Final = 3.0

ReportUse = Literal['applied', 'older', 'malformed']


def make_duty_report(duty: Duty, now_s: float) -> DutyReport | None:
    """Return what this VM announces: its lease, or that it released it."""
    lease = duty.lease
    if is_holding(duty, now_s):
        return DutyReport(
            duty.vm,
            duty.start_id,
            lease['token'],
            lease['revision'],
            lease['until_s'] - now_s,
            False,
            list(lease['unreached']),
            list(duty.reports['stored']),
        )
    announced = duty.observed['announced']
    if announced is None or announced.report.holder != duty.vm:
        return None
    if now_s > announced.received_at_s + RELEASE_ANNOUNCED_S:
        return None
    return announced.report


def apply_report(
    duty: Duty, sender: str, report: DutyReport, now_s: float
) -> ReportUse:
    """Apply a holder's report; return whether it is of use.

    A report with a higher token than this VM's ends the lease here.
    """
    is_own = sender == duty.vm or sender != report.holder
    if is_own or not 0 <= report.left_s <= LEASE_S:
        return 'malformed'
    if _is_older(duty, report):
        return 'older'
    if duty.lease['token']:
        end_lease(duty)
    record_reports(duty, report.reports)
    duty.observed['announced'] = Announced(report, now_s + report.left_s, now_s)
    _forget_older_entry(duty, report)
    return 'applied'


def _is_older(duty: Duty, report: DutyReport) -> bool:
    """Return whether a later lease or write is known."""
    if report.token <= duty.lease['token']:
        return True
    announced = duty.observed['announced']
    if announced is None:
        return False
    known = announced.report
    if report.token == known.token and known.is_released:
        return not report.is_released
    return (report.token, report.revision) < (known.token, known.revision)


def _forget_older_entry(duty: Duty, report: DutyReport) -> None:
    """Have the object read again if the report tells of a later revision."""
    found = duty.observed['found']
    if found is None:
        return
    token = 0 if found.entry is None else found.entry.token
    if (report.token, report.revision) > (token, found.revision):
        duty.observed['found'] = None

"""Duties that one VM at a time holds: lease, tokens and orders."""

from bluebellhub.duty.announcing import apply_report, make_duty_report
from bluebellhub.duty.applying import (
    apply_conflict,
    apply_entry,
    apply_era,
    apply_read_failure,
    apply_refused,
    apply_unknown,
    apply_written,
)
from bluebellhub.duty.calls import begin_call, is_call_due, record_call
from bluebellhub.duty.duty import (
    Duty,
    DutyBounds,
    current_token,
    is_holding,
    known_holder,
    leave,
    make_duty,
)
from bluebellhub.duty.entry import DutyEntry, FoundEntry
from bluebellhub.duty.kinds import DutyKind, duty_kinds
from bluebellhub.duty.messages import DutyReport
from bluebellhub.duty.orders import Order, Outcome, ScaleOrder, UsageOrder
from bluebellhub.duty.reports import (
    add_report,
    finish_skipping,
    known_reports,
    next_unsent,
    record_announced,
    record_sent,
    skip_window,
)
from bluebellhub.duty.steps import (
    Acquire,
    Read,
    Release,
    Renew,
    Step,
    Write,
    next_step,
)

__all__ = [
    'Acquire',
    'Duty',
    'DutyBounds',
    'DutyEntry',
    'DutyKind',
    'DutyReport',
    'FoundEntry',
    'Order',
    'Outcome',
    'Read',
    'Release',
    'Renew',
    'ScaleOrder',
    'Step',
    'UsageOrder',
    'Write',
    'add_report',
    'apply_conflict',
    'apply_entry',
    'apply_era',
    'apply_read_failure',
    'apply_refused',
    'apply_report',
    'apply_unknown',
    'apply_written',
    'begin_call',
    'current_token',
    'duty_kinds',
    'finish_skipping',
    'is_call_due',
    'is_holding',
    'known_reports',
    'known_holder',
    'leave',
    'make_duty',
    'make_duty_report',
    'next_step',
    'next_unsent',
    'record_announced',
    'record_call',
    'record_sent',
    'skip_window',
]

"""Evidence of crashes that VMs share, and what each VM makes of it.

Every VM passes on what it has received, so the evidence reaches the VMs that
it does not send to directly.
"""

from collections.abc import Callable, Collection
from math import inf
from typing import Final, NamedTuple

from bluebellhub.quarantine import (
    CrashReport,
    crash_reports,
    disputed_parts,
    evidence_version,
    merge_crash_reports,
    quarantine_reports,
    record_passed,
)
from bluebellhub.site.liveness import first_live_vm
from bluebellhub.site.reports import CrashEvidence
from bluebellhub.site.state import Site

__all__ = [
    'EvidenceSent',
    'QuarantineWrites',
    'apply_crash_evidence',
    'lead_quarantine',
    'make_crash_evidence',
    'make_evidence_sent',
]

# Evidence without changes is sent again after this time, for VMs that missed it
# or have started since.
REFRESH_INTERVAL_S: Final = 1.0


class EvidenceSent(NamedTuple):
    """The version of the evidence that was sent last, and when."""

    version: int
    at_s: float


class QuarantineWrites(NamedTuple):
    """Objects to create in the store, and names of those to delete."""

    created: dict[str, list[CrashReport]]
    deleted: list[str]


def make_evidence_sent() -> EvidenceSent:
    """Create the state of a VM that has sent no evidence."""
    return EvidenceSent(0, -inf)


def make_crash_evidence(
    site: Site, sent: EvidenceSent, now_s: float
) -> tuple[EvidenceSent, CrashEvidence | None]:
    """Return the new state and a message, or ``None`` if none is due."""
    quarantine = site.scheduler.quarantine
    version = evidence_version(quarantine)
    is_new = version != sent.version
    if not is_new and now_s - sent.at_s < REFRESH_INTERVAL_S:
        return sent, None
    evidence = CrashEvidence(
        crash_reports(quarantine, now_s), disputed_parts(quarantine, now_s)
    )
    return EvidenceSent(version, now_s), evidence if any(evidence) else None


def apply_crash_evidence(
    site: Site, evidence: CrashEvidence, now_s: float
) -> list[str]:
    """Apply the evidence of another VM.

    Returns the parts of prompts that are in quarantine from now on; the next
    tick of the scheduler refuses the requests with them.
    """
    quarantine = site.scheduler.quarantine
    for passed in evidence.passed:
        record_passed(quarantine, [passed.part], now_s - passed.age_s)
    return merge_crash_reports(quarantine, evidence.crashes, now_s)


def lead_quarantine(
    site: Site,
    stored: Collection[str],
    name_of: Callable[[str], str],
    now_s: float,
) -> QuarantineWrites:
    """Return what to write to the store, which has the ``stored`` objects.

    It is nothing unless this VM leads.  ``name_of`` returns the name of the
    object for a part of a prompt.
    """
    if first_live_vm(site, now_s) != site.vm:
        return QuarantineWrites({}, [])
    current = {
        name_of(part): reports
        for part, reports in quarantine_reports(
            site.scheduler.quarantine, now_s
        ).items()
    }
    created = {
        name: reports for name, reports in current.items() if name not in stored
    }
    return QuarantineWrites(created, sorted(set(stored) - current.keys()))

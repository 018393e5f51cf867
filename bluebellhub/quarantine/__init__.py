"""Quarantine of parts of prompts that crash upstreams."""

from bluebellhub.quarantine.quarantine import (
    CrashReport,
    PassedPart,
    Quarantine,
    confirm_crash,
    crash_reports,
    defer_suspicion,
    disputed_parts,
    evidence_version,
    has_passed,
    make_quarantine,
    merge_crash_reports,
    quarantine_reports,
    quarantined_part,
    record_passed,
    release_s,
    suspect,
)

__all__ = [
    'CrashReport',
    'PassedPart',
    'Quarantine',
    'confirm_crash',
    'crash_reports',
    'defer_suspicion',
    'disputed_parts',
    'evidence_version',
    'has_passed',
    'make_quarantine',
    'merge_crash_reports',
    'quarantine_reports',
    'quarantined_part',
    'record_passed',
    'release_s',
    'suspect',
]

"""Evidence that a part of a prompt crashes upstreams.

An upstream processes many requests at once and loses all of them when it
crashes.  Suspected are those without a token: once the first token is there,
the prompt has been processed.  Each part of their prompts counts the crash as
evidence, unless another request with that part got a token lately.  A part with
evidence from `CRASHES_MIN` crashes is in quarantine: requests with it are not
sent to upstreams.

All VMs share their evidence, which is a set of crashes for each part.  Merging
it twice, late or in another order makes no difference.
"""

from collections.abc import Collection, Iterable
from math import inf
from typing import Final, NamedTuple, TypedDict

from bluebellhub.quarantine.suspicion import (
    Suspicions,
    add_suspicion,
    end_check,
    pop_suspected,
)

__all__ = [
    'CRASHES_MIN',
    'EVIDENCE_S',
    'PASSED_S',
    'SHARING_S',
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

# Unrelated crashes rarely hit requests with the same seldom used part thrice.
CRASHES_MIN: Final = 3
EVIDENCE_S: Final = 600.0
# A part that got a token within this time is not suspected.
PASSED_S: Final = 60.0
# Evidence is sent to other VMs for this time, and a quarantine until it ends.
SHARING_S: Final = 3.0
PASSED_PARTS_MAX: Final = 4096
SUSPECTED_PARTS_MAX: Final = 1024
SHARED_PARTS_MAX: Final = 32


class CrashReport(NamedTuple):
    """A crash, ``age_s`` seconds ago, of an upstream that processed a part.

    ``crash`` identifies the incarnation of the upstream, so reports of
    several VMs count as one crash.
    """

    part: str
    crash: str
    age_s: float


class PassedPart(NamedTuple):
    """A part with which a request got a token ``age_s`` seconds ago."""

    part: str
    age_s: float


class QuarantineFlags(TypedDict):
    """``version`` grows whenever there is something new for other VMs."""

    version: int


class Quarantine(NamedTuple):
    """The root: crashes and successes by part of the prompt.

    ``crashed_at_s`` holds the time of each crash by part and crash, and
    ``passed_at_s`` when a request with the part last got a token, the latest
    part last.  ``disputed_at_s`` is when another VM last suspected a part
    that has passed here.  ``unconfirmed`` holds the parts that are suspected
    if it turns out that a crash has happened.
    """

    crashed_at_s: dict[str, dict[str, float]]
    passed_at_s: dict[str, float]
    disputed_at_s: dict[str, float]
    unconfirmed: Suspicions
    flags: QuarantineFlags


def make_quarantine() -> Quarantine:
    """Create a quarantine without evidence."""
    return Quarantine({}, {}, {}, {}, {'version': 0})


def record_passed(
    quarantine: Quarantine, parts: Iterable[str], at_s: float
) -> None:
    """Record that upstreams processed these parts of a prompt at ``at_s``."""
    passed_at_s = quarantine.passed_at_s
    for part in parts:
        passed_at_s[part] = max(at_s, passed_at_s.pop(part, -inf))
        quarantine.crashed_at_s.pop(part, None)
    while len(passed_at_s) > PASSED_PARTS_MAX:
        passed_at_s.pop(next(iter(passed_at_s)))


def has_passed(quarantine: Quarantine, part: str, now_s: float) -> bool:
    """Return whether a request with the part got a token lately."""
    return now_s - quarantine.passed_at_s.get(part, -inf) <= PASSED_S


def suspect(
    quarantine: Quarantine, crash: str, parts: Iterable[str], now_s: float
) -> bool:
    """Suspect parts of a prompt in case an upstream has crashed.

    Returns whether it has to be found out now if it has.
    """
    suspected = {
        part for part in parts if not has_passed(quarantine, part, now_s)
    }
    if not suspected:
        return False
    return add_suspicion(quarantine.unconfirmed, crash, suspected, now_s)


def defer_suspicion(quarantine: Quarantine, crash: str) -> None:
    """Keep what is suspected, for the case that the upstream did crash."""
    end_check(quarantine.unconfirmed, crash)


def confirm_crash(
    quarantine: Quarantine, crash: str, now_s: float
) -> list[str]:
    """Count a crash as evidence against the parts suspected of it.

    Returns the parts that are in quarantine from now on.
    """
    suspected = pop_suspected(quarantine.unconfirmed, crash, now_s)
    reports = [CrashReport(part, crash, 0.0) for part in suspected]
    return merge_crash_reports(quarantine, reports, now_s)


def merge_crash_reports(
    quarantine: Quarantine, reports: Iterable[CrashReport], now_s: float
) -> list[str]:
    """Add evidence, against parts that have not passed here lately.

    Returns the parts that are in quarantine from now on.
    """
    added = []
    for report in reports:
        if has_passed(quarantine, report.part, now_s):
            quarantine.disputed_at_s[report.part] = now_s
            quarantine.flags['version'] += 1
            continue
        before = _is_quarantined(quarantine, report.part, now_s)
        _add_crash(quarantine, report, now_s)
        if not before and _is_quarantined(quarantine, report.part, now_s):
            added.append(report.part)
    return added


def _add_crash(
    quarantine: Quarantine, report: CrashReport, now_s: float
) -> None:
    """Add a crash of a part, at the earliest time that was reported for it."""
    crashed_at_s = quarantine.crashed_at_s
    crashes = crashed_at_s.setdefault(report.part, {})
    if report.crash not in crashes:
        quarantine.flags['version'] += 1
    at_s = now_s - report.age_s
    crashes[report.crash] = min(at_s, crashes.get(report.crash, at_s))
    while len(crashed_at_s) > SUSPECTED_PARTS_MAX:
        crashed_at_s.pop(next(iter(crashed_at_s)))


def quarantined_part(
    quarantine: Quarantine, parts: Iterable[str], now_s: float
) -> str | None:
    """Return the first of these parts that is in quarantine, or ``None``."""
    if not quarantine.crashed_at_s:
        return None
    present = tuple(parts)
    for part in present:
        if _is_quarantined(quarantine, part, now_s) and not _is_explained(
            quarantine, part, present
        ):
            return part
    return None


def _is_explained(
    quarantine: Quarantine, part: str, present: Collection[str]
) -> bool:
    """Return whether the cause of all crashes of a part may be an absent one.

    It may if the absent part was there at each of them.  A crash without it
    shows that it is not the only cause.
    """
    crashed_at_s = quarantine.crashed_at_s
    return any(
        crashed_at_s[part].keys() <= crashes.keys()
        for other, crashes in crashed_at_s.items()
        if other not in present
    )


def _is_quarantined(quarantine: Quarantine, part: str, now_s: float) -> bool:
    return len(_valid_crashes(quarantine, part, now_s)) >= CRASHES_MIN


def _valid_crashes(
    quarantine: Quarantine, part: str, now_s: float
) -> dict[str, float]:
    """Return the crashes that still count as evidence against a part."""
    return {
        crash: at_s
        for crash, at_s in quarantine.crashed_at_s.get(part, {}).items()
        if now_s - at_s <= EVIDENCE_S
    }


def release_s(quarantine: Quarantine, part: str, now_s: float) -> float:
    """Return for how many seconds the part stays in quarantine."""
    times_s = sorted(_valid_crashes(quarantine, part, now_s).values())
    if len(times_s) < CRASHES_MIN:
        return 0.0
    return times_s[-CRASHES_MIN] + EVIDENCE_S - now_s


def evidence_version(quarantine: Quarantine) -> int:
    """Return a number that grows with each change that concerns other VMs."""
    return quarantine.flags['version']


def crash_reports(quarantine: Quarantine, now_s: float) -> list[CrashReport]:
    """Return the evidence for other VMs, and drop what has expired.

    These are the crashes of the last `SHARING_S` seconds and all against
    parts in quarantine, for at most `SHARED_PARTS_MAX` parts.
    """
    shared = {}
    for part in list(quarantine.crashed_at_s):
        crashes = _valid_crashes(quarantine, part, now_s)
        if not crashes:
            quarantine.crashed_at_s.pop(part)
            continue
        is_recent = now_s - max(crashes.values()) <= SHARING_S
        if is_recent or len(crashes) >= CRASHES_MIN:
            shared[part] = crashes
    most_crashes = sorted(shared, key=lambda part: -len(shared[part]))
    return [
        CrashReport(part, crash, now_s - at_s)
        for part in most_crashes[:SHARED_PARTS_MAX]
        for crash, at_s in shared[part].items()
    ]


def quarantine_reports(
    quarantine: Quarantine, now_s: float
) -> dict[str, list[CrashReport]]:
    """Return the evidence against the parts in quarantine, by part."""
    found = {}
    for part in quarantine.crashed_at_s:
        crashes = _valid_crashes(quarantine, part, now_s)
        if len(crashes) >= CRASHES_MIN:
            found[part] = [
                CrashReport(part, crash, now_s - at_s)
                for crash, at_s in crashes.items()
            ]
    return found


def disputed_parts(quarantine: Quarantine, now_s: float) -> list[PassedPart]:
    """Return the parts that other VMs suspect though they have passed."""
    disputed_at_s = quarantine.disputed_at_s
    for part, at_s in list(disputed_at_s.items()):
        is_over = now_s - at_s > SHARING_S
        if is_over or not has_passed(quarantine, part, now_s):
            disputed_at_s.pop(part)
    return [
        PassedPart(part, now_s - quarantine.passed_at_s[part])
        for part in sorted(disputed_at_s)[:SHARED_PARTS_MAX]
    ]

"""Gossip rounds: which reports a VM sends or relays, and to which VMs."""

from typing import Final, NamedTuple

from bluebellhub.site.contact import older_contact_s
from bluebellhub.site.crash_evidence import (
    EvidenceSent,
    make_crash_evidence,
    make_evidence_sent,
)
from bluebellhub.site.domain_reports import make_domain_report
from bluebellhub.site.grid import (
    REMOTE_INTERVAL_S,
    column_peers,
    remote_peers,
    row_peers,
)
from bluebellhub.site.liveness import live_vm_names
from bluebellhub.site.rejection_limits import make_rejection_report
from bluebellhub.site.reports import (
    CrashEvidence,
    DomainReport,
    GossipBatch,
    GossipItem,
    LimitReport,
    RejectionLimitReport,
    StepReport,
    VmReport,
)
from bluebellhub.site.slowdowns import older_slowdowns
from bluebellhub.site.state import Site
from bluebellhub.site.stated_limits import (
    LimitsSent,
    make_limit_report,
    make_limits_sent,
)
from bluebellhub.site.step_reports import (
    StepsSent,
    make_step_report,
    make_steps_sent,
)
from bluebellhub.site.vm_reports import make_vm_report

__all__ = [
    'GossipState',
    'Multicast',
    'make_gossip_state',
    'make_multicasts',
]

# An unchanged report is sent again after this time, as a keepalive.
REFRESH_INTERVAL_S: Final = 0.36


class GossipState(NamedTuple):
    """The newest reports that this VM has sent and relayed.

    ``last_report`` is this VM's newest report, sent at ``sent_at_s``; the
    newest one for remote failure domains was sent at ``remote_sent_at_s``.
    ``relayed`` holds, for each VM of the row, the start and the sequence number
    of its newest report that went to this VM's column. ``evidence_sent`` tells
    which evidence of crashes the other VMs have, and ``steps_sent`` which step
    times the leader of version moves has; ``limits_sent`` holds the limits of
    upstreams that were sent.
    """

    last_report: VmReport | None
    sent_at_s: float
    remote_sent_at_s: float
    relayed: dict[str, tuple[int, int]]
    evidence_sent: EvidenceSent
    steps_sent: StepsSent
    limits_sent: LimitsSent


class Multicast(NamedTuple):
    """One message for several VMs."""

    to: list[str]
    message: (
        GossipBatch
        | DomainReport
        | CrashEvidence
        | StepReport
        | LimitReport
        | RejectionLimitReport
    )


def make_gossip_state() -> GossipState:
    """Create the state of a VM that has sent nothing."""
    return GossipState(
        None,
        0.0,
        0.0,
        {},
        make_evidence_sent(),
        make_steps_sent(),
        make_limits_sent(),
    )


def make_multicasts(
    site: Site, state: GossipState, now_s: float
) -> tuple[GossipState, list[Multicast]]:
    """Return the new state and the messages of a gossip round.

    There are no messages if nothing has changed and no refresh is due.
    """
    grid = site.flags['grid']
    report = make_vm_report(site, now_s)
    multicasts = []
    items = []
    if _is_due(state, report, now_s):
        state = state._replace(last_report=report, sent_at_s=now_s)
        local_item = GossipItem(site.vm, report)
        items.append(local_item)
        multicasts.append(Multicast(row_peers(grid), GossipBatch([local_item])))
    items.extend(_unrelayed_items(site, state, now_s))
    live = live_vm_names(site, now_s)
    if items:
        multicasts.append(
            Multicast(column_peers(grid, live), GossipBatch(items))
        )
    if grid.remote and now_s - state.remote_sent_at_s >= REMOTE_INTERVAL_S:
        state = state._replace(remote_sent_at_s=now_s)
        remote = make_domain_report(site, report, now_s)
        multicasts.append(Multicast(remote_peers(grid, live), remote))
    state = _add_evidence(site, state, multicasts, now_s)
    _add_limit_report(site, state, multicasts, now_s)
    state = _add_step_report(site, state, multicasts, now_s)
    return state, [multicast for multicast in multicasts if multicast.to]


def _add_evidence(
    site: Site, state: GossipState, multicasts: list[Multicast], now_s: float
) -> GossipState:
    """Add the evidence of crashes to the messages; return the new state."""
    sent, evidence = make_crash_evidence(site, state.evidence_sent, now_s)
    state = state._replace(evidence_sent=sent)
    if evidence is None:
        return state
    multicasts.append(Multicast(_all_peers(site, now_s), evidence))
    return state


def _add_limit_report(
    site: Site, state: GossipState, multicasts: list[Multicast], now_s: float
) -> None:
    """Add the limits that upstreams state to the messages."""
    sent = state.limits_sent
    report = make_limit_report(site, sent, now_s)
    if report is not None:
        multicasts.append(Multicast(_all_peers(site, now_s), report))
    rejections = make_rejection_report(site, sent, now_s)
    if rejections is not None:
        multicasts.append(Multicast(_all_peers(site, now_s), rejections))


def _all_peers(site: Site, now_s: float) -> list[str]:
    """Return the VMs that this one sends to, which pass it on to the others."""
    grid = site.flags['grid']
    live = live_vm_names(site, now_s)
    return [
        *row_peers(grid),
        *column_peers(grid, live),
        *remote_peers(grid, live),
    ]


def _add_step_report(
    site: Site, state: GossipState, multicasts: list[Multicast], now_s: float
) -> GossipState:
    """Add a report to the leader of version moves; return the new state."""
    sent, report = make_step_report(site, state.steps_sent, now_s)
    if report is not None:
        multicasts.append(Multicast([sent.leader], report))
    return state._replace(steps_sent=sent)


def _is_due(state: GossipState, report: VmReport, now_s: float) -> bool:
    """Return whether the report differs from the last one or a refresh is due.

    A change of the speeds or of the last contact alone does not count, and
    slowdowns count only if one was stated since.
    """
    sent = state.last_report
    if sent is None or now_s - state.sent_at_s >= REFRESH_INTERVAL_S:
        return True
    since_s = now_s - state.sent_at_s
    if any(stated.age_s < since_s for stated in report.slowdowns.values()):
        return True
    unchanged = report._replace(
        sequence=sent.sequence,
        uptime_s=sent.uptime_s,
        speeds=sent.speeds,
        slowdowns=sent.slowdowns,
        contact_age_s=sent.contact_age_s,
    )
    return unchanged != sent


def _unrelayed_items(
    site: Site, state: GossipState, now_s: float
) -> list[GossipItem]:
    """Return the row's reports that were not relayed to the column yet.

    Learned speeds are not relayed: each VM merges them into its own speeds, so
    they reach all VMs in its own reports.
    """
    grid = site.flags['grid']
    if len(grid.rows) == 1:
        return []
    items = []
    for name in row_peers(grid):
        peer = site.peers.get(name)
        if peer is None:
            continue
        report_id = (peer.report.start_id, peer.report.sequence)
        if state.relayed.get(name) != report_id:
            state.relayed[name] = report_id
            relayed = peer.report._replace(
                speeds={},
                slowdowns=older_slowdowns(
                    peer.report.slowdowns, now_s - peer.received_at_s
                ),
                contact_age_s=older_contact_s(peer, now_s),
            )
            items.append(GossipItem(name, relayed))
    return items

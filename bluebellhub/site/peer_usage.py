"""Charges what other VMs admitted to the limits of the accounts."""

from collections.abc import Mapping
from typing import Final, NamedTuple

from bluebellhub.rates import (
    JoinedVms,
    adopt_level,
    charge_peer_usage,
    merge_start,
)
from bluebellhub.route import Account
from bluebellhub.site.liveness import (
    LIVENESS_TIMEOUT_S,
    first_live_vm,
    live_share,
)
from bluebellhub.site.reports import Peer, VmReport
from bluebellhub.site.state import Site

__all__ = [
    'ADOPTION_S',
    'ReportContext',
    'adopt_levels',
    'charge_accounts',
    'has_started_together',
    'make_report_context',
    'merge_starts',
    'usage_since',
]

# A VM adopts levels within these seconds of its start, from VMs that are older
# by more than that.
ADOPTION_S: Final = 2.0


class ReportContext(NamedTuple):
    """Values that all reports of one moment are applied with.

    ``share`` is the ratio of live VMs, ``share_before`` that without the VMs
    that the reports are from; ``leader`` is the first live VM by name.
    ``limited`` holds the accounts with a limit.
    """

    share: float
    share_before: float
    leader: str
    limited: Mapping[str, Account]
    now_s: float


def make_report_context(
    site: Site, share_before: float, now_s: float
) -> ReportContext:
    """Return the context for the reports that arrive now.

    ``share_before`` was the ratio of live VMs before.
    """
    table = site.active_config['table']
    return ReportContext(
        live_share(site, now_s),
        share_before,
        first_live_vm(site, now_s),
        table.limited if table else {},
        now_s,
    )


def usage_since(
    known: Peer | None, report: VmReport, now_s: float
) -> dict[str, float]:
    """Return what the VM admitted since its last report, by account.

    It is empty for the first report of an older or a much younger VM, and
    after a gap longer than the liveness timeout: meanwhile the VM kept to its
    own share of the limits, which the others left to it.
    """
    if known is None or now_s - known.received_at_s > LIVENESS_TIMEOUT_S:
        return {}
    before = known.report.admitted
    if known.report.start_id != report.start_id:
        before = {}
    return {
        account: amount - before.get(account, 0.0)
        for account, amount in report.admitted.items()
    }


def charge_accounts(
    site: Site, usage: Mapping[str, float], context: ReportContext
) -> None:
    """Charge what other VMs admitted to the accounts' buckets."""
    for name, amount in usage.items():
        account = context.limited.get(name)
        if account is not None and amount:
            charge_peer_usage(
                site.quotas, account, amount, context.share, context.now_s
            )


def has_started_together(
    site: Site, uptime_s: float, context: ReportContext
) -> bool:
    """Return whether this VM has just started and another one with it.

    Neither knows a bucket that is older than the other's.
    """
    local_uptime_s = context.now_s - site.started_at_s
    is_older = uptime_s > local_uptime_s + ADOPTION_S
    return local_uptime_s <= ADOPTION_S and not is_older


def merge_starts(
    site: Site,
    admitted: Mapping[str, float],
    vm_count: int,
    uptime_s: float,
    context: ReportContext,
) -> None:
    """Merge the buckets of ``vm_count`` VMs that started with this one."""
    share = vm_count / max(vm_count, len(site.vms))
    joined = JoinedVms(share, uptime_s)
    for account in context.limited.values():
        merge_start(
            site.quotas,
            account,
            admitted.get(account.name, 0.0),
            joined,
            context.share_before,
            context.now_s,
        )


def adopt_levels(
    site: Site,
    uptime_s: float,
    levels: Mapping[str, float],
    context: ReportContext,
) -> None:
    """Adopt the bucket levels of an older VM, soon after this VM's start.

    Levels of a VM that runs for longer replace those adopted before, so the
    levels of the oldest VM prevail.
    """
    local_uptime_s = context.now_s - site.started_at_s
    known_uptime_s = max(local_uptime_s, site.flags['adopted_age_s'])
    is_older = uptime_s > known_uptime_s + ADOPTION_S
    if local_uptime_s > ADOPTION_S or not is_older or not levels:
        return
    site.flags['adopted_age_s'] = uptime_s
    for name, level in levels.items():
        account = context.limited.get(name)
        if account is not None:
            adopt_level(site.quotas, account, level, context.now_s)

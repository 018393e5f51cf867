"""Sends and receives the gossip between the VMs of a site.

A handler applies the messages of one class.  It gets the proxy, the name of the
sending VM and the message.
"""

from collections.abc import Callable
from typing import Any

import logbook
import trio

from bluebellhub.adapters.peer_link import (
    PeerLink,
    receive_all,
    reconnect_silent_peers,
    send_all,
)
from bluebellhub.adapters.proxy.state import Proxy
from bluebellhub.adapters.proxy.statements import (
    apply_reported_limits,
    apply_reported_rejections,
)
from bluebellhub.adapters.proxy.usage_reports import receive_usage_report
from bluebellhub.clock import now_s
from bluebellhub.faults import isolate_fault
from bluebellhub.latencies import record_report_delay
from bluebellhub.registry import Registry, make_registry
from bluebellhub.site.crash_evidence import apply_crash_evidence
from bluebellhub.site.domain_loads import update_domain_shares
from bluebellhub.site.domain_reports import apply_domain_report
from bluebellhub.site.gossip import (
    make_gossip_state,
    make_multicasts,
)
from bluebellhub.site.grid import gossip_interval_s, local_vm_names
from bluebellhub.site.reports import (
    CrashEvidence,
    DomainReport,
    GossipBatch,
    LimitReport,
    RejectionLimitReport,
    StepReport,
)
from bluebellhub.site.state import Site
from bluebellhub.site.step_reports import apply_step_report
from bluebellhub.site.vm_reports import (
    apply_gossip,
    longest_delay_s,
    update_other_vms_load,
)
from bluebellhub.usage import UsageReport

__all__ = ['GossipHandler', 'gossip_handlers', 'receive_gossip', 'send_gossip']

GossipHandler = Callable[[Proxy, str, Any], None]

gossip_handlers: Registry[GossipHandler] = make_registry('gossip handler')

log = logbook.Logger('bluebellhub.gossip')


async def send_gossip(proxy: Proxy, link: PeerLink) -> None:
    """Send this VM's reports to other VMs until cancelled."""
    site = proxy.site
    gossip_state = make_gossip_state()
    reconnected_at_s: dict[str, float] = {}
    while True:
        with isolate_fault('gossip'):
            current_s = now_s()
            update_other_vms_load(site, current_s)
            delay_s = longest_delay_s(site, current_s)
            record_report_delay(proxy.node.latencies, delay_s)
            _decide_shares(site, current_s)
            gossip_state, multicasts = make_multicasts(
                site, gossip_state, current_s
            )
            for multicast in multicasts:
                send_all(link, multicast.to, multicast.message)
            _reconnect_silent(site, link, reconnected_at_s, current_s)
        await trio.sleep(gossip_interval_s(site.flags['grid']))


def _decide_shares(site: Site, current_s: float) -> None:
    """Decide what may leave the failure domain; log what has changed."""
    for change in update_domain_shares(site, current_s):
        log.info(
            'another failure domain is used for a new reason',
            extra={
                'target': change.target,
                'domain': change.domain,
                'reason': change.pair.reason,
                'share': round(change.pair.share, 3),
                'slots': round(change.pair.slots, 1),
            },
        )


def _reconnect_silent(
    site: Site,
    link: PeerLink,
    reconnected_at_s: dict[str, float],
    current_s: float,
) -> None:
    """Replace the connections to the VMs nearby that are silent."""
    received_at_s_by_vm = {
        name: peer.received_at_s for name, peer in site.peers.items()
    }
    local_names = local_vm_names(site.flags['grid'])
    reconnect_silent_peers(
        link, local_names, received_at_s_by_vm, reconnected_at_s, current_s
    )


async def receive_gossip(proxy: Proxy, link: PeerLink) -> None:
    """Apply the messages of other VMs until cancelled."""

    def apply_message(sender: str, message: object) -> None:
        name = type(message).__name__
        if name in gossip_handlers.entries:
            gossip_handlers.find(name)(proxy, sender, message)

    await receive_all(link, apply_message)


@gossip_handlers.register(GossipBatch.__name__)
def _apply_batch(proxy: Proxy, sender: str, batch: GossipBatch) -> None:
    apply_gossip(proxy.site, batch.items, now_s())


@gossip_handlers.register(DomainReport.__name__)
def _apply_domain(proxy: Proxy, sender: str, report: DomainReport) -> None:
    apply_domain_report(proxy.site, report, now_s())


@gossip_handlers.register(LimitReport.__name__)
def _apply_limits(proxy: Proxy, sender: str, report: LimitReport) -> None:
    apply_reported_limits(proxy, report)


@gossip_handlers.register(RejectionLimitReport.__name__)
def _apply_rejection_limits(
    proxy: Proxy, sender: str, report: RejectionLimitReport
) -> None:
    apply_reported_rejections(proxy, report)


@gossip_handlers.register(StepReport.__name__)
def _apply_steps(proxy: Proxy, sender: str, report: StepReport) -> None:
    apply_step_report(proxy.site, sender, report)


@gossip_handlers.register(CrashEvidence.__name__)
def _apply_crash_evidence(
    proxy: Proxy, sender: str, evidence: CrashEvidence
) -> None:
    parts = apply_crash_evidence(proxy.site, evidence, now_s())
    if parts:
        log.info(
            'parts of prompts quarantined by the evidence of other VMs',
            extra={'quarantined_parts': parts},
        )


@gossip_handlers.register(UsageReport.__name__)
def _apply_usage(proxy: Proxy, sender: str, report: UsageReport) -> None:
    receive_usage_report(proxy, sender, report)

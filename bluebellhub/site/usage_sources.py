"""What the site knows for the duties: expected reports, and queues."""

from bluebellhub.admission import size
from bluebellhub.site.liveness import live_domains, live_vm_names
from bluebellhub.site.state import Site

__all__ = ['expected_vms', 'queued_here']


def expected_vms(site: Site, now_s: float) -> list[str]:
    """Return the other VMs that are known to be live by name.

    Another failure domain reports only how many of its VMs are live, so its
    VMs are named only while all of them are.
    """
    names = live_vm_names(site, now_s)
    for remote in live_domains(site, now_s):
        located = [
            name
            for name, location in site.vms.items()
            if location.domain == remote.report.domain
        ]
        if remote.report.vm_count >= len(located):
            names.extend(located)
    return names


def queued_here(site: Site) -> dict[str, int]:
    """Return the requests that wait on this VM, by service."""
    return {
        service: size(queue)
        for service, queue in site.scheduler.queues.items()
        if size(queue)
    }

"""Cost of gossip for one VM of a site, by the number of VMs.

``python -m benchmarks.news`` simulates sites of several sizes.  In each
round every VM admits a request and sends its gossip, encoded as on the
wire.  For one VM it prints the messages, the bytes received, the bytes from
other failure domains among them, and the processor time, all per second.
The processor time doesn't include sockets.
"""

import time
from typing import Final, NamedTuple

from tabulate import tabulate

from bluebellhub.peer_messages import decode_message, encode_message
from bluebellhub.site.domain_reports import apply_domain_report
from bluebellhub.site.gossip import (
    GossipState,
    make_gossip_state,
    make_multicasts,
)
from bluebellhub.site.grid import gossip_interval_s
from bluebellhub.site.reports import DomainReport
from bluebellhub.site.state import Bounds, Site, make_site, set_vms
from bluebellhub.site.tests.small_site import (
    make_registration,
    make_routing_table,
    send,
)
from bluebellhub.site.upstreams import apply_registration, apply_routing_table
from bluebellhub.site.vm_location import VmLocation
from bluebellhub.site.vm_reports import apply_gossip, update_other_vms_load

__all__ = ['main']

SIZES: Final = ((8, 3), (16, 3), (60, 4), (85, 3), (320, 9))
UPSTREAMS: Final = 33
ROUNDS: Final = 20
OBSERVED_VM: Final = 'hub-0'
MS_PER_S: Final = 1000.0
BYTES_PER_KB: Final = 1000.0
HEADERS: Final = (
    'VMs',
    'messages/s out',
    'messages/s in',
    'KB/s in',
    'KB/s in, other domains',
    'processor ms/s',
)


class Usage(NamedTuple):
    """Messages, bytes and processor time of the observed VM."""

    sent: int = 0
    received: int = 0
    received_bytes: int = 0
    remote_bytes: int = 0
    processor_s: float = 0.0


class EncodedMessage(NamedTuple):
    """An encoded message and its receivers.

    ``is_remote`` is true for a report to other failure domains.
    """

    to: list[str]
    encoded: bytes
    is_remote: bool


def _make_sites(count: int, domains: int) -> dict[str, Site]:
    locations = {
        f'hub-{number}': VmLocation('', f'd{number % domains}')
        for number in range(count)
    }
    sites = {}
    for seed, name in enumerate(locations):
        site = make_site(name, locations[name].domain, Bounds(), -60.0, seed)
        set_vms(site, locations)
        apply_routing_table(site, make_routing_table())
        for number in range(UPSTREAMS):
            registration = make_registration(f'i-{number:010x}', slots=12)
            apply_registration(site, registration, 0.0)
        sites[name] = site
    return sites


def _make_messages(
    site: Site, gossip_state: GossipState, now_s: float
) -> tuple[GossipState, list[EncodedMessage]]:
    update_other_vms_load(site, now_s)
    gossip_state, multicasts = make_multicasts(site, gossip_state, now_s)
    return gossip_state, [
        EncodedMessage(
            multicast.to,
            encode_message(multicast.message),
            isinstance(multicast.message, DomainReport),
        )
        for multicast in multicasts
    ]


def _apply_message(site: Site, encoded: bytes, now_s: float) -> float:
    """Decode and apply a message; returns the processor time in seconds."""
    started_at_s = time.process_time()
    decoded = decode_message(encoded)
    if isinstance(decoded, DomainReport):
        apply_domain_report(site, decoded, now_s)
    else:
        apply_gossip(site, decoded.items, now_s)
    return time.process_time() - started_at_s


def _send_all(
    sites: dict[str, Site],
    gossip_states: dict[str, GossipState],
    usage: Usage,
    now_s: float,
) -> tuple[Usage, list[EncodedMessage]]:
    """Run one round of all VMs; returns the updated usage and messages."""
    sent_messages = []
    for name, site in sites.items():
        send(site, f'{now_s}', now_s)
        started_at_s = time.process_time()
        gossip_state, messages = _make_messages(
            site, gossip_states[name], now_s
        )
        processor_s = time.process_time() - started_at_s
        gossip_states[name] = gossip_state
        sent_messages.extend(messages)
        if name == OBSERVED_VM:
            usage = usage._replace(
                sent=usage.sent + sum(len(message.to) for message in messages),
                processor_s=usage.processor_s + processor_s,
            )
    return usage, sent_messages


def _deliver(
    sites: dict[str, Site], usage: Usage, message: EncodedMessage, now_s: float
) -> Usage:
    """Deliver a message to its receivers; returns the updated usage."""
    for name in message.to:
        processor_s = _apply_message(sites[name], message.encoded, now_s)
        if name == OBSERVED_VM:
            received_bytes = len(message.encoded)
            usage = usage._replace(
                received=usage.received + 1,
                received_bytes=usage.received_bytes + received_bytes,
                remote_bytes=usage.remote_bytes
                + received_bytes * message.is_remote,
                processor_s=usage.processor_s + processor_s,
            )
    return usage


def _measure(count: int, domains: int) -> list[float]:
    """Return the table row of a site of ``count`` VMs."""
    sites = _make_sites(count, domains)
    gossip_states = {name: make_gossip_state() for name in sites}
    interval_s = gossip_interval_s(sites[OBSERVED_VM].flags['grid'])
    usage = Usage()
    for number in range(ROUNDS):
        now_s = number * interval_s
        usage, sent_messages = _send_all(sites, gossip_states, usage, now_s)
        for message in sent_messages:
            usage = _deliver(sites, usage, message, now_s)
    duration_s = ROUNDS * interval_s
    rates = [amount / duration_s for amount in usage]
    return [
        count,
        round(rates[0]),
        round(rates[1]),
        round(rates[2] / BYTES_PER_KB, 1),
        round(rates[3] / BYTES_PER_KB, 1),
        round(rates[4] * MS_PER_S, 1),
    ]


def main() -> None:
    """Print a table with a row for each size."""
    rows = [_measure(count, domains) for count, domains in SIZES]
    print(tabulate(rows, headers=HEADERS))


if __name__ == '__main__':
    main()

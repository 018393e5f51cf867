"""What news cost one VM of a site, by the number of VMs.

``python -m benchmarks.news`` lets every VM of sites of several sizes take a
request a round and tell its news, encoded as on the wire, and prints for one
of them the messages, the bytes, those from other failure domains among them,
and the processor time a second, sockets not included.
"""

import time
from typing import Final, NamedTuple

from tabulate import tabulate

from bluebellhub.fleet import decode_message, encode_message
from bluebellhub.site.domain_reports import apply_domain_report
from bluebellhub.site.gossip import (
    GossipState,
    gossip_interval_s,
    make_gossip_state,
    make_multicasts,
)
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
WATCHED: Final = 'hub-0'
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


class Spent(NamedTuple):
    """What the watched VM sent, received and used."""

    sent: int = 0
    received: int = 0
    size: int = 0
    far_size: int = 0
    processor_s: float = 0.0


class Envelope(NamedTuple):
    """An encoded message and the VMs that it goes to."""

    to: list[str]
    encoded: bytes
    is_far: bool


def _make_sites(count: int, domains: int) -> dict[str, Site]:
    places = {
        f'hub-{number}': VmLocation('', f'd{number % domains}')
        for number in range(count)
    }
    sites = {}
    for seed, name in enumerate(places):
        site = make_site(name, places[name].domain, Bounds(), -60.0, seed)
        set_vms(site, places)
        apply_routing_table(site, make_routing_table())
        for number in range(UPSTREAMS):
            entry = make_registration(f'i-{number:010x}', slots=12)
            apply_registration(site, entry, 0.0)
        sites[name] = site
    return sites


def _tell(
    site: Site, telling: GossipState, now_s: float
) -> tuple[GossipState, list[Envelope]]:
    update_other_vms_load(site, now_s)
    telling, multicasts = make_multicasts(site, telling, now_s)
    return telling, [
        Envelope(
            multicast.to,
            encode_message(multicast.message),
            isinstance(multicast.message, DomainReport),
        )
        for multicast in multicasts
    ]


def _deliver(site: Site, encoded: bytes, now_s: float) -> float:
    """Decode and take a message; returns the processor time in seconds."""
    began_s = time.process_time()
    message = decode_message(encoded)
    if isinstance(message, DomainReport):
        apply_domain_report(site, message, now_s)
    else:
        apply_gossip(site, message.items, now_s)
    return time.process_time() - began_s


def _tell_all(
    sites: dict[str, Site],
    tellings: dict[str, GossipState],
    spent: Spent,
    now_s: float,
) -> tuple[Spent, list[Envelope]]:
    sent = []
    for name, site in sites.items():
        send(site, f'{now_s}', now_s)
        began_s = time.process_time()
        telling, envelopes = _tell(site, tellings[name], now_s)
        took_s = time.process_time() - began_s
        tellings[name] = telling
        sent.extend(envelopes)
        if name == WATCHED:
            spent = spent._replace(
                sent=spent.sent + sum(len(entry.to) for entry in envelopes),
                processor_s=spent.processor_s + took_s,
            )
    return spent, sent


def _hear_all(
    sites: dict[str, Site], spent: Spent, envelope: Envelope, now_s: float
) -> Spent:
    for name in envelope.to:
        took_s = _deliver(sites[name], envelope.encoded, now_s)
        if name == WATCHED:
            size = len(envelope.encoded)
            spent = spent._replace(
                received=spent.received + 1,
                size=spent.size + size,
                far_size=spent.far_size + size * envelope.is_far,
                processor_s=spent.processor_s + took_s,
            )
    return spent


def _measure(count: int, domains: int) -> list[float]:
    sites = _make_sites(count, domains)
    tellings = {name: make_gossip_state() for name in sites}
    step_s = gossip_interval_s(sites[WATCHED].flags['grid'])
    spent = Spent()
    for number in range(ROUNDS):
        now_s = number * step_s
        spent, sent = _tell_all(sites, tellings, spent, now_s)
        for envelope in sent:
            spent = _hear_all(sites, spent, envelope, now_s)
    passed_s = ROUNDS * step_s
    per_s = [amount / passed_s for amount in spent]
    return [
        count,
        round(per_s[0]),
        round(per_s[1]),
        round(per_s[2] / BYTES_PER_KB, 1),
        round(per_s[3] / BYTES_PER_KB, 1),
        round(per_s[4] * MS_PER_S, 1),
    ]


def main() -> None:
    """Print a row for each size."""
    rows = [_measure(count, domains) for count, domains in SIZES]
    print(tabulate(rows, headers=HEADERS))


if __name__ == '__main__':
    main()

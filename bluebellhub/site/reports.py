"""What VMs tell each other several times a second."""

from typing import NamedTuple

from bluebellhub.upstream.speed import Speed
from bluebellhub.version_move.comparison import RouteOutcomes

__all__ = [
    'DomainReport',
    'GossipBatch',
    'GossipItem',
    'MoveDecision',
    'Peer',
    'RemoteDomain',
    'VmReport',
]


class MoveDecision(NamedTuple):
    """What the leader of a move lets the new version get.

    ``share`` is a ratio of the service's requests; a ``proven`` version may
    get more than an unproven one, a bad one nothing.
    """

    to_version: str
    share: float
    is_proven: bool = False
    is_bad: bool = False


class VmReport(NamedTuple):
    """A VM's work in progress and its use of the accounts' limits.

    ``sequence`` grows with each news of one start of the VM, which is named
    by ``start_id`` and was ``age_s`` ago.  ``work`` counts requests and
    ``prefill`` tokens that wait for prefill, by upstream; ``admitted`` sums
    by account what the VM admitted since its start.  ``outcome_counts`` are running
    totals of version moves by service, and ``decisions`` what their leader
    decides.  ``levels`` are those of the accounts' buckets, told to VMs
    that started later, and ``speeds`` the upstreams' learned ones, told
    now and then.
    """

    start_id: int
    age_s: float
    sequence: int
    work: dict[str, int]
    prefill: dict[str, int]
    admitted: dict[str, float]
    outcome_counts: dict[str, list[RouteOutcomes]] = {}
    decisions: dict[str, MoveDecision] = {}
    levels: dict[str, float] = {}
    speeds: dict[str, Speed] = {}


class GossipItem(NamedTuple):
    """A VM's news, as it told them or as another VM passes them on."""

    vm: str
    report: VmReport


class GossipBatch(NamedTuple):
    """News of some VMs in one message."""

    items: list[GossipItem]


class DomainReport(NamedTuple):
    """What a VM knows of its failure domain, summed up for another one.

    ``vm_count`` VMs are heard there; ``first_vm`` comes first by name and
    ``shortest_uptime_s`` is the shortest time since a start.  ``admitted`` sums what
    ``vm`` admitted, or heard of, since its own start, which is named by
    ``start_id``; ``outcome_counts`` are by VM, then as in a VM's own news.
    """

    domain: str
    vm: str
    start_id: int
    age_s: float
    sequence: int
    vm_count: int
    first_vm: str
    shortest_uptime_s: float
    work: dict[str, int]
    prefill: dict[str, int]
    admitted: dict[str, float]
    outcome_counts: dict[str, dict[str, list[RouteOutcomes]]] = {}
    decisions: dict[str, MoveDecision] = {}
    levels: dict[str, float] = {}
    speeds: dict[str, Speed] = {}


class RemoteDomain(NamedTuple):
    """The newest news of another failure domain and when it was heard."""

    report: DomainReport
    received_at_s: float


class Peer(NamedTuple):
    """The newest news of another VM and when it was heard.

    ``past_starts`` are the VM's earlier starts, whose news come too late.
    """

    report: VmReport
    received_at_s: float
    past_starts: frozenset[int] = frozenset()

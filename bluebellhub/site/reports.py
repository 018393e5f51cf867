"""Reports that VMs gossip several times a second, and the last received."""

from typing import Any, Final, NamedTuple

from bluebellhub.peer_messages import message_types, older_forms
from bluebellhub.quarantine import CrashReport, PassedPart
from bluebellhub.upstream.speed import Speed
from bluebellhub.version_move.comparison import RouteOutcomes
from bluebellhub.version_move.step_times import StepTotal

__all__ = [
    'CrashEvidence',
    'DomainReport',
    'GossipBatch',
    'GossipItem',
    'LimitReport',
    'MoveDecision',
    'Peer',
    'RemoteDomain',
    'RejectionLimitReport',
    'ReportedLimit',
    'ReportedSlowdown',
    'StepReport',
    'VmReport',
]


# The version since which VMs know of each other's links and of rejection
# limits, and how many fields the reports had before.
LINKS_VERSION: Final = 2
VM_FIELDS_WITHOUT_LINKS: Final = 13
DOMAIN_FIELDS_WITHOUT_LINKS: Final = 18


class MoveDecision(NamedTuple):
    """The decision of a version move's leader on the new version's share.

    ``share`` is a ratio of the service's requests. A version with ``is_proven``
    may get more than the limit for unproven versions; one with ``is_bad`` gets
    nothing.
    """

    to_version: str
    share: float
    is_proven: bool = False
    is_bad: bool = False


class ReportedSlowdown(NamedTuple):
    """The slowdown that an upstream stated ``age_s`` seconds ago."""

    ratio: float
    age_s: float


class VmReport(NamedTuple):
    """A VM's work in progress and its usage of the accounts' limits.

    ``sequence`` grows with each report since the VM's start. The start is
    identified by ``start_id`` and was ``uptime_s`` seconds ago.

    ``work`` counts the VM's requests at each upstream, and ``prefill_tokens``
    their tokens that wait for prefill there. ``admitted`` sums by account what
    the VM admitted since its start. ``outcome_counts`` are running totals of
    version moves by service, and ``decisions`` are made by the leader of the
    moves, by service as well.

    ``levels`` are the levels of the accounts' token buckets, included while
    another VM has just started. ``speeds`` are the learned speeds of the
    upstreams, included in some of the reports only. ``queued`` counts the
    requests that wait on the VM, by target. ``slowdowns`` are the newest that
    upstreams stated to the VM, if they are fresh. ``demand`` are the requests
    per second that the VM gets, by target and rank. A VM that ``is_cut_off``
    reaches no upstream; one that is not got something from one
    ``contact_age_s`` ago.
    """

    start_id: int
    uptime_s: float
    sequence: int
    work: dict[str, int]
    prefill_tokens: dict[str, int]
    admitted: dict[str, float]
    outcome_counts: dict[str, list[RouteOutcomes]] = {}
    decisions: dict[str, MoveDecision] = {}
    levels: dict[str, float] = {}
    speeds: dict[str, Speed] = {}
    queued: dict[str, int] = {}
    slowdowns: dict[str, ReportedSlowdown] = {}
    demand: dict[str, dict[int, float]] = {}
    is_cut_off: bool = False
    contact_age_s: float | None = None


class GossipItem(NamedTuple):
    """The report of a VM, sent by itself or relayed by another VM."""

    vm: str
    report: VmReport


@message_types.register('NewsBatch')
class GossipBatch(NamedTuple):
    """Reports of several VMs in one message."""

    items: list[GossipItem]


@message_types.register('CrashEvidence')
class CrashEvidence(NamedTuple):
    """Crashes of upstreams by part of the prompt, and parts not to suspect.

    Requests with the ``passed`` parts got tokens, at any VM.
    """

    crashes: list[CrashReport]
    passed: list[PassedPart]


class ReportedLimit(NamedTuple):
    """A limit that an upstream stated ``age_s`` seconds ago.

    ``per_s`` counts the requests of all VMs, or those that it rejects;
    ``None`` means that the upstream states no limit any more.
    """

    upstream: str
    incarnation: str
    per_s: float | None
    age_s: float


@message_types.register('LimitReport')
class LimitReport(NamedTuple):
    """Rate limits that upstreams state, to the sender or to other VMs."""

    limits: list[ReportedLimit]


@message_types.register('RejectionLimitReport')
class RejectionLimitReport(NamedTuple):
    """Rejection limits that upstreams state, to the sender or to other VMs."""

    limits: list[ReportedLimit]


@message_types.register('StepReport')
class StepReport(NamedTuple):
    """A VM's running totals of step times, by upstream, for the leader."""

    totals: dict[str, StepTotal]


@message_types.register('DomainNews')
class DomainReport(NamedTuple):
    """A failure domain's state, summed up by one VM for another domain.

    ``vm_count`` VMs are live there, ``first_vm`` is the first of them by name,
    and ``shortest_uptime_s`` is the time since the latest start of one of them.
    ``admitted`` sums what ``vm`` admitted or learned of since its own start,
    which is identified by ``start_id``. ``outcome_counts`` are by VM, then as
    in `VmReport`. ``cut_off`` names the VMs that reach no upstream, and one of
    the others got something from one ``contact_age_s`` ago.
    """

    domain: str
    vm: str
    start_id: int
    uptime_s: float
    sequence: int
    vm_count: int
    first_vm: str
    shortest_uptime_s: float
    work: dict[str, int]
    prefill_tokens: dict[str, int]
    admitted: dict[str, float]
    outcome_counts: dict[str, dict[str, list[RouteOutcomes]]] = {}
    decisions: dict[str, MoveDecision] = {}
    levels: dict[str, float] = {}
    speeds: dict[str, Speed] = {}
    queued: dict[str, int] = {}
    slowdowns: dict[str, ReportedSlowdown] = {}
    demand: dict[str, dict[int, float]] = {}
    cut_off: list[str] = []
    contact_age_s: float | None = None


class RemoteDomain(NamedTuple):
    """The newest report of another failure domain and when it arrived."""

    report: DomainReport
    received_at_s: float


class Peer(NamedTuple):
    """The newest report of another VM and when it arrived.

    ``past_starts`` identifies the VM's earlier starts; reports of those are
    late and are dropped.  The report took ``delay_s`` longer than the fastest
    of this start.
    """

    report: VmReport
    received_at_s: float
    past_starts: frozenset[int] = frozenset()
    delay_s: float = 0.0


@older_forms.register('NewsBatch')
def _batch_without_links(
    batch: GossipBatch, version: int
) -> GossipBatch | tuple[list[tuple[str, tuple[Any, ...]]]]:
    """Return a batch as VMs read it that may know nothing of others' links."""
    if version >= LINKS_VERSION:
        return batch
    items = [
        (item.vm, item.report[:VM_FIELDS_WITHOUT_LINKS]) for item in batch.items
    ]
    return (items,)


@older_forms.register('DomainNews')
def _domain_without_links(
    report: DomainReport, version: int
) -> tuple[Any, ...]:
    """Return a report as VMs read it that may know nothing of others' links."""
    if version >= LINKS_VERSION:
        return report
    return report[:DOMAIN_FIELDS_WITHOUT_LINKS]


@older_forms.register('RejectionLimitReport')
def _known_rejection_limits(
    report: RejectionLimitReport, version: int
) -> RejectionLimitReport | None:
    """Return the limits for VMs that know of such limits."""
    return report if version >= LINKS_VERSION else None

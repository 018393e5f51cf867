"""Reports of what VMs have counted, sent to the holder of the duties."""

from typing import Annotated, NamedTuple

import msgspec

from bluebellhub.peer_messages import message_types

__all__ = ['UsageReport', 'WindowCounts']

Count = Annotated[int, msgspec.Meta(ge=0)]


class WindowCounts(NamedTuple):
    """Requests that began to run in a window, by client account."""

    window: int
    counts: dict[str, Count]


@message_types.register('UsageReport')
class UsageReport(NamedTuple):
    """A VM's cumulative counts of the windows that may still be reported.

    ``sequence`` grows with each report since the VM's start, which is
    identified by ``start_id`` and was in ``first_window``. ``wall_s`` is the
    VM's wall clock and ``true_s`` the time that it counted by; it counts
    nothing more in windows that ended before that. ``queued`` are the requests
    that wait there, by service. ``is_holder`` states that the sender collects
    these reports; it sends its own to all VMs. If it ``is_time_known`` there,
    they take their true time from it. ``closed`` are the windows that were
    reported last.
    """

    start_id: int
    sequence: int
    wall_s: float
    true_s: float
    first_window: int
    windows: list[WindowCounts]
    queued: dict[str, Count] = {}
    is_holder: bool = False
    is_time_known: bool = False
    closed: list[WindowCounts] = []

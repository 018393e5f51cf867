"""The message by which the holder of the duties announces its lease."""

from typing import NamedTuple

from bluebellhub.duty.orders import UsageOrder
from bluebellhub.peer_messages import message_types

__all__ = ['DutyReport']


@message_types.register('DutyReport')
class DutyReport(NamedTuple):
    """The holder's lease at a revision of the duty object.

    ``left_s`` is the time that is left of it, and ``unreached`` are the VMs
    that gave it up because the API did not respond to them.  ``reports`` are
    the stored usage reports; they go to the VMs that may take over, because a
    store that is restored from an older copy may have lost them.
    """

    holder: str
    start_id: int
    token: int
    revision: int
    left_s: float
    is_released: bool
    unreached: list[str] = []
    reports: list[UsageOrder] = []

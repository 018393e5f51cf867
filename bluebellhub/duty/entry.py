"""The object of the store that says which VM holds the duties."""

from typing import NamedTuple

from bluebellhub.duty.orders import UsageOrder

__all__ = ['DutyEntry', 'FoundEntry']


class DutyEntry(NamedTuple):
    """The content of the duty object.

    ``sequence`` grows with each write of a holder, since the store keeps the
    revision of an object whose content did not change.  ``reports`` are the
    last usage reports that were sent or are about to be sent.  ``unreached``
    names the VMs that released the lease since the last response of the API to
    any holder, because their calls got none.
    """

    holder: str
    start_id: int
    token: int
    sequence: int = 0
    is_released: bool = False
    reports: tuple[UsageOrder, ...] = ()
    unreached: tuple[str, ...] = ()


class FoundEntry(NamedTuple):
    """The duty object as the store returned it in the given era.

    ``entry`` is ``None`` and the revision 0 if there is no such object.
    """

    entry: DutyEntry | None
    revision: int
    era: int

"""The message by which the VMs of a fleet learn of each other."""

from typing import NamedTuple

from bluebellhub.peer_messages import message_types

__all__ = ['Heartbeat']


@message_types.register('Heartbeat')
class Heartbeat(NamedTuple):
    """The state that a VM sends to each other VM several times a second.

    ``number`` counts the sender's heartbeats and ``echo`` is the number of
    the newest heartbeat that it received from the recipient.
    ``admission_floors`` are the highest tier ranks that the sender admits,
    by model or service, and ``requested_floors`` the floors that it needs.
    ``bad`` lists the versions known to be bad as ``model/version``.
    """

    vm: str
    failure_domain: str
    number: int
    echo: int
    map_version: int
    revision: int
    leaving: bool
    admission_floors: dict[str, int]
    requested_floors: dict[str, int]
    bad: list[str]

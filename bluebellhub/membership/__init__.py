"""Fleet membership: heartbeats, failure detection and the shard map."""

from bluebellhub.membership.heartbeat import Heartbeat
from bluebellhub.membership.members import (
    CONFIRMATION_TIMEOUT_S,
    Members,
    Peer,
    adopt_map,
    apply_heartbeat,
    echo_for,
    former_owners_stopped_at,
    has_quorum,
    is_isolated,
    live_peers,
    make_members,
    number_heartbeat,
    propose_map,
    record_store_confirmation,
    set_listed_vms,
)
from bluebellhub.membership.shard_map import ShardMap, owner_of

__all__ = [
    'CONFIRMATION_TIMEOUT_S',
    'Heartbeat',
    'Members',
    'Peer',
    'ShardMap',
    'adopt_map',
    'apply_heartbeat',
    'echo_for',
    'former_owners_stopped_at',
    'has_quorum',
    'is_isolated',
    'live_peers',
    'make_members',
    'number_heartbeat',
    'owner_of',
    'propose_map',
    'record_store_confirmation',
    'set_listed_vms',
]

"""Whether this VM can open connections to upstreams at all."""

from bluebellhub.reachability.reachability import (
    CHECK_TIMEOUT_S,
    HeldFailure,
    Reachability,
    apply_check,
    begin_check,
    has_contact_since,
    hold_failure,
    is_cut_off,
    is_doubtful,
    is_probe_due,
    judge,
    make_reachability,
    record_contact,
    record_peers_contact,
    take_held,
)

__all__ = [
    'CHECK_TIMEOUT_S',
    'HeldFailure',
    'Reachability',
    'apply_check',
    'begin_check',
    'has_contact_since',
    'hold_failure',
    'is_cut_off',
    'is_doubtful',
    'is_probe_due',
    'judge',
    'make_reachability',
    'record_contact',
    'record_peers_contact',
    'take_held',
]

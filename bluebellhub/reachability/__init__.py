"""Whether this VM can open connections to upstreams at all."""

from bluebellhub.reachability.reachability import (
    CHECK_TIMEOUT_S,
    DeferredFailure,
    Reachability,
    apply_check,
    begin_check,
    defer_failure,
    has_changed_since,
    has_contact_since,
    is_cut_off,
    is_doubtful,
    is_probe_due,
    make_reachability,
    pop_deferred,
    record_contact,
    record_peers_contact,
    update_phase,
)

__all__ = [
    'CHECK_TIMEOUT_S',
    'DeferredFailure',
    'Reachability',
    'apply_check',
    'begin_check',
    'has_changed_since',
    'has_contact_since',
    'defer_failure',
    'is_cut_off',
    'is_doubtful',
    'is_probe_due',
    'update_phase',
    'make_reachability',
    'record_contact',
    'record_peers_contact',
    'pop_deferred',
]

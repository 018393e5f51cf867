"""Routing: selection of the upstream for a request."""

from bluebellhub.routing.policy import (
    Candidate,
    Policy,
    policies,
)
from bluebellhub.routing.prefix import (
    PrefixIndex,
    cached_blocks,
    correct_blocks,
    forget_upstream,
    make_prefix_index,
    record_blocks,
)

__all__ = [
    'Candidate',
    'Policy',
    'PrefixIndex',
    'cached_blocks',
    'correct_blocks',
    'forget_upstream',
    'make_prefix_index',
    'policies',
    'record_blocks',
]

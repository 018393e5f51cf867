"""Settings for all tests: invariants are fatal, and seeds are fixed."""

import os

import pytest
from hypothesis import HealthCheck, settings

from bluebellhub.faults import isolated_faults
from bluebellhub.invariants import set_violations_fatal, violations

SOAK = os.environ.get('BLUEBELLHUB_SOAK') == '1'

settings.register_profile(
    'ci',
    derandomize=True,
    deadline=None,
    max_examples=25,
    stateful_step_count=30,
    suppress_health_check=list(HealthCheck),
    database=None,
)
settings.register_profile(
    'soak',
    settings.get_profile('ci'),
    max_examples=400,
    stateful_step_count=80,
)
settings.load_profile('soak' if SOAK else 'ci')


@pytest.fixture(autouse=True)
def _fatal_invariants():
    set_violations_fatal(fatal=True)
    violations.clear()
    isolated_faults.clear()
    yield
    assert not violations
    assert not isolated_faults

"""A run in virtual time does not depend on the hash seed of the process.

The seed changes the order of sets, which must not change that of events.
"""

import os
import subprocess
import sys

import pytest


def _run_trace(hash_seed):
    command = [sys.executable, '-m', 'bluebellhub.fleet.tests.trace']
    environment = {**os.environ, 'PYTHONHASHSEED': hash_seed}
    process = subprocess.run(
        command, capture_output=True, text=True, check=True, env=environment
    )
    return process.stdout


@pytest.mark.parametrize('hash_seed', ['1', '2', '3'])
def test_run_does_not_depend_on_hash_seed(hash_seed):
    assert _run_trace(hash_seed) == _run_trace('0')

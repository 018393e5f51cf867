"""A run in virtual time does not depend on the process that makes it."""

import os
import subprocess
import sys

import pytest


def _trace(hash_seed):
    command = [sys.executable, '-m', 'bluebellhub.fleet.tests.trace']
    environment = {**os.environ, 'PYTHONHASHSEED': hash_seed}
    done = subprocess.run(
        command, capture_output=True, text=True, check=True, env=environment
    )
    return done.stdout


@pytest.mark.parametrize('hash_seed', ['1', '2', '3'])
def test_the_order_of_sets_does_not_show(hash_seed):
    assert _trace(hash_seed) == _trace('0')

"""Isolation of unexpected errors: one piece of work ends, no VM."""

from contextlib import nullcontext

import pytest

from bluebellhub.faults import isolate_fault, isolated_faults
from bluebellhub.invariants import set_violations_fatal


@pytest.mark.parametrize(
    'error', [ZeroDivisionError(), OverflowError(), KeyError('u1')]
)
@pytest.mark.parametrize(
    ('is_fatal', 'expectation'),
    [(False, nullcontext()), (True, pytest.raises(Exception))],
)
def test_unexpected_error_is_counted_and_raised_only_in_tests(
    error, is_fatal, expectation
):
    set_violations_fatal(fatal=is_fatal)
    with expectation:
        with isolate_fault('message', sender='hub-2'):
            raise error
    assert isolated_faults.pop('message') == 1

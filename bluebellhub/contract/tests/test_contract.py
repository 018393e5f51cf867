"""Contracts: keys, tiers and limits."""

import pytest

from bluebellhub.contract import (
    AccountLimits,
    admit,
    authenticate,
    check_request,
    make_account_usage,
    make_contract,
    release,
)
from bluebellhub.request.refusal import (
    ConcurrencyLimitError,
    NotAllowedError,
    RateLimitError,
    TooManyTokensError,
    UnauthenticatedError,
)

YARD = make_contract(
    'yard', 'orchard', tiers=('check', 'plan'), models=('hire',)
)


@pytest.mark.parametrize(
    'key', ['yard.wrong', 'nobody.orchard', 'yard', '', 'yard.orchard.x']
)
def test_a_wrong_key_is_unauthenticated(key):
    with pytest.raises(UnauthenticatedError):
        authenticate({'yard': YARD}, key)


def test_a_valid_key_returns_its_contract():
    assert authenticate({'yard': YARD}, 'yard.orchard') is YARD


@pytest.mark.parametrize(
    ('target', 'tier', 'prompt', 'output', 'expected'),
    [
        ('hire', None, 10, 10, 'check'),
        ('hire', 'plan', 10, 10, 'plan'),
        ('hire', 'quote', 10, 10, NotAllowedError),
        ('other', None, 10, 10, NotAllowedError),
        ('hire', None, 32_769, 10, TooManyTokensError),
        ('hire', None, 10, 4097, TooManyTokensError),
    ],
)
def test_requests_are_checked_against_the_contract(
    target, tier, prompt, output, expected
):
    if isinstance(expected, str):
        found = check_request(YARD, target, tier, prompt, output)
        assert found.name == expected
        return
    with pytest.raises(expected):
        check_request(YARD, target, tier, prompt, output)


@pytest.mark.parametrize(
    ('rate_per_s', 'times_s', 'admitted'),
    [
        (1.0, [0.0] * 6, 4),
        (1.0, [0.0] * 4 + [1.0, 1.0], 5),
        (10.0, [0.0] * 30, 20),
        (10.0, [0.0] * 20 + [0.05, 0.11], 21),
    ],
)
def test_the_request_rate_is_limited(rate_per_s, times_s, admitted):
    limits = AccountLimits(rate_per_s, 100)
    usage = make_account_usage(limits, 0.0)
    count = 0
    for now_s in times_s:
        try:
            usage = admit(usage, limits, now_s)
        except RateLimitError as error:
            assert error.retry_after_s > 0
        else:
            count += 1
    assert count == admitted


def test_a_released_request_frees_concurrency():
    limits = AccountLimits(100.0, 1)
    usage = admit(make_account_usage(limits, 0.0), limits, 0.0)
    with pytest.raises(ConcurrencyLimitError):
        admit(usage, limits, 0.0)
    assert admit(release(usage), limits, 0.0).in_progress == 1

"""Addresses of the processes that tests start."""

import random

import pytest

from bluebellhub.tests.addresses import choose_addresses


@pytest.mark.parametrize(
    ('ports', 'expected'),
    [
        ([20_011, 20_012, 20_013], ['20011', '20012', '20013']),
        ([20_011, 20_011, 20_012, 20_011, 20_013], ['20011', '20012', '20013']),
    ],
)
def test_processes_of_a_site_get_no_address_twice(monkeypatch, ports, expected):
    remaining = iter(ports)
    monkeypatch.setattr(random, 'choice', lambda _: next(remaining))
    addresses = choose_addresses(3)
    assert [address.partition(':')[2] for address in addresses] == expected

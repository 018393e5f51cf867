"""Upstreams whose responses state malformed figures."""

from types import SimpleNamespace

import logbook
import pytest

from bluebellhub.adapters.proxy import statements
from bluebellhub.platform.header_names import (
    RATE_LIMIT,
    REJECTION_LIMIT,
    RETRY_AFTER,
    SERVER_LOAD,
)
from bluebellhub.platform.headers import read_response_head
from bluebellhub.site.tests.small_site import make_registration, make_small_site


@pytest.mark.parametrize(
    ('interval_s', 'lines'), [(0.01, 1), (10.0, 10), (70.0, 60)]
)
@pytest.mark.parametrize(
    ('apply', 'header', 'counter'),
    [
        (statements.apply_load, SERVER_LOAD, ('refused_reports', 'u1')),
        (statements.apply_needs, RATE_LIMIT, ('stated_limits', 'malformed')),
        (
            statements.apply_needs,
            REJECTION_LIMIT,
            ('rejection_limits', 'malformed'),
        ),
        (statements.apply_needs, RETRY_AFTER, ('asked_pauses', 'malformed')),
    ],
)
def test_malformed_figures_are_counted_and_rarely_logged(
    monkeypatch, interval_s, lines, apply, header, counter
):
    """A faulty upstream that answers often would fill the log."""
    node = SimpleNamespace(scheduler=None)
    site = make_small_site(make_registration())
    node.scheduler = site.scheduler
    proxy = SimpleNamespace(node=node, site=site, logged_at_s={})
    head = read_response_head(503, [(header, b'1,x,2')])
    with logbook.TestHandler() as handler:
        for number in range(60):
            current_s = 100.0 + number * interval_s
            monkeypatch.setattr(statements, 'now_s', lambda s=current_s: s)
            apply(proxy, 'u1', head)
        assert len(handler.records) == lines
    assert site.scheduler.counters[counter] == 60

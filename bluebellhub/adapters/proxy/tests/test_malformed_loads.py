"""Upstreams whose responses state malformed loads."""

from types import SimpleNamespace

import logbook
import pytest

from bluebellhub.adapters.proxy import statements
from bluebellhub.platform.header_names import SERVER_LOAD
from bluebellhub.platform.headers import read_response_head
from bluebellhub.site.tests.small_site import make_registration, make_small_site


@pytest.mark.parametrize(
    ('interval_s', 'lines'), [(0.01, 1), (10.0, 10), (70.0, 60)]
)
def test_malformed_loads_are_counted_and_rarely_logged(
    monkeypatch, interval_s, lines
):
    """A faulty upstream that answers often would fill the log."""
    node = SimpleNamespace(scheduler=None)
    site = make_small_site(make_registration())
    node.scheduler = site.scheduler
    proxy = SimpleNamespace(node=node, site=site, logged_at_s={})
    head = read_response_head(200, [(SERVER_LOAD, b'1,x,2')])
    with logbook.TestHandler() as handler:
        for number in range(60):
            current_s = 100.0 + number * interval_s
            monkeypatch.setattr(statements, 'now_s', lambda s=current_s: s)
            statements.apply_load(proxy, 'u1', head)
        assert len(handler.records) == lines
    assert site.scheduler.counters['refused_reports', 'u1'] == 60

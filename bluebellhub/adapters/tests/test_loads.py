"""Load reports and cache events on the wire."""

import msgspec
import pytest

from bluebellhub.adapters.loads import (
    ReportError,
    parse_events,
    parse_report,
)
from bluebellhub.routing.cache_events import CacheEvent
from bluebellhub.upstream import LoadReport

BODY = {
    'age_s': 0.5,
    'boot_id': 'b',
    'running': 2,
    'waiting_prefill_tokens': 30,
}


@pytest.mark.parametrize('extra', [{}, {'taken_at_s': 7.0, 'name': 'u'}])
def test_reports_are_dated_back_and_may_tell_more(extra):
    content = msgspec.json.encode({**BODY, **extra})
    assert parse_report(content, 10.0) == LoadReport(9.5, 'b', 2, 30)


@pytest.mark.parametrize(
    'content', [b'', b'[]', b'{}', msgspec.json.encode({**BODY, 'age_s': ''})]
)
def test_unreadable_reports_have_a_type(content):
    with pytest.raises(ReportError, match='load report'):
        parse_report(content, 10.0)


def test_events_are_read():
    content = msgspec.json.encode([CacheEvent(3, (1, 2), (9,))])
    assert parse_events(content) == [CacheEvent(3, (1, 2), (9,))]
    with pytest.raises(ReportError, match='cache events'):
        parse_events(b'not found')

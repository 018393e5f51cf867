"""Decoding of load reports and cache events."""

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
def test_report_is_dated_back_and_extra_fields_are_ignored(extra):
    content = msgspec.json.encode({**BODY, **extra})
    assert parse_report(content, 10.0) == LoadReport(9.5, 'b', 2, 30)


@pytest.mark.parametrize(
    'content', [b'', b'[]', b'{}', msgspec.json.encode({**BODY, 'age_s': ''})]
)
def test_unreadable_report_raises_report_error(content):
    with pytest.raises(ReportError, match='load report'):
        parse_report(content, 10.0)


def test_parse_events_decodes_or_raises_report_error():
    content = msgspec.json.encode([CacheEvent(3, (1, 2), (9,))])
    assert parse_events(content) == [CacheEvent(3, (1, 2), (9,))]
    with pytest.raises(ReportError, match='cache events'):
        parse_events(b'not found')

"""Decoding and encoding of request and response heads."""

from operator import attrgetter

import pytest

from bluebellhub.platform.headers import (
    attempt_headers,
    read_request_head,
    read_response_head,
)
from bluebellhub.platform.responses import refusal_response
from bluebellhub.request.heads import TokenCounts, UpstreamLoad
from bluebellhub.request.refusal import (
    AnswerTimeoutError,
    BadRequestError,
    NoUpstreamError,
    QuotaError,
    ShedError,
    UnauthenticatedError,
    UnknownTargetError,
    UpstreamFailedError,
)

ID = (b'x-bluebellhub-request-id', b'9c41')
HOST = (b'host', b'a.example:80')

# Above the range of a float, and of what Python converts to a number.
LONG = b'9' * 5000


def _head(*pairs, target=b'/a/b?q=1'):
    return read_request_head(b'POST', target, [HOST, ID, *pairs])


@pytest.mark.parametrize(
    ('pair', 'field', 'expected'),
    [
        ((b'authorization', b'Bearer k1'), 'key', 'k1'),
        ((b'authorization', b'bearer k1'), 'key', 'k1'),
        ((b'authorization', b'Basic k1'), 'key', None),
        ((b'x-bluebellhub-deadline-ms', b'1500'), 'time_limit_s', 1.5),
        ((b'x-bluebellhub-deadline-ms', b'999.5'), 'time_limit_s', 0.9995),
        ((b'x-bluebellhub-deadline-ms', b'0'), 'time_limit_s', 0.0),
        ((b'x-bluebellhub-deadline-ms', b'soon'), 'time_limit_s', None),
        ((b'x-bluebellhub-deadline-ms', b'-5'), 'time_limit_s', None),
        (
            (b'x-bluebellhub-token-counts', b'1460,80'),
            'tokens',
            TokenCounts(1460, 80),
        ),
        ((b'x-bluebellhub-token-counts', b'1460'), 'tokens', None),
        ((b'x-bluebellhub-token-counts', b'a,b'), 'tokens', None),
        ((b'x-bluebellhub-token-counts', b'1,' + LONG), 'tokens', None),
        ((b'x-bluebellhub-deadline-ms', LONG), 'time_limit_s', None),
        ((b'last-event-id', b'7'), 'resume_after', b'7'),
        (
            (b'x-bluebellhub-prompt-prefix', b'5c1e:800, 91bd:410,e440:250'),
            'prompt_parts',
            ('5c1e', '91bd', 'e440'),
        ),
        (
            (b'x-bluebellhub-prompt-prefix', b'5c1e:800'),
            'prompt_parts',
            ('5c1e',),
        ),
        ((b'x-bluebellhub-prompt-prefix', b'5c1e:x,e4:2'), 'prompt_parts', ()),
        ((b'x-bluebellhub-prompt-prefix', b',,'), 'prompt_parts', ()),
    ],
)
def test_request_head_is_decoded(pair, field, expected):
    assert getattr(_head(pair), field) == expected


def test_request_host_and_path_are_decoded():
    head = _head()
    assert (head.host, head.path) == ('a.example', '/a/b')
    assert head.target == b'/a/b?q=1'


@pytest.mark.parametrize('ids', [[], [ID, ID]])
def test_request_needs_exactly_one_id(ids):
    with pytest.raises(BadRequestError):
        read_request_head(b'GET', b'/', [HOST, *ids])


@pytest.mark.parametrize(
    ('name', 'goes_on'),
    [
        (b'x-own', True),
        (b'x-bluebellhub-model', True),
        (b'x-bluebellhub-token-counts', True),
        (b'x-bluebellhub-prompt-prefix', True),
        (b'x-bluebellhub-length-hint', True),
        (b'content-type', True),
        (b'authorization', False),
        (b'x-bluebellhub-tenant', False),
        (b'x-bluebellhub-expect-instance', False),
        (b'x-bluebellhub-expect-version', False),
        (b'x-bluebellhub-hold', False),
        (b'x-bluebellhub-pin-ms', False),
        (b'x-bluebellhub-kv-backup', False),
        (b'kv-from', False),
        (b'kv-fetch', False),
        (b'x-bluebellhub-deadline-ms', False),
        (b'connection', False),
        (b'keep-alive', False),
        (b'transfer-encoding', False),
        (b'content-length', False),
        (b'x-named-by-connection', False),
    ],
)
def test_only_permitted_headers_are_forwarded(name, goes_on):
    pairs = [(name, b'7')]
    if name == b'x-named-by-connection':
        pairs.append((b'connection', b'close, X-Named-By-Connection'))
    forwarded_headers = dict(_head(*pairs).forwarded_headers)
    assert (name in forwarded_headers) is goes_on
    assert forwarded_headers[ID[0]] == ID[1]


@pytest.mark.parametrize(
    ('account', 'resume', 'expected'),
    [
        ('yard', None, {b'x-bluebellhub-tenant': b'yard'}),
        ('', b'4', {b'last-event-id': b'4'}),
    ],
)
def test_headers_added_for_an_attempt(account, resume, expected):
    forged = (b'x-bluebellhub-tenant', b'forged')
    headers = attempt_headers(_head(forged), 'i-1', account, 0.25, resume)
    found = dict(headers)
    assert found[b'x-bluebellhub-expect-instance'] == b'i-1'
    assert found[b'x-bluebellhub-deadline-ms'] == b'250'
    assert expected.items() <= found.items()
    assert (b'x-bluebellhub-tenant' in found) is bool(account)


@pytest.mark.parametrize(
    ('status', 'pair', 'field', 'expected'),
    [
        (200, (b'x-bluebellhub-response-signature', b'x'), 'is_signed', True),
        (200, (b'x', b'y'), 'is_signed', False),
        (503, (b'x-bluebellhub-not-executed', b'1'), 'not_executed', True),
        (503, (b'x', b'y'), 'not_executed', False),
        (421, (b'x', b'y'), 'is_misdirected', True),
        (200, (b'content-encoding', b'gzip'), 'is_encoded', True),
        (
            200,
            (b'content-type', b'text/event-stream; charset=utf-8'),
            'is_event_stream',
            True,
        ),
        (
            200,
            (b'x-bluebellhub-server-load', b'3,1,8'),
            'load',
            UpstreamLoad(3, 1, 8),
        ),
        *(
            (
                200,
                (b'x-bluebellhub-server-load', b'3,1,8' + further),
                'load',
                UpstreamLoad(3, 1, 8, slowdown),
            )
            for further, slowdown in (
                (b',250', 2.5),
                (b', 100', 1.0),
                (b',250,7', 2.5),
                (b',250,x', 2.5),
                (b',999999999', 100.0),
                (b',1', 0.1),
                (b',0', None),
                (b',-5', None),
                (b',1000000000', None),
                (b',soon', None),
                (b',', None),
            )
        ),
        (200, (b'x-bluebellhub-server-load', b'3,1'), 'load', None),
        (200, (b'x-bluebellhub-server-load', b'3,1,-8'), 'load', None),
        (200, (b'x-bluebellhub-server-load', LONG + b',0,6'), 'load', None),
        (200, (b'x-bluebellhub-server-load', b'3,1,8'), 'malformed_load', None),
        (200, (b'x', b'y'), 'malformed_load', None),
        (200, (b'x-bluebellhub-server-load', b'3'), 'malformed_load', b'3'),
        (200, (b'keep-alive', b'timeout=5, max=3'), 'idle_s', 5.0),
        (200, (b'connection', b'close'), 'idle_s', 0.0),
        (200, (b'x-bluebellhub-request-id', b'77'), 'request_id', '77'),
        (200, (b'server-limit', b'4.5'), 'rate_limit.per_s', 4.5),
        (503, (b'server-limit', b'0'), 'rate_limit.per_s', 0.0),
        (200, (b'x', b'y'), 'rate_limit.per_s', None),
        (503, (b'retry-after', b'3'), 'pause_s', 3.0),
        (503, (b'retry-after', b'1.5'), 'pause_s', 1.5),
        (503, (b'retry-after', b'-3'), 'pause_s', None),
        (503, (b'retry-after', b'-3'), 'malformed_pause', b'-3'),
        (503, (b'retry-after', LONG), 'malformed_pause', LONG),
        (503, (b'retry-after', b'\xff'), 'malformed_pause', b'\xff'),
        (503, (b'retry-after', b'3'), 'malformed_pause', None),
        (503, (b'x', b'y'), 'pause_s', None),
        (503, (b'x', b'y'), 'malformed_pause', None),
        (429, (b'retry-after', b'3'), 'pause_s', None),
        (200, (b'retry-after', b'soon'), 'malformed_pause', None),
        (200, (b'x', b'y'), 'rate_limit.malformed', None),
        (200, (b'server-limit', b'4.5'), 'rate_limit.malformed', None),
        (200, (b'server-limit', b'-1'), 'rate_limit.malformed', b'-1'),
        (200, (b'server-limit', b'nan'), 'rate_limit.malformed', b'nan'),
        (200, (b'server-limit', b'1e9'), 'rate_limit.malformed', b'1e9'),
        (200, (b'server-limit', b''), 'rate_limit.malformed', b''),
        (200, (b'server-limit', b'9' * 400), 'rate_limit.per_s', None),
        (200, (b'server-brittle', b'6'), 'rejection_limit.per_s', 6.0),
        (503, (b'server-brittle', b'0'), 'rejection_limit.per_s', 0.0),
        (200, (b'x', b'y'), 'rejection_limit.per_s', None),
        (200, (b'server-brittle', b'-1'), 'rejection_limit.per_s', None),
        (200, (b'server-brittle', b'-1'), 'rejection_limit.malformed', b'-1'),
        (200, (b'server-brittle', b'6'), 'rejection_limit.malformed', None),
    ],
)
def test_response_head_is_decoded(status, pair, field, expected):
    head = read_response_head(status, [pair])
    assert attrgetter(field)(head) == expected


@pytest.mark.parametrize(
    ('error', 'status', 'retries'),
    [
        (ShedError('x', retry_after_s=2.0), 503, True),
        (ShedError('x', run='unknown', retry_after_s=2.0), 502, False),
        (UpstreamFailedError('x', run='unknown'), 502, False),
        (UpstreamFailedError('x', run='no', retry_after_s=1.0), 503, True),
        (NoUpstreamError('x', retry_after_s=1.0), 503, True),
        (QuotaError('yard', 5.0, 2.0, 1.0), 429, True),
        (AnswerTimeoutError('x', run='unknown'), 504, False),
        (UnknownTargetError('x'), 404, False),
        (UnauthenticatedError('x'), 401, False),
    ],
)
def test_refusal_status_promises_only_what_is_certain(error, status, retries):
    response = refusal_response(error)
    assert response.status == status
    assert (b'retry-after' in dict(response.headers)) is retries


DATE = b'Sat, 05 Dec 2026 21:00:00 GMT'


@pytest.mark.parametrize(
    ('date', 'stated', 'pause_s'),
    [
        (DATE, b'Sat, 05 Dec 2026 21:00:07 GMT', 7.0),
        (DATE, b'Sat, 05 Dec 2026 20:59:00 GMT', 0.0),
        (DATE, b'Sat, 05 Dec 2026 21:00:07', None),
        (DATE, b'Sat, 99 Dec 2026 21:00:07 GMT', None),
        (b'today', b'Sat, 05 Dec 2026 21:00:07 GMT', None),
        (b'', b'Sat, 05 Dec 2026 21:00:07 GMT', None),
    ],
)
def test_pause_until_a_date_counts_from_the_date_of_the_response(
    date, stated, pause_s
):
    pairs = [(b'date', date), (b'retry-after', stated)]
    response = read_response_head(503, pairs)
    assert response.pause_s == pause_s
    assert (response.malformed_pause is None) is (pause_s is not None)

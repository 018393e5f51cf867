"""Bytes that callers and upstreams of the platform send, for tests."""

__all__ = [
    'FORGED_HEADER',
    'LOAD_NAME',
    'NOT_EXECUTED',
    'OTHER_REQUEST_ID',
    'RECEIVED_HEADERS',
    'REGISTRATION',
    'REQUEST_ID',
    'SIGNATURE',
    'SIGNATURE_NAME',
    'STORE_PATH',
    'STORE_URL',
    'TOKENS_NAME',
    'prompt_header',
    'request',
]

SIGNATURE_NAME = b'x-bluebellhub-response-signature'
SIGNATURE = b'X-Bluebellhub-Response-Signature: p\r\n'
NOT_EXECUTED = b'X-Bluebellhub-Not-Executed: 1\r\n'
REQUEST_ID = b'X-Bluebellhub-Request-Id: r1\r\n'
LOAD_NAME = b'X-Bluebellhub-Server-Load'
TOKENS_NAME = b'X-Bluebellhub-Token-Counts'
OTHER_REQUEST_ID = b'X-Bluebellhub-Request-Id: r2\r\n'

# A header that callers may not set, and the headers that an upstream
# receives of a request with a body of five bytes; ``None`` for no such one.
FORGED_HEADER = b'Kv-From: 1.2.3.4:5/6\r\n'
RECEIVED_HEADERS = [
    (b'x-bluebellhub-tenant', b'yard'),
    (b'x-bluebellhub-expect-instance', b'u0'),
    (b'x-bluebellhub-request-id', b'r1'),
    (b'host', b'a.example'),
    (b'content-length', b'5'),
    (b'authorization', None),
    (b'kv-from', None),
]

# All objects of the store, and a sound registration of an upstream there.
STORE_PATH = '/api/objects/'
STORE_URL = 'http://store/api/objects'
REGISTRATION = {
    'service': 's',
    'address': '10.0.0.1:1',
    'zone': 'd',
    'version': 'v1',
    'slots': 2,
    'state': 'ready',
    'coldRemainingMs': 0,
    'born': 1_790_000_000_000,
}


def prompt_header(*parts):
    """Return the header line for a prompt with these parts."""
    prompt = b','.join(b'%s:9' % part for part in parts)
    return b'X-Bluebellhub-Prompt-Prefix: %s\r\n' % prompt


def request(body=b'', path=b'/a/x', method=b'POST', headers=b''):
    """Return a caller's request; ``headers`` are lines that end in CRLF."""
    return (
        b'%s %s HTTP/1.1\r\nHost: a.example\r\n'
        b'X-Bluebellhub-Request-Id: r1\r\n'
        b'X-Bluebellhub-Deadline-Ms: 3000\r\n'
        b'Authorization: Bearer k1\r\n%s'
        b'Content-Length: %d\r\n\r\n%s'
    ) % (method, path, headers, len(body), body)

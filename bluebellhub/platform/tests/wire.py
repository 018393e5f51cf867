"""Bytes as callers and upstreams of the platform send them, for tests."""

__all__ = [
    'FORGED',
    'OTHER_ID',
    'PROOF_NAME',
    'RECEIVED',
    'SIGNATURE',
    'UNRUN',
    'request',
]

PROOF_NAME = b'x-bluebellhub-response-signature'
SIGNATURE = b'X-Bluebellhub-Response-Signature: p\r\n'
UNRUN = b'X-Bluebellhub-Not-Executed: 1\r\n'
OTHER_ID = b'X-Bluebellhub-Request-Id: r2\r\n'

# A header that callers may not set, and what an upstream gets of a request
# with a body of five bytes.
FORGED = b'Kv-From: 1.2.3.4:5/6\r\n'
RECEIVED = [
    (b'x-bluebellhub-tenant', b'yard'),
    (b'x-bluebellhub-expect-instance', b'u0'),
    (b'x-bluebellhub-request-id', b'r1'),
    (b'host', b'a.example'),
    (b'content-length', b'5'),
    (b'authorization', None),
    (b'kv-from', None),
]


def request(body=b'', path=b'/a/x', method=b'POST', headers=b''):
    """Return a caller's request; ``headers`` end with a line break."""
    return (
        b'%s %s HTTP/1.1\r\nHost: a.example\r\n'
        b'X-Bluebellhub-Request-Id: r1\r\n'
        b'X-Bluebellhub-Deadline-Ms: 3000\r\n'
        b'Authorization: Bearer k1\r\n%s'
        b'Content-Length: %d\r\n\r\n%s'
    ) % (method, path, headers, len(body), body)

"""Parts of responses that upstreams send, and what callers make of them."""

from bluebellhub.platform.tests.wire import NOT_EXECUTED, SIGNATURE

__all__ = [
    'CHUNKED',
    'CLOSE',
    'COMPLETE',
    'ERROR',
    'IDEMPOTENT',
    'LAST',
    'NOT_RESUMABLE',
    'OK',
    'ONCE',
    'REFUSED',
    'RESUMABLE',
    'STREAM',
    'TWO_EVENTS',
    'body_of',
    'chunk',
    'event',
    'status_of',
]

OK = b'HTTP/1.1 200 OK\r\n' + SIGNATURE
COMPLETE = OK + b'Content-Length: 4\r\n\r\nbody'
CLOSE = b'Connection: close\r\n'
STREAM = OK + b'Content-Type: text/event-stream\r\n'
NO_BODY = b'Content-Length: 0\r\n\r\n'
REFUSED = b'HTTP/1.1 503 No\r\n' + NOT_EXECUTED + NO_BODY
ERROR = b'HTTP/1.1 500 No\r\n' + SIGNATURE + b'Content-Length: 3\r\n\r\nbad'
CHUNKED = b'Transfer-Encoding: chunked\r\n\r\n'
LAST = b'0\r\n\r\n'
IDEMPOTENT = {'repeat': 'idempotent', 'attempts_max': 2}
ONCE = {'repeat': 'once', 'attempts_max': 2}
NOT_RESUMABLE = {'is_stream': True, 'is_resumable': False, 'attempts_max': 1}
RESUMABLE = {'is_stream': True, 'is_resumable': True, 'attempts_max': 2}


def event(number):
    """Return an event of a stream."""
    return b'id: %d\ndata: d%d\n\n' % (number, number)


def chunk(part):
    """Return a chunk of a body."""
    return b'%x\r\n%s\r\n' % (len(part), part)


TWO_EVENTS = chunk(event(1)) + chunk(event(2))


def status_of(response):
    """Return the status of a response that a caller has received."""
    return int(response.split(b' ')[1])


def body_of(response):
    """Return the body without chunks."""
    head, _, body = response.partition(b'\r\n\r\n')
    if b'transfer-encoding: chunked' not in head.lower():
        return body
    decoded = b''
    while body:
        size, _, body = body.partition(b'\r\n')
        decoded += body[: int(size or b'0', 16)]
        body = body[int(size or b'0', 16) + 2 :]
    return decoded

"""Sound servers: a model server that streams, and a plain service."""

import time

from standins.fleet import SIGNATURE, response_head


def read_request(server, channel, reader):
    """Return first line, headers and body of the next request.

    A request that expects another instance is answered 421 and skipped.
    """
    while True:
        first, headers = reader.head()
        body = reader.body(headers)
        expected = headers.get('x-bluebellhub-expect-instance')
        if expected in {None, server.id}:
            return first, headers, body
        channel.sendall(
            response_head(headers, '421 Misdirected Request', Content_Length=0)
        )


def make_stream_service(record, events, pause_s):
    """Return a model server's ``serve``: a stream of numbered events."""

    def serve(server, channel, reader):
        while True:
            first, headers, _ = read_request(server, channel, reader)
            request_id = headers['x-bluebellhub-request-id']
            record(f'server {server.id} runs {request_id} ({first})')
            send_stream(channel, headers, events, pause_s)
            record(f'server {server.id} has ended {request_id}: 200')

    return serve


def send_stream(channel, headers, events, pause_s):
    """Send a stream of numbered events as the answer to a request."""
    channel.sendall(
        response_head(
            headers,
            Content_Type='text/event-stream',
            Transfer_Encoding='chunked',
            **SIGNATURE,
        )
    )
    for number in range(1, events + 1):
        time.sleep(pause_s)
        event = f'id: {number}\ndata: {"x" * 60}\n\n'.encode()
        channel.sendall(b'%x\r\n%s\r\n' % (len(event), event))
    channel.sendall(b'0\r\n\r\n')


def make_plain_service(record, work_s):
    """Return a plain server's ``serve``: an answer of 800 bytes."""

    def serve(server, channel, reader):
        while True:
            first, headers, _ = read_request(server, channel, reader)
            request_id = headers['x-bluebellhub-request-id']
            record(f'server {server.id} runs {request_id} ({first})')
            time.sleep(work_s)
            channel.sendall(
                response_head(headers, Content_Length=800, **SIGNATURE)
                + b'a' * 800
            )

    return serve

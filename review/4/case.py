"""A model server sends tokens without end and without the end of an event."""

import threading
import time

from standins.fleet import (
    APP,
    BROKEN,
    HELD,
    MODEL,
    NOT_RUN,
    SIGNATURE,
    TROUBLE,
    Server,
    request_headers,
    response_head,
    run_case,
)
from standins.servers import (
    make_plain_service,
    make_stream_service,
    read_request,
)
from standins.wire import Client

# The route's `timeoutMs`, and by how much the rule lets an answer be later.
TIMEOUT_S = 2.0
LATE_S = 0.5
LATE_LEAST = 8
# One token to a chunk, as engines send them.
TOKENS = b'6\r\ntoken \r\n' * 1000
CALLS = 24
CALLS_PER_S = 4.0


def make_endless_stream(record):
    """Return a ``serve`` that never ends an event, until the caller closes."""

    def serve(server, channel, reader):
        while True:
            first, headers, _ = read_request(server, channel, reader)
            request_id = headers['x-bluebellhub-request-id']
            record(f'server {server.id} runs {request_id}, without end')
            channel.sendall(
                response_head(
                    headers,
                    Content_Type='text/event-stream',
                    Transfer_Encoding='chunked',
                    **SIGNATURE,
                )
                + b'd\r\nid: 1\ndata: a\r\n'
            )
            sent = 0
            try:
                while True:
                    channel.sendall(TOKENS)
                    sent += len(TOKENS)
            finally:
                record(f'the channel of {request_id} ended, {sent} bytes sent')

    return serve


def play(fleet):
    """Return BROKEN if sound requests get no answer at their timeout."""
    record = fleet.record
    if TROUBLE:
        Server(fleet, MODEL, make_endless_stream(record), slots=12)
    else:
        stream = make_stream_service(record, events=20, pause_s=0.1)
        Server(fleet, MODEL, stream, slots=12)
    for _ in range(3):
        Server(fleet, APP, make_plain_service(record, work_s=0.02), slots=6)
    machine = fleet.add_machine()
    if not machine.wait_ready():
        return NOT_RUN
    clients = [Client(machine.front, 30.0) for _ in range(CALLS)]
    threading.Thread(target=stream_once, args=(fleet, machine)).start()
    time.sleep(1.0)
    found = []
    callers = [
        threading.Thread(
            target=ask_stock, args=(fleet, client, found), daemon=True
        )
        for client in clients
    ]
    for caller in callers:
        caller.start()
        time.sleep(1 / CALLS_PER_S)
    for caller in callers:
        caller.join(32.0)
    record(f'the machine says that it is ready: {machine.is_ready()}')
    long = [took_s for took_s in found if took_s > TIMEOUT_S]
    late = [took_s for took_s in found if took_s > TIMEOUT_S + LATE_S]
    result = (
        f'of {len(found)} sound requests {len(long)} had no answer at their '
        f'timeoutMs and {len(late)} had none {LATE_S} s later; '
        f'the slowest took {max(found):.1f} s'
    )
    record(result)
    print(result)
    if len(found) != CALLS:
        return NOT_RUN
    is_broken = len(late) >= LATE_LEAST and 2 * len(late) > len(long)
    return BROKEN if is_broken else HELD


def stream_once(fleet, machine):
    """Send one streaming request; give it up after its time limit."""
    client = Client(machine.front, 16.0)
    headers = request_headers(15000)
    fleet.record(f'client sends {headers["X-Bluebellhub-Request-Id"]}: POST')
    client.send('POST', '/plan/1', headers, b'p' * 2000)
    response = client.receive()
    fleet.record(f'its client gets: {response.status} {response.end}')
    client.close()


def ask_stock(fleet, client, found):
    """Send a safe request on a channel that is open already."""
    headers = request_headers(10000)
    request_id = headers['X-Bluebellhub-Request-Id']
    fleet.record(f'client sends {request_id}: GET')
    started = time.monotonic()
    client.send('GET', '/stock/1', headers)
    response = client.receive()
    took_s = time.monotonic() - started
    fleet.record(
        f'client gets {request_id}: {response.status} {response.end} '
        f'after {took_s:.2f} s'
    )
    found.append(took_s)
    client.close()


if __name__ == '__main__':
    run_case(__file__.rpartition('/')[0], play)

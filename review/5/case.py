"""Sound model servers answer one request in four with their own 500."""

import itertools
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
    read_request,
    send_stream,
)
from standins.wire import Client

REQUESTS = 24
FAILING_EVERY = 4
LOST_MOST = 3
# How long a server keeps an idle channel; it says so in `Keep-Alive`.
IDLE_S = 3.0
MEDIA_TYPE = 'text/event-stream' if TROUBLE else 'application/json'
ERROR = b'id: 1\ndata: {"error": "the engine has failed"}\n\n'


def make_model_service(record):
    """Return a ``serve`` that streams, but fails each fourth request."""
    count = itertools.count(1)

    def serve(server, channel, reader):
        while True:
            channel.settimeout(IDLE_S)
            first, headers, _ = read_request(server, channel, reader)
            request_id = headers['x-bluebellhub-request-id']
            record(f'server {server.id} runs {request_id} ({first})')
            if next(count) % FAILING_EVERY:
                send_stream(channel, headers, events=4, pause_s=0.05)
                record(f'server {server.id} has ended {request_id}: 200')
                continue
            channel.sendall(
                response_head(
                    headers,
                    '500 Internal Server Error',
                    Content_Type=MEDIA_TYPE,
                    Content_Length=len(ERROR),
                    Keep_Alive=f'timeout={IDLE_S:.0f}',
                    **SIGNATURE,
                )
                + ERROR
            )
            record(f'server {server.id} has ended {request_id}: 500')

    return serve


def play(fleet):
    """Return BROKEN if kept channels are closed without an answer."""
    record = fleet.record
    serve = make_model_service(record)
    for _ in range(2):
        Server(fleet, MODEL, serve, slots=12)
    Server(fleet, APP, make_plain_service(record, work_s=0.02), slots=6)
    machine = fleet.add_machine()
    if not machine.wait_ready():
        return NOT_RUN
    found = []
    callers = [
        threading.Thread(
            target=call, args=(fleet, machine, found), daemon=True
        )
        for _ in range(REQUESTS)
    ]
    for caller in callers:
        caller.start()
        time.sleep(0.1)
    for caller in callers:
        caller.join(30.0)
    for line in machine.log_lines('AttributeError')[:1]:
        place = line.rfind('AttributeError')
        record(f'{machine.name} wrote: {line[place:place + 100]}')
    lost = sum(response.status == 0 for response in found)
    result = f'{lost} of {len(found)} requests got no answer'
    record(result)
    print(result)
    if len(found) != REQUESTS:
        return NOT_RUN
    return BROKEN if lost > LOST_MOST else HELD


def call(fleet, machine, found):
    """Send two requests on one channel; the second is for a stream."""
    client = Client(machine.front)
    client.send('GET', '/stock/1', request_headers(1000))
    first = client.receive()
    headers = request_headers(15000)
    request_id = headers['X-Bluebellhub-Request-Id']
    fleet.record(
        f'client got {first.status}, sends {request_id} on the same channel'
    )
    started = time.monotonic()
    client.send('POST', '/plan/1', headers, b'p' * 2000)
    response = client.receive()
    took_s = time.monotonic() - started
    fleet.record(
        f'client gets {request_id}: {response.status} {response.end} '
        f'after {took_s:.1f} s'
    )
    found.append(response)
    client.close()


if __name__ == '__main__':
    run_case(__file__.rpartition('/')[0], play)

"""A faulty server spoils a number in the head of some of its answers."""

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
from standins.servers import make_stream_service, read_request
from standins.wire import Client

STREAMS = 8
LOST_MOST = 3
CALLS = 160
CALLS_PER_S = 16.0
# One of three servers spoils one answer in twenty.
SPOILED_EVERY = 20
LOAD = '1,0,6'
SPOILED_LOAD = '9' * 400 + ',0,6'


def make_plain_service(record, *, is_faulty):
    """Return a plain server's ``serve``, which tells its load."""
    count = itertools.count(1)

    def serve(server, channel, reader):
        while True:
            _, headers, _ = read_request(server, channel, reader)
            request_id = headers['x-bluebellhub-request-id']
            time.sleep(0.02)
            load = LOAD
            if is_faulty and next(count) % SPOILED_EVERY == 0:
                load = SPOILED_LOAD
                record(f'server {server.id} spoils its load for {request_id}')
            channel.sendall(
                response_head(
                    headers,
                    Content_Length=800,
                    X_Bluebellhub_Server_Load=load,
                    **SIGNATURE,
                )
                + b'a' * 800
            )

    return serve


def play(fleet):
    """Return BROKEN if requests to sound servers get no answer."""
    record = fleet.record
    streams = make_stream_service(record, events=130, pause_s=0.1)
    for _ in range(2):
        Server(fleet, MODEL, streams, slots=12)
    for is_faulty in (TROUBLE, False, False):
        serve = make_plain_service(record, is_faulty=is_faulty)
        Server(fleet, APP, serve, slots=6)
    machine = fleet.add_machine()
    if not machine.wait_ready():
        return NOT_RUN
    found = []
    callers = [
        threading.Thread(
            target=call_model, args=(fleet, machine, found), daemon=True
        )
        for _ in range(STREAMS)
    ]
    for caller in callers:
        caller.start()
    time.sleep(1.0)
    for _ in range(CALLS):
        if machine.has_ended():
            break
        threading.Thread(
            target=call_app, args=(fleet, machine), daemon=True
        ).start()
        time.sleep(1 / CALLS_PER_S)
    for caller in callers:
        caller.join(20.0)
    if not all(found):
        time.sleep(2.0)
    if machine.has_ended():
        code = machine.hub.returncode
        record(f'{machine.name} has ended by itself with code {code}')
        for line in machine.log_lines('Error: ')[-1:]:
            record(f'{machine.name} wrote: {line.strip(" |")[:120]}')
    lost = sum(not complete for complete in found)
    result = (
        f'{lost} of {len(found)} requests on kept channels to sound servers '
        f'got no answer; the process has ended: {machine.has_ended()}'
    )
    record(result)
    print(result)
    if len(found) != STREAMS:
        return NOT_RUN
    return BROKEN if lost > LOST_MOST else HELD


def call_model(fleet, machine, found):
    """Send two requests on one channel; the second is a stream of 13 s."""
    client = Client(machine.front)
    client.send('GET', '/stock/1', request_headers(1000))
    first = client.receive()
    headers = request_headers(15000)
    request_id = headers['X-Bluebellhub-Request-Id']
    fleet.record(
        f'client got {first.status}, sends {request_id} on the same channel'
    )
    client.send('POST', '/plan/1', headers, b'p' * 2000)
    response = client.receive()
    fleet.record(f'client gets {request_id}: {response.status} {response.end}')
    found.append(response.is_complete)
    client.close()


def call_app(fleet, machine):
    """Send a safe request on a new channel."""
    headers = request_headers(1000)
    request_id = headers['X-Bluebellhub-Request-Id']
    try:
        client = Client(machine.front)
    except OSError as error:
        fleet.record(f'client cannot connect: {type(error).__name__}')
        return
    client.send('GET', '/stock/1', headers)
    response = client.receive()
    fleet.record(f'client gets {request_id}: {response.status} {response.end}')
    client.close()


if __name__ == '__main__':
    run_case(__file__.rpartition('/')[0], play)

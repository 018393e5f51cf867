"""A machine gets SIGHUP while it finishes its requests after a SIGTERM."""

import signal
import threading
import time

from standins.fleet import (
    APP,
    BROKEN,
    HELD,
    MODEL,
    NOT_RUN,
    TROUBLE,
    Server,
    request_headers,
    run_case,
)
from standins.servers import make_plain_service, make_stream_service
from standins.wire import Client

STREAMS = 8
GRACE_S = 8.0


def play(fleet):
    """Return BROKEN if a whole request that was passed on gets no answer."""
    record = fleet.record
    # A stream lasts 4 s, half of the grace period.
    plans = make_stream_service(record, events=40, pause_s=0.1)
    for _ in range(2):
        Server(fleet, MODEL, plans, slots=12)
    Server(fleet, APP, make_plain_service(record, work_s=0.02), slots=6)
    machine = fleet.add_machine()
    if not machine.wait_ready():
        return NOT_RUN
    found = []
    callers = [
        threading.Thread(
            target=call, args=(fleet, machine, found), daemon=True
        )
        for _ in range(STREAMS)
    ]
    for caller in callers:
        caller.start()
    time.sleep(1.0)
    stopped_at = time.monotonic()
    machine.signal(signal.SIGTERM)
    time.sleep(1.0)
    if TROUBLE:
        machine.signal(signal.SIGHUP)
    for caller in callers:
        caller.join(12.0)
    while not machine.has_ended() and time.monotonic() < stopped_at + GRACE_S:
        time.sleep(0.05)
    if machine.has_ended():
        code = machine.hub.returncode
        record(f'the process has ended, code {code}')
    lost = sum(not complete for complete in found)
    result = f'{lost} of {len(found)} requests in flight got no answer'
    record(result)
    print(result)
    if len(found) != STREAMS:
        return NOT_RUN
    return BROKEN if lost else HELD


def call(fleet, machine, found):
    client = Client(machine.front)
    headers = request_headers(15000)
    request_id = headers['X-Bluebellhub-Request-Id']
    fleet.record(f'client sends {request_id}')
    client.send('POST', '/plan/1', headers, b'p' * 2000)
    response = client.receive()
    fleet.record(f'client gets {request_id}: {response.status} {response.end}')
    found.append(response.is_complete)
    client.close()


if __name__ == '__main__':
    run_case(__file__.rpartition('/')[0], play)

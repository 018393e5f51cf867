"""All servers of a model service crash and come back, three times."""

import threading
import time

from standins.fleet import (
    APP,
    BROKEN,
    DRAFTS,
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

ROUNDS = 3
DOWN_S = 4.5
# An entry is removed after three status report intervals of 1.2 s.
EXPIRY_S = 3.6
RESTART_S = 0.5
PLANS_PER_S = 4.0
STREAMS = 4


def play(fleet):
    """Return BROKEN if both processes ended by themselves three times."""
    record = fleet.record
    drafts = make_stream_service(record, events=60, pause_s=0.1)
    for _ in range(2):
        Server(fleet, DRAFTS, drafts, slots=12)
    Server(fleet, APP, make_plain_service(record, work_s=0.02), slots=6)
    models = start_models(fleet)
    machines = [
        fleet.add_machine(f'front-{zone}-1', zone)
        for zone in ('rennes', 'vannes')
    ]
    if not all([machine.wait_ready() for machine in machines]):
        return NOT_RUN
    stop = threading.Event()
    for machine in machines:
        threading.Thread(
            target=call_plans, args=(fleet, machine, stop), daemon=True
        ).start()
    ends = dict.fromkeys(machines, 0)
    found = []
    for _ in range(ROUNDS):
        callers = [
            threading.Thread(
                target=call_draft, args=(fleet, machine, found), daemon=True
            )
            for machine in machines
            for _ in range(STREAMS)
        ]
        time.sleep(1.0)
        if TROUBLE:
            models = crash_models(fleet, models, callers)
        else:
            start_all(callers)
            time.sleep(DOWN_S)
        for caller in callers:
            caller.join(10.0)
        restart_ended(fleet, ends)
        if not all([machine.wait_ready() for machine in machines]):
            return NOT_RUN
    stop.set()
    lost = sum(not complete for complete in found)
    counts = sorted(ends.values())
    result = (
        f'processes ended by themselves {counts} times; of {len(found)} '
        f'requests on kept channels to sound servers {lost} got no answer'
    )
    record(result)
    print(result)
    return BROKEN if counts[0] >= ROUNDS else HELD


def start_models(fleet):
    plans = make_stream_service(fleet.record, events=4, pause_s=0.05)
    return [Server(fleet, MODEL, plans, slots=12) for _ in range(3)]


def start_all(callers):
    for caller in callers:
        caller.start()


def crash_models(fleet, models, callers):
    """Crash all servers for DOWN_S seconds; return those that follow."""
    fleet.record('all servers of the service crash')
    for model in models:
        model.crash()
    start_all(callers)
    time.sleep(EXPIRY_S)
    fleet.record('their entries are removed from the store')
    for model in models:
        model.deregister()
    time.sleep(DOWN_S - EXPIRY_S)
    fleet.record('the servers are back')
    return start_models(fleet)


def restart_ended(fleet, ends):
    """Restart the processes that ended by themselves, and count them."""
    time.sleep(RESTART_S)
    for machine in fleet.machines:
        if not machine.has_ended():
            continue
        ends[machine] += 1
        code = machine.hub.returncode
        fleet.record(f'{machine.name} has ended by itself with code {code}')
        for line in machine.log_lines('Error: ')[-1:]:
            fleet.record(f'{machine.name} wrote: {line.strip(" |")[:120]}')
        machine.start()


def call_draft(fleet, machine, found):
    """Send two requests on one channel; the second is a stream of 6 s."""
    client = Client(machine.front)
    client.send('GET', '/stock/1', request_headers(1000))
    first = client.receive()
    headers = request_headers(15000)
    request_id = headers['X-Bluebellhub-Request-Id']
    fleet.record(
        f'client got {first.status}, sends {request_id} on the same channel'
    )
    client.send('POST', '/draft/1', headers, b'p' * 2000)
    response = client.receive()
    fleet.record(f'client gets {request_id}: {response.status} {response.end}')
    found.append(response.is_complete)
    client.close()


def call_plans(fleet, machine, stop):
    """Send a streaming request now and then, each on a new channel."""
    while not stop.is_set():
        threading.Thread(
            target=call_plan, args=(fleet, machine), daemon=True
        ).start()
        time.sleep(1 / PLANS_PER_S)


def call_plan(fleet, machine):
    headers = request_headers(15000)
    request_id = headers['X-Bluebellhub-Request-Id']
    try:
        client = Client(machine.front)
    except OSError:
        return
    client.send('POST', '/plan/1', headers, b'p' * 2000)
    response = client.receive()
    fleet.record(f'client gets {request_id}: {response.status} {response.end}')
    client.close()


if __name__ == '__main__':
    run_case(__file__.rpartition('/')[0], play)

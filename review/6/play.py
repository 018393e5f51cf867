"""A roll-out of a version that fails the requests of one route only."""

import asyncio
import os
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'standins-2'))
import site_standins as st

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
STABLE_S = 3.0
DURATION_S = 20.0
AFTER_S = 25.0
RATE_PER_S = 30
EXPOSURE_SHARE = 0.1
EXPOSURE_SLACK = 50
BAD_ANSWERS = 50
ROLLBACK_S = 5.0


class Counts:
    """What reached the service, and what the new version answered."""

    def __init__(self):
        self.arrived = []
        self.bad_at = []
        self.bookings = 0
        self.failed = 0


async def behave(replica, request, reader, writer):
    counts = replica.counts
    is_new = replica.fields['version'] == 'v2'
    counts.arrived.append((time.monotonic(), request.id, is_new))
    replica.run(request)
    await asyncio.sleep(0.02)
    is_booking = request.method == 'POST'
    counts.bookings += is_booking and is_new
    if TROUBLE and is_new and is_booking and counts.bookings % 2:
        counts.bad_at.append(time.monotonic())
        replica.record(f'replica {replica.name} (v2) answers {request.id}: 500')
        writer.write(
            st.answer_bytes(500, replica.signed(request), b'booking failed')
        )
        return True
    writer.write(st.answer_bytes(200, replica.signed(request), b'done'))
    return True


async def play(record, folder):
    store = st.Store(record)
    counts = Counts()
    zones = ['rennes', 'vannes', 'brest']
    old, new = (
        [
            st.Replica(
                record, f'i-{version}-{zone}', 'loueur-app', behave,
                zone=zone, version=version,
            )
            for zone in zones
        ]
        for version in ('v1', 'v2')
    )
    replicas = old + new
    for replica in replicas:
        replica.counts = counts
        replica.store = store
    for server in (store, *replicas):
        await server.start()
    store.put(
        'config',
        'main',
        st.config(
            1,
            [
                st.route(
                    'reservation', '/reservation/', 'loueur-app',
                    'non_idempotent', timeoutMs=1000, targetLatencyMs=125,
                    priority=2,
                ),
                st.route(
                    'dispo', '/dispo/', 'loueur-app', 'idempotent',
                    timeoutMs=1000, targetLatencyMs=125, priority=2,
                    maxAttempts=2,
                ),
            ],
            [st.plain_service('loueur-app')],
        ),
    )
    live = list(old)
    beating = asyncio.create_task(st.beat(store, live))
    machines = [
        st.Machine(record, folder, f'front-{zone}-1', store.address, zone)
        for zone in zones
    ]
    try:
        for machine in machines:
            await machine.start()
        for machine in machines:
            await machine.wait_ready()
        await asyncio.sleep(STABLE_S + 0.5)
        sending = asyncio.create_task(traffic(record, machines, counts))
        await asyncio.sleep(5.0)
        live += new
        for replica in new:
            store.put('servers', replica.name, replica.entry())
        await asyncio.sleep(0.5)
        ordered = time.monotonic()
        order = {'service': 'loueur-app', 'target': 'v2', 'durationS': DURATION_S}
        store.put('rollouts', 'loueur-app', order)
        record('operator orders the roll-out to v2')
        await watch_status(record, store, old, live)
        sending.cancel()
        return judge(record, store, counts, ordered)
    finally:
        for machine in machines:
            await machine.end()
        beating.cancel()


async def traffic(record, machines, counts):
    """Two bookings for each look-up, evenly over the machines."""
    tasks = set()
    number = 0
    while True:
        number += 1
        machine = machines[number % len(machines)]
        is_lookup = number % 3 == 0
        path = '/dispo/1' if is_lookup else '/reservation/1'
        asked = ask(record, machine, counts, f'r-{number}', path)
        task = asyncio.create_task(asked)
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(1 / RATE_PER_S)


async def ask(record, machine, counts, name, path):
    """Send a request, and count the bookings that fail."""
    is_lookup = path.startswith('/dispo/')
    status, *_ = await st.ask(
        record,
        machine,
        name,
        path,
        b'' if is_lookup else b'book',
        method='GET' if is_lookup else 'POST',
        X_Bluebellhub_Deadline_Ms=1000,
    )
    counts.failed += not is_lookup and status == 500


async def watch_status(record, store, old, live):
    """Follow the status; do what the platform does at its end."""
    until = time.monotonic() + DURATION_S + AFTER_S
    state = None
    while time.monotonic() < until:
        status = store.objects['rollouts', 'loueur-app']['status'] or {}
        if status.get('state') != state:
            state = status.get('state')
            record(f'the status of the roll-out is {state}')
            if state == 'succeeded':
                for replica in old:
                    replica.state = 'gone'
                    live.remove(replica)
                    store.remove('servers', replica.name)
                    await replica.stop()
                record('the old replicas stop')
        await asyncio.sleep(0.02)


def judge(record, store, counts, ordered):
    """EXPOSURE, with its bounds, for a version that is bad."""
    status = store.objects['rollouts', 'loueur-app']['status'] or {}
    record(f'status at the end: {status}')
    record(f'{len(counts.bad_at)} bad answers of v2')
    if not TROUBLE:
        # A good version: there is no bound on what it gets.
        return []
    limit = ordered + DURATION_S
    meanwhile = [is_new for at, _, is_new in counts.arrived if ordered <= at <= limit]
    allowed = EXPOSURE_SHARE * len(meanwhile) + EXPOSURE_SLACK
    record(f'until the time limit: {sum(meanwhile)} of {len(meanwhile)} requests at v2, allowed {allowed:.0f}')
    breaks = []
    if sum(meanwhile) > allowed:
        breaks.append(f'EXPOSURE: v2 got {sum(meanwhile)} of {len(meanwhile)} requests, allowed {allowed:.0f}')
    if len(counts.bad_at) >= BAD_ANSWERS:
        since = counts.bad_at[BAD_ANSWERS - 1] + ROLLBACK_S
        # A request is sent at most 1 s, its time limit, before it arrives.
        late = [name for at, name, is_new in counts.arrived if is_new and at > since + 1.0]
        if late:
            breaks.append(
                f'EXPOSURE: {len(late)} requests were sent to v2 later than '
                f'{ROLLBACK_S} s after its 50th bad answer; '
                f'{counts.failed} bookings failed in all; '
                f'the state is {status.get("state")}'
            )
    return breaks


if __name__ == '__main__':
    sys.exit(st.run_case(HERE, play))

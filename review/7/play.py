"""A part of a prompt that crashes replicas, after one 500 of a replica."""

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
CRASHES = 5
ALLOWED = 3
CALM_S = 8.0
LENGTH_S = 30.0
DOWN_S = 3.0
RATE_PER_S = 12
# One request in four has the part.
DEADLY_EVERY = 4
COUNTED_MIN = 20
DEADLY = '91bd3f06'
FIRST = '5c1e07a2'
STREAM_HEAD = b'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'


class Case:
    """When replicas crashed, and what became of the requests."""

    def __init__(self):
        self.crashed_at = []
        self.deadly_at = []
        self.errors_left = 1 if TROUBLE else 0
        # Of each sound request: when it was sent, whether a replica began to
        # answer it, and whether its client got a whole answer.
        self.sound = {}
        self.begun = set()
        self.whole = set()


def is_deadly(request):
    parts = request.headers.get('x-bluebellhub-prompt-prefix', '')
    return DEADLY in parts


async def behave(replica, request, reader, writer):
    case = replica.case
    if is_deadly(request):
        case.deadly_at.append((time.monotonic(), request.id))
        if case.errors_left:
            case.errors_left -= 1
            replica.run(request)
            headers = replica.signed(request)
            writer.write(st.answer_bytes(500, headers, b'failed'))
            replica.record(f'replica {replica.name} answers {request.id}: 500')
            return True
    await asyncio.sleep(0.1)
    if replica.state != 'ready':
        return False
    replica.run(request)
    if is_deadly(request):
        await crash(replica)
        return False
    case.begun.add(request.id)
    headers = ''.join(
        f'{name}: {value}\r\n' for name, value in replica.signed(request)
    )
    writer.write(STREAM_HEAD + headers.encode())
    writer.write(b'Transfer-Encoding: chunked\r\n\r\n')
    for number in range(1, 11):
        event = b'id: %d\ndata: x\n\n' % number
        writer.write(b'%x\r\n%s\r\n' % (len(event), event))
        await writer.drain()
        await asyncio.sleep(0.05)
    writer.write(b'0\r\n\r\n')
    return True


async def crash(replica):
    """End all channels, and start again after some seconds."""
    replica.record(f'replica {replica.name} crashes')
    replica.case.crashed_at.append(time.monotonic())
    replica.state = 'gone'
    await replica.stop()
    replica.restarting = asyncio.create_task(restart(replica))


async def restart(replica):
    await asyncio.sleep(DOWN_S)
    replica.born = int(time.time() * 1000)
    replica.seq = 0
    replica.state = 'ready'
    await replica.start()
    replica.store.put('servers', replica.name, replica.entry())
    replica.record(f'replica {replica.name} is back')


async def play(record, folder):
    store = st.Store(record)
    case = Case()
    replicas = [
        st.Replica(record, f'i-{n}', 'assistant-llm', behave, slots=12)
        for n in range(5)
    ]
    for replica in replicas:
        replica.case = case
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
                    'plan', '/plan/', 'assistant-llm', 'streaming',
                    targetGapMs=400, sticky=True,
                )
            ],
            [st.model_service('assistant-llm')],
        ),
    )
    beating = asyncio.create_task(st.beat(store, replicas))
    machine = st.Machine(record, folder, 'front-1', store.address)
    try:
        await machine.start()
        await machine.wait_ready()
        await asyncio.sleep(STABLE_S + 0.5)
        await traffic(record, machine, case)
    finally:
        await machine.end()
        beating.cancel()
    return judge(record, case)


async def traffic(record, machine, case):
    """Sound requests, and after a calm time some with the deadly part."""
    tasks = []
    started = time.monotonic()
    case.calm_until = started + CALM_S
    number = 0
    while time.monotonic() < started + CALM_S + LENGTH_S:
        number += 1
        is_calm = time.monotonic() < case.calm_until
        deadly = not is_calm and number % DEADLY_EVERY == 0
        parts = [f'{FIRST}:60']
        if deadly:
            parts.append(f'{DEADLY}:410')
        parts.append(f'{number:08x}:500')
        name = f'd-{number}' if deadly else f's-{number}'
        if not deadly:
            case.sound[name] = time.monotonic()
        asked = ask(record, machine, case, name, ','.join(parts))
        tasks.append(asyncio.create_task(asked))
        await asyncio.sleep(1 / RATE_PER_S)
    case.last_sent = time.monotonic()
    await asyncio.wait(tasks, timeout=15.0)


async def ask(record, machine, case, name, parts):
    status, _, _, how = await st.ask(
        record,
        machine,
        name,
        '/plan/1',
        b'x',
        X_Bluebellhub_Deadline_Ms=15000,
        X_Bluebellhub_Model='m',
        X_Bluebellhub_Token_Counts='1000,60',
        X_Bluebellhub_Prompt_Prefix=parts,
    )
    if status == 200 and how == 'complete':
        case.whole.add(name)


def judge(record, case):
    crashes = case.crashed_at
    record(f'{len(crashes)} crashes')
    if not crashes:
        return []
    last = crashes[min(CRASHES, len(crashes)) - 1]
    calm = [name for name, at in case.sound.items() if at < case.calm_until]
    late = [
        name for name, at in case.sound.items() if at > last + 2 * STABLE_S
    ]
    breaks = []
    if min(len(calm), len(late)) >= COUNTED_MIN:
        before = sum(name in case.begun for name in calm) / len(calm)
        after = sum(name in case.begun for name in late) / len(late)
        lost = sum(name not in case.whole for name in late)
        record(
            f'sound requests that began: {before:.2f} of {len(calm)} in calm, '
            f'{after:.2f} of {len(late)} later than {2 * STABLE_S} s after '
            f'crash {min(CRASHES, len(crashes))}; {lost} of these got no '
            f'whole answer'
        )
        if after < before / 2:
            breaks.append(
                f'LOST: {after:.2f} of {len(late)} sound requests began, '
                f'{before:.2f} in calm; {lost} got no whole answer; '
                f'{len(crashes)} crashes'
            )
    if len(crashes) >= CRASHES:
        since = crashes[CRASHES - 1] + STABLE_S
        sent = [name for at, name in case.deadly_at if at > since]
        record(f'deadly requests at replicas after the bound: {len(sent)}')
        if len(sent) > ALLOWED:
            breaks.append(
                f'BUDGET: {len(sent)} requests with the part reached replicas '
                f'later than {STABLE_S} s after the fifth crash, allowed '
                f'{ALLOWED}'
            )
    return breaks


if __name__ == '__main__':
    sys.exit(st.run_case(HERE, play))

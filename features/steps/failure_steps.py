"""Steps of VMs that go."""

import signal
import time
from concurrent.futures import ThreadPoolExecutor
from itertools import count

import httpx
from behave import given, then, when

from features.processes import wait_until
from features.steps.calls import book, chat, tokens_of

CALLERS_PER_HUB = 2
LONG_TOKENS = 150
PAUSE_S = 0.1


class Load:
    """Callers that ask until they are told to stop."""

    def __init__(self, hubs):
        self.hubs = hubs
        self.going = True
        self.checks = []
        self.serial = count()
        self.pool = ThreadPoolExecutor()
        self.calls = [
            self.pool.submit(self.call, number)
            for number in range(len(hubs))
            for _ in range(CALLERS_PER_HUB)
        ]

    def call(self, number):
        """Send checks and bookings; a lost booking is sent elsewhere."""
        while self.going:
            key = f'load-{next(self.serial)}'
            try:
                book(self.hubs[number], key, key)
                answer = chat(self.hubs[number], 2)
            except httpx.HTTPError:
                book(self.hubs[0], key, key)
                return
            good = answer.status_code == 200
            self.checks.append((time.monotonic(), number, good))
            time.sleep(PAUSE_S)

    def stop(self):
        """Wait for all callers."""
        self.going = False
        for call in self.calls:
            call.result()


@given('callers ask all hubs for checks and bookings')
def start_load(context):
    context.load = Load(context.site.hubs)
    time.sleep(2.0)


@when('hub {hub:d} is killed')
def kill_hub(context, hub):
    context.site.processes[f'hub-{hub}'].kill()
    context.killed_s = time.monotonic()


@when('the callers go on for {seconds:d} seconds')
def go_on(context, seconds):
    time.sleep(seconds)
    context.load.stop()


@then('no booking ran twice')
def check_bookings(context):
    runs = httpx.get(f'http://{context.site.service}/bookings').json()
    assert runs
    assert set(runs.values()) == {1}, runs


@then(
    'hubs 0 and 1 answered at least {share:d} in 100 checks '
    'after {seconds:d} seconds'
)
def check_service(context, share, seconds):
    start_s = context.killed_s + seconds
    later = [
        good
        for moment_s, hub, good in context.load.checks
        if moment_s > start_s and hub < 2
    ]
    assert later
    assert 100 * sum(later) >= share * len(later), later


@given('a long answer streams from hub {hub:d}')
def start_long(context, hub):
    context.pool = ThreadPoolExecutor()
    fields = {'stream': True, 'tier': 'plan'}
    context.long = context.pool.submit(
        chat, context.site.hubs[hub], LONG_TOKENS, **fields
    )
    url = f'http://{context.site.hubs[hub]}/status'
    wait_until(lambda: httpx.get(url).json()['in_progress'] == 1)


@when('hub {hub:d} is told to stop')
def stop_hub(context, hub):
    context.site.processes[f'hub-{hub}'].send_signal(signal.SIGTERM)


@then('hub {hub:d} is not ready')
def check_not_ready(context, hub):
    url = f'http://{context.site.hubs[hub]}/ready'
    wait_until(lambda: httpx.get(url).status_code == 503, 2.0)


@then('the long answer is whole')
def check_long(context):
    answer = context.long.result()
    assert len(tokens_of(answer.text)) == LONG_TOKENS, answer.text
    assert '[DONE]' in answer.text


@then('hub {hub:d} exits with {status:d}')
def check_exit(context, hub, status):
    process = context.site.processes[f'hub-{hub}']
    assert process.wait(timeout=20.0) == status

"""Step definitions for VMs that are killed or stopped under load."""

import signal
import time
from concurrent.futures import ThreadPoolExecutor
from itertools import count

import httpx
from behave import given, then, when

from features.processes import wait_until
from features.steps.calls import book, chat, parse_tokens

CALLERS_PER_HUB = 2
LONG_RESPONSE_TOKENS = 150
CALL_INTERVAL_S = 0.1


class BackgroundLoad:
    """Callers that send requests to all hubs until they are stopped."""

    def __init__(self, hubs):
        self.hubs = hubs
        self.is_running = True
        self.check_results = []
        self.sequence = count()
        self.pool = ThreadPoolExecutor()
        self.futures = [
            self.pool.submit(self.send_requests, number)
            for number in range(len(hubs))
            for _ in range(CALLERS_PER_HUB)
        ]

    def send_requests(self, number):
        """Send bookings and checks to a hub until stopped.

        If the connection fails, the booking is sent once more, to the first
        hub, and the caller ends.
        """
        while self.is_running:
            key = f'load-{next(self.sequence)}'
            try:
                book(self.hubs[number], key, key)
                response = chat(self.hubs[number], 2)
            except httpx.HTTPError:
                book(self.hubs[0], key, key)
                return
            is_success = response.status_code == 200
            self.check_results.append((time.monotonic(), number, is_success))
            time.sleep(CALL_INTERVAL_S)

    def stop(self):
        """Stop all callers and wait until they have ended."""
        self.is_running = False
        for future in self.futures:
            future.result()


@given('callers ask all hubs for checks and bookings')
def start_load(context):
    context.load = BackgroundLoad(context.site.hubs)
    time.sleep(2.0)


@when('hub {hub:d} is killed')
def kill_hub(context, hub):
    context.site.processes[f'hub-{hub}'].kill()
    context.killed_at_s = time.monotonic()


@when('the callers go on for {seconds:d} seconds')
def wait_under_load(context, seconds):
    time.sleep(seconds)
    context.load.stop()


@then('no booking ran twice')
def check_no_duplicate_booking(context):
    runs = httpx.get(f'http://{context.site.service}/bookings').json()
    assert runs
    assert set(runs.values()) == {1}, runs


@then(
    'hubs 0 and 1 answered at least {share:d} in 100 checks '
    'after {seconds:d} seconds'
)
def check_success_share(context, share, seconds):
    start_s = context.killed_at_s + seconds
    results = [
        is_success
        for sent_at_s, hub, is_success in context.load.check_results
        if sent_at_s > start_s and hub < 2
    ]
    assert results
    assert 100 * sum(results) >= share * len(results), results


@given('a long answer streams from hub {hub:d}')
def start_long_response(context, hub):
    context.pool = ThreadPoolExecutor()
    fields = {'stream': True, 'tier': 'plan'}
    context.long_response = context.pool.submit(
        chat, context.site.hubs[hub], LONG_RESPONSE_TOKENS, **fields
    )
    url = f'http://{context.site.hubs[hub]}/status'
    wait_until(lambda: httpx.get(url).json()['in_progress'] == 1)


@when('hub {hub:d} is told to stop')
def terminate_hub(context, hub):
    context.site.processes[f'hub-{hub}'].send_signal(signal.SIGTERM)


@then('hub {hub:d} is not ready')
def check_not_ready(context, hub):
    url = f'http://{context.site.hubs[hub]}/ready'
    wait_until(lambda: httpx.get(url).status_code == 503, 2.0)


@then('the long answer is whole')
def check_complete_response(context):
    response = context.long_response.result()
    assert len(parse_tokens(response.text)) == LONG_RESPONSE_TOKENS, (
        response.text
    )
    assert '[DONE]' in response.text


@then('hub {hub:d} exits with {status:d}')
def check_exit(context, hub, status):
    process = context.site.processes[f'hub-{hub}']
    assert process.wait(timeout=20.0) == status

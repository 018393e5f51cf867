"""Step definitions for callers."""

from concurrent.futures import ThreadPoolExecutor
from functools import partial

import httpx
from behave import given, then, when

from features.processes import wait_until
from features.steps.calls import (
    MODEL,
    book,
    chat,
    chat_body,
    parse_tokens,
    post,
    retry,
)

CHAT_PATH = '/v1/chat/completions'
LARGE_BYTES = 2_000_000
LARGE_HEADER_BYTES = 20_000
LONG_TOKENS = 400
UPSTREAM_COUNT = 4
MESSAGES = [{'role': 'user', 'content': 'hi'}]

REQUESTS_BY_NAME = {
    'a wrong key': {'account': 'nobody', 'json': {}},
    'a body that is not JSON': {'content': b'{'},
    'a body that is too large': {'content': b'x' * LARGE_BYTES},
    'a header that is too large': {
        'json': {},
        'headers': {'X-Note': 'x' * LARGE_HEADER_BYTES},
    },
    'an unknown model': {'json': {'model': 'x', 'messages': MESSAGES}},
    'a tier of another contract': {
        'account': 'small',
        'json': {'model': MODEL, 'messages': MESSAGES},
        'headers': {'X-Tier': 'plan'},
    },
    'a prompt that is too long': {
        'account': 'small',
        'json': {
            'model': MODEL,
            'messages': [{'role': 'user', 'content': 'x' * 1000}],
        },
    },
}
FAULTS_BY_NAME = {
    'cut': {'cut_after': 4},
    'crossed': {'crossed': True},
    'stalled': {'stall_after': 4},
}


@when(
    'account "{account}" asks hub {hub:d} in tier "{tier}" '
    'for {tokens:d} tokens {how}'
)
def send_chat_request(context, account, hub, tier, tokens, how):
    options = {'stream': how == 'streamed', 'tier': tier}
    context.response = chat(context.site.hubs[hub], tokens, account, **options)


@then('the answer has all {tokens:d} tokens in order')
def check_tokens(context, tokens):
    expected = [f'tok{number}' for number in range(tokens)]
    assert context.response.status_code == 200, context.response.text
    assert parse_tokens(context.response.text) == expected, (
        context.response.text
    )


@when('a caller sends {request}')
def send_request(context, request):
    options = dict(REQUESTS_BY_NAME[request])
    account = options.pop('account', 'yard')
    context.response = post(context.site.hubs[0], CHAT_PATH, account, **options)


@when('one connection carries a wrong key and then a question')
def send_after_unauthorized(context):
    hub = context.site.hubs[0]
    with httpx.Client(base_url=f'http://{hub}', timeout=30.0) as client:
        refused = client.post(CHAT_PATH, json=chat_body(12))
        assert refused.status_code == 401, refused.text
        key = {'Authorization': 'Bearer yard.orchard'}
        context.response = retry(
            lambda: client.post(CHAT_PATH, json=chat_body(12), headers=key)
        )


@when('a caller leaves hub {hub:d} in the middle of a long answer')
def disconnect_caller(context, hub):
    url = f'http://{context.site.hubs[hub]}{CHAT_PATH}'
    options = {
        'json': chat_body(LONG_TOKENS, stream=True),
        'headers': {'Authorization': 'Bearer yard.orchard'},
    }
    with httpx.stream('POST', url, **options) as response:
        assert response.status_code == 200
        assert 'tok' in next(response.iter_text())


@then('no hub and no engine has work in progress')
def check_no_work(context):
    for hub in context.site.hubs:
        wait_until(partial(_is_hub_idle, hub))
    for engine in context.site.engines:
        wait_until(partial(_is_engine_idle, engine))


def _is_hub_idle(hub):
    return httpx.get(f'http://{hub}/status').json()['in_progress'] == 0


def _is_engine_idle(engine):
    load = httpx.get(f'http://{engine}/v1/load').json()
    return load['running'] == 0


@then('the refusal has status {status:d}, reason "{reason}" and run "{run}"')
def check_refusal(context, status, reason, run):
    error = context.response.json()['error']
    error_fields = (context.response.status_code, error['type'], error['run'])
    assert error_fields == (status, reason, run), context.response.text


@when(
    'account "yard" books "{text}" with key "{key}" at hubs 0, 1 and 2 at once'
)
def book_at_once(context, text, key):
    with ThreadPoolExecutor() as pool:
        futures = [
            pool.submit(book, hub, text, key) for hub in context.site.hubs
        ]
        context.responses = [future.result() for future in futures]


@when('account "yard" books "{text}" with key "{key}" at hub {hub:d}')
def book_at_hub(context, text, key, hub):
    context.response = book(context.site.hubs[hub], text, key)


def _execution_count(context, text):
    url = f'http://{context.site.service}/bookings'
    return httpx.get(url).json().get(text, 0)


@then('the booking "{text}" ran once')
def check_executed_once(context, text):
    assert _execution_count(context, text) == 1
    successes = [
        entry for entry in context.responses if entry.status_code == 201
    ]
    assert successes, [entry.text for entry in context.responses]


@then('the booking "{text}" ran {times:d} times')
def check_execution_count(context, text, times):
    assert _execution_count(context, text) == times


@then('booking "{text}" again with key "{key}" gives the first answer')
def check_same_response(context, text, key):
    hub = context.site.hubs[2]
    wait_until(lambda: book(hub, text, key).status_code == 201)
    assert _execution_count(context, text) == 1


@then('booking "{text}" with key "{key}" is refused with reason "{reason}"')
def check_key_reuse_refused(context, text, key, reason):
    response = book(context.site.hubs[0], text, key)
    assert response.json()['error']['type'] == reason, response.text


@then('the booking is refused with reason "{reason}" and run "{run}"')
def check_booking_refused(context, reason, run):
    error = context.response.json()['error']
    assert (error['type'], error['run']) == (reason, run)


@given('the platform is down')
def take_platform_down(context):
    url = f'http://{context.site.platform}/control'
    httpx.post(url, json={'down': True})
    context.add_cleanup(httpx.post, url, json={'down': False})


@given('the next answer of every engine is {fault}')
def inject_fault(context, fault):
    for address in context.site.engines:
        httpx.post(f'http://{address}/control', json=FAULTS_BY_NAME[fault])


@then('every hub has read reports of every upstream and refused none')
def check_reports(context):
    for hub in context.site.hubs:
        wait_until(partial(_has_load_reports, hub))
        text = httpx.get(f'http://{hub}/metrics').text
        assert 'bluebellhub_refused_reports_total{' not in text, text


def _has_load_reports(hub):
    text = httpx.get(f'http://{hub}/metrics').text
    return text.count('bluebellhub_reports_total{') == UPSTREAM_COUNT

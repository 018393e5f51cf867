"""Steps of callers."""

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
    post,
    retry,
    tokens_of,
)

PATH = '/v1/chat/completions'
LARGE_BYTES = 2_000_000
LARGE_HEADER_BYTES = 20_000
LONG_TOKENS = 400
UPSTREAMS = 4
MESSAGES = [{'role': 'user', 'content': 'hi'}]

REQUESTS = {
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
FAULTS = {
    'cut': {'cut_after': 4},
    'crossed': {'crossed': True},
    'stalled': {'stall_after': 4},
}


@when(
    'account "{account}" asks hub {hub:d} in tier "{tier}" '
    'for {tokens:d} tokens {how}'
)
def ask(context, account, hub, tier, tokens, how):
    fields = {'stream': how == 'streamed', 'tier': tier}
    context.answer = chat(context.site.hubs[hub], tokens, account, **fields)


@then('the answer has all {tokens:d} tokens in order')
def check_tokens(context, tokens):
    expected = [f'tok{number}' for number in range(tokens)]
    assert context.answer.status_code == 200, context.answer.text
    assert tokens_of(context.answer.text) == expected, context.answer.text


@when('a caller sends {request}')
def send(context, request):
    options = dict(REQUESTS[request])
    account = options.pop('account', 'yard')
    context.answer = post(context.site.hubs[0], PATH, account, **options)


@when('one connection carries a wrong key and then a question')
def send_after_refusal(context):
    hub = context.site.hubs[0]
    with httpx.Client(base_url=f'http://{hub}', timeout=30.0) as client:
        refused = client.post(PATH, json=chat_body(12))
        assert refused.status_code == 401, refused.text
        key = {'Authorization': 'Bearer yard.orchard'}
        context.answer = retry(
            lambda: client.post(PATH, json=chat_body(12), headers=key)
        )


@when('a caller leaves hub {hub:d} in the middle of a long answer')
def leave_hub(context, hub):
    url = f'http://{context.site.hubs[hub]}{PATH}'
    options = {
        'json': chat_body(LONG_TOKENS, stream=True),
        'headers': {'Authorization': 'Bearer yard.orchard'},
    }
    with httpx.stream('POST', url, **options) as answer:
        assert answer.status_code == 200
        assert 'tok' in next(answer.iter_text())


@then('no hub and no engine has work in progress')
def check_idle(context):
    for hub in context.site.hubs:
        wait_until(partial(_is_idle, hub))
    for engine in context.site.engines:
        wait_until(partial(_is_engine_idle, engine))


def _is_idle(hub):
    return httpx.get(f'http://{hub}/status').json()['in_progress'] == 0


def _is_engine_idle(engine):
    load = httpx.get(f'http://{engine}/v1/load').json()
    return load['running'] == 0


@then('the refusal has status {status:d}, reason "{reason}" and run "{run}"')
def check_refusal(context, status, reason, run):
    error = context.answer.json()['error']
    found = (context.answer.status_code, error['type'], error['run'])
    assert found == (status, reason, run), context.answer.text


@when(
    'account "yard" books "{text}" with key "{key}" at hubs 0, 1 and 2 at once'
)
def book_at_once(context, text, key):
    with ThreadPoolExecutor() as pool:
        calls = [pool.submit(book, hub, text, key) for hub in context.site.hubs]
        context.answers = [call.result() for call in calls]


@when('account "yard" books "{text}" with key "{key}" at hub {hub:d}')
def book_one(context, text, key, hub):
    context.answer = book(context.site.hubs[hub], text, key)


def _runs(context, text):
    url = f'http://{context.site.service}/bookings'
    return httpx.get(url).json().get(text, 0)


@then('the booking "{text}" ran once')
def check_once(context, text):
    assert _runs(context, text) == 1
    good = [entry for entry in context.answers if entry.status_code == 201]
    assert good, [entry.text for entry in context.answers]


@then('the booking "{text}" ran {times:d} times')
def check_runs(context, text, times):
    assert _runs(context, text) == times


@then('booking "{text}" again with key "{key}" gives the first answer')
def book_again(context, text, key):
    hub = context.site.hubs[2]
    wait_until(lambda: book(hub, text, key).status_code == 201)
    assert _runs(context, text) == 1


@then('booking "{text}" with key "{key}" is refused with reason "{reason}"')
def book_reused(context, text, key, reason):
    answer = book(context.site.hubs[0], text, key)
    assert answer.json()['error']['type'] == reason, answer.text


@then('the booking is refused with reason "{reason}" and run "{run}"')
def check_booking_refused(context, reason, run):
    error = context.answer.json()['error']
    assert (error['type'], error['run']) == (reason, run)


@given('the platform is down')
def stop_platform(context):
    url = f'http://{context.site.platform}/control'
    httpx.post(url, json={'down': True})
    context.add_cleanup(httpx.post, url, json={'down': False})


@given('the next answer of every engine is {fault}')
def break_engines(context, fault):
    for address in context.site.engines:
        httpx.post(f'http://{address}/control', json=FAULTS[fault])


@then('every hub has read reports of every upstream and refused none')
def check_reports(context):
    for hub in context.site.hubs:
        wait_until(partial(_reads_reports, hub))
        text = httpx.get(f'http://{hub}/metrics').text
        assert 'bluebellhub_refused_reports_total{' not in text, text


def _reads_reports(hub):
    text = httpx.get(f'http://{hub}/metrics').text
    return text.count('bluebellhub_reports_total{') == UPSTREAMS

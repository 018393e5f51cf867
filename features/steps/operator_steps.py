"""Steps of operators."""

import subprocess
import sys

import httpx
from behave import given, then, when

from features.processes import key_digest
from features.steps.calls import chat


def _command(context, words):
    module = ('-m', 'bluebellhub.cli.main')
    return [
        sys.executable,
        *module,
        '--platform',
        context.site.platform,
        *words,
    ]


def _run(context, *words):
    context.result = subprocess.run(
        _command(context, words), capture_output=True, text=True, check=False
    )


@when('the operator runs "{words}"')
def run_command(context, words):
    _run(context, *words.split())


@given('an operator watches "{words}"')
def start_watch(context, words):
    context.watch = subprocess.Popen(
        _command(context, words.split()), stdout=subprocess.PIPE, text=True
    )


@then('the watch prints "{first}" and after it "{second}"')
def check_watch(context, first, second):
    printed, _ = context.watch.communicate(timeout=30.0)
    assert context.watch.returncode == 0, printed
    assert 0 <= printed.find(first) < printed.rfind(second), printed


@then('the command exits with {status:d} and prints "{text}"')
def check_command(context, status, text):
    printed = context.result.stdout + context.result.stderr
    assert context.result.returncode == status, printed
    assert text in printed, printed


@then('every hub names "{domain}" as out')
@then('every hub names "" as out')
def check_out(context, domain=''):
    wanted = [domain] if domain else []
    for hub in context.site.hubs:
        status = httpx.get(f'http://{hub}/status').json()
        assert status['domains_out'] == wanted, status


@then('hub {hub:d} answers a check')
def check_answer(context, hub):
    answer = chat(context.site.hubs[hub], 2)
    assert answer.status_code == 200, answer.text


@given('a file with the contract "{name}" and the tiers "{tiers}"')
def write_contract(context, name, tiers):
    path = context.site.folder / f'{name}.yaml'
    path.write_text(
        f'name: {name}\nkey_sha256: {key_digest()}\ntiers: [{tiers}]\n'
    )
    context.path = str(path)


@when('the operator applies the file')
def apply_file(context):
    _run(context, 'contract', 'apply', context.path)


@when('the operator applies the file with version {version:d}')
def apply_version(context, version):
    words = ('contract', 'apply', context.path, '--version', str(version))
    _run(context, *words)

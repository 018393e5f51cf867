"""Step definitions for operators."""

import subprocess
import sys

import httpx
from behave import given, then, when

from features.processes import hash_test_key
from features.steps.calls import chat


def _command(context, words):
    module_arguments = ('-m', 'bluebellhub.cli.main')
    return [
        sys.executable,
        *module_arguments,
        '--platform',
        context.site.platform,
        *words,
    ]


def _run_command(context, *words):
    context.result = subprocess.run(
        _command(context, words), capture_output=True, text=True, check=False
    )


@when('the operator runs "{words}"')
def run_operator_command(context, words):
    _run_command(context, *words.split())


@given('an operator watches "{words}"')
def start_watch(context, words):
    context.watch_process = subprocess.Popen(
        _command(context, words.split()), stdout=subprocess.PIPE, text=True
    )


@then('the watch prints "{first}" and after it "{second}"')
def check_watch(context, first, second):
    output, _ = context.watch_process.communicate(timeout=30.0)
    assert context.watch_process.returncode == 0, output
    assert 0 <= output.find(first) < output.rfind(second), output


@then('the command exits with {status:d} and prints "{text}"')
def check_command(context, status, text):
    output = context.result.stdout + context.result.stderr
    assert context.result.returncode == status, output
    assert text in output, output


@then('every hub names "{domain}" as out')
@then('every hub names "" as out')
def check_domains_out(context, domain=''):
    expected = [domain] if domain else []
    for hub in context.site.hubs:
        status = httpx.get(f'http://{hub}/status').json()
        assert status['domains_out'] == expected, status


@then('hub {hub:d} answers a check')
def check_hub_response(context, hub):
    response = chat(context.site.hubs[hub], 2)
    assert response.status_code == 200, response.text


@given('a file with the contract "{name}" and the tiers "{tiers}"')
def write_contract(context, name, tiers):
    path = context.site.folder / f'{name}.yaml'
    path.write_text(
        f'name: {name}\nkey_sha256: {hash_test_key()}\ntiers: [{tiers}]\n'
    )
    context.contract_path = str(path)


@when('the operator applies the file')
def apply_file(context):
    _run_command(context, 'contract', 'apply', context.contract_path)


@when('the operator applies the file with version {version:d}')
def apply_file_with_version(context, version):
    words = (
        'contract',
        'apply',
        context.contract_path,
        '--version',
        str(version),
    )
    _run_command(context, *words)

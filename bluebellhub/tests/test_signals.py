"""Signals in series at a daemon, while it starts and while it stops."""

import os
import re
import signal
import socket
import subprocess
import sys
import time
from contextlib import contextmanager
from pathlib import Path

import pytest

from bluebellhub.contract import hash_key
from bluebellhub.platform.tests.wire import REQUEST_ID
from bluebellhub.tests.addresses import choose_addresses

HUP, TERM, INT = signal.SIGHUP, signal.SIGTERM, signal.SIGINT
HUP_BIT = 1 << (HUP - 1)
START_S = 20.0
RESPONSE_S = 10.0
PAUSE_S = 0.1
# Accepted while the VM stops, and complete only after the signals.
ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody'
REQUEST = (
    b'POST %s HTTP/1.1\r\nHost: a.example\r\n'
    b'Authorization: Bearer yard.orchard\r\n'
    b'Content-Type: application/json\r\n'
    b'Content-Length: 4\r\nConnection: close\r\n%s\r\n'
)
COMMON = 'vm: hub-1\nfailure_domain: d\nlisten: {listen}\n'
# A VM of a site refuses all requests while it does not reach its store.
OF_A_SITE = (
    'peer_listen: {peers}\nsite:\n  store: 127.0.0.1:9\n'
    '  ready_listen: {ready}\n  grace_s: 8\n'
)
ALONE = (
    'warm_start: true\ncontracts:\n  - name: yard\n    key_sha256: {key}\n'
    '    tiers: [check]\n    services: [bookings]\nupstreams:\n'
    '  - name: b1\n    address: {upstream}\n    targets: [bookings]\n'
    '    failure_domain: d\n    kind: service\n'
)


def _listen():
    listener = socket.create_server(('127.0.0.1', 0))
    listener.settimeout(RESPONSE_S)
    return listener


def _address(listener):
    return '127.0.0.1:%d' % listener.getsockname()[1]


@contextmanager
def _daemon(folder, template, **fields):
    """Run a daemon; yields its process and its address."""
    listen, peers, ready = choose_addresses(3)
    fields |= {'listen': listen, 'peers': peers, 'ready': ready}
    path = folder / 'hub.yaml'
    path.write_text((COMMON + template).format(**fields))
    process = subprocess.Popen(
        [sys.executable, '-m', 'bluebellhub.daemon', '--settings', str(path)],
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )
    try:
        yield process, listen
    finally:
        process.kill()
        process.wait()


def _connect(process, address):
    """Connect as soon as the daemon listens."""
    host, _, port = address.partition(':')
    deadline_s = time.monotonic() + START_S
    while process.poll() is None and time.monotonic() < deadline_s:
        try:
            return socket.create_connection((host, int(port)), RESPONSE_S)
        except OSError:
            time.sleep(0.01)
    raise AssertionError(f'the daemon has ended with {process.returncode}')


def _send_series(process, series):
    for number in series:
        os.kill(process.pid, number)
        time.sleep(PAUSE_S)


def _receive_all(caller):
    received = b''
    while part := caller.recv(65536):
        received += part
    return received


@pytest.mark.parametrize(
    'series',
    [(TERM, HUP), (TERM, TERM), (HUP, TERM, HUP, INT), (INT, HUP, TERM, HUP)],
)
def test_signals_while_a_vm_of_a_site_stops_cut_no_request(tmp_path, series):
    with _daemon(tmp_path, OF_A_SITE) as (process, address):
        with _connect(process, address) as caller:
            caller.sendall(REQUEST % (b'/a/x', REQUEST_ID) + b'bo')
            time.sleep(PAUSE_S)
            _send_series(process, series)
            caller.sendall(b'dy')
            response = _receive_all(caller)
        assert process.wait(RESPONSE_S) == 0
    assert response.startswith(b'HTTP/1.1 503 ')


@pytest.mark.parametrize('series', [(TERM, HUP), (TERM, TERM, HUP, INT)])
def test_signals_while_a_vm_alone_stops_cut_no_request(tmp_path, series):
    with _listen() as upstream:
        fields = {'key': hash_key('orchard'), 'upstream': _address(upstream)}
        with _daemon(tmp_path, ALONE, **fields) as (process, address):
            with _connect(process, address) as caller:
                caller.sendall(
                    REQUEST % (b'/services/bookings/x', REQUEST_ID) + b'body'
                )
                called = _accept_request(upstream)
                _send_series(process, series)
                called.sendall(ANSWER)
                response = _receive_all(caller)
                called.close()
            assert process.wait(RESPONSE_S) == 0
    assert response.startswith(b'HTTP/1.1 200 ')
    assert response.endswith(b'body')


def _accept_request(listener):
    """Accept connections until one has a request; others poll the load."""
    while True:
        stream, _ = listener.accept()
        if stream.recv(65536).startswith(b'POST'):
            return stream
        stream.close()


def _await_handled_hangup(process):
    """Wait until SIGHUP has another action than its default one."""
    deadline_s = time.monotonic() + START_S
    while time.monotonic() < deadline_s:
        status = Path(f'/proc/{process.pid}/status').read_text()
        masks = re.findall(r'Sig(?:Ign|Cgt):\s*(\w+)', status)
        if any(int(mask, 16) & HUP_BIT for mask in masks):
            return
    raise AssertionError('SIGHUP keeps its default action')


@pytest.mark.parametrize('wait_s', [0.0, 0.05, 0.1, 0.2])
def test_hangup_while_a_vm_starts_does_not_end_it(tmp_path, wait_s):
    with _daemon(tmp_path, OF_A_SITE) as (process, address):
        _await_handled_hangup(process)
        time.sleep(wait_s)
        _send_series(process, [HUP, HUP])
        _connect(process, address).close()
        assert process.poll() is None


def test_hangup_is_ignored_before_the_program_is_imported():
    code = (
        'import os, signal, sys, importlib\n'
        'def load(name):\n'
        '    os.kill(os.getpid(), signal.SIGHUP)\n'
        '    sys.exit(0)\n'
        'importlib.import_module = load\n'
        'from bluebellhub import daemon\n'
        'daemon.main()\n'
    )
    ended = subprocess.run([sys.executable, '-c', code], timeout=START_S)
    assert ended.returncode == 0

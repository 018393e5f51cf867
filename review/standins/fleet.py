"""Starts the hub with the deploy file's command, and records what happens."""

import json
import os
import re
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import uuid
from pathlib import Path

from standins.store import Store
from standins.wire import Client, Closed, Reader

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
HELD, BROKEN, NOT_RUN = 0, 1, 2
HOST = 'ficu95.example'
KEY = 'i9n73hh2b9wu3fexd9dn'
MODEL, DRAFTS, APP = 'huvo11a', 'dele69a', 'wuno96b'
BOUNDS = {
    'graceS': 8,
    'quotaWindowS': 8,
    'quotaOverage': 0.1,
    'quotaSlack': 140000,
    'budgetWindowS': 10,
    'retryBudgetRatio': 0.2,
    'retryBudgetSlack': 56,
    'coldOverage': 1.5,
    'coldSlack': 5,
}


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, folder):
        self.file = (Path(folder) / 'record.txt').open('w')
        self.started = time.monotonic()
        self.lock = threading.Lock()

    def __call__(self, text):
        line = f'{time.monotonic() - self.started:8.3f} s  {text}'
        with self.lock:
            self.file.write(line + '\n')
            self.file.flush()


def free_port(ip):
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


def free_ip():
    """Return a loopback address of which the metrics port is free."""
    for number in range(2, 250):
        ip = f'127.77.{os.getpid() % 250}.{number}'
        with socket.socket() as probe:
            try:
                probe.bind((ip, 9464))
            except OSError:
                continue
            return ip
    raise OSError('no loopback address with a free metrics port')


def render(template, fields):
    """Fill in the placeholders of a settings template."""

    def fill(match):
        name, _, form = match[1].partition('|')
        found = fields
        for part in name.split('.'):
            found = found[int(part)] if isinstance(found, list) else found[part]
        return json.dumps(found) if form == 'json' else str(found)

    return re.sub(r'\{\{([^}]+)\}\}', fill, template)


def make_config():
    """Return a config like that of the small site."""
    limits = {
        'maxHeaderBytes': 16384,
        'maxBodyBytes': 4194304,
        'headerTimeoutMs': 3000,
        'idleTimeoutMs': 15000,
    }
    common = {'host': HOST, 'public': False}
    routes = [
        {
            'name': 'plan',
            'pathPrefix': '/plan/',
            'kind': 'streaming',
            'timeoutMs': 15000,
            'targetLatencyMs': 800,
            'targetGapMs': 400,
            'priority': 0,
            'service': MODEL,
            'maxAttempts': 1,
            'resumable': False,
            'sticky': True,
        },
        {
            'name': 'quote',
            'pathPrefix': '/quote/',
            'kind': 'streaming',
            'timeoutMs': 12000,
            'targetLatencyMs': 400,
            'targetGapMs': 400,
            'priority': 1,
            'service': MODEL,
            'maxAttempts': 2,
            'resumable': True,
            'sticky': True,
        },
        {
            'name': 'draft',
            'pathPrefix': '/draft/',
            'kind': 'streaming',
            'timeoutMs': 15000,
            'targetLatencyMs': 800,
            'targetGapMs': 400,
            'priority': 0,
            'service': DRAFTS,
            'maxAttempts': 1,
            'resumable': False,
            'sticky': True,
        },
        {
            'name': 'book',
            'pathPrefix': '/book/',
            'kind': 'non_idempotent',
            'timeoutMs': 2000,
            'targetLatencyMs': 100,
            'priority': 2,
            'service': APP,
            'maxAttempts': 1,
        },
        {
            'name': 'stock',
            'pathPrefix': '/stock/',
            'kind': 'idempotent',
            'timeoutMs': 2000,
            'targetLatencyMs': 100,
            'priority': 2,
            'service': APP,
            'maxAttempts': 2,
        },
    ]
    return {
        'version': 7,
        'routes': [{**common, **route} for route in routes],
        'services': [
            *(
                {
                    'name': name,
                    'healthPath': '/health',
                    'maxConns': 620,
                    'coldStartS': 0.0,
                    'coldPerS': 0.0,
                    'engine': {'slots': 12, 'stride': 6},
                }
                for name in (MODEL, DRAFTS)
            ),
            {
                'name': APP,
                'healthPath': '/health',
                'maxConns': 110,
                'coldStartS': 0.0,
                'coldPerS': 0.0,
            },
        ],
        'limits': limits,
        'tenants': [{'name': 'hule930', 'apiKeys': [KEY], 'priority': 1}],
    }


def request_headers(limit_ms, request_id=None):
    """Return the headers of a client's request."""
    return {
        'Host': HOST,
        'X-Bluebellhub-Request-Id': request_id or uuid.uuid4().hex[:16],
        'X-Bluebellhub-Deadline-Ms': str(limit_ms),
        'Authorization': f'Bearer {KEY}',
    }


class Server:
    """A server (replica): ``serve`` handles each channel in its own thread.

    It answers 421 to a request that expects another instance.
    """

    def __init__(self, fleet, service, serve, slots, receive_bytes=None):
        self.fleet = fleet
        self.id = 'i-' + uuid.uuid4().hex[:10]
        self.serve = serve
        self.channels = []
        self.listener = socket.socket()
        if receive_bytes:
            self.listener.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes
            )
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(('127.0.0.1', 0))
        self.listener.listen(128)
        self.entry = {
            'service': service,
            'address': f'127.0.0.1:{self.listener.getsockname()[1]}',
            'zone': 'rennes',
            'version': 'v1',
            'slots': slots,
            'state': 'ready',
            'coldRemainingMs': 0,
            'seq': 1,
            'born': int(time.time() * 1000),
        }
        fleet.store.write('servers', self.id, self.entry)
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                channel, _ = self.listener.accept()
            except OSError:
                return
            self.channels.append(channel)
            threading.Thread(
                target=self._run, args=(channel,), daemon=True
            ).start()

    def _run(self, channel):
        try:
            self.serve(self, channel, Reader(channel))
        except (Closed, OSError):
            pass
        finally:
            channel.close()

    def crash(self):
        """End as a killed process does: reset channels, refuse new ones."""
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        linger = b'\x01\x00\x00\x00\x00\x00\x00\x00'
        for channel in self.channels:
            try:
                channel.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                channel.shutdown(socket.SHUT_RDWR)
                channel.close()
            except OSError:
                pass

    def deregister(self):
        self.fleet.store.remove('servers', self.id)


def response_head(headers, status='200 OK', **added):
    """Return the head of a server's response to a request."""
    lines = [
        f'HTTP/1.1 {status}',
        f'X-Bluebellhub-Request-Id: {headers["x-bluebellhub-request-id"]}',
    ]
    lines += [
        f'{name.replace("_", "-")}: {field}' for name, field in added.items()
    ]
    return '\r\n'.join([*lines, '', '']).encode()


SIGNATURE = {'X_Bluebellhub_Response_Signature': '3e1b.07.5a2.600.0.c9f2a4d1'}


class Machine:
    """A machine that runs the hub with the deploy file's command."""

    def __init__(self, fleet, name, zone):
        self.fleet = fleet
        self.name = name
        self.ip = free_ip()
        self.front = f'{self.ip}:{free_port(self.ip)}'
        self.readiness = f'{self.ip}:{free_port(self.ip)}'
        self.log = fleet.folder / f'{name}.log'
        self.settings = fleet.folder / f'{name}.conf'
        self.hub = None
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        self.role = deploy['roles']['hub']
        fields = {
            'nodeName': name,
            'zone': zone,
            'ip': self.ip,
            'listen': {'front': self.front, 'readiness': self.readiness},
            'internalPorts': [free_port(self.ip)],
            'platform': {'address': fleet.store.address},
            'bounds': BOUNDS,
        }
        template = (ROOT / self.role['template']).read_text()
        self.settings.write_text(render(template, fields))

    def start(self):
        """Start the hub as the deploy file says."""
        kept = ('PATH', 'HOME', 'LANG')
        environment = {
            name: os.environ[name] for name in kept if name in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target/deps')
        environment['PYTHONDONTWRITEBYTECODE'] = '1'
        environment['BLUEBELLHUB_CONFIG'] = str(self.settings)
        with self.log.open('ab') as log:
            self.hub = subprocess.Popen(
                shlex.split(self.role['run']),
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )
        self.fleet.record(f'{self.name} starts, process {self.hub.pid}')

    def wait_ready(self, timeout_s=20.0):
        """Ask for the readiness until it is 200; return whether it is."""
        ends_at = time.monotonic() + timeout_s
        while time.monotonic() < ends_at:
            if self.is_ready():
                self.fleet.record(f'{self.name} says that it is ready')
                return True
            time.sleep(0.1)
        return False

    def is_ready(self):
        try:
            client = Client(self.readiness, 1.0)
        except OSError:
            return False
        try:
            client.send('GET', '/api/ready', {'Host': 'ready'})
            return client.receive().status == 200
        except OSError:
            return False
        finally:
            client.close()

    def signal(self, number):
        self.fleet.record(f'{self.name} gets {signal.Signals(number).name}')
        self.hub.send_signal(number)

    def has_ended(self):
        return self.hub.poll() is not None

    def log_lines(self, pattern):
        """Return the lines of the hub's log that match."""
        lines = self.log.read_text(errors='replace').splitlines()
        return [line for line in lines if re.search(pattern, line)]

    def stop(self):
        if self.hub is not None:
            if self.hub.poll() is None:
                self.hub.kill()
            self.hub.wait()


class Fleet:
    """The platform's store and the machines."""

    def __init__(self, folder):
        self.record = Record(folder)
        self.store = Store()
        self.folder = Path(tempfile.mkdtemp(prefix='review-'))
        self.machines = []
        self.store.write('config', 'main', make_config())

    def add_machine(self, name='front-rennes-1', zone='rennes'):
        """Start the hub on a new machine."""
        machine = Machine(self, name, zone)
        self.machines.append(machine)
        machine.start()
        return machine

    def stop(self):
        for machine in self.machines:
            machine.stop()
        shutil.rmtree(self.folder, ignore_errors=True)


def stop_early(number, frame):
    """Turn SIGTERM into an error, so that all processes are ended."""
    signal.signal(signal.SIGTERM, signal.SIG_IGN)
    raise InterruptedError(f'signal {number}')


def run_case(folder, play):
    """Run ``play`` with a fleet and exit with its verdict."""
    signal.signal(signal.SIGTERM, stop_early)
    fleet = None
    verdict = NOT_RUN
    try:
        fleet = Fleet(folder)
        fleet.record(f'TROUBLE={int(TROUBLE)}')
        verdict = play(fleet)
    except Exception as error:
        print(f'could not run: {type(error).__name__} {error}')
        if fleet:
            fleet.record(f'could not run: {type(error).__name__} {error}')
    finally:
        if fleet:
            fleet.stop()
            fleet.record(f'exit {verdict}')
    sys.stdout.flush()
    os._exit(verdict)

"""Stand-ins for the store, replicas and clients of a small installation.

They follow the pages (PROTOCOL.md, DEPLOY.md) and use the standard library
only.  The store and the replicas run as tasks of the script; the machines of
the system are separate processes, started with the command of the deploy file.
"""

import asyncio
import json
import os
import re
import signal
import socket
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HOST = '127.0.0.1'
START_S = 20.0
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
    'fencingEnforced': '',
}
_taken = set()


def free_port():
    """Return a port that is free now and that was not returned before."""
    while True:
        with socket.socket() as probe:
            probe.bind((HOST, 0))
            port = probe.getsockname()[1]
        if port not in _taken:
            _taken.add(port)
            return port


class Record:
    """The lines of record.txt, with the seconds since the start."""

    def __init__(self, path):
        self.file = open(path, 'w', encoding='utf-8')
        self.started = time.monotonic()

    def now(self):
        return time.monotonic() - self.started

    def __call__(self, text):
        self.file.write(f'{self.now():8.3f}  {text}\n')
        self.file.flush()


class Request:
    """A request as a stand-in has read it."""

    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body

    @property
    def id(self):
        return self.headers.get('x-bluebellhub-request-id', '')


async def read_head(reader):
    """Return the first line and the headers of a message, or None."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        name, sep, value = line.partition(':')
        if sep:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_request(reader):
    head = await read_head(reader)
    if head is None:
        return None
    method, target, _ = head[0].split(' ')
    length = int(head[1].get('content-length', 0))
    body = await reader.readexactly(length) if length else b''
    return Request(method, target, head[1], body)


def answer_bytes(status, headers, body):
    """Encode a complete answer with a length."""
    lines = [f'HTTP/1.1 {status} X']
    lines += [f'{name}: {value}' for name, value in headers]
    lines.append(f'Content-Length: {len(body)}')
    return ('\r\n'.join(lines) + '\r\n\r\n').encode() + body


class Server:
    """An HTTP/1.1 server; ``handle`` answers one request at a time."""

    def __init__(self):
        self.port = free_port()
        self.writers = set()
        self.server = None

    @property
    def address(self):
        return f'{HOST}:{self.port}'

    async def start(self):
        self.server = await asyncio.start_server(
            self._serve, HOST, self.port, limit=1 << 20
        )

    async def stop(self):
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    break
                if not await self.handle(request, reader, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        except asyncio.CancelledError:
            # The case has ended while this call was waiting.
            writer.transport.abort()
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, request, reader, writer):
        raise NotImplementedError


class Store(Server):
    """The platform's store: objects by kind and name, with watches."""

    def __init__(self, record):
        super().__init__()
        self.record = record
        self.objects = {}
        self.revision = 10
        self.events = []
        self.changed = asyncio.Condition()
        self.calls = 0
        self.writes = []
        self.fault = None

    def put(self, kind, name, spec=None, status=None):
        """Write an object as the operator or a replica does."""
        self.revision += 1
        known = self.objects.get((kind, name))
        stored = {
            'metadata': {
                'name': name,
                'revision': self.revision,
                'created': known['metadata']['created']
                if known
                else self.revision,
                'finalizers': [],
                'deleting': False,
            },
            'spec': known['spec'] if spec is None and known else spec,
            'status': known['status'] if status is None and known else status,
        }
        self.objects[kind, name] = stored
        self._note(kind, stored, False)
        return stored

    def remove(self, kind, name):
        stored = self.objects.pop((kind, name), None)
        if stored:
            self.revision += 1
            stored = json.loads(json.dumps(stored))
            stored['metadata']['revision'] = self.revision
            self._note(kind, stored, True)

    def _note(self, kind, stored, deleted):
        event = {'object': stored, 'deleted': deleted}
        self.events.append((self.revision, kind, event))
        asyncio.get_running_loop().create_task(self._wake())

    async def _wake(self):
        async with self.changed:
            self.changed.notify_all()

    async def handle(self, request, reader, writer):
        self.calls += 1
        if self.fault is not None and await self.fault(request, writer):
            return False
        status, body = await self._answer(request)
        headers = [('Content-Type', 'application/json')]
        writer.write(answer_bytes(status, headers, json.dumps(body).encode()))
        await writer.drain()
        return True

    async def _answer(self, request):
        parts = urlsplit(request.target)
        query = {key: val[0] for key, val in parse_qs(parts.query).items()}
        path = [unquote(part) for part in parts.path.split('/')[3:]]
        kind = path[0]
        if request.method == 'GET' and len(path) == 1:
            if 'watch' in query:
                return await self._watch(kind, query)
            return 200, {
                'items': [
                    stored
                    for (found, _), stored in sorted(self.objects.items())
                    if found == kind
                ],
                'more': False,
                'at': self.revision,
            }
        if request.method == 'GET':
            stored = self.objects.get((kind, path[1]))
            return (200, stored) if stored else (404, {})
        return self._write(request, kind, path, query)

    async def _watch(self, kind, query):
        since = int(query['watch'])
        until = time.monotonic() + int(query.get('waitMs', 0)) / 1000

        def found():
            return [
                event
                for revision, of_kind, event in self.events
                if of_kind == kind and revision > since
            ]

        while not found():
            left = until - time.monotonic()
            if left <= 0:
                break
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    break
        return 200, {'events': found(), 'at': self.revision}

    def _write(self, request, kind, path, query):
        body = json.loads(request.body) if request.body else {}
        name = path[1] if len(path) > 1 else body['metadata']['name']
        known = self.objects.get((kind, name))
        expected = body.get('metadata', {}).get('revision')
        if expected is None and 'revision' in query:
            expected = int(query['revision'])
        self.writes.append((request.method, kind, path[1:], body))
        if request.method == 'POST':
            if known:
                return 409, known
            return 200, self.put(kind, name, body.get('spec'))
        if known is None:
            return 404, {}
        if expected is not None and expected != known['metadata']['revision']:
            return 409, known
        if request.method == 'DELETE':
            self.remove(kind, name)
            return 200, known
        if len(path) > 2:
            return 200, self.put(kind, name, status=body.get('status'))
        return 200, self.put(kind, name, body.get('spec'))


class Replica(Server):
    """A replica of a service.

    ``behave`` gets the replica, the request and both ends of the channel; it
    writes the answer and returns whether the channel stays open.
    """

    def __init__(self, record, name, service, behave, **fields):
        super().__init__()
        self.record = record
        self.name = name
        self.service = service
        self.behave = behave
        self.fields = {'zone': 'rennes', 'slots': 6, **fields}
        self.seq = 0
        self.born = int(time.time() * 1000)
        self.state = 'ready'
        self.arrived = []
        self.runs = []
        self.started_at = time.monotonic()

    def entry(self):
        self.seq += 1
        return {
            'service': self.service,
            'address': self.address,
            'version': 'v1',
            'state': self.state,
            'coldRemainingMs': 0,
            'seq': self.seq,
            'born': self.born,
            **self.fields,
        }

    def run(self, request):
        """Note that this replica begins to work on a request."""
        self.runs.append(request.id)
        self.record(f'replica {self.name} runs {request.id}')

    def signed(self, request, *more):
        return [
            ('X-Bluebellhub-Request-Id', request.id),
            ('X-Bluebellhub-Response-Signature', f'sig.{self.name}'),
            *more,
        ]

    async def handle(self, request, reader, writer):
        if request.target == '/health':
            headers = [('X-Bluebellhub-Instance-Id', self.name)]
            writer.write(answer_bytes(200, headers, b''))
            return True
        expected = request.headers.get('x-bluebellhub-expect-instance')
        if expected not in {None, self.name}:
            headers = [('X-Bluebellhub-Instance-Id', self.name)]
            writer.write(answer_bytes(421, headers, b''))
            return True
        self.arrived.append((time.monotonic(), request.id))
        self.record(f'request {request.id} reaches replica {self.name}')
        keeps = await self.behave(self, request, reader, writer)
        await writer.drain()
        return keeps


async def beat(store, replicas, interval_s=1.2):
    """Write the entries of the replicas as often as they do."""
    while True:
        for replica in replicas:
            if replica.state != 'gone':
                store.put('servers', replica.name, replica.entry())
        await asyncio.sleep(interval_s)


def render(template, values):
    """Fill in the placeholders of the settings template."""

    def replace(match):
        name, _, form = match.group(1).partition('|')
        found = values
        for part in name.split('.'):
            if isinstance(found, list):
                found = found[int(part)] if int(part) < len(found) else None
            else:
                found = found.get(part) if isinstance(found, dict) else None
        if form == 'json':
            return json.dumps(found)
        return '' if found is None else str(found)

    return re.sub(r'\{\{([^}]+)\}\}', replace, template)


class Machine:
    """A machine of the system: a process of its own."""

    def __init__(self, record, folder, name, store_address, zone='rennes'):
        self.record = record
        self.folder = folder
        self.name = name
        self.front_port = free_port()
        self.ready_port = free_port()
        self.values = {
            'nodeName': name,
            'zone': zone,
            'ip': HOST,
            'listen': {
                'front': f'{HOST}:{self.front_port}',
                'readiness': f'{HOST}:{self.ready_port}',
            },
            'internalPorts': [free_port()],
            'platform': {'address': store_address},
            'bounds': dict(BOUNDS),
        }
        self.process = None

    async def start(self):
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        role = deploy['roles']['hub']
        template = (ROOT / role['template']).read_text()
        # Each machine has an address of its own; here they share one, so the
        # metrics, which are not needed, get a free port too.
        text = render(template, self.values).replace(
            ':9464', f':{free_port()}'
        )
        path = self.folder / f'{self.name}.yaml'
        path.write_text(text)
        env = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        env['PYTHONPATH'] = str(ROOT / 'target/deps')
        env['BLUEBELLHUB_CONFIG'] = str(path)
        for name, value in role.get('env', {}).items():
            env[name] = render(value, self.values)
        self.log = open(self.folder / f'{self.name}.log', 'ab')
        self.process = await asyncio.create_subprocess_exec(
            *role['run'].split(),
            cwd=ROOT,
            env=env,
            stdout=self.log,
            stderr=self.log,
        )
        self.record(f'machine {self.name} starts')

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(
                HOST, self.ready_port
            )
        except OSError:
            return False
        try:
            writer.write(b'GET /api/ready HTTP/1.1\r\nHost: ready\r\n\r\n')
            head = await asyncio.wait_for(read_head(reader), 1.0)
            return head is not None and ' 200' in head[0]
        except (OSError, asyncio.TimeoutError):
            return False
        finally:
            writer.close()

    async def wait_ready(self):
        until = time.monotonic() + START_S
        while time.monotonic() < until:
            if self.process.returncode is not None:
                break
            if await self.is_ready():
                self.record(f'machine {self.name} is ready')
                return
            await asyncio.sleep(0.1)
        raise CannotRun(f'machine {self.name} did not become ready')

    def signal(self, number):
        self.record(
            f'machine {self.name} gets {signal.Signals(number).name}'
        )
        self.process.send_signal(number)

    async def end(self):
        """End the process, however far the case has come."""
        if self.process is None:
            return
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()
        self.log.close()


class CannotRun(Exception):
    """The case could not be brought about."""


class Channel:
    """A client's channel to a machine."""

    def __init__(self, record, machine):
        self.record = record
        self.machine = machine
        self.reader = None
        self.writer = None

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection(
            HOST, self.machine.front_port, limit=1 << 22
        )
        return self

    def send(self, request_id, path, body=b'', method='POST', **headers):
        """Send a request; ``headers`` use underscores for hyphens."""
        lines = [
            f'{method} {path} HTTP/1.1',
            'Host: site.example',
            f'X-Bluebellhub-Request-Id: {request_id}',
            'Authorization: Bearer key-1',
        ]
        lines += [
            f'{name.replace("_", "-")}: {value}'
            for name, value in headers.items()
        ]
        if body or method != 'GET':
            lines.append(f'Content-Length: {len(body)}')
        self.writer.write(('\r\n'.join(lines) + '\r\n\r\n').encode() + body)
        self.record(f'client sends {request_id} {method} {path}')

    async def receive(self, request_id):
        """Return (status, headers, body, how the answer ended)."""
        try:
            head = await read_head(self.reader)
            if head is None:
                self.record(f'client: {request_id} closed without an answer')
                return None, {}, b'', 'closed'
            status = int(head[0].split(' ')[1])
            body, how = await self._body(head[1])
        except (OSError, asyncio.IncompleteReadError) as error:
            self.record(f'client: {request_id} {type(error).__name__}')
            return None, {}, b'', 'reset'
        self.record(
            f'client: {request_id} gets {status}, {len(body)} bytes, {how}'
        )
        return status, head[1], body, how

    async def _body(self, headers):
        if 'content-length' in headers:
            length = int(headers['content-length'])
            try:
                return await self.reader.readexactly(length), 'complete'
            except asyncio.IncompleteReadError as error:
                return error.partial, 'truncated'
        body = b''
        while True:
            try:
                line = await self.reader.readuntil(b'\r\n')
                size = int(line.split(b';')[0], 16)
                body += (await self.reader.readexactly(size + 2))[:-2]
            except (asyncio.IncompleteReadError, ConnectionError):
                return body, 'truncated'
            if size == 0:
                return body, 'complete'

    def close(self):
        if self.writer is not None:
            self.writer.close()


async def ask(record, machine, request_id, path, body=b'', **fields):
    """Send one request on a new channel and return what comes of it."""
    channel = Channel(record, machine)
    try:
        await channel.open()
    except OSError:
        record(f'client: {request_id} no connection')
        return None, {}, b'', 'no connection'
    try:
        channel.send(request_id, path, body, **fields)
        return await channel.receive(request_id)
    finally:
        channel.close()


def route(name, prefix, service, kind, **fields):
    """Return a route as on the kerlann-echelle sheet."""
    return {
        'name': name,
        'host': 'site.example',
        'pathPrefix': prefix,
        'kind': kind,
        'timeoutMs': 15000,
        'targetLatencyMs': 800,
        'priority': 0,
        'service': service,
        'maxAttempts': 1,
        'public': False,
        'sticky': False,
        'resumable': False,
        **fields,
    }


def config(version, routes, services, **fields):
    """Return a configuration with one tenant without a limit."""
    return {
        'version': version,
        'routes': routes,
        'services': services,
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 4194304,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15000,
        },
        'tenants': [{'name': 'tenant-1', 'apiKeys': ['key-1']}],
        **fields,
    }


def plain_service(name):
    return {
        'name': name,
        'healthPath': '/health',
        'maxConns': 110,
        'protocol': 'h1',
        'tls': False,
        'coldStartS': 0.0,
        'coldPerS': 0.0,
    }


def model_service(name, slots=12):
    return {
        'name': name,
        'healthPath': '/health',
        'maxConns': 620,
        'protocol': 'h1',
        'tls': False,
        'coldStartS': 0.0,
        'coldPerS': 0.0,
        'engine': {
            'slots': slots,
            'kvCapacityTokens': 686209,
            'kvTokenBytes': 18432,
            'stride': 6,
            'models': [{'name': 'm'}],
        },
    }


def run_case(folder, play, limit_s=110.0):
    """Play a case; return 1 if the rule was broken, 0 if not, 2 if unplayed.

    ``play`` gets the record and a temporary folder, and returns the list of
    breaks.  It ends the processes that it started in any case.
    """
    record = Record(Path(folder) / 'record.txt')

    async def run(temporary):
        # A script that is stopped from outside ends its processes too.
        stop = asyncio.current_task().cancel
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop)
        return await asyncio.wait_for(play(record, temporary), limit_s)

    try:
        with tempfile.TemporaryDirectory() as temporary:
            breaks = asyncio.run(run(Path(temporary)))
    except asyncio.CancelledError:
        record('stopped from outside')
        return 2
    except (CannotRun, OSError, asyncio.TimeoutError) as error:
        record(f'could not run: {type(error).__name__} {error}')
        print(f'could not run: {error}')
        return 2
    for line in breaks:
        record(f'BROKEN: {line}')
        print(f'broken: {line}')
    if not breaks:
        record('the rule held')
        print('the rule held')
    return 1 if breaks else 0

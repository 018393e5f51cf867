"""The platform's metadata store: objects, listings and watches over HTTP."""

import json
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit

PREFIX = '/api/objects/'


class Store:
    """Objects by kind and name, and the history of their changes."""

    def __init__(self):
        self.changed = threading.Condition()
        self.objects = {}
        self.history = []
        self.revision = 100
        self.server = ThreadingHTTPServer(('127.0.0.1', 0), _make_handler(self))
        self.server.daemon_threads = True
        self.address = f'127.0.0.1:{self.server.server_address[1]}'
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def write(self, kind, name, spec):
        """Create or replace an object, as the operator and servers do."""
        with self.changed:
            known = self.objects.get((kind, name))
            status = known['status'] if known else None
            return self._store(kind, name, spec, status)

    def remove(self, kind, name):
        """Remove an object; return whether there was one."""
        with self.changed:
            known = self.objects.pop((kind, name), None)
            if known is not None:
                self.revision += 1
                self.history.append((self.revision, kind, known, True))
                self.changed.notify_all()
            return known is not None

    def _store(self, kind, name, spec, status):
        self.revision += 1
        known = self.objects.get((kind, name))
        created = known['metadata']['created'] if known else self.revision
        stored = {
            'metadata': {
                'name': name,
                'revision': self.revision,
                'created': created,
                'finalizers': [],
                'deleting': False,
            },
            'spec': spec,
            'status': status,
        }
        self.objects[kind, name] = stored
        self.history.append((self.revision, kind, stored, False))
        self.changed.notify_all()
        return stored

    def call(self, method, path, query, body):
        """Return the status and the body of the response to a call."""
        kind, _, rest = path.removeprefix(PREFIX).partition('/')
        name, _, part = rest.partition('/')
        if method == 'GET' and name:
            return self._get(kind, name)
        if method == 'GET' and 'watch' in query:
            return self._watch(kind, query)
        if method == 'GET':
            return self._list(kind)
        with self.changed:
            return self._write(method, kind, name, part, query, body)

    def _get(self, kind, name):
        with self.changed:
            found = self.objects.get((kind, name))
        return (200, found) if found else (404, {})

    def _list(self, kind):
        with self.changed:
            items = [
                self.objects[key]
                for key in sorted(self.objects)
                if key[0] == kind
            ]
            return 200, {'items': items, 'more': False, 'at': self.revision}

    def _watch(self, kind, query):
        since = int(query['watch'])
        ends_at = time.monotonic() + int(query.get('waitMs', 0)) / 1000
        with self.changed:
            while True:
                events = [
                    {'object': stored, 'deleted': deleted}
                    for revision, other, stored, deleted in self.history
                    if revision > since and other == kind
                ]
                left_s = ends_at - time.monotonic()
                if events or left_s <= 0:
                    return 200, {'events': events, 'at': self.revision}
                self.changed.wait(left_s)

    def _write(self, method, kind, name, part, query, body):
        metadata = body.get('metadata', {}) if body else {}
        name = name or metadata.get('name', '')
        known = self.objects.get((kind, name))
        if method == 'POST' and known:
            return 409, known
        if method != 'POST' and not known:
            return 404, {}
        revision = metadata.get('revision') or int(query.get('revision', 0))
        if known and revision and revision != known['metadata']['revision']:
            return 409, known
        if method == 'DELETE':
            self.objects.pop((kind, name))
            self.revision += 1
            self.history.append((self.revision, kind, known, True))
            self.changed.notify_all()
            return 200, known
        if part == 'status':
            return 200, self._store(
                kind, name, known['spec'], body.get('status')
            )
        status = known['status'] if known else None
        return 200, self._store(kind, name, body.get('spec'), status)


def _make_handler(store):
    class Handler(BaseHTTPRequestHandler):
        protocol_version = 'HTTP/1.1'

        def _answer(self):
            parts = urlsplit(self.path)
            query = {
                name: values[-1]
                for name, values in parse_qs(parts.query).items()
            }
            length = int(self.headers.get('Content-Length', 0))
            body = json.loads(self.rfile.read(length)) if length else None
            status, found = store.call(self.command, parts.path, query, body)
            encoded = json.dumps(found).encode()
            self.send_response(status)
            self.send_header('Content-Type', 'application/json')
            self.send_header('Content-Length', str(len(encoded)))
            self.end_headers()
            self.wfile.write(encoded)

        do_GET = do_POST = do_PUT = do_DELETE = _answer

        def log_message(self, *args):
            pass

        def handle(self):
            try:
                super().handle()
            except OSError:
                pass

    return Handler

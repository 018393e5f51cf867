"""HTTP/1.1 over plain sockets, for clients and servers."""

import socket


class Closed(Exception):
    """The channel ended before the message was complete."""


class Reader:
    """Reads lines and bodies from a socket."""

    def __init__(self, channel):
        self.channel = channel
        self.buffer = b''

    def _fill(self):
        received = self.channel.recv(65536)
        if not received:
            raise Closed(f'ended, {len(self.buffer)} bytes left over')
        self.buffer += received

    def head(self):
        """Return the first line and the headers of a message."""
        while b'\r\n\r\n' not in self.buffer:
            self._fill()
        head, _, self.buffer = self.buffer.partition(b'\r\n\r\n')
        first, *lines = head.decode('latin-1').split('\r\n')
        headers = {}
        for line in lines:
            name, _, field = line.partition(':')
            headers[name.strip().lower()] = field.strip()
        return first, headers

    def exactly(self, count):
        """Return the next ``count`` bytes."""
        while len(self.buffer) < count:
            self._fill()
        found, self.buffer = self.buffer[:count], self.buffer[count:]
        return found

    def line(self):
        """Return the next line without its end."""
        while b'\r\n' not in self.buffer:
            self._fill()
        found, _, self.buffer = self.buffer.partition(b'\r\n')
        return found

    def body(self, headers):
        """Return the body of a message with a length or in chunks."""
        if headers.get('transfer-encoding', '').lower() != 'chunked':
            return self.exactly(int(headers.get('content-length', 0)))
        found = b''
        while True:
            size = int(self.line().split(b';')[0], 16)
            chunk = self.exactly(size)
            self.line()
            if not size:
                return found
            found += chunk


class Response:
    """What a client got; ``status`` is 0 if no head arrived."""

    def __init__(self, status, headers, body, end):
        self.status = status
        self.headers = headers
        self.body = body
        self.end = end

    @property
    def is_complete(self):
        return self.end == 'complete'


class Client:
    """A client with one kept channel."""

    def __init__(self, address, timeout_s=20.0):
        host, _, port = address.rpartition(':')
        self.channel = socket.create_connection((host, int(port)), 5.0)
        self.channel.settimeout(timeout_s)
        self.channel.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.reader = Reader(self.channel)

    def send(self, method, path, headers, body=b''):
        """Send a request whose body has a length."""
        lines = [f'{method} {path} HTTP/1.1']
        lines += [f'{name}: {field}' for name, field in headers.items()]
        if body or method == 'POST':
            lines.append(f'Content-Length: {len(body)}')
        head = '\r\n'.join([*lines, '', '']).encode('latin-1')
        self.channel.sendall(head + body)

    def receive(self):
        """Read a response; it tells how it ended."""
        status, headers, body = 0, {}, b''
        try:
            first, headers = self.reader.head()
            status = int(first.split()[1])
            body = self.reader.body(headers)
        except Closed as error:
            return Response(status, headers, body, f'closed: {error}')
        except TimeoutError:
            return Response(status, headers, body, 'no more bytes in time')
        except OSError as error:
            return Response(status, headers, body, type(error).__name__)
        return Response(status, headers, body, 'complete')

    def close(self):
        self.channel.close()

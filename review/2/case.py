"""A server answers before it has read a long body, and reads on later."""

import threading
import time

from standins.fleet import (
    APP,
    BROKEN,
    HELD,
    NOT_RUN,
    SIGNATURE,
    TROUBLE,
    Server,
    request_headers,
    response_head,
    run_case,
)
from standins.wire import Client, Closed

# The config allows 4,194,304 bytes.
BODY = b'booking;' * 512_000
READ_LATER_S = 0.3
PIECE_BYTES = 65_536
ROUNDS = 3


def play(fleet):
    """Return BROKEN if other bytes came where the rest of a body was due."""
    record = fleet.record
    strays = []

    def serve(server, channel, reader):
        while True:
            first, headers = reader.head()
            request_id = headers['x-bluebellhub-request-id']
            record(f'server has the head of {request_id}: {first[:40]}')
            length = int(headers.get('content-length', 0))
            if not length:
                answer(channel, headers)
                continue
            if not TROUBLE:
                reader.exactly(length)
                answer(channel, headers)
                continue
            answer(channel, headers)
            record(f'server has answered {request_id}, reads on later')
            time.sleep(READ_LATER_S)
            if not read_rest(request_id, reader, length):
                return

    def answer(channel, headers):
        channel.sendall(
            response_head(headers, Content_Length=2, **SIGNATURE) + b'ok'
        )

    def read_rest(request_id, reader, length):
        at = 0
        while at < length:
            try:
                piece = reader.exactly(min(PIECE_BYTES, length - at))
            except (Closed, OSError) as error:
                left = reader.buffer
                if check(request_id, at, left):
                    record(
                        f'the channel of {request_id} ended after '
                        f'{at + len(left)} of {length} bytes: {error}'
                    )
                return False
            if not check(request_id, at, piece):
                return False
            at += len(piece)
        record(f'server has read all {length} bytes of {request_id}')
        return True

    def check(request_id, at, piece):
        if BODY.startswith(piece, at):
            return True
        same = next(
            index
            for index, byte in enumerate(piece)
            if byte != BODY[at + index]
        )
        found = piece[same : same + 160]
        record(
            f'the body of {request_id} has other bytes from {at + same} on: '
            f'{found!r}'
        )
        strays.append(request_id)
        return False

    Server(fleet, APP, serve, slots=6, receive_bytes=PIECE_BYTES)
    machine = fleet.add_machine()
    if not machine.wait_ready():
        return NOT_RUN
    for _ in range(ROUNDS):
        book(fleet, machine)
        caller = threading.Thread(
            target=ask_stock, args=(fleet, machine), daemon=True
        )
        caller.start()
        caller.join(8.0)
        time.sleep(2.0)
    result = f'{len(strays)} of {ROUNDS} bodies had other bytes in them'
    record(result)
    print(result)
    return BROKEN if strays else HELD


def book(fleet, machine):
    """Send a booking with a long body and wait for its answer."""
    client = Client(machine.front)
    headers = request_headers(5000)
    request_id = headers['X-Bluebellhub-Request-Id']
    fleet.record(f'client sends {request_id}: POST, {len(BODY)} bytes')
    client.send('POST', '/book/1', headers, BODY)
    response = client.receive()
    fleet.record(f'client gets {request_id}: {response.status} {response.end}')
    client.close()


def ask_stock(fleet, machine):
    """Send a safe request of another caller."""
    client = Client(machine.front)
    headers = request_headers(3000)
    request_id = headers['X-Bluebellhub-Request-Id']
    fleet.record(f'client sends {request_id}: GET')
    client.send('GET', '/stock/1', headers)
    response = client.receive()
    fleet.record(f'client gets {request_id}: {response.status} {response.end}')
    client.close()


if __name__ == '__main__':
    run_case(__file__.rpartition('/')[0], play)

"""Processor time of decisions and frame parsing, and memory of a VM's state.

``python -m benchmarks.cost`` prints the processor time of the decisions for
a request at 5, 40 and 160 candidates, the time to parse a token's frame by
the number of tokens per chunk, and the memory of each item of a VM's state.
"""

import time
import tracemalloc
from collections.abc import Callable
from functools import partial
from statistics import median
from typing import Any, Final

from tabulate import tabulate

from benchmarks.protocol import build_member
from bluebellhub.adapters.frames import make_frame_reader, parse_frames
from bluebellhub.contract import AccountLimits, find_tier
from bluebellhub.order import (
    Claim,
    begin_write,
    confirm_write,
    make_ledger,
    queue_claim,
)
from bluebellhub.request import make_request
from bluebellhub.routing.prefix import record_blocks
from bluebellhub.scheduler import (
    Dispatch,
    add_upstream,
    make_scheduler,
    response_ended,
    submit,
    tokens_arrived,
)
from bluebellhub.scheduler.capacity import full_window_slots
from bluebellhub.scheduler.options import SchedulerOptions
from bluebellhub.upstream import UpstreamSpec, make_upstream

__all__ = ['main']

RUNS: Final = 5
REQUESTS: Final = 300
NO_LIMITS: Final = AccountLimits(1e9, 10**9)
STREAM_TOKENS: Final = 2000
MICROSECONDS: Final = 1e6


def _median_cpu_s(call: Callable[[], None]) -> float:
    """Return the median processor time of ``RUNS`` calls, in seconds."""
    cpu_times_s = []
    for _ in range(RUNS):
        started_at_s = time.process_time()
        call()
        cpu_times_s.append(time.process_time() - started_at_s)
    return median(cpu_times_s)


def _serve_requests(candidates: int) -> None:
    """Schedule ``REQUESTS`` requests from arrival to the end of response."""
    scheduler = make_scheduler(SchedulerOptions(), full_window_slots)
    for number in range(candidates):
        spec = UpstreamSpec(f'u{number}', '127.0.0.1:1', ('m',), 'd')
        add_upstream(scheduler, make_upstream(spec, warm=True))
    tier = find_tier('check')
    for number in range(REQUESTS):
        now_s = number * 0.01
        request = make_request(
            f'r{number}', tier, 'm', prompt_tokens=200, arrived_at_s=now_s
        )
        events = submit(scheduler, request, NO_LIMITS, now_s)
        for event in events:
            if isinstance(event, Dispatch):
                name = event.request_id
                tokens_arrived(scheduler, name, 0, 1, now_s + 0.03)
                response_ended(scheduler, name, now_s + 0.05)


def decision_rows() -> list[dict[str, Any]]:
    """Measure all decisions for a request by the number of candidates."""
    rows = []
    for candidates in (5, 40, 160):
        cpu_s = _median_cpu_s(partial(_serve_requests, candidates))
        per_request = cpu_s / REQUESTS * MICROSECONDS
        rows.append({'candidates': candidates, 'us/request': per_request})
    return rows


def _make_stream() -> bytes:
    frames = []
    for offset in range(STREAM_TOKENS):
        text = f'{{"choices":[{{"delta":{{"content":"tok{offset} "}}}}]}}'
        frames.append(f'id: r.1/{offset}\ndata: {text}\n\n')
    return ''.join(frames).encode()


def _read_frames(chunks: list[bytes]) -> None:
    reader = make_frame_reader('r.1', 0)
    for chunk in chunks:
        reader, _ = parse_frames(reader, chunk)


def frame_rows() -> list[dict[str, Any]]:
    """Measure the parsing of frames by the number of tokens per chunk."""
    stream = _make_stream()
    rows = []
    for tokens in (1, 4, 16):
        size = len(stream) * tokens // STREAM_TOKENS
        chunks = [
            stream[start : start + size]
            for start in range(0, len(stream), size)
        ]
        cpu_s = _median_cpu_s(partial(_read_frames, chunks))
        per_token = cpu_s / STREAM_TOKENS * MICROSECONDS
        rows.append({'tokens/chunk': tokens, 'us/token': per_token})
    return rows


def _measure_bytes(builder: Callable[[], Any]) -> int:
    """Return the memory in bytes that the built object allocates."""
    tracemalloc.start()
    objects = [builder()]
    allocated_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    objects.clear()
    return allocated_bytes


def _build_ledger(records: int) -> Any:
    ledger = make_ledger('000')
    for number in range(records):
        queue_claim(ledger, Claim(f'c{number:032}', f'k{number:032}', 'h' * 64))
    begin_write(ledger, 0.0)
    confirm_write(ledger, 1)
    return ledger


def _build_prefixes(upstreams: int) -> Any:
    """Build a VM whose prefix index has 4096 blocks for each upstream."""
    fleet = build_member(8, upstreams)
    for number in range(upstreams):
        blocks = tuple(range(number * 4096, (number + 1) * 4096))
        record_blocks(fleet.scheduler.prefixes, f'u{number}', blocks)
    return fleet


def memory_rows() -> list[dict[str, Any]]:
    """Build a VM's state at two sizes; returns the bytes per added item."""
    builders: dict[str, tuple[Callable[[int], Any], int, int]] = {
        'member': (lambda count: build_member(count, 1), 8, 320),
        'upstream': (lambda count: build_member(8, count), 15, 640),
        'account': (lambda count: build_member(8, 1, count), 5, 1300),
        'order record': (_build_ledger, 100, 1200),
        'upstream with a full prefix index': (_build_prefixes, 2, 10),
    }
    rows = []
    for name, (builder, low, high) in builders.items():
        low_bytes = _measure_bytes(partial(builder, low))
        high_bytes = _measure_bytes(partial(builder, high))
        bytes_each = (high_bytes - low_bytes) / (high - low)
        rows.append(
            {'state': name, 'from': low, 'to': high, 'bytes each': bytes_each}
        )
    return rows


def main() -> None:
    """Print the three tables."""
    for rows in (decision_rows(), frame_rows(), memory_rows()):
        print(tabulate(rows, 'keys', tablefmt='github', floatfmt='.1f'))


if __name__ == '__main__':
    main()

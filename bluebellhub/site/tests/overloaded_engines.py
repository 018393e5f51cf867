"""Engines and demand of a simulated fleet whose engines are short of slots."""

from collections import deque
from typing import NamedTuple

__all__ = [
    'CHAT',
    'LONG',
    'SHORT',
    'TOKENS_PER_EVENT',
    'Engine',
    'Kind',
    'Load',
    'Room',
    'capacity_per_s',
    'has_room',
    'make_engines',
    'start_request',
    'stated_rejections',
]

TOKENS_PER_EVENT = 7
TOKENS_PER_S = 57_000.0
STEP_S = 0.003
STEP_PER_REQUEST_S = 0.0001


class Kind(NamedTuple):
    """A kind of request; its first token is in time within ``objective_s``."""

    name: str
    prompt_tokens: int
    events: int
    objective_s: float
    rank: int = 0


LONG = Kind('long', 6610, 55, 1.0)
CHAT = Kind('chat', 628, 42, 0.4)
SHORT = Kind('short', 1800, 3, 0.5)


class Room(NamedTuple):
    """How many requests may wait at an engine, and rejections that it states.

    From ``states_at_s`` on, an engine that rejects more than ``rejections_max``
    requests in a second fails; from ``scarce_at_s`` on, fewer requests may wait
    there.  VMs learn of the limit only if it ``is_read``.
    """

    rejections_max: int
    waiting_max: int = 0
    usual_max: int = 24
    states_at_s: float = 4.0
    scarce_at_s: float = 8.0
    is_read: bool = True


class Load(NamedTuple):
    """A fleet and its demand, in relation to what the engines can serve.

    The demand waves between ``low`` and ``high``.  ``senders`` weighs the
    client accounts, and ``hasty`` names those that ignore ``Retry-After``.
    """

    vms: int = 70
    engines: int = 12
    slots: tuple[int, ...] = (4, 8, 12)
    domains: int = 3
    low: float = 0.7
    high: float = 1.7
    period_s: float = 8.0
    kinds: tuple[Kind, ...] = (LONG, CHAT, SHORT)
    senders: dict[str, float] = {'yard': 1.0}
    hasty: tuple[str, ...] = ()
    speeds: tuple[float, ...] = (1.0, 0.7, 1.6)
    room: Room | None = None


class Engine(NamedTuple):
    slots: int
    speed: float
    queue: deque
    running: set
    state: dict


def capacity_per_s(load):
    """Return how many requests per second keep all slots in use."""
    held_s = sum(_held_s(kind, 8) for kind in load.kinds) / len(load.kinds)
    return sum(
        _slots(load, number) * _speed(load, number) / held_s
        for number in range(load.engines)
    )


def _slots(load, number):
    return load.slots[number // load.domains % len(load.slots)]


def _speed(load, number):
    return load.speeds[(number + number // load.domains) % len(load.speeds)]


def _held_s(kind, running):
    step_s = STEP_S + STEP_PER_REQUEST_S * running
    decode_s = kind.events * TOKENS_PER_EVENT * step_s
    return kind.prompt_tokens / TOKENS_PER_S + decode_s


def make_engines(load):
    """Return idle engines by name."""
    return {
        f'u{number}': Engine(
            _slots(load, number),
            _speed(load, number),
            deque(),
            set(),
            {'prefill_until_s': 0.0},
        )
        for number in range(load.engines)
    }


def start_request(engine, kind, now_s):
    """Return when the first and the last token of a request follow."""
    begin_s = max(now_s, engine.state['prefill_until_s'])
    first_s = begin_s + kind.prompt_tokens / TOKENS_PER_S / engine.speed
    engine.state['prefill_until_s'] = first_s
    step_s = STEP_S + STEP_PER_REQUEST_S * len(engine.running)
    decode_s = kind.events * TOKENS_PER_EVENT * step_s / engine.speed
    return first_s, first_s + decode_s


def has_room(load, engine, now_s):
    """Return whether an engine takes one more request."""
    room = load.room
    if room is None or len(engine.running) < engine.slots:
        return True
    is_scarce = now_s >= room.scarce_at_s
    waiting_max = room.waiting_max if is_scarce else room.usual_max
    return len(engine.queue) < waiting_max


def stated_rejections(load, now_s):
    """Return the rejections per second that a VM reads that engines state."""
    room = load.room
    if room is None or not room.is_read or now_s < room.states_at_s:
        return None
    return float(room.rejections_max)

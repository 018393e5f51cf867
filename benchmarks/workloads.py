"""Seeded workloads and engines of two sites."""

from random import Random
from typing import Final, NamedTuple

from bluebellhub.contract import Contract, find_tier, make_contract
from bluebellhub.request import Request, make_request
from bluebellhub.routing.prefix import BLOCK_TOKENS
from bluebellhub.standins.engine_records import EngineProfile

__all__ = ['SITES', 'Arrival', 'Site', 'make_arrivals', 'make_contracts']

SYSTEM_PROMPTS: Final = 12
SYSTEM_PROMPT_BLOCKS: Final = 8


class RequestKind(NamedTuple):
    """A kind of request; token counts are drawn log-uniformly from ranges."""

    route: str
    tier: str
    share: float
    prompt_low: int
    prompt_high: int
    output_low: int
    output_high: int


class Site(NamedTuple):
    """Engines, failure domains, request kinds and accounts of one site.

    ``capacity_per_s`` is the request rate at which the engines are fully
    used.
    """

    name: str
    model: str
    profiles: tuple[EngineProfile, ...]
    domains: tuple[str, ...]
    kinds: tuple[RequestKind, ...]
    accounts: tuple[tuple[str, float], ...]
    capacity_per_s: float


class Arrival(NamedTuple):
    """A request that reaches VM ``vm`` at ``at_s``."""

    at_s: float
    vm: int
    request: Request


REQUEST_KINDS: Final = (
    RequestKind('availability', 'check', 0.68, 60, 400, 10, 60),
    RequestKind('quote', 'quote', 0.2, 200, 1500, 40, 200),
    RequestKind('plan', 'plan', 0.08, 1500, 6000, 200, 1000),
    RequestKind('digest', 'batch', 0.04, 1500, 6000, 200, 1000),
)

ACCOUNTS: Final = (
    ('large-1', 0.4),
    ('large-2', 0.3),
    ('small-1', 0.12),
    ('small-2', 0.1),
    ('small-3', 0.08),
)


def _profiles(prefix: str, count: int) -> tuple[EngineProfile, ...]:
    """Return engines of two hardware generations, the old at half speed.

    The chunk sizes keep a full step below 69 ms, as operators would set
    them.
    """
    profiles = []
    for number in range(count):
        is_old = number % 2 == 1
        profiles.append(
            EngineProfile(
                name=f'{prefix}-{number}',
                prefill_tokens_per_s=7000.0 if is_old else 14000.0,
                step_base_s=0.022 if is_old else 0.012,
                step_per_request_s=0.0005 if is_old else 0.0003,
                chunk_tokens=160 if is_old else 448,
                cache_blocks=1200,
            )
        )
    return tuple(profiles)


SITES: Final = {
    'kerlann': Site(
        'kerlann',
        'hire-assistant',
        _profiles('hire', 5),
        ('rennes', 'vannes', 'brest'),
        REQUEST_KINDS,
        ACCOUNTS,
        capacity_per_s=44.0,
    ),
    'maclachlan': Site(
        'maclachlan',
        'drafting',
        _profiles('draft', 10),
        ('forth', 'clyde', 'tay'),
        REQUEST_KINDS,
        ACCOUNTS,
        capacity_per_s=92.0,
    ),
}


def make_contracts(site: Site) -> dict[str, Contract]:
    """Return contracts of the site's accounts, with limits out of reach."""
    tiers = tuple(kind.tier for kind in site.kinds)
    return {
        account: make_contract(
            account,
            'secret',
            tiers=tiers,
            models=(site.model,),
            rate_per_s=1e6,
            concurrency=10**6,
        )
        for account, _ in site.accounts
    }


def make_arrivals(
    site: Site, load: float, duration_s: float, vms: int, seed: int
) -> list[Arrival]:
    """Draw Poisson arrivals at ``load`` times the site's capacity."""
    random = Random(seed)
    rate_per_s = site.capacity_per_s * load
    now_s = 0.0
    arrivals = []
    while True:
        now_s += random.expovariate(rate_per_s)
        if now_s >= duration_s:
            return arrivals
        request = _draw_request(random, site, len(arrivals), now_s)
        arrivals.append(Arrival(now_s, random.randrange(vms), request))


def _draw_request(
    random: Random, site: Site, number: int, now_s: float
) -> Request:
    shares = [kind.share for kind in site.kinds]
    kind = random.choices(site.kinds, shares)[0]
    accounts = [account for account, _ in site.accounts]
    weights = [weight for _, weight in site.accounts]
    prompt = _log_uniform(random, kind.prompt_low, kind.prompt_high)
    return make_request(
        f'r{number}',
        find_tier(kind.tier),
        site.model,
        account=random.choices(accounts, weights)[0],
        route=kind.route,
        prompt_tokens=prompt,
        output_tokens=_log_uniform(random, kind.output_low, kind.output_high),
        prefix_blocks=_draw_prefix(random, kind.route, prompt, number),
        arrived_at_s=now_s,
    )


def _draw_prefix(
    random: Random, route: str, prompt_tokens: int, number: int
) -> tuple[int, ...]:
    """Return prefix blocks that start with a shared system prompt.

    The rest of the blocks is unique to the request.
    """
    shared_owner = random.randrange(SYSTEM_PROMPTS)
    blocks = prompt_tokens // BLOCK_TOKENS
    shared_blocks = min(blocks, SYSTEM_PROMPT_BLOCKS)
    unique_owner = number + SYSTEM_PROMPTS
    head = [
        _block(route, shared_owner, position)
        for position in range(shared_blocks)
    ]
    tail = [
        _block(route, unique_owner, position)
        for position in range(shared_blocks, blocks)
    ]
    return tuple(head + tail)


def _block(route: str, owner: int, position: int) -> int:
    return (len(route) * 1_000_003 + owner) * 4096 + position


def _log_uniform(random: Random, low: int, high: int) -> int:
    return int(low * (high / low) ** random.random())

"""Routing policies, and baseline policies for comparison.

A policy receives the candidates with capacity for the request, the random
generator and the number of decisions so far, and returns one candidate.
"""

from collections.abc import Callable, Sequence
from random import Random
from typing import Final, NamedTuple

from bluebellhub.registry import Registry, make_registry
from bluebellhub.routing.domains import leave_gain

__all__ = ['Candidate', 'Policy', 'policies']

NEAR_TIE_RATIO: Final = 1.05
NEAR_TIE_S: Final = 0.005
REMOTE_PENALTY_S: Final = 0.004
FAILED_PENALTY_S: Final = 1.0
# Smaller differences are not worth leaving other upstreams idle.
COST_MIN_S: Final = 0.01
LOAD_WEIGHT: Final = 0.4
DECODE_TIME_WEIGHT: Final = 0.1
# How much more often a local upstream is drawn than an equal remote one while
# nothing is decided on leaving the domain, and one that is predicted to be late
# than one in time.
LOCAL_PREFERENCE: Final = 12.0
LATE_PREFERENCE: Final = 0.02
ERROR_EXPONENT: Final = 3
# A failing upstream still gets a few requests, which show when it recovers.
FAILING_PREFERENCE: Final = 0.05
# Loads are fresh if about one request for each upstream is not in them yet.
# With one more they say nothing about the best upstream.
UNREPORTED_FRESH: Final = 0.75
STALENESS_MIN: Final = 0.25


class Candidate(NamedTuple):
    """Properties of an upstream that a policy compares.

    ``outstanding`` counts the requests in progress from this VM.
    ``predicted_s`` is the predicted time to the first token.  A ``resumed``
    request already has its first token.  ``load`` is the share of the slots
    that all VMs use, and ``free_slots`` counts those that none of them uses
    by their last reports.  ``first_s`` and ``finish_s`` are the predicted
    times to the first and the last token, corrected by the observed delays.
    ``is_local`` is true if the upstream is in the failure domain of this VM,
    ``has_failed`` if it had the last attempt of this request, and ``is_late``
    if the first token is predicted after its deadline.  ``unreported`` is the
    number of requests that other VMs are expected to have sent to it since its
    load was reported, and ``error_ratio`` the smoothed ratio of its error
    responses.

    ``stay_share`` is the ratio of requests that stay in the failure domain
    while a local upstream takes them in time; ``None`` if nothing is decided.
    ``domain_part`` is the ratio of the free slots that the upstream's domain
    grants, and ``bytes_cost`` the price of sending the request there, in
    relation to its worth.
    """

    upstream: str
    outstanding: int
    predicted_s: float
    uncached_tokens: int
    resumed: bool = False
    load: float = 0.0
    first_s: float = 0.0
    finish_s: float = 0.0
    is_local: bool = True
    has_failed: bool = False
    free_slots: int = 1
    is_late: bool = False
    unreported: float = 0.0
    error_ratio: float = 0.0
    stay_share: float | None = None
    domain_part: float = 1.0
    bytes_cost: float = 0.0


Policy = Callable[[Sequence[Candidate], Random, int], Candidate]

policies: Registry[Policy] = make_registry('routing policy')


@policies.register('predicted')
def choose_predicted(
    candidates: Sequence[Candidate], random: Random, decisions: int
) -> Candidate:
    """Choose the least predicted time to the first token.

    Near ties are broken at random, so that many VMs do not choose the same
    upstream at once.
    """
    least_s = min(candidate.predicted_s for candidate in candidates)
    bound_s = max(least_s * NEAR_TIE_RATIO, least_s + NEAR_TIE_S)
    tied = [entry for entry in candidates if entry.predicted_s <= bound_s]
    return random.choice(tied)


@policies.register('soonest')
def choose_soonest(
    candidates: Sequence[Candidate], random: Random, decisions: int
) -> Candidate:
    """Choose the earliest first token; decoding time has a small weight.

    Among equal upstreams, local ones are preferred.  Near ties are broken at
    random.
    """
    costs = [_cost_s(candidate) for candidate in candidates]
    bound_s = min(costs) * NEAR_TIE_RATIO
    tied = [
        candidate
        for candidate, cost_s in zip(candidates, costs, strict=True)
        if cost_s <= bound_s
    ]
    return random.choice(tied)


@policies.register('proportional')
def choose_proportional(
    candidates: Sequence[Candidate], random: Random, decisions: int
) -> Candidate:
    """Draw in proportion to the free slots and the speed of each upstream.

    This answers load reports that are older than the time in which all VMs
    together fill an upstream: VMs that choose the best upstream of the same
    report all choose the same one.  Drawn in these proportions, the requests
    of all VMs fill the free slots evenly, however many VMs there are.  The
    fresher the reports, the more often the fastest upstreams are drawn, and
    the less local ones are preferred.

    Once it is decided what may leave the failure domain, the domain is chosen
    first; the preference counts only until then.

    >>> busy = Candidate('a', 0, 0.1, 0, first_s=0.1, free_slots=1)
    >>> idle = busy._replace(upstream='b', free_slots=9)
    >>> drawn = [
    ...     choose_proportional([busy, idle], Random(seed), 0).upstream
    ...     for seed in range(100)
    ... ]
    >>> drawn.count('b') > 80
    True
    """
    pool = _choose_pool(candidates, random)
    weights = [_weight(candidate) for candidate in pool]
    return random.choices(pool, weights)[0]


def _choose_pool(
    candidates: Sequence[Candidate], random: Random
) -> Sequence[Candidate]:
    """Return the local candidates, or those for which leaving pays.

    A local upstream that fails or has just failed the request keeps it only as
    often as it succeeds.
    """
    local = [entry for entry in candidates if entry.is_local]
    remote = [entry for entry in candidates if not entry.is_local]
    stay_share = candidates[0].stay_share
    if stay_share is None or not local or not remote:
        return candidates
    good = [
        (1.0 - entry.error_ratio) ** ERROR_EXPONENT
        for entry in local
        if not entry.is_late and not entry.has_failed
    ]
    if good and random.random() < stay_share * max(good):
        return local
    paying = [
        entry
        for entry in remote
        if entry.bytes_cost < leave_gain(has_local=True, is_late=entry.is_late)
    ]
    return paying or local


def _weight(candidate: Candidate) -> float:
    """Return how often to draw a candidate, in relation to the others."""
    staleness = candidate.unreported - UNREPORTED_FRESH
    staleness = min(1.0, max(STALENESS_MIN, staleness))
    cost_s = max(_cost_s(candidate), COST_MIN_S)
    weight = candidate.free_slots / cost_s ** (1 / staleness)
    if candidate.stay_share is not None:
        weight *= candidate.domain_part
    elif candidate.is_local:
        weight *= LOCAL_PREFERENCE**staleness
    if candidate.is_late:
        weight *= LATE_PREFERENCE
    success_ratio = 1.0 - candidate.error_ratio
    return weight * max(FAILING_PREFERENCE, success_ratio**ERROR_EXPONENT)


def _cost_s(candidate: Candidate) -> float:
    """Return the latency, weighted by load and with penalties, in seconds."""
    is_decided = candidate.stay_share is not None
    is_near = candidate.is_local or is_decided
    penalty_s = 0.0 if is_near else REMOTE_PENALTY_S
    if candidate.has_failed:
        penalty_s += FAILED_PENALTY_S
    decode_s = candidate.finish_s - candidate.first_s
    latency_s = candidate.first_s + DECODE_TIME_WEIGHT * decode_s
    return latency_s * (1.0 + LOAD_WEIGHT * candidate.load) + penalty_s


@policies.register('random')
def choose_random(
    candidates: Sequence[Candidate], random: Random, decisions: int
) -> Candidate:
    """Choose a candidate at random."""
    return random.choice(candidates)


@policies.register('round_robin')
def choose_round_robin(
    candidates: Sequence[Candidate], random: Random, decisions: int
) -> Candidate:
    """Choose the candidates in rotation."""
    return candidates[decisions % len(candidates)]


@policies.register('least_outstanding')
def choose_least_outstanding(
    candidates: Sequence[Candidate], random: Random, decisions: int
) -> Candidate:
    """Choose the candidate with the fewest requests from this VM."""
    least = min(candidate.outstanding for candidate in candidates)
    idle = [entry for entry in candidates if entry.outstanding == least]
    return random.choice(idle)


@policies.register('power_of_two')
def choose_power_of_two(
    candidates: Sequence[Candidate], random: Random, decisions: int
) -> Candidate:
    """Choose the less loaded of two candidates drawn at random."""
    if len(candidates) == 1:
        return candidates[0]
    first, second = random.sample(candidates, 2)
    return min(first, second, key=lambda entry: entry.outstanding)

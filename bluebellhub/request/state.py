"""The aggregate of one request, from arrival to the end of its answer."""

from typing import Literal, NamedTuple

from bluebellhub.contract.tier import Tier
from bluebellhub.invariants import check_invariant
from bluebellhub.request.refusal import ExecutionStatus

__all__ = [
    'Attempt',
    'Request',
    'RequestState',
    'begin_attempt',
    'end_attempt',
    'execution_status',
    'make_request',
    'make_request_state',
    'record_sent',
    'record_tokens',
]

Phase = Literal['queued', 'sent', 'streaming', 'ended']


class Request(NamedTuple):
    """What a caller asked for.

    ``target`` names the model or service and ``route`` the application's
    kind of call, used to compare versions.  ``prefix_blocks`` are hashes of
    the prompt's leading blocks.  Times are seconds on the VM's clock.
    ``executions_max`` counts the upstreams on which the request may run, and
    ``time_limit_s`` bounds the whole answer, if the caller states it.
    """

    request_id: str
    account: str
    tier: Tier
    target: str
    route: str
    prompt_tokens: int
    output_tokens: int
    prefix_blocks: tuple[int, ...]
    arrived_at_s: float
    idempotent: bool
    executions_max: int = 4
    time_limit_s: float | None = None

    @property
    def deadline_s(self) -> float:
        """The latest moment for the first token."""
        return self.arrived_at_s + self.tier.first_token_s

    @property
    def ends_at_s(self) -> float:
        """The moment after which the caller has no use of an answer."""
        if self.time_limit_s is None:
            return self.deadline_s
        return self.arrived_at_s + self.time_limit_s


class Attempt(NamedTuple):
    """One try at one upstream; ``sent`` once a byte may have left."""

    upstream: str
    started_at_s: float
    sent: bool


class RequestState(NamedTuple):
    """The root: the ask, its attempts and how much was answered.

    ``tokens`` counts the answer's tokens that went to the caller;
    ``sent_earlier`` tells whether an ended attempt may have reached an
    upstream, and ``executions`` counts those that may have run.
    ``last_upstream`` had the last attempt that ended.
    """

    request: Request
    phase: Phase = 'queued'
    attempt: Attempt | None = None
    attempts: int = 0
    sent_earlier: bool = False
    executions: int = 0
    last_upstream: str = ''
    tokens: int = 0
    first_token_at_s: float | None = None


def make_request(request_id: str, tier: Tier, target: str, **fields) -> Request:
    """Create an ask; fields left out get the values of a small request."""
    defaults: dict = {
        'account': '',
        'route': 'default',
        'prompt_tokens': 0,
        'output_tokens': 1,
        'prefix_blocks': (),
        'arrived_at_s': 0.0,
        'idempotent': True,
    }
    return Request(
        request_id=request_id,
        tier=tier,
        target=target,
        **{**defaults, **fields},
    )


def make_request_state(request: Request) -> RequestState:
    """Create the life of a request that was just queued."""
    return RequestState(request)


def begin_attempt(
    state: RequestState, upstream: str, now_s: float
) -> RequestState:
    """Start an attempt at ``upstream``.

    Asserts that a request that is not idempotent gets no second attempt
    once an earlier one may have reached an upstream.
    """
    check_invariant(
        'dispatched_at_most_once',
        holds=state.request.idempotent or not state.sent_earlier,
        detail=f'{state.request.request_id} at {upstream}',
    )
    check_invariant(
        'one_attempt_at_a_time',
        holds=state.attempt is None,
        detail=state.request.request_id,
    )
    return state._replace(
        phase='sent',
        attempt=Attempt(upstream, now_s, sent=False),
        attempts=state.attempts + 1,
    )


def record_sent(state: RequestState) -> RequestState:
    """Note that a byte of the current attempt may have left this VM."""
    if state.attempt is None:
        return state
    return state._replace(attempt=state.attempt._replace(sent=True))


def record_tokens(
    state: RequestState, offset: int, count: int, now_s: float
) -> RequestState:
    """Note ``count`` tokens from ``offset`` on that go to the caller.

    Asserts that the answer has neither a gap nor a repetition.
    """
    check_invariant(
        'whole_answer',
        holds=offset == state.tokens,
        detail=f'{state.request.request_id}: token {offset} after {state.tokens}',
    )
    first_s = state.first_token_at_s
    return state._replace(
        phase='streaming',
        tokens=state.tokens + count,
        first_token_at_s=now_s if first_s is None else first_s,
    )


def end_attempt(
    state: RequestState, phase: Phase = 'queued', *, not_executed: bool = False
) -> RequestState:
    """End the current attempt and move to ``phase``.

    ``not_executed`` tells that the upstream promised not to have run it.
    """
    sent = state.attempt is not None and state.attempt.sent and not not_executed
    return state._replace(
        phase=phase,
        attempt=None,
        sent_earlier=state.sent_earlier or sent,
        executions=state.executions + sent,
        last_upstream=state.attempt.upstream if state.attempt else '',
    )


def execution_status(state: RequestState) -> ExecutionStatus:
    """Return what may be said of a refused request: did it run?"""
    sent = state.attempt is not None and state.attempt.sent
    return 'unknown' if sent or state.sent_earlier else 'no'

"""Aggregate of one request, from its arrival to the end of its response."""

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
    """A caller's request.

    ``target`` names the model or service.  ``route`` names the kind of call
    in the application; versions are compared by route.  ``prefix_blocks``
    are hashes of the leading blocks of the prompt.  Times are in seconds on the
    clock of the VM.  At most ``executions_max`` upstreams may execute the
    request.  ``time_limit_s`` limits the complete response, if the caller
    states it.  ``prompt_parts`` are ids of parts of the prompt; one that
    crashes upstreams is recognised by its id, and so is a request that comes
    again.  The first token should come within ``objective_s`` seconds; if it is
    ``None``, the limit of the tier applies.
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
    prompt_parts: tuple[str, ...] = ()
    objective_s: float | None = None

    @property
    def deadline_s(self) -> float:
        """Latest time for the first token."""
        return self.arrived_at_s + self.tier.first_token_s

    @property
    def first_due_s(self) -> float:
        """Time until which the first token is in time for its caller."""
        if self.objective_s is None:
            return self.deadline_s
        return self.arrived_at_s + self.objective_s

    @property
    def ends_at_s(self) -> float:
        """Time after which a response is of no use to the caller."""
        if self.time_limit_s is None:
            return self.deadline_s
        return self.arrived_at_s + self.time_limit_s


class Attempt(NamedTuple):
    """An attempt at one upstream.

    ``sent`` is true once a byte of the request may have left this VM.
    """

    upstream: str
    started_at_s: float
    sent: bool


class RequestState(NamedTuple):
    """Aggregate root: the request, its attempts and its response so far.

    ``tokens`` counts the tokens that were sent to the caller.
    ``sent_earlier`` states that an ended attempt may have reached an
    upstream.  ``executions`` counts those attempts, which may have been
    executed.  ``last_upstream`` is the upstream of the last ended attempt.
    ``last_token_at_s`` is when the current attempt's last tokens arrived.
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
    last_token_at_s: float | None = None


def make_request(request_id: str, tier: Tier, target: str, **fields) -> Request:
    """Create a request; missing fields get the values of a small request."""
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
    """Create the state of a request that was just queued."""
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
    """Record that a byte of the current attempt may have left this VM."""
    if state.attempt is None:
        return state
    return state._replace(attempt=state.attempt._replace(sent=True))


def record_tokens(
    state: RequestState, offset: int, count: int, now_s: float
) -> RequestState:
    """Record ``count`` tokens from ``offset`` on that go to the caller.

    Asserts that the response has neither a gap nor a repetition.
    """
    check_invariant(
        'whole_answer',
        holds=offset == state.tokens,
        detail=(
            f'{state.request.request_id}: token {offset} after {state.tokens}'
        ),
    )
    first_s = state.first_token_at_s
    return state._replace(
        phase='streaming',
        tokens=state.tokens + count,
        first_token_at_s=now_s if first_s is None else first_s,
        last_token_at_s=now_s,
    )


def end_attempt(
    state: RequestState, phase: Phase = 'queued', *, not_executed: bool = False
) -> RequestState:
    """End the current attempt and enter ``phase``.

    ``not_executed`` states that the upstream guarantees that it did not
    execute the request.
    """
    sent = state.attempt is not None and state.attempt.sent and not not_executed
    return state._replace(
        phase=phase,
        attempt=None,
        sent_earlier=state.sent_earlier or sent,
        executions=state.executions + sent,
        last_upstream=state.attempt.upstream if state.attempt else '',
        last_token_at_s=None,
    )


def execution_status(state: RequestState) -> ExecutionStatus:
    """Return ``'unknown'`` if an upstream may have executed the request."""
    sent = state.attempt is not None and state.attempt.sent
    return 'unknown' if sent or state.sent_earlier else 'no'

"""Objects of the store as they are spelled on the wire."""

from typing import Literal, NotRequired, TypedDict

__all__ = [
    'WireAccount',
    'WireConfig',
    'WireEngine',
    'WireLimits',
    'WireMove',
    'WireMoveStatus',
    'WireRegistration',
    'WireRoute',
    'WireService',
    'WireSplit',
    'WireVm',
]


class WireSplit(TypedDict):
    """A weighted service of a route."""

    service: str
    weight: float


class WireRoute(TypedDict):
    """A route; it names one ``service`` or a split among several."""

    name: str
    host: str
    pathPrefix: str
    kind: Literal['idempotent', 'non_idempotent', 'streaming']
    timeoutMs: float
    targetLatencyMs: NotRequired[float]
    targetGapMs: NotRequired[float]
    priority: NotRequired[int]
    service: NotRequired[str]
    trafficSplit: NotRequired[list[WireSplit]]
    maxAttempts: NotRequired[int]
    public: NotRequired[bool]
    resumable: NotRequired[bool]


class WireEngine(TypedDict):
    """What a service of model engines says of them.

    ``stride`` is the number of tokens in one event of a stream.
    """

    stride: NotRequired[int]


class WireService(TypedDict):
    """A service; without ``engine`` it is a plain one."""

    name: str
    healthPath: NotRequired[str]
    coldStartS: NotRequired[float]
    coldPerS: NotRequired[float]
    engine: NotRequired[WireEngine | None]


class WireLimits(TypedDict):
    """Bounds on callers."""

    maxHeaderBytes: int
    maxBodyBytes: int
    headerTimeoutMs: float
    idleTimeoutMs: float


class WireAccount(TypedDict):
    """A client account; ``unit`` tells what its limit counts.

    ``uncachedTokens`` is what a request counts that states no tokens; it
    has nothing to do with caches.
    """

    name: str
    apiKeys: list[str]
    priority: NotRequired[int | None]
    unit: NotRequired[str]
    uncachedTokens: NotRequired[int]
    ratePerS: NotRequired[float]
    burst: NotRequired[float]


class WireConfig(TypedDict):
    """The whole configuration."""

    version: int
    routes: list[WireRoute]
    services: NotRequired[list[WireService]]
    limits: NotRequired[WireLimits]
    tenants: NotRequired[list[WireAccount] | None]


class WireRegistration(TypedDict):
    """What an upstream says of itself; ``born`` is the ms of its start."""

    service: str
    address: str
    zone: str
    slots: int
    state: Literal['ready', 'draining']
    version: NotRequired[str]
    coldRemainingMs: NotRequired[float]
    born: NotRequired[int]


class WireMove(TypedDict):
    """An order to move a service's traffic to the version ``target``."""

    service: str
    target: str
    durationS: float


class WireMoveStatus(TypedDict):
    """How far the move to the version ``target`` is."""

    state: Literal['running', 'succeeded', 'rolled_back']
    target: str


class WireVm(TypedDict):
    """A VM of ours."""

    address: str
    failure_domain: NotRequired[str]

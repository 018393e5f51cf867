"""Types of the store's objects, with the field names used on the wire."""

from typing import Annotated, Any, Final, Literal, NotRequired, TypedDict

import msgspec

__all__ = [
    'WireAccount',
    'WireConfig',
    'WireEngine',
    'WireLimits',
    'WireMove',
    'WireMoveStatus',
    'WireQuarantine',
    'WireRegistration',
    'WireRoute',
    'WireScaling',
    'WireService',
    'WireSplit',
    'WireVm',
]

SLOTS_MAX: Final = 1_000_000
REPLICAS_MAX: Final = 1_000_000
BOOT_MAX_S: Final = 3600.0


class WireSplit(TypedDict):
    """A service of a route with its weight."""

    service: str
    weight: float


class WireRoute(TypedDict):
    """A route to one ``service``, or split among several."""

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
    """Properties of the model engines of a service.

    ``stride`` is the number of tokens in one event of a stream.
    """

    stride: NotRequired[int]


class WireScaling(TypedDict):
    """Bounds of the replicas of a service in each failure domain."""

    minReplicas: Annotated[int, msgspec.Meta(ge=0, le=REPLICAS_MAX)]
    maxReplicas: Annotated[int, msgspec.Meta(ge=0, le=REPLICAS_MAX)]
    bootS: Annotated[float, msgspec.Meta(ge=0, le=BOOT_MAX_S)]


class WireService(TypedDict):
    """A service; without ``engine`` it is a plain service.

    ``scaling`` is a `WireScaling`, checked by itself: if it is not valid, the
    rest of the configuration holds.
    """

    name: str
    healthPath: NotRequired[str]
    coldStartS: NotRequired[float]
    coldPerS: NotRequired[float]
    engine: NotRequired[WireEngine | None]
    scaling: NotRequired[Any]


class WireLimits(TypedDict):
    """Limits on callers' requests and connections."""

    maxHeaderBytes: int
    maxBodyBytes: int
    headerTimeoutMs: float
    idleTimeoutMs: float


class WireAccount(TypedDict):
    """A client account; ``unit`` states what its limit counts.

    ``uncachedTokens`` is the cost of a request that states no token counts;
    despite its name it is unrelated to caches.
    """

    name: str
    apiKeys: list[str]
    priority: NotRequired[int | None]
    unit: NotRequired[str]
    uncachedTokens: NotRequired[int]
    ratePerS: NotRequired[float]
    burst: NotRequired[float]


class WireConfig(TypedDict):
    """A version of the configuration."""

    version: int
    routes: list[WireRoute]
    services: NotRequired[list[WireService]]
    limits: NotRequired[WireLimits]
    tenants: NotRequired[list[WireAccount] | None]


class WireRegistration(TypedDict):
    """The registration of an upstream.

    ``born`` is the Unix time of its start in milliseconds.
    """

    service: str
    address: str
    zone: str
    slots: Annotated[int, msgspec.Meta(le=SLOTS_MAX)]
    state: Literal['ready', 'draining']
    version: NotRequired[str]
    coldRemainingMs: NotRequired[float]
    born: NotRequired[int]


class WireMove(TypedDict):
    """A command to move a service's traffic to the version ``target``."""

    service: str
    target: str
    durationS: float


class WireMoveStatus(TypedDict):
    """The state of the move to the version ``target``."""

    state: Literal['running', 'succeeded', 'rolled_back']
    target: str


class WireVm(TypedDict):
    """A VM that runs bluebellhub."""

    address: str
    failure_domain: NotRequired[str]
    forward_address: NotRequired[str]
    message_version: NotRequired[int]


class WireQuarantine(TypedDict):
    """A part of a prompt, and when upstreams crashed at it, by crash.

    The times are in Unix milliseconds.
    """

    part: str
    crashes: dict[str, int]


class WireUsage(TypedDict):
    """A report of the requests in a usage window, by account."""

    window: int
    counts: dict[str, int]


class WireScale(TypedDict):
    """An order for replicas of a service in a failure domain."""

    service: str
    zone: str
    desiredCount: int


class WireDuty(TypedDict):
    """The VM that holds the duties, its token, and the last usage reports.

    ``unreached`` names VMs that gave up because the API did not respond.
    """

    holder: str
    start_id: int
    token: Annotated[int, msgspec.Meta(ge=0)]
    sequence: int
    released: bool
    reports: list[WireUsage]
    unreached: NotRequired[list[str]]

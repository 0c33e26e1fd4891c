"""The configuration document: team sections with their upstreams, routes and contracts.

Each team writes one section, in JSON with comments. A document holds all sections of one accepted
version. All types are immutable.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Annotated

from msgspec import Meta

MAX_SECTION_BYTES = 1_000_000
"""The platform's size limit for one value, in bytes."""

MAX_DEADLINE_MS = 3_600_000
"""Longest deadline of a route, in milliseconds."""

MAX_LATENCY_MS = 600_000
"""Longest latency objective of a route, in milliseconds."""

MAX_RETRIES = 5
"""Largest number of further attempts that a route can allow."""

MAX_BODY_LIMIT_BYTES = 2**40
"""Largest limit on the size of a request body, in bytes."""

MAX_HEAD_BYTES = 1_048_576
"""Largest limit on the size of a request head, in bytes."""

MAX_PREFIX_LENGTH = 1_024
"""Longest path prefix of a route, in characters."""

MAX_WEIGHT = 1_000_000
"""Largest weight of a share."""

ANY_METHOD = "*"
"""Matches every HTTP method in a route's match."""

Name = Annotated[str, Meta(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}\Z")]
"""Name of a team, upstream, route or data centre."""


class Priority(Enum):
    """How long a request may be queued, and how early it is shed under overload."""

    INTERACTIVE = "interactive"
    """Shed last: a user is waiting for the response."""
    NORMAL = "normal"
    DEFERRABLE = "deferrable"
    """Shed first: the caller can retry later."""


@dataclass(frozen=True)
class Objective:
    """The service-level objective of a route.

    Attributes:
        availability: Fraction of requests that must complete without a system error.
        latency_ms: Target time until the head of a successful response, in milliseconds.
    """

    availability: Annotated[float, Meta(gt=0.0, lt=1.0)] = 0.999
    latency_ms: Annotated[int, Meta(ge=1, le=MAX_LATENCY_MS)] = 1_000


@dataclass(frozen=True)
class Contract:
    """The guarantees and limits of a route.

    Attributes:
        idempotent: Whether a request can safely run more than once.
        deadline_ms: Time allowed until the response head, in milliseconds.
        priority: Priority under overload.
        retries: Additional attempts allowed for one request.
        body_limit_bytes: Maximum size of a request body, in bytes.
        objective: Service-level objective.
        large_answers: Whether answers may be large; their bytes then yield to small messages on the
            links of VMs.
        large_bodies: Whether bodies of requests may be large; they are then sent to a VM in turn,
            at the rate of its link.
    """

    idempotent: bool
    deadline_ms: Annotated[int, Meta(ge=1, le=MAX_DEADLINE_MS)] = 5_000
    priority: Priority = Priority.NORMAL
    retries: Annotated[int, Meta(ge=0, le=MAX_RETRIES)] = 1
    body_limit_bytes: Annotated[int, Meta(ge=0, le=MAX_BODY_LIMIT_BYTES)] = 1_048_576
    objective: Objective = Objective()
    large_answers: bool = False
    large_bodies: bool = False


@dataclass(frozen=True)
class Match:
    """Criteria that select the requests of a route.

    Attributes:
        host: The Host header without its port; "*" matches any host.
        methods: HTTP methods in upper case; `ANY_METHOD` matches all.
        path_prefix: Path prefix, matched at segment boundaries.
    """

    path_prefix: Annotated[str, Meta(pattern=r"^/[^\s?#]*\Z", max_length=MAX_PREFIX_LENGTH)]
    methods: tuple[Annotated[str, Meta(pattern=r"^([A-Z]{1,16}|\*)\Z")], ...]
    host: Annotated[str, Meta(min_length=1, max_length=253)] = "*"


@dataclass(frozen=True)
class Share:
    """A weighted share of a route's requests.

    Attributes:
        upstream: Name of the upstream that receives the share.
        weight: Weight relative to the route's other shares.
    """

    upstream: Name
    weight: Annotated[int, Meta(ge=0, le=MAX_WEIGHT)]


@dataclass(frozen=True)
class Route:
    """A route from matching requests to an upstream.

    Attributes:
        name: Unique within the section.
        match: Criteria that select its requests.
        upstream: Name of an upstream defined in any section of the document.
        contract: Its guarantees and limits.
        shares: Traffic split across upstreams; if empty, all requests go to `upstream`.
    """

    name: Name
    match: Match
    upstream: Name
    contract: Contract
    shares: tuple[Share, ...] = ()


@dataclass(frozen=True)
class UnusableRoute:
    """A route that an adapter could not convert; its requests are refused as not run.

    A usable route with the same match takes precedence.

    Attributes:
        name: Name of the route.
        match: Criteria that select its requests.
        reason: Why it cannot be used.
    """

    name: Name
    match: Match
    reason: Annotated[str, Meta(max_length=1024)] = ""


@dataclass(frozen=True)
class Upstream:
    """A service with workers on VMs.

    Attributes:
        name: Unique within the document; appears in the VM list as a VM's service.
        slots: Maximum concurrent requests per worker.
        connections: Maximum connections per worker.
        queue: Maximum requests queued for a slot per worker.
        connect_timeout_ms: Timeout for connecting to a worker, in milliseconds.
        health_path: Path at which a worker reports its health and identity; empty for none.
        cold_start_ms: Time for which a worker is cold after its start, in milliseconds.
        cold_rate_per_s: Requests per second that a cold worker tolerates; 0 if the upstream has no
            cold workers.
    """

    name: Name
    slots: Annotated[int, Meta(ge=1, le=10_000)] = 10
    connections: Annotated[int, Meta(ge=1, le=100_000)] = 100
    queue: Annotated[int, Meta(ge=0, le=100_000)] = 50
    connect_timeout_ms: Annotated[int, Meta(ge=1, le=60_000)] = 1_000
    health_path: Annotated[str, Meta(max_length=1024)] = ""
    cold_start_ms: Annotated[int, Meta(ge=0, le=3_600_000)] = 0
    cold_rate_per_s: Annotated[float, Meta(ge=0.0, le=1_000_000.0)] = 0.0


@dataclass(frozen=True)
class CallerLimits:
    """Size and time limits for callers. They override a node's settings.

    Attributes:
        head_bytes: Maximum size of a request head, in bytes.
        head_timeout_ms: Timeout for receiving a request head, in milliseconds.
        idle_timeout_ms: Idle timeout of a connection between requests, in milliseconds.
    """

    head_bytes: Annotated[int, Meta(ge=1_024, le=MAX_HEAD_BYTES)]
    head_timeout_ms: Annotated[int, Meta(ge=10, le=600_000)]
    idle_timeout_ms: Annotated[int, Meta(ge=10, le=3_600_000)]


@dataclass(frozen=True)
class Section:
    """The part of the document that one team owns.

    Attributes:
        team: Name of the owning team, or of this part of its section.
        upstreams: Services that the team owns.
        routes: Routes that the team owns.
        caller_limits: Limits for all callers, if this team sets them.
        unusable_routes: Routes of the team whose requests are refused.
        owner: Name of the owning team if `team` names only a part of its section; otherwise empty.
    """

    team: Name
    upstreams: tuple[Upstream, ...] = ()
    routes: tuple[Route, ...] = ()
    caller_limits: CallerLimits | None = None
    unusable_routes: tuple[UnusableRoute, ...] = ()
    owner: Annotated[str, Meta(pattern=r"^([a-z0-9][a-z0-9._-]{0,62})?\Z")] = ""

    @property
    def owning_team(self) -> str:
        """Name of the owning team."""
        return self.owner or self.team


@dataclass(frozen=True)
class Document:
    """All sections of one version, ordered by team."""

    sections: tuple[Section, ...] = ()

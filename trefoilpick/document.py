"""The configuration document: sections of teams, their upstreams, routes and contracts.

A section is written by one team in JSON with comments. A document is all the sections of one
accepted version. All of them are frozen once read.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Annotated

from msgspec import Meta

MAX_SECTION_BYTES = 1_000_000
"""The platform's bound on one value, in bytes."""

ANY_METHOD = "*"
"""Stands for every HTTP method in a route's match."""

Name = Annotated[str, Meta(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")]
"""A name of a team, an upstream, a route or a data centre."""


class Priority(Enum):
    """How long a request may wait, and how early it is shed under overload."""

    INTERACTIVE = "interactive"
    """Shed last: a person waits for the answer."""
    NORMAL = "normal"
    DEFERRABLE = "deferrable"
    """Shed first: the caller can come back later."""


@dataclass(frozen=True)
class Objective:
    """The service-level objective of a route.

    Attributes:
        availability: Share of requests that must be answered without an error of the system.
        latency_ms: Time in which a good answer's head arrives, in milliseconds.
    """

    availability: Annotated[float, Meta(gt=0.0, lt=1.0)] = 0.999
    latency_ms: Annotated[int, Meta(ge=1, le=600_000)] = 1_000


@dataclass(frozen=True)
class Contract:
    """What a route promises its callers.

    Attributes:
        idempotent: Whether a request may run more than once without harm.
        deadline_ms: Time until the answer's head, in milliseconds.
        priority: Position under overload.
        retries: Further attempts that the system may make for one request.
        body_limit_bytes: Largest request body, in bytes.
        objective: Service-level objective.
    """

    idempotent: bool
    deadline_ms: Annotated[int, Meta(ge=1, le=3_600_000)] = 5_000
    priority: Priority = Priority.NORMAL
    retries: Annotated[int, Meta(ge=0, le=5)] = 1
    body_limit_bytes: Annotated[int, Meta(ge=0, le=2**40)] = 1_048_576
    objective: Objective = Objective()


@dataclass(frozen=True)
class Match:
    """Which requests a route takes.

    Attributes:
        host: The Host header without its port; "*" takes any.
        methods: HTTP methods in upper case; `ANY_METHOD` takes all.
        path_prefix: Start of the path, on a boundary of path segments.
    """

    path_prefix: Annotated[str, Meta(pattern=r"^/[^\s?#]*$", max_length=1024)]
    methods: tuple[Annotated[str, Meta(pattern=r"^([A-Z]{1,16}|\*)$")], ...]
    host: Annotated[str, Meta(min_length=1, max_length=253)] = "*"


@dataclass(frozen=True)
class Share:
    """A part of a route's requests.

    Attributes:
        upstream: Name of the upstream that gets it.
        weight: Its size, relative to the route's other shares.
    """

    upstream: Name
    weight: Annotated[int, Meta(ge=0, le=1_000_000)]


@dataclass(frozen=True)
class Route:
    """A route of one team to an upstream.

    Attributes:
        name: Unique within the section.
        match: Which requests it takes.
        upstream: Name of an upstream that any section of the document defines.
        contract: What it promises.
        shares: How its requests are divided, where not all go to `upstream`.
    """

    name: Name
    match: Match
    upstream: Name
    contract: Contract
    shares: tuple[Share, ...] = ()


@dataclass(frozen=True)
class Upstream:
    """A service with workers on VMs.

    Attributes:
        name: Unique within the document; the VM list names it as a VM's service.
        slots: Requests that one worker runs at a time.
        connections: Connections that one worker takes.
        queue: Requests that may wait for a slot beside one worker.
        connect_timeout_ms: Time to connect to a worker, in milliseconds.
        health_path: Path at which a worker tells its health and identity; empty for none.
    """

    name: Name
    slots: Annotated[int, Meta(ge=1, le=10_000)] = 10
    connections: Annotated[int, Meta(ge=1, le=100_000)] = 100
    queue: Annotated[int, Meta(ge=0, le=100_000)] = 50
    connect_timeout_ms: Annotated[int, Meta(ge=1, le=60_000)] = 1_000
    health_path: Annotated[str, Meta(max_length=1024)] = ""


@dataclass(frozen=True)
class CallerLimits:
    """What callers may send, and how long they may take. It goes before a node's settings.

    Attributes:
        head_bytes: Largest head of a request, in bytes.
        head_timeout_ms: Time to receive a request's head, in milliseconds.
        idle_timeout_ms: Time that a connection may wait between requests, in milliseconds.
    """

    head_bytes: Annotated[int, Meta(ge=1_024, le=1_048_576)]
    head_timeout_ms: Annotated[int, Meta(ge=10, le=600_000)]
    idle_timeout_ms: Annotated[int, Meta(ge=10, le=3_600_000)]


@dataclass(frozen=True)
class Section:
    """One team's part of the document.

    Attributes:
        team: The owner.
        upstreams: Services that the team owns.
        routes: Routes that the team owns.
        caller_limits: Limits of all callers, where this team sets them.
    """

    team: Name
    upstreams: tuple[Upstream, ...] = ()
    routes: tuple[Route, ...] = ()
    caller_limits: CallerLimits | None = None


@dataclass(frozen=True)
class Document:
    """All sections of one version, ordered by team."""

    sections: tuple[Section, ...] = ()

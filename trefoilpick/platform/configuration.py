"""Conversion of the operators' configuration on the platform to sections of a document."""

from __future__ import annotations

from typing import TYPE_CHECKING, Literal

import msgspec

from trefoilpick.document import (
    ANY_METHOD,
    CallerLimits,
    Contract,
    Match,
    Objective,
    Priority,
    Route,
    Section,
    Share,
    Upstream,
)
from trefoilpick.errors import ErrorKind, TrefoilpickError

if TYPE_CHECKING:
    from collections.abc import Iterator

PRIORITIES = (Priority.INTERACTIVE, Priority.NORMAL, Priority.DEFERRABLE)
"""Priorities by the platform's priority number; larger numbers map to the last one."""

MAX_RETRIES = 5
"""Maximum number of retries that a document can specify."""

CONNECT_TIMEOUT_MS = 400
"""Timeout for connecting to a worker or its node, in milliseconds: the shortest timeout of the
users' calls, and over a hundred round trips between data centres of one region."""


class _Split(msgspec.Struct, frozen=True):
    service: str
    weight: int


class _Route(msgspec.Struct, frozen=True, rename="kebab"):
    name: str
    hostname: str
    path_prefix: str
    kind: Literal["idempotent", "non_idempotent"]
    timeout: float
    """Deadline of a request, in milliseconds."""
    target_latency: float
    """Latency objective for the complete response, in milliseconds."""
    priority: int
    max_attempts: int
    """Maximum number of attempts for one request, including the first."""
    service: str = ""
    traffic_split: tuple[_Split, ...] = ()


class _Service(msgspec.Struct, frozen=True, rename="kebab"):
    name: str
    max_connections: int
    health_path: str = ""


class _Limits(msgspec.Struct, frozen=True, rename="kebab"):
    max_header_bytes: int
    max_body_bytes: int
    header_timeout: float
    """Timeout for receiving a request head, in milliseconds."""
    idle_timeout: float
    """Idle timeout of a connection, in milliseconds."""


class Configuration(msgspec.Struct, frozen=True):
    """The operators' configuration, as stored by the platform."""

    version: int
    routes: tuple[_Route, ...]
    services: tuple[_Service, ...]
    limits: _Limits


_DECODER = msgspec.json.Decoder(Configuration)


def decode_configuration(data: bytes) -> Configuration:
    """Decode a configuration.

    Raises:
        TrefoilpickError: `MANIFEST_FAULTY` if the data is malformed.
    """
    try:
        return _DECODER.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise TrefoilpickError(ErrorKind.MANIFEST_FAULTY, f"configuration: {error}") from error


def list_sections(configuration: Configuration) -> Iterator[Section]:
    """Yield one section per service, ordered by name.

    A section contains the service and the routes to it; a route with a traffic split belongs to the
    service of its first share. The caller limits are in the first section.
    """
    limits = configuration.limits
    caller_limits: CallerLimits | None = CallerLimits(
        limits.max_header_bytes, round(limits.header_timeout), round(limits.idle_timeout)
    )
    routes: dict[str, list[Route]] = {}
    for platform_route in configuration.routes:
        route = _build_route(platform_route, limits.max_body_bytes)
        routes.setdefault(route.upstream, []).append(route)
    for service in sorted(configuration.services, key=lambda service: service.name):
        upstream = Upstream(
            service.name,
            connections=service.max_connections,
            queue=service.max_connections,
            connect_timeout_ms=CONNECT_TIMEOUT_MS,
            health_path=service.health_path,
        )
        yield Section(service.name, (upstream,), tuple(routes.get(service.name, ())), caller_limits)
        caller_limits = None


def _build_route(platform_route: _Route, max_body_bytes: int) -> Route:
    shares = tuple(Share(split.service, split.weight) for split in platform_route.traffic_split)
    contract = Contract(
        idempotent=platform_route.kind == "idempotent",
        deadline_ms=round(platform_route.timeout),
        priority=PRIORITIES[min(max(platform_route.priority, 0), len(PRIORITIES) - 1)],
        retries=min(max(platform_route.max_attempts - 1, 0), MAX_RETRIES),
        body_limit_bytes=max_body_bytes,
        objective=Objective(latency_ms=round(platform_route.target_latency)),
    )
    match = Match(platform_route.path_prefix, (ANY_METHOD,), platform_route.hostname)
    upstream = shares[0].upstream if shares else platform_route.service
    return Route(platform_route.name, match, upstream, contract, shares)

"""Conversion of the operators' configuration on the platform to sections of a document."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from functools import lru_cache
from typing import TYPE_CHECKING

import xxhash

from trefoilpick.document import (
    ANY_METHOD,
    MAX_BODY_LIMIT_BYTES,
    MAX_DEADLINE_MS,
    MAX_HEAD_BYTES,
    MAX_LATENCY_MS,
    MAX_RETRIES,
    MAX_WEIGHT,
    CallerLimits,
    Contract,
    Match,
    Objective,
    Priority,
    Route,
    Section,
    Share,
    UnusableRoute,
    Upstream,
)
from trefoilpick.platform.configuration_fields import (
    AT_MOST_ONCE_KINDS,
    DOWNLOAD,
    IDEMPOTENT,
    UPLOAD,
    ConfigurationFault,
    UnreadableRoute,
)
from trefoilpick.platform.names import convert_name, name_part

if TYPE_CHECKING:
    from collections.abc import Iterator

    from trefoilpick.platform.configuration_fields import (
        Configuration,
        PlatformLimits,
        PlatformRoute,
        PlatformService,
    )

PRIORITIES = (Priority.INTERACTIVE, Priority.NORMAL, Priority.DEFERRABLE)
"""Priorities by the platform's priority number; larger numbers map to the last one."""

CONNECT_TIMEOUT_MS = 400
"""Timeout for connecting to a worker or its node, in milliseconds: the shortest timeout of the
users' calls, and over a hundred round trips between data centres of one region."""

WEIGHT_SCALE = 1_000
"""Factor that converts fractional weights to integers."""

MIN_SCALED_WEIGHT = 100
"""Largest weight of a split below which rounding would distort its proportions."""

MAX_CONNECTIONS = 100_000
"""Largest number of connections that an upstream can have."""

MAX_KEPT_ROUTES = 20_000
"""Maximum number of routes that are kept to be reused in later configurations."""

PART_ROUTES = 24
"""Largest mean number of routes in a part of a service's routes."""

MS_PER_S = 1_000

MAX_COLD_START_MS = 3_600_000
"""Longest cold start of an upstream, in milliseconds."""

MAX_COLD_RATE_PER_S = 1_000_000.0
"""Highest rate that an upstream's cold workers can tolerate, in requests per second."""

IDEMPOTENT_KINDS = frozenset((IDEMPOTENT, DOWNLOAD))
"""Kinds of routes whose requests may run more than once."""

UNASSIGNED_TEAM = "unassigned"
"""Section of unusable routes whose service is unknown."""

ROOT = "/"
ANY_HOST = "*"


@dataclass(frozen=True)
class ConvertedConfiguration:
    """A configuration as sections of a document.

    Attributes:
        sections: One section per service, further ones for the parts of its routes if there are
            many, the same for unusable routes without a service; ordered by name.
        faults: Faults of the configuration.
    """

    sections: tuple[Section, ...]
    faults: tuple[ConfigurationFault, ...]


@dataclass
class _Part:
    """A part of the routes of a service."""

    routes: list[Route] = field(default_factory=list)
    unusable: list[UnusableRoute] = field(default_factory=list)


class _Converter:
    """Converts one configuration."""

    def __init__(self, configuration: Configuration) -> None:
        self._configuration = configuration
        self._services = {convert_name(service.name): service for service in configuration.services}
        self._routes: dict[str, list[Route]] = {name: [] for name in self._services}
        self._unusable: dict[str, dict[tuple[str, str], UnusableRoute]] = {}
        self._route_names: set[str] = set()
        self._faults = list(configuration.faults)

    def convert(self) -> ConvertedConfiguration:
        self._check_services()
        match_counts = self._count_matches()
        for route in self._configuration.routes:
            reason = self._find_problem(route, match_counts)
            if reason:
                unreadable = UnreadableRoute(route.name, route.hostname, route.path_prefix, reason)
                self._add_unusable(unreadable, _find_service(route))
            else:
                self._add_route(route)
        for unreadable in self._configuration.unreadable:
            self._add_unusable(unreadable, "")
        sections = sorted(self._build_sections(), key=lambda section: section.team)
        return ConvertedConfiguration(tuple(sections), tuple(self._faults))

    def _count_matches(self) -> Counter[tuple[str, str]]:
        usable, unreadable = self._configuration.routes, self._configuration.unreadable
        counts = Counter(_get_criteria(route.hostname, route.path_prefix) for route in usable)
        counts.update(_get_criteria(route.hostname, route.path_prefix) for route in unreadable)
        return counts

    def _check_services(self) -> None:
        counts = Counter(convert_name(service.name) for service in self._configuration.services)
        for name, count in counts.items():
            if count > 1:
                text = f"it is defined {count} times; the last definition is used"
                self._faults.append(ConfigurationFault(f'service "{name}"', text))

    def _find_problem(self, route: PlatformRoute, match_counts: Counter[tuple[str, str]]) -> str:
        """Return why a route cannot be used; empty if it can."""
        services = [split.service for split in route.traffic_split] or [route.service]
        for service in services:
            if convert_name(service) not in self._services:
                return f'service "{service:.100}" is not defined'
        if route.traffic_split and not any(_scale_weights(route)):
            return "its traffic split has no positive weight"
        if match_counts[_get_criteria(route.hostname, route.path_prefix)] > 1:
            return "another route has the same host and path prefix"
        return ""

    def _add_route(self, route: PlatformRoute) -> None:
        name = convert_name(route.name)
        if name in self._route_names:
            text = "another route has the same name; it is renamed"
            self._faults.append(ConfigurationFault(f'route "{route.name:.100}"', text))
            name = convert_name(f"{route.name} on {route.hostname}{route.path_prefix}")
        self._route_names.add(name)
        built = _build_route(name, route, self._configuration.limits.max_body_bytes)
        self._routes[built.upstream].append(built)
        self._report_unknown_kind(route)

    def _add_unusable(self, route: UnreadableRoute, service: str) -> None:
        name = convert_name(route.name) if route.name else "unnamed"
        self._faults.append(
            ConfigurationFault(f'route "{route.name:.100}"', f"{route.text}; it is unusable")
        )
        # Requests for a route whose host or path is unknown are among those that match no other.
        host = route.hostname or ANY_HOST
        prefix = route.path_prefix or ROOT
        match = Match(prefix, (ANY_METHOD,), host)
        team = service if service in self._services else ""
        entries = self._unusable.setdefault(team, {})
        entries.setdefault(
            _get_criteria(host, prefix), UnusableRoute(name, match, route.text[:200])
        )

    def _report_unknown_kind(self, route: PlatformRoute) -> None:
        if route.kind and route.kind not in IDEMPOTENT_KINDS | AT_MOST_ONCE_KINDS:
            text = f'kind "{route.kind:.100}" is unknown; its requests run at most once'
            self._faults.append(ConfigurationFault(f'route "{route.name:.100}"', text))

    def _build_sections(self) -> Iterator[Section]:
        """Yield all sections; the first contains the caller limits."""
        caller_limits: CallerLimits | None = _build_caller_limits(self._configuration.limits)
        unassigned = self._unusable.pop("", {})
        teams = set(self._services)
        unassigned_team = UNASSIGNED_TEAM
        while unassigned_team in teams:
            unassigned_team += "-"
        if unassigned:
            teams.add(unassigned_team)
        for team in sorted(teams):
            service = self._services.get(team)
            unusable = unassigned if service is None else self._unusable.get(team, {})
            parts = _divide_routes(self._routes.get(team, []), list(unusable.values()))
            whole = parts.pop() if len(parts) == 1 else _Part()
            yield Section(
                team,
                () if service is None else (_build_upstream(team, service),),
                tuple(whole.routes),
                caller_limits,
                tuple(whole.unusable),
            )
            caller_limits = None
            for number, part in enumerate(parts):
                if part.routes or part.unusable:
                    yield Section(
                        name_part(team, number),
                        routes=tuple(part.routes),
                        unusable_routes=tuple(part.unusable),
                        owner=team,
                    )


def convert_configuration(configuration: Configuration) -> ConvertedConfiguration:
    """Convert a configuration to sections of a valid document.

    A section contains a service and the routes to it, or a part of them; a route with a traffic
    split belongs to the service of its first share. The caller limits are in the first section.
    """
    return _Converter(configuration).convert()


@lru_cache(maxsize=MAX_KEPT_ROUTES)
def _build_route(name: str, platform_route: PlatformRoute, max_body_bytes: int) -> Route:
    weights = _scale_weights(platform_route)
    shares = tuple(
        Share(convert_name(split.service), weight)
        for split, weight in zip(platform_route.traffic_split, weights, strict=True)
    )
    contract = Contract(
        idempotent=platform_route.kind in IDEMPOTENT_KINDS,
        deadline_ms=_clamp(round(platform_route.timeout), 1, MAX_DEADLINE_MS),
        priority=PRIORITIES[_clamp(platform_route.priority, 0, len(PRIORITIES) - 1)],
        retries=_clamp(platform_route.max_attempts - 1, 0, MAX_RETRIES),
        body_limit_bytes=_clamp(max_body_bytes, 0, MAX_BODY_LIMIT_BYTES),
        objective=Objective(
            latency_ms=_clamp(round(platform_route.target_latency), 1, MAX_LATENCY_MS)
        ),
        large_answers=platform_route.kind == DOWNLOAD,
        large_bodies=platform_route.kind == UPLOAD,
    )
    match = Match(platform_route.path_prefix, (ANY_METHOD,), platform_route.hostname)
    return Route(name, match, _find_service(platform_route), contract, shares)


def _divide_routes(routes: list[Route], unusable: list[UnusableRoute]) -> list[_Part]:
    """Divide the routes of a service into parts, a power of two, by a hash of their names.

    A change then sends only the parts that it affects. The parts depend on the routes alone, so
    that all nodes divide them alike. Unusable routes may lack a name of their own, so that their
    match is part of the hash.
    """
    count = 1 << max(0, (len(routes) + len(unusable) - 1) // PART_ROUTES).bit_length()
    parts = [_Part() for _ in range(count)]
    for route in routes:
        parts[xxhash.xxh64_intdigest(route.name.encode()) % count].routes.append(route)
    for refused in unusable:
        key = f"{refused.name} {refused.match.host}{refused.match.path_prefix}"
        parts[xxhash.xxh64_intdigest(key.encode()) % count].unusable.append(refused)
    return parts


def _build_upstream(name: str, service: PlatformService) -> Upstream:
    connections = _clamp(service.max_connections, 1, MAX_CONNECTIONS)
    return Upstream(
        name,
        connections=connections,
        queue=connections,
        connect_timeout_ms=CONNECT_TIMEOUT_MS,
        health_path=service.health_path,
        cold_start_ms=_clamp(round(service.cold_start * MS_PER_S), 0, MAX_COLD_START_MS),
        cold_rate_per_s=min(service.cold_per_s, MAX_COLD_RATE_PER_S),
    )


def _build_caller_limits(limits: PlatformLimits) -> CallerLimits:
    return CallerLimits(
        _clamp(limits.max_header_bytes, 1_024, MAX_HEAD_BYTES),
        _clamp(round(limits.header_timeout), 10, 600_000),
        _clamp(round(limits.idle_timeout), 10, 3_600_000),
    )


def _find_service(route: PlatformRoute) -> str:
    """Return the name of the service that the route belongs to."""
    return convert_name(route.traffic_split[0].service if route.traffic_split else route.service)


def _scale_weights(route: PlatformRoute) -> list[int]:
    """Return the weights of a route's traffic split as integers in the same proportion."""
    weights = [split.weight for split in route.traffic_split]
    largest = max(weights, default=0)
    if all(weight.is_integer() for weight in map(float, weights)) and largest <= MAX_WEIGHT:
        return [int(weight) for weight in weights]
    scaled = [round(weight * min(WEIGHT_SCALE, MAX_WEIGHT / largest)) for weight in weights]
    if max(scaled) >= MIN_SCALED_WEIGHT:
        return scaled
    return [round(weight / largest * MAX_WEIGHT) for weight in weights]


def _get_criteria(host: str, path_prefix: str) -> tuple[str, str]:
    return host.lower(), path_prefix


def _clamp(value: int, lowest: int, highest: int) -> int:
    return min(max(value, lowest), highest)

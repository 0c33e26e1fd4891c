"""The enforced version, held as an immutable snapshot that is replaced atomically."""

from __future__ import annotations

from dataclasses import dataclass, field
from functools import cached_property
from typing import TYPE_CHECKING

from trefoilpick.document import ANY_METHOD
from trefoilpick.errors import ErrorKind, TrefoilpickError
from trefoilpick.route_index import RouteIndex, list_prefixes

if TYPE_CHECKING:
    from collections.abc import Iterator

    from trefoilpick.document import (
        CallerLimits,
        Contract,
        Document,
        Route,
        Section,
        UnusableRoute,
        Upstream,
    )
    from trefoilpick.manifest import Manifest, VersionId


@dataclass(frozen=True)
class TeamRoute:
    """A route resolved to its owner and its upstream.

    Attributes:
        team: Name of the owning team.
        route: The route.
        upstream: Upstream that receives its requests.
        shares: Targets of a traffic split with their weights; they replace `upstream` if not empty.
    """

    team: str
    route: Route
    upstream: Upstream
    shares: tuple[tuple[TeamRoute, int], ...] = ()


@dataclass(frozen=True)
class Snapshot:
    """A complete version, as enforced by a node.

    Attributes:
        version: Identity of the version.
        manifest: Manifest of the version.
        document: All its sections.
        upstreams: Upstreams by name.
        routes: Routes by host and path prefix.
        section_routes: Routes by the name of their section.
        caller_limits: Limits for callers, if the document sets them.
        unusable_routes: Unusable routes by host and path prefix.
    """

    version: VersionId
    manifest: Manifest
    document: Document
    upstreams: dict[str, Upstream] = field(repr=False)
    routes: RouteIndex = field(repr=False)
    section_routes: dict[str, tuple[TeamRoute, ...]] = field(repr=False)
    caller_limits: CallerLimits | None = None
    unusable_routes: dict[tuple[str, str], UnusableRoute] = field(default_factory=dict, repr=False)

    @cached_property
    def has_large_answers(self) -> bool:
        """Whether any route declares large answers."""
        return any(contract.large_answers for contract in self._list_contracts())

    @cached_property
    def has_large_bodies(self) -> bool:
        """Whether any route declares large bodies of requests."""
        return any(contract.large_bodies for contract in self._list_contracts())

    @cached_property
    def has_uneven_load(self) -> bool:
        """Whether the document declares cold workers or large answers.

        The settings for uneven load take effect only then.
        """
        has_cold_workers = any(upstream.cold_rate_per_s for upstream in self.upstreams.values())
        return has_cold_workers or self.has_large_answers

    def _list_contracts(self) -> Iterator[Contract]:
        for team_routes in self.section_routes.values():
            yield from (team_route.route.contract for team_route in team_routes)

    def find_route(self, host: str, method: str, path: str) -> TeamRoute:
        """Return the route that matches a request.

        A route for the given host takes precedence over one for any host; among these, the longest
        prefix wins.

        Args:
            host: Host header without its port, in lower case.
            method: HTTP method in upper case.
            path: Path without the query.

        Raises:
            TrefoilpickError: `NO_ROUTE`, `ROUTE_UNUSABLE` or `METHOD_NOT_ALLOWED`.
        """
        is_path_known = False
        for key in (host, "*"):
            if not self.routes.has_host(key) and not self.unusable_routes:
                continue
            for prefix in list_prefixes(path):
                for candidate in self.routes.find(key, prefix):
                    methods = candidate.route.match.methods
                    if method in methods or ANY_METHOD in methods:
                        return candidate
                    is_path_known = True
                unusable = self.unusable_routes.get((key, prefix))
                if unusable is not None:
                    text = f'route "{unusable.name}" cannot be used: {unusable.reason}'
                    raise TrefoilpickError(ErrorKind.ROUTE_UNUSABLE, text)
        if is_path_known:
            text = f'method "{method}" is not allowed for "{path}" on host "{host}"'
            raise TrefoilpickError(ErrorKind.METHOD_NOT_ALLOWED, text)
        raise TrefoilpickError(ErrorKind.NO_ROUTE, f'no route for "{path}" on host "{host}"')


class SnapshotCell:
    """Mutable holder of the snapshot that a node enforces."""

    def __init__(self) -> None:
        self._snapshot: Snapshot | None = None

    @property
    def current(self) -> Snapshot | None:
        """The enforced snapshot; None until the first one is enforced."""
        return self._snapshot

    def replace(self, snapshot: Snapshot) -> bool:
        """Enforce a snapshot, unless the current one is the same version or newer.

        Args:
            snapshot: A complete, validated version.

        Returns:
            Whether it was enforced.
        """
        if self._snapshot is not None and snapshot.version <= self._snapshot.version:
            return False
        self._snapshot = snapshot
        return True


def build_snapshot(
    version: VersionId,
    manifest: Manifest,
    document: Document,
    *,
    previous: Snapshot | None = None,
) -> Snapshot:
    """Build the snapshot of a document whose sections were checked.

    Args:
        version: Identity of the version.
        manifest: Manifest of the version.
        document: The document.
        previous: A snapshot with some of the same section objects, whose routes are reused.

    Raises:
        TrefoilpickError: `DOCUMENT_FAULTY` if a route's upstream is not defined, or two routes
            match the same requests.
    """
    upstreams = {
        upstream.name: upstream for section in document.sections for upstream in section.upstreams
    }
    if previous is None or previous.upstreams != upstreams:
        known: dict[str, Section] = {}
        known_routes: dict[str, tuple[TeamRoute, ...]] = {}
        index = RouteIndex()
    else:
        known = {section.team: section for section in previous.document.sections}
        known_routes, index = previous.section_routes, previous.routes
    section_routes: dict[str, tuple[TeamRoute, ...]] = {}
    added: list[TeamRoute] = []
    for section in document.sections:
        if known.get(section.team) is section:
            section_routes[section.team] = known_routes[section.team]
            continue
        resolved = tuple(_resolve_route(section, route, upstreams) for route in section.routes)
        section_routes[section.team] = resolved
        added += resolved
    removed = (
        route
        for team, routes in known_routes.items()
        if section_routes.get(team) is not routes
        for route in routes
    )
    limits = (section.caller_limits for section in document.sections if section.caller_limits)
    return Snapshot(
        version,
        manifest,
        document,
        upstreams,
        index.replace(removed, added),
        section_routes,
        next(limits, None),
        {
            (route.match.host.lower(), route.match.path_prefix): route
            for section in document.sections
            for route in section.unusable_routes
        },
    )


def _resolve_route(section: Section, route: Route, upstreams: dict[str, Upstream]) -> TeamRoute:
    team = section.owning_team
    for name in (route.upstream, *(share.upstream for share in route.shares)):
        if name not in upstreams:
            text = f'route "{route.name}" of section "{team}": upstream "{name}" is not defined'
            raise TrefoilpickError(ErrorKind.DOCUMENT_FAULTY, text)
    shares = tuple(
        (TeamRoute(team, route, upstreams[share.upstream]), share.weight) for share in route.shares
    )
    return TeamRoute(team, route, upstreams[route.upstream], shares)

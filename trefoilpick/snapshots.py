"""The enforced version, held as an immutable snapshot that is replaced atomically."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from trefoilpick.document import ANY_METHOD
from trefoilpick.errors import ErrorKind, TrefoilpickError

if TYPE_CHECKING:
    from trefoilpick.document import CallerLimits, Document, Route, UnusableRoute, Upstream
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
        routes: Routes by host, longest path prefix first.
        caller_limits: Limits for callers, if the document sets them.
        unusable_routes: Unusable routes by host, longest path prefix first.
    """

    version: VersionId
    manifest: Manifest
    document: Document
    upstreams: dict[str, Upstream] = field(repr=False)
    routes: dict[str, tuple[TeamRoute, ...]] = field(repr=False)
    caller_limits: CallerLimits | None = None
    unusable_routes: dict[str, tuple[UnusableRoute, ...]] = field(default_factory=dict, repr=False)

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
            unusable = self._find_unusable(key, path)
            for candidate in self.routes.get(key, ()):
                if unusable is not None and _get_prefix_length(candidate) < len(
                    unusable.match.path_prefix
                ):
                    break
                if not match_prefix(candidate.route.match.path_prefix, path):
                    continue
                methods = candidate.route.match.methods
                if method in methods or ANY_METHOD in methods:
                    return candidate
                is_path_known = True
            if unusable is not None:
                text = f'route "{unusable.name}" cannot be used: {unusable.reason}'
                raise TrefoilpickError(ErrorKind.ROUTE_UNUSABLE, text)
        if is_path_known:
            text = f'method "{method}" is not allowed for "{path}" on host "{host}"'
            raise TrefoilpickError(ErrorKind.METHOD_NOT_ALLOWED, text)
        raise TrefoilpickError(ErrorKind.NO_ROUTE, f'no route for "{path}" on host "{host}"')

    def _find_unusable(self, host: str, path: str) -> UnusableRoute | None:
        for route in self.unusable_routes.get(host, ()):
            if match_prefix(route.match.path_prefix, path):
                return route
        return None


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


def match_prefix(prefix: str, path: str) -> bool:
    """Return whether a path starts with a prefix that ends at a segment boundary."""
    if not path.startswith(prefix):
        return False
    return prefix.endswith("/") or len(path) == len(prefix) or path[len(prefix)] == "/"


def build_snapshot(version: VersionId, manifest: Manifest, document: Document) -> Snapshot:
    """Build the snapshot of a validated document.

    Args:
        version: Identity of the version.
        manifest: Manifest of the version.
        document: A valid document.

    Raises:
        TrefoilpickError: `DOCUMENT_FAULTY` if a route's upstream is not defined.
    """
    upstreams = {
        upstream.name: upstream for section in document.sections for upstream in section.upstreams
    }
    by_host: dict[str, list[TeamRoute]] = {}
    unusable: dict[str, list[UnusableRoute]] = {}
    for section in document.sections:
        for route in section.routes:
            team_route = _resolve_route(section.team, route, upstreams)
            by_host.setdefault(route.match.host.lower(), []).append(team_route)
        for unusable_route in section.unusable_routes:
            unusable.setdefault(unusable_route.match.host.lower(), []).append(unusable_route)
    routes = {
        host: tuple(sorted(team_routes, key=_get_prefix_length, reverse=True))
        for host, team_routes in by_host.items()
    }
    limits = (section.caller_limits for section in document.sections if section.caller_limits)
    unusable_routes = {
        host: tuple(sorted(entries, key=lambda entry: -len(entry.match.path_prefix)))
        for host, entries in unusable.items()
    }
    return Snapshot(
        version, manifest, document, upstreams, routes, next(limits, None), unusable_routes
    )


def _resolve_route(team: str, route: Route, upstreams: dict[str, Upstream]) -> TeamRoute:
    for name in (route.upstream, *(share.upstream for share in route.shares)):
        if name not in upstreams:
            text = f'route "{route.name}" of section "{team}": upstream "{name}" is not defined'
            raise TrefoilpickError(ErrorKind.DOCUMENT_FAULTY, text)
    shares = tuple(
        (TeamRoute(team, route, upstreams[share.upstream]), share.weight) for share in route.shares
    )
    return TeamRoute(team, route, upstreams[route.upstream], shares)


def _get_prefix_length(team_route: TeamRoute) -> int:
    return len(team_route.route.match.path_prefix)

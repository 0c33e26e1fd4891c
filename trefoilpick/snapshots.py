"""The enforced version: an immutable snapshot, replaced by one assignment."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from trefoilpick.document import ANY_METHOD
from trefoilpick.errors import ErrorKind, TrefoilpickError

if TYPE_CHECKING:
    from trefoilpick.document import CallerLimits, Document, Route, Upstream
    from trefoilpick.manifest import Manifest, VersionId


@dataclass(frozen=True)
class TeamRoute:
    """A route with its owner and its upstream.

    Attributes:
        team: The owner.
        route: The route.
        upstream: Where its requests go.
        shares: Where its requests go instead, with weights, where they are divided.
    """

    team: str
    route: Route
    upstream: Upstream
    shares: tuple[tuple[TeamRoute, int], ...] = ()


@dataclass(frozen=True)
class Snapshot:
    """One version, whole, as a node enforces it.

    Attributes:
        version: Identity of the version.
        manifest: The manifest that accepted it.
        document: All its sections.
        upstreams: Upstreams by name.
        routes: Routes by host, the longest path prefix first.
        caller_limits: Limits of callers, where the document sets them.
    """

    version: VersionId
    manifest: Manifest
    document: Document
    upstreams: dict[str, Upstream] = field(repr=False)
    routes: dict[str, tuple[TeamRoute, ...]] = field(repr=False)
    caller_limits: CallerLimits | None = None

    def find_route(self, host: str, method: str, path: str) -> TeamRoute:
        """Return the route that takes a request.

        A route for the named host goes before one for any host; then the longest prefix wins.

        Args:
            host: Host header without its port, in lower case.
            method: HTTP method in upper case.
            path: Path without the query.

        Raises:
            TrefoilpickError: `NO_ROUTE` or `METHOD_NOT_ALLOWED`.
        """
        path_known = False
        for candidates in (self.routes.get(host, ()), self.routes.get("*", ())):
            for candidate in candidates:
                if not match_prefix(candidate.route.match.path_prefix, path):
                    continue
                methods = candidate.route.match.methods
                if method in methods or ANY_METHOD in methods:
                    return candidate
                path_known = True
        if path_known:
            text = f'method "{method}" is not allowed for "{path}" on host "{host}"'
            raise TrefoilpickError(ErrorKind.METHOD_NOT_ALLOWED, text)
        raise TrefoilpickError(ErrorKind.NO_ROUTE, f'no route for "{path}" on host "{host}"')


class SnapshotCell:
    """The place where a node keeps the snapshot that it enforces."""

    def __init__(self) -> None:
        self._snapshot: Snapshot | None = None

    @property
    def current(self) -> Snapshot | None:
        """The enforced snapshot; None until the first is enforced."""
        return self._snapshot

    def replace(self, snapshot: Snapshot) -> bool:
        """Enforce a snapshot, unless the enforced one is as new or newer.

        Args:
            snapshot: A checked, whole version.

        Returns:
            Whether it was enforced.
        """
        if self._snapshot is not None and snapshot.version <= self._snapshot.version:
            return False
        self._snapshot = snapshot
        return True


def match_prefix(prefix: str, path: str) -> bool:
    """Tell whether a path begins with a prefix on a boundary of segments."""
    if not path.startswith(prefix):
        return False
    return prefix.endswith("/") or len(path) == len(prefix) or path[len(prefix)] == "/"


def build_snapshot(version: VersionId, manifest: Manifest, document: Document) -> Snapshot:
    """Build the snapshot of a checked document.

    Args:
        version: Identity of the version.
        manifest: The manifest that accepted it.
        document: A document without faults.

    Raises:
        TrefoilpickError: `DOCUMENT_FAULTY`, where a route's upstream is not defined.
    """
    upstreams = {
        upstream.name: upstream for section in document.sections for upstream in section.upstreams
    }
    by_host: dict[str, list[TeamRoute]] = {}
    for section in document.sections:
        for route in section.routes:
            team_route = _link_route(section.team, route, upstreams)
            by_host.setdefault(route.match.host.lower(), []).append(team_route)
    routes = {
        host: tuple(sorted(found, key=_measure_prefix, reverse=True))
        for host, found in by_host.items()
    }
    limits = (section.caller_limits for section in document.sections if section.caller_limits)
    return Snapshot(version, manifest, document, upstreams, routes, next(limits, None))


def _link_route(team: str, route: Route, upstreams: dict[str, Upstream]) -> TeamRoute:
    for name in (route.upstream, *(share.upstream for share in route.shares)):
        if name not in upstreams:
            text = f'route "{route.name}" of section "{team}": upstream "{name}" is not defined'
            raise TrefoilpickError(ErrorKind.DOCUMENT_FAULTY, text)
    shares = tuple(
        (TeamRoute(team, route, upstreams[share.upstream]), share.weight) for share in route.shares
    )
    return TeamRoute(team, route, upstreams[route.upstream], shares)


def _measure_prefix(team_route: TeamRoute) -> int:
    return len(team_route.route.match.path_prefix)

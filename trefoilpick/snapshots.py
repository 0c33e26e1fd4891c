"""The enforced version: an immutable snapshot, replaced by one assignment."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from trefoilpick.errors import ErrorKind, TrefoilpickError

if TYPE_CHECKING:
    from trefoilpick.document import Document, Route, Upstream
    from trefoilpick.manifest import Manifest, VersionId


@dataclass(frozen=True)
class TeamRoute:
    """A route with its owner and its upstream."""

    team: str
    route: Route
    upstream: Upstream


@dataclass(frozen=True)
class Snapshot:
    """One version, whole, as a node enforces it.

    Attributes:
        version: Identity of the version.
        manifest: The manifest that accepted it.
        document: All its sections.
        upstreams: Upstreams by name.
        routes: Routes by host, the longest path prefix first.
    """

    version: VersionId
    manifest: Manifest
    document: Document
    upstreams: dict[str, Upstream] = field(repr=False)
    routes: dict[str, tuple[TeamRoute, ...]] = field(repr=False)

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
                if method in candidate.route.match.methods:
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
            if route.upstream not in upstreams:
                text = (
                    f'route "{route.name}" of section "{section.team}": '
                    f'upstream "{route.upstream}" is not defined'
                )
                raise TrefoilpickError(ErrorKind.DOCUMENT_FAULTY, text)
            team_route = TeamRoute(section.team, route, upstreams[route.upstream])
            by_host.setdefault(route.match.host.lower(), []).append(team_route)
    routes = {
        host: tuple(sorted(found, key=_measure_prefix, reverse=True))
        for host, found in by_host.items()
    }
    return Snapshot(version, manifest, document, upstreams, routes)


def _measure_prefix(team_route: TeamRoute) -> int:
    return len(team_route.route.match.path_prefix)

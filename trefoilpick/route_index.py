"""Index of the routes of a document by host and path prefix.

A request is matched by looking up the prefixes of its path, longest first, so that the cost depends
on the depth of the path and not on the number of routes. An index is never changed; its successor
shares the hosts that did not change.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from trefoilpick.document import ANY_METHOD, MAX_PREFIX_LENGTH
from trefoilpick.errors import ErrorKind, TrefoilpickError

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Mapping

    from trefoilpick.snapshots import TeamRoute

PrefixTable = dict[str, tuple["TeamRoute", ...]]
"""Routes of one host by path prefix."""


class RouteIndex:
    """Routes by host and path prefix.

    Args:
        hosts: Tables of the routes by host, in lower case.
    """

    def __init__(self, hosts: Mapping[str, PrefixTable] | None = None) -> None:
        self._hosts = hosts or {}

    def __iter__(self) -> Iterator[TeamRoute]:
        for table in self._hosts.values():
            for routes in table.values():
                yield from routes

    def find(self, host: str, prefix: str) -> tuple[TeamRoute, ...]:
        """Return the routes with a host, in lower case, and a path prefix."""
        table = self._hosts.get(host)
        return () if table is None else table.get(prefix, ())

    def has_host(self, host: str) -> bool:
        """Return whether any route has a host, in lower case."""
        return host in self._hosts

    def replace(self, removed: Iterable[TeamRoute], added: Iterable[TeamRoute]) -> RouteIndex:
        """Return an index without some routes and with others.

        Args:
            removed: Routes of this index.
            added: Routes that it does not contain.

        Raises:
            TrefoilpickError: `DOCUMENT_FAULTY` if two routes match the same requests.
        """
        hosts = dict(self._hosts)
        copied: set[str] = set()

        def open_table(route: TeamRoute) -> PrefixTable:
            host = route.route.match.host.lower()
            if host not in copied:
                copied.add(host)
                hosts[host] = dict(hosts.get(host, {}))
            return hosts[host]

        for route in removed:
            table, prefix = open_table(route), route.route.match.path_prefix
            table[prefix] = tuple(other for other in table[prefix] if other is not route)
            if not table[prefix]:
                del table[prefix]
        for route in added:
            table, prefix = open_table(route), route.route.match.path_prefix
            others = table.get(prefix, ())
            _check_overlap(route, others)
            table[prefix] = (*others, route)
        return RouteIndex({host: table for host, table in hosts.items() if table})


def list_prefixes(path: str) -> Iterator[str]:
    """Yield the prefixes of a path that end at a segment boundary, longest first."""
    if len(path) <= MAX_PREFIX_LENGTH:
        yield path
    end = min(len(path), MAX_PREFIX_LENGTH + 1)
    while (end := path.rfind("/", 0, end)) >= 0:
        if end + 1 < len(path) and end < MAX_PREFIX_LENGTH:
            yield path[: end + 1]
        if end > 0 and path[end - 1] != "/":
            yield path[:end]


def _check_overlap(route: TeamRoute, others: Iterable[TeamRoute]) -> None:
    match = route.route.match
    for other in others:
        shared = set(match.methods) & set(other.route.match.methods)
        if shared:
            methods = "any method" if ANY_METHOD in shared else ", ".join(sorted(shared))
            text = (
                f'route "{route.route.name}" of section "{route.team}" overlaps route '
                f'"{other.route.name}" of section "{other.team}": both match {methods} '
                f'"{match.path_prefix}" on host "{match.host}"'
            )
            raise TrefoilpickError(ErrorKind.DOCUMENT_FAULTY, text)

"""Conflicts within and between the sections of a document.

Conflicts are found on outlines, which hold only the fields that can conflict. A section with an
invalid field elsewhere is therefore still compared with the others.
"""

from __future__ import annotations

from dataclasses import dataclass
from functools import singledispatch
from typing import TYPE_CHECKING, Any

from trefoilpick.document import Section

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping, Sequence


@dataclass(frozen=True)
class UpstreamOutline:
    """The name of an upstream and the path of that name in the section."""

    path: str
    name: str


@dataclass(frozen=True)
class RouteOutline:
    """The fields of a route that can conflict, and its path in the section."""

    path: str
    name: str
    upstream: str
    host: str
    path_prefix: str
    methods: tuple[str, ...]
    has_empty_methods: bool = False
    shares: tuple[str, ...] = ()


@dataclass(frozen=True)
class SectionOutline:
    """The fields of a section that can conflict; unreadable fields are empty."""

    team: str
    upstreams: tuple[UpstreamOutline, ...] = ()
    routes: tuple[RouteOutline, ...] = ()


@dataclass(frozen=True)
class Conflict:
    """A conflict within a section or between two sections.

    Attributes:
        index: Index of the section at fault.
        path: Path of the field in that section.
        text: Description of the conflict.
    """

    index: int
    path: str
    text: str


@singledispatch
def outline_section(section: object) -> SectionOutline:
    """Return the outline of a section, as far as it can be read."""
    return SectionOutline("")


@outline_section.register
def _(section: Section) -> SectionOutline:
    upstreams = (
        UpstreamOutline(f"upstreams[{index}].name", upstream.name)
        for index, upstream in enumerate(section.upstreams)
    )
    routes = (
        RouteOutline(
            f"routes[{index}]",
            route.name,
            route.upstream,
            route.match.host,
            route.match.path_prefix,
            route.match.methods,
            has_empty_methods=not route.match.methods,
            shares=tuple(share.upstream for share in route.shares),
        )
        for index, route in enumerate(section.routes)
    )
    return SectionOutline(section.team, tuple(upstreams), tuple(routes))


@outline_section.register
def _(section: dict) -> SectionOutline:
    upstreams = (
        UpstreamOutline(f"upstreams[{index}].name", _get_text(raw, "name"))
        for index, raw in enumerate(_get_list(section, "upstreams"))
    )
    routes = (
        _outline_raw_route(f"routes[{index}]", raw)
        for index, raw in enumerate(_get_list(section, "routes"))
    )
    return SectionOutline(_get_text(section, "team"), tuple(upstreams), tuple(routes))


def find_conflicts(
    sections: Sequence[SectionOutline], owners: Mapping[str, str], *, all_readable: bool = True
) -> Iterator[Conflict]:
    """Find all conflicts among the sections of one version.

    Args:
        sections: Outlines of the sections.
        owners: Owning team by upstream in the version in force.
        all_readable: Whether every section could be read; only then is an upstream that none of
            them defines reported.

    Yields:
        Each conflict.
    """
    yield from _find_duplicate_teams(sections)
    yield from _find_duplicate_upstreams(sections, owners)
    if all_readable:
        yield from _find_undefined_upstreams(sections)
    for index, section in enumerate(sections):
        yield from _find_duplicate_routes(index, section)
        yield from _find_invalid_methods(index, section)
    yield from _find_overlaps(sections)


def _find_duplicate_teams(sections: Sequence[SectionOutline]) -> Iterator[Conflict]:
    seen: set[str] = set()
    for index, section in enumerate(sections):
        if section.team and section.team in seen:
            yield Conflict(index, "team", f'section "{section.team}" is defined twice')
        seen.add(section.team)


def _find_duplicate_upstreams(
    sections: Sequence[SectionOutline], owners: Mapping[str, str]
) -> Iterator[Conflict]:
    definitions: dict[str, list[tuple[int, str]]] = {}
    for index, section in enumerate(sections):
        for upstream in section.upstreams:
            definitions.setdefault(upstream.name, []).append((index, upstream.path))
    for name, locations in definitions.items():
        if name and len(locations) > 1:
            yield from _report_duplicate_definitions(sections, name, locations, owners.get(name))


def _report_duplicate_definitions(
    sections: Sequence[SectionOutline],
    name: str,
    locations: list[tuple[int, str]],
    owner: str | None,
) -> Iterator[Conflict]:
    owned = [location for location in locations if sections[location[0]].team == owner]
    first = (owned or locations)[0]
    team = sections[first[0]].team
    for index, path in locations:
        if (index, path) == first:
            continue
        if sections[index].team == team:
            yield Conflict(index, path, f'upstream "{name}" is defined twice')
        else:
            yield Conflict(index, path, f'upstream "{name}" is owned by section "{team}"')


def _find_undefined_upstreams(sections: Sequence[SectionOutline]) -> Iterator[Conflict]:
    defined = {upstream.name for section in sections for upstream in section.upstreams}
    for index, section in enumerate(sections):
        for route in section.routes:
            if route.upstream and route.upstream not in defined:
                yield Conflict(
                    index, f"{route.path}.upstream", _describe_undefined(route, route.upstream)
                )
            for number, name in enumerate(route.shares):
                if name not in defined:
                    path = f"{route.path}.shares[{number}].upstream"
                    yield Conflict(index, path, _describe_undefined(route, name))


def _describe_undefined(route: RouteOutline, upstream: str) -> str:
    return f'route "{route.name}": upstream "{upstream}" is not defined in any section'


def _find_duplicate_routes(index: int, section: SectionOutline) -> Iterator[Conflict]:
    seen: set[str] = set()
    for route in section.routes:
        if route.name and route.name in seen:
            text = f'route "{route.name}" is defined twice in section "{section.team}"'
            yield Conflict(index, f"{route.path}.name", text)
        seen.add(route.name)


def _find_invalid_methods(index: int, section: SectionOutline) -> Iterator[Conflict]:
    for route in section.routes:
        path = f"{route.path}.match.methods"
        if len(set(route.methods)) < len(route.methods):
            yield Conflict(index, path, f'route "{route.name}": a method is listed twice')
        if route.has_empty_methods:
            yield Conflict(index, path, f'route "{route.name}": it lists no method')


def _find_overlaps(sections: Sequence[SectionOutline]) -> Iterator[Conflict]:
    first_routes: dict[tuple[str, str, str], tuple[int, RouteOutline]] = {}
    for index, section in enumerate(sections):
        for route in section.routes:
            overlapping: dict[tuple[int, str], str] = {}
            for method in dict.fromkeys(route.methods):
                criteria = (route.host.lower(), route.path_prefix, method)
                other = first_routes.setdefault(criteria, (index, route))
                if other != (index, route):
                    overlapping.setdefault((other[0], other[1].name), method)
            for (other_index, other_name), method in overlapping.items():
                text = (
                    f'route "{route.name}" overlaps route "{other_name}" of section '
                    f'"{sections[other_index].team}": both match {method} '
                    f'"{route.path_prefix}" on host "{route.host}"'
                )
                yield Conflict(index, f"{route.path}.match", text)


def _outline_raw_route(path: str, raw: Any) -> RouteOutline:
    match = raw.get("match") if isinstance(raw, dict) else None
    methods = tuple(name for name in _get_list(match, "methods") if isinstance(name, str))
    prefix = _get_text(match, "path_prefix")
    return RouteOutline(
        path,
        _get_text(raw, "name"),
        _get_text(raw, "upstream"),
        _get_text(match, "host", "*"),
        prefix,
        methods if prefix else (),
        has_empty_methods=isinstance(match, dict) and match.get("methods") == [],
        shares=tuple(_get_text(share, "upstream") for share in _get_list(raw, "shares")),
    )


def _get_text(raw: Any, name: str, default: str = "") -> str:
    value = raw.get(name, default) if isinstance(raw, dict) else ""
    return value if isinstance(value, str) else ""


def _get_list(raw: Any, name: str) -> list[Any]:
    value = raw.get(name) if isinstance(raw, dict) else None
    return value if isinstance(value, list) else []

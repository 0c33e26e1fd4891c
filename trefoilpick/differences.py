"""Differences between two documents, grouped by team."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, fields, is_dataclass
from enum import Enum
from typing import TYPE_CHECKING, Any

from trefoilpick._field_lines import join_path

if TYPE_CHECKING:
    from trefoilpick.document import Document, Route, Section, Upstream


class Action(Enum):
    """Kind of change to a section, upstream or route."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


@dataclass(frozen=True)
class FieldChange:
    """A field whose value changed.

    Attributes:
        path: Path of the field within its upstream or route.
        before: The previous value.
        after: The new value.
    """

    path: str
    before: str
    after: str


@dataclass(frozen=True)
class Change:
    """A change to one section, upstream or route.

    Attributes:
        team: Team that owns the section.
        action: Kind of change.
        thing: "section", "upstream" or "route".
        name: Name of the section, upstream or route.
        fields: Changed fields; empty unless the action is `CHANGED`.
    """

    team: str
    action: Action
    thing: str
    name: str
    fields: tuple[FieldChange, ...] = ()


def list_changes(before: Document, after: Document) -> Iterator[Change]:
    """List the changes from one document to another.

    Args:
        before: The previous document.
        after: The new document.

    Yields:
        Changes ordered by team, with upstreams and routes in the order of the new section.
    """
    previous = {section.team: section for section in before.sections}
    current = {section.team: section for section in after.sections}
    for team in sorted(previous | current):
        if team not in current:
            yield Change(team, Action.REMOVED, "section", team)
        elif team not in previous:
            yield Change(team, Action.ADDED, "section", team)
        else:
            yield from _compare_sections(previous[team], current[team])


def _compare_sections(before: Section, after: Section) -> Iterator[Change]:
    changes = (
        *_compare_named(after.team, "upstream", before.upstreams, after.upstreams),
        *_compare_named(after.team, "route", before.routes, after.routes),
    )
    yield from changes
    if not changes and before != after:
        yield Change(after.team, Action.CHANGED, "section", after.team)


def _compare_named(
    team: str,
    thing: str,
    before: tuple[Upstream, ...] | tuple[Route, ...],
    after: tuple[Upstream, ...] | tuple[Route, ...],
) -> Iterator[Change]:
    previous = {entry.name: entry for entry in before}
    current = {entry.name: entry for entry in after}
    for name, entry in current.items():
        if name not in previous:
            yield Change(team, Action.ADDED, thing, name)
        elif entry != previous[name]:
            changed = tuple(_compare_fields(previous[name], entry, ""))
            yield Change(team, Action.CHANGED, thing, name, changed)
    for name in previous:
        if name not in current:
            yield Change(team, Action.REMOVED, thing, name)


def _compare_fields(before: Any, after: Any, path: str) -> Iterator[FieldChange]:
    if is_dataclass(after):
        for entry in fields(after):
            inner_path = join_path(path, entry.name)
            yield from _compare_fields(
                getattr(before, entry.name), getattr(after, entry.name), inner_path
            )
    elif before != after:
        yield FieldChange(path, _format_value(before), _format_value(after))


def _format_value(value: Any) -> str:
    if isinstance(value, Enum):
        return str(value.value)
    if isinstance(value, tuple):
        return ", ".join(_format_value(item) for item in value)
    return str(value).lower() if isinstance(value, bool) else str(value)

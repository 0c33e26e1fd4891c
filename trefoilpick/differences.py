"""What changes between two documents, by team."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, fields, is_dataclass
from enum import Enum
from typing import TYPE_CHECKING, Any

from trefoilpick._positions import join_path

if TYPE_CHECKING:
    from trefoilpick.document import Document, Route, Section, Upstream


class Action(Enum):
    """What happened to a thing."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


@dataclass(frozen=True)
class FieldChange:
    """A field with another value.

    Attributes:
        path: Path of the field within its upstream or route.
        before: The former value.
        after: The new value.
    """

    path: str
    before: str
    after: str


@dataclass(frozen=True)
class Change:
    """A change of one thing.

    Attributes:
        team: Owner of the section.
        action: What happened.
        thing: "section", "upstream" or "route".
        name: Name of the thing.
        fields: Its changed fields; empty unless it was changed.
    """

    team: str
    action: Action
    thing: str
    name: str
    fields: tuple[FieldChange, ...] = ()


def list_changes(before: Document, after: Document) -> Iterator[Change]:
    """List what changes from one document to another.

    Args:
        before: The former document.
        after: The new document.

    Yields:
        Each change, ordered by team; upstreams and routes in the order of the new section.
    """
    former = {section.team: section for section in before.sections}
    newer = {section.team: section for section in after.sections}
    for team in sorted(former | newer):
        if team not in newer:
            yield Change(team, Action.REMOVED, "section", team)
        elif team not in former:
            yield Change(team, Action.ADDED, "section", team)
        else:
            yield from _compare_sections(former[team], newer[team])


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
    former = {entry.name: entry for entry in before}
    newer = {entry.name: entry for entry in after}
    for name, entry in newer.items():
        if name not in former:
            yield Change(team, Action.ADDED, thing, name)
        elif entry != former[name]:
            changed = tuple(_compare_fields(former[name], entry, ""))
            yield Change(team, Action.CHANGED, thing, name, changed)
    for name in former:
        if name not in newer:
            yield Change(team, Action.REMOVED, thing, name)


def _compare_fields(before: Any, after: Any, path: str) -> Iterator[FieldChange]:
    if is_dataclass(after):
        for entry in fields(after):
            inner = join_path(path, entry.name)
            yield from _compare_fields(
                getattr(before, entry.name), getattr(after, entry.name), inner
            )
    elif before != after:
        yield FieldChange(path, _show(before), _show(after))


def _show(value: Any) -> str:
    if isinstance(value, Enum):
        return str(value.value)
    if isinstance(value, tuple):
        return ", ".join(_show(item) for item in value)
    return str(value).lower() if isinstance(value, bool) else str(value)

"""Checks of a document that find all of its faults in one pass."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Any

import msgspec
from returns.result import Failure, Result, Success

from trefoilpick._positions import Positions
from trefoilpick._semantics import SectionOutline, find_conflicts, outline_section
from trefoilpick._typed_text import check_text
from trefoilpick.document import MAX_SECTION_BYTES, Document, Section
from trefoilpick.sections import encode_section

if TYPE_CHECKING:
    from collections.abc import Mapping

MAX_TEXT_BYTES = 4_000_000
"""Largest text of a section with its comments, in bytes."""


@dataclass(frozen=True, order=True)
class Fault:
    """One fault of a document.

    Attributes:
        section: Team of the section; the name of its file where no team can be read.
        path: Path of the field, like `routes[2].contract.retries`; empty for the whole section.
        line: Line in the section's text, from 1; 0 where there is no text.
        text: What is wrong, naming the thing.
        origin: Name of the section's file; empty where there is none.
    """

    section: str
    path: str
    line: int
    text: str
    origin: str = ""

    def __str__(self) -> str:
        place = f"{self.origin or self.section}:{self.line}" if self.line else self.section
        return ": ".join(part for part in (place, self.path, self.text) if part)


@dataclass(frozen=True)
class SectionText:
    """A section as its team wrote it.

    Attributes:
        origin: Name of the file.
        text: JSON with comments.
        is_published: Whether it is in force already, so that others are at fault in a conflict.
    """

    origin: str
    text: str
    is_published: bool = False


@dataclass(frozen=True)
class _Reading:
    """What could be read of one section."""

    origin: str
    positions: Positions
    is_published: bool = False
    outline: SectionOutline = SectionOutline("")
    section: Section | None = None
    is_readable: bool = False
    faults: tuple[Fault, ...] = ()

    def place(self, path: str, text: str) -> Fault:
        line = self.positions.find_line(path)
        return Fault(self.outline.team or self.origin, path, line, text, self.origin)


def check_document(
    texts: tuple[SectionText, ...], *, owners: Mapping[str, str] | None = None
) -> Result[Document, tuple[Fault, ...]]:
    """Check the sections of a document as their teams wrote them.

    Args:
        texts: One text a section.
        owners: Team by upstream as the version in force has it, to tell who owns an upstream
            that two sections define.

    Returns:
        The document, its sections ordered by team, or all of its faults.
    """
    readings = sorted((_read_section(text) for text in texts), key=_get_rank)
    faults = [fault for reading in readings for fault in reading.faults]
    outlines = [reading.outline for reading in readings]
    is_whole = all(reading.is_readable for reading in readings)
    for conflict in find_conflicts(outlines, owners or {}, is_whole=is_whole):
        faults.append(readings[conflict.index].place(conflict.path, conflict.text))
    if faults:
        return Failure(tuple(sorted(set(faults), key=_get_order)))
    sections = (reading.section for reading in readings if reading.section)
    return Success(Document(tuple(sorted(sections, key=_get_team))))


def check_sections(
    sections: tuple[Section, ...], *, owners: Mapping[str, str] | None = None
) -> tuple[Fault, ...]:
    """Check decoded sections against each other.

    Args:
        sections: All the sections of one version.
        owners: Team by upstream as the version in force has it.

    Returns:
        All faults, without lines; empty where the sections make a document.
    """
    outlines = [outline_section(section) for section in sections]
    return tuple(
        Fault(sections[conflict.index].team, conflict.path, 0, conflict.text)
        for conflict in find_conflicts(outlines, owners or {})
    )


def _read_section(text: SectionText) -> _Reading:
    length = len(text.text.encode("utf-8", "replace"))
    if length > MAX_TEXT_BYTES:
        reading = _Reading(text.origin, Positions({}, ()), text.is_published)
        problem = f"text has {length} bytes, over {MAX_TEXT_BYTES}"
        return replace(reading, faults=(reading.place("", problem),))
    checked = check_text(text.text, Section)
    outline = outline_section(checked.raw)
    team = outline.team or text.origin
    reading = _Reading(
        text.origin,
        checked.positions,
        text.is_published,
        outline,
        is_readable=isinstance(checked.raw, dict),
        faults=tuple(
            Fault(team, fault.path, fault.line, fault.text, text.origin) for fault in checked.faults
        ),
    )
    return reading if reading.faults else _build_section(reading, checked.raw)


def _build_section(reading: _Reading, raw: Any) -> _Reading:
    section = msgspec.convert(raw, Section)
    size = len(encode_section(section))
    if size > MAX_SECTION_BYTES:
        problem = f'section "{section.team}" has {size} bytes, over {MAX_SECTION_BYTES}'
        return replace(reading, faults=(reading.place("", problem),))
    return replace(reading, section=section)


def _get_rank(reading: _Reading) -> tuple[bool, str, str]:
    return not reading.is_published, reading.outline.team, reading.origin


def _get_team(section: Section) -> str:
    return section.team


def _get_order(fault: Fault) -> tuple[str, int, str, str]:
    return fault.origin, fault.line, fault.path, fault.text

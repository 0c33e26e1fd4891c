"""Validation of a configuration document, reporting every fault in one pass."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Any

import msgspec
from returns.result import Failure, Result, Success

from trefoilpick._conflicts import SectionOutline, find_conflicts, outline_section
from trefoilpick._field_lines import FieldLines
from trefoilpick._text_validation import validate_text
from trefoilpick.document import MAX_SECTION_BYTES, Document, Section
from trefoilpick.sections import encode_section

if TYPE_CHECKING:
    from collections.abc import Mapping

MAX_TEXT_BYTES = 4_000_000
"""Largest section source text, including comments, in bytes."""


@dataclass(frozen=True, order=True)
class Fault:
    """A validation fault in a document.

    Attributes:
        section: Team of the section, or its file name if the team cannot be read.
        path: Path of the field, such as `routes[2].contract.retries`; empty for the whole section.
        line: Line in the section's text, starting at 1; 0 if there is no text.
        text: Description of the fault, naming the affected entry.
        origin: Name of the section's file; empty if there is none.
    """

    section: str
    path: str
    line: int
    text: str
    origin: str = ""

    def __str__(self) -> str:
        location = f"{self.origin or self.section}:{self.line}" if self.line else self.section
        return ": ".join(part for part in (location, self.path, self.text) if part)


@dataclass(frozen=True)
class SectionText:
    """The source text of a section, as written by its team.

    Attributes:
        origin: Name of the file.
        text: JSON with comments.
        is_published: Whether the section is already in force; conflicts are then reported against
            the other sections.
    """

    origin: str
    text: str
    is_published: bool = False


@dataclass(frozen=True)
class _ParsedSection:
    """Result of parsing one section; a faulty section may be parsed only in part."""

    origin: str
    positions: FieldLines
    is_published: bool = False
    outline: SectionOutline = SectionOutline("")
    section: Section | None = None
    is_readable: bool = False
    faults: tuple[Fault, ...] = ()

    def make_fault(self, path: str, text: str) -> Fault:
        line = self.positions.find_line(path)
        return Fault(self.outline.team or self.origin, path, line, text, self.origin)


def check_document(
    texts: tuple[SectionText, ...], *, owners: Mapping[str, str] | None = None
) -> Result[Document, tuple[Fault, ...]]:
    """Parse and validate the source texts of all sections of a document.

    Args:
        texts: One text per section.
        owners: Owning team by upstream in the version in force; decides which section is at
            fault if two define the same upstream.

    Returns:
        The document with its sections ordered by team, or all faults.
    """
    parsed_sections = sorted((_parse_section(text) for text in texts), key=_get_parsed_order)
    faults = [fault for parsed in parsed_sections for fault in parsed.faults]
    outlines = [parsed.outline for parsed in parsed_sections]
    all_readable = all(parsed.is_readable for parsed in parsed_sections)
    for conflict in find_conflicts(outlines, owners or {}, all_readable=all_readable):
        faults.append(parsed_sections[conflict.index].make_fault(conflict.path, conflict.text))
    if faults:
        return Failure(tuple(sorted(set(faults), key=_get_fault_order)))
    sections = (parsed.section for parsed in parsed_sections if parsed.section)
    return Success(Document(tuple(sorted(sections, key=_get_team))))


def check_sections(
    sections: tuple[Section, ...], *, owners: Mapping[str, str] | None = None
) -> tuple[Fault, ...]:
    """Check decoded sections for conflicts with each other.

    Args:
        sections: All sections of one version.
        owners: Owning team by upstream in the version in force.

    Returns:
        All faults, without line numbers; empty if the sections form a valid document.
    """
    outlines = [outline_section(section) for section in sections]
    return tuple(
        Fault(sections[conflict.index].team, conflict.path, 0, conflict.text)
        for conflict in find_conflicts(outlines, owners or {})
    )


def _parse_section(text: SectionText) -> _ParsedSection:
    length = len(text.text.encode("utf-8", "replace"))
    if length > MAX_TEXT_BYTES:
        parsed = _ParsedSection(text.origin, FieldLines({}, ()), text.is_published)
        problem = f"text has {length} bytes, over {MAX_TEXT_BYTES}"
        return replace(parsed, faults=(parsed.make_fault("", problem),))
    checked = validate_text(text.text, Section)
    outline = outline_section(checked.raw)
    team = outline.team or text.origin
    parsed = _ParsedSection(
        text.origin,
        checked.positions,
        text.is_published,
        outline,
        is_readable=isinstance(checked.raw, dict),
        faults=tuple(
            Fault(team, fault.path, fault.line, fault.text, text.origin) for fault in checked.faults
        ),
    )
    return parsed if parsed.faults else _build_section(parsed, checked.raw)


def _build_section(parsed: _ParsedSection, raw: Any) -> _ParsedSection:
    section = msgspec.convert(raw, Section)
    size = len(encode_section(section))
    if size > MAX_SECTION_BYTES:
        problem = f'section "{section.team}" has {size} bytes, over {MAX_SECTION_BYTES}'
        return replace(parsed, faults=(parsed.make_fault("", problem),))
    return replace(parsed, section=section)


def _get_parsed_order(parsed: _ParsedSection) -> tuple[bool, str, str]:
    return not parsed.is_published, parsed.outline.team, parsed.origin


def _get_team(section: Section) -> str:
    return section.team


def _get_fault_order(fault: Fault) -> tuple[str, int, str, str]:
    return fault.origin, fault.line, fault.path, fault.text

"""Validation of JSON with comments against a data class, with line numbers for faults."""

from __future__ import annotations

from dataclasses import dataclass
from itertools import islice
from typing import Any

from returns.result import Failure

from trefoilpick._field_lines import FieldLines, locate_fields
from trefoilpick._field_validation import validate_fields
from trefoilpick._jsonc import parse_jsonc

MAX_FAULTS = 1_000
"""Maximum number of faults reported for one text."""


@dataclass(frozen=True, order=True)
class TextFault:
    """A validation fault in a text.

    Attributes:
        line: Line in the text, starting at 1.
        path: Path of the field; empty for the whole text.
        text: Description of the fault.
    """

    line: int
    path: str
    text: str

    def __str__(self) -> str:
        parts = (f"line {self.line}", self.path, self.text)
        return ": ".join(part for part in parts if part)


@dataclass(frozen=True)
class ValidatedText:
    """A parsed text with its faults.

    Attributes:
        raw: Value in plain Python types; None if the text is malformed.
        positions: Line numbers of the fields.
        faults: All faults, ordered by line.
    """

    raw: Any
    positions: FieldLines
    faults: tuple[TextFault, ...]


def validate_text(text: str, kind: Any) -> ValidatedText:
    """Parse a text and validate it against a data class.

    Args:
        text: JSON with comments.
        kind: The data class.
    """
    parsed = parse_jsonc(text)
    if isinstance(parsed, Failure):
        error = parsed.failure()
        return ValidatedText(None, FieldLines({}, ()), (TextFault(error.line, "", error.text),))
    raw = parsed.unwrap()
    positions = locate_fields(text)
    faults = [
        TextFault(positions.find_line(fault.path), fault.path, fault.text)
        for fault in islice(validate_fields(raw, kind), MAX_FAULTS + 1)
    ]
    faults += [
        TextFault(line, path, f'field "{path}" is given twice')
        for path, line in positions.duplicates[:MAX_FAULTS]
    ]
    faults.sort()
    if len(faults) > MAX_FAULTS:
        last = TextFault(faults[MAX_FAULTS].line, "", "further faults are not listed")
        faults = [*faults[:MAX_FAULTS], last]
    return ValidatedText(raw, positions, tuple(faults))

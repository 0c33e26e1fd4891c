"""Encoding of sections as stored by the platform: canonical JSON without comments.

Fields with default values are omitted, so that a section that does not use a new field can be read
by nodes of the previous release, and to save bandwidth.
"""

from __future__ import annotations

from dataclasses import MISSING, Field, fields
from enum import Enum
from functools import singledispatch
from typing import Any

import msgspec

from trefoilpick._field_validation import list_unknown_fields
from trefoilpick.document import (
    MAX_SECTION_BYTES,
    CallerLimits,
    Contract,
    Match,
    Objective,
    Route,
    Section,
    Share,
    UnusableRoute,
    Upstream,
)
from trefoilpick.errors import ErrorKind, TrefoilpickError

NEWER_FIELD_DEFAULTS = (
    b',"large_answers":false',
    b',"large_bodies":false',
    b',"cold_start_ms":0',
    b',"cold_rate_per_s":0.0',
)
"""Encoded default values of fields that nodes of the former release refuse as unknown. Quotes are
escaped inside a JSON string, so none of these can be part of a string."""

_DECODER = msgspec.json.Decoder(Section)


def encode_section(section: Section) -> bytes:
    """Return the canonical JSON of a section; equal sections have equal encodings."""
    return msgspec.json.encode(_strip_defaults(section))


def encode_complete(section: Section) -> bytes:
    """Return the JSON of a section with its default values, except those of newer fields.

    It is faster to encode and to check than the canonical form.
    """
    text = msgspec.json.encode(section)
    for default in NEWER_FIELD_DEFAULTS:
        text = text.replace(default, b"")
    return text


def decode_section(data: bytes) -> Section:
    """Decode and validate one section as stored by the platform.

    Args:
        data: JSON without comments, not necessarily in the canonical encoding.

    Raises:
        TrefoilpickError: `DOCUMENT_FAULTY`, naming the first fault.
    """
    if len(data) > MAX_SECTION_BYTES:
        text = f"section has {len(data)} bytes, over {MAX_SECTION_BYTES}"
        raise TrefoilpickError(ErrorKind.DOCUMENT_FAULTY, text)
    try:
        section = _DECODER.decode(data)
        if encode_complete(section) == data:
            # Re-encoding reproduced the input, so it has no unknown fields.
            return section
        unknown = tuple(list_unknown_fields(msgspec.json.decode(data), Section))
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise TrefoilpickError(ErrorKind.DOCUMENT_FAULTY, f"section: {error}") from error
    for path in unknown:
        text = f'section "{section.team}": unknown field "{path}"'
        raise TrefoilpickError(ErrorKind.DOCUMENT_FAULTY, text)
    return section


@singledispatch
def _strip_defaults(value: Any) -> Any:
    return value


@_strip_defaults.register
def _(value: Enum) -> Any:
    return value.value


@_strip_defaults.register
def _(value: tuple) -> list[Any]:
    return [_strip_defaults(item) for item in value]


@_strip_defaults.register(Section)
@_strip_defaults.register(CallerLimits)
@_strip_defaults.register(Share)
@_strip_defaults.register(Upstream)
@_strip_defaults.register(Route)
@_strip_defaults.register(UnusableRoute)
@_strip_defaults.register(Match)
@_strip_defaults.register(Contract)
@_strip_defaults.register(Objective)
def _(value: Any) -> dict[str, Any]:
    return {
        entry.name: _strip_defaults(getattr(value, entry.name))
        for entry in fields(value)
        if getattr(value, entry.name) != _get_default(entry)
    }


def _get_default(entry: Field[Any]) -> Any:
    if entry.default_factory is not MISSING:
        return entry.default_factory()
    return entry.default

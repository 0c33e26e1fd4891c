"""Validation of plain JSON values against the fields of a data class, reporting every fault."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import MISSING, dataclass, fields, is_dataclass
from difflib import get_close_matches
from functools import cache
from math import isfinite
from typing import Annotated, Any, Union, get_args, get_origin, get_type_hints

import msgspec

from trefoilpick._field_lines import join_path

MAX_QUOTED_CHARACTERS = 60
"""Maximum length of a value quoted in a fault text, in characters."""


@dataclass(frozen=True)
class FieldFault:
    """A validation fault of one field.

    Attributes:
        path: Path of the field, such as `routes[2].contract.retries`.
        text: Description of the fault.
    """

    path: str
    text: str


def validate_fields(
    raw: Any, kind: Any, path: str = "", *, owner: str = ""
) -> Iterator[FieldFault]:
    """Check a value and everything nested in it.

    Args:
        raw: A value in plain Python types.
        kind: The expected data class, tuple or scalar type.
        path: Path of the value.
        owner: The named entry that contains the value, such as `route "advances"`; used in fault
            texts.

    Yields:
        Each fault.
    """
    inner = _strip_union(kind)
    if is_dataclass(inner):
        if raw is not None or inner is kind:
            yield from _check_object(raw, inner, path, owner)
    elif get_origin(_strip_meta(kind)) is tuple:
        yield from _check_list(raw, kind, path, owner)
    else:
        yield from _check_scalar(raw, kind, path, owner)


def list_unknown_fields(raw: Any, kind: Any, path: str = "") -> Iterator[str]:
    """List the fields of a value that its type does not define.

    Args:
        raw: A value in plain Python types.
        kind: The expected type.
        path: Path of the value.

    Yields:
        The path of each unknown field.
    """
    inner = _strip_union(kind)
    if _is_class(inner) and isinstance(raw, dict):
        known = _list_fields(inner)
        for name, value in raw.items():
            if name not in known:
                yield join_path(path, name)
            elif isinstance(value, dict | list):
                yield from list_unknown_fields(value, known[name][0], join_path(path, name))
    elif get_origin(inner) is tuple and isinstance(raw, list):
        for index, item in enumerate(raw):
            yield from list_unknown_fields(item, get_args(inner)[0], f"{path}[{index}]")


def _check_object(raw: Any, kind: Any, path: str, owner: str) -> Iterator[FieldFault]:
    if not isinstance(raw, dict):
        yield _make_fault(path, owner, f"expected an object, got {_format_value(raw)}")
        return
    owner = _name_entry(raw, kind) or owner
    known = _list_fields(kind)
    for name in raw:
        if name not in known:
            yield _make_fault(
                join_path(path, str(name)), owner, _describe_unknown(str(name), known)
            )
    for name, (hint, is_required) in known.items():
        if name in raw:
            yield from validate_fields(raw[name], hint, join_path(path, name), owner=owner)
        elif is_required:
            yield _make_fault(join_path(path, name), owner, f'field "{name}" is missing')


def _check_list(raw: Any, kind: Any, path: str, owner: str) -> Iterator[FieldFault]:
    if not isinstance(raw, list):
        yield _make_fault(path, owner, f"expected a list, got {_format_value(raw)}")
        return
    item_kind = get_args(_strip_meta(kind))[0]
    is_faulty = False
    for index, item in enumerate(raw):
        for fault in validate_fields(item, item_kind, f"{path}[{index}]", owner=owner):
            is_faulty = True
            yield fault
    if not is_faulty:
        yield from _check_scalar(raw, kind, path, owner)


def _check_scalar(raw: Any, kind: Any, path: str, owner: str) -> Iterator[FieldFault]:
    if isinstance(raw, float) and not isfinite(raw):
        yield _make_fault(path, owner, f"expected a finite number, got {raw}")
        return
    try:
        msgspec.convert(raw, kind)
    except (msgspec.ValidationError, ValueError, OverflowError) as error:
        problem = str(error).replace("`", "").replace("array of length", "list of length")
        problem = f"{problem[:1].lower()}{problem[1:]}, value is {_format_value(raw)}"
        yield _make_fault(path, owner, problem)


def _name_entry(raw: dict[Any, Any], kind: Any) -> str:
    name = raw.get("name")
    label = kind.__name__.removesuffix("Settings").lower()
    return f'{label} "{_shorten(name)}"' if isinstance(name, str) else ""


def _make_fault(path: str, owner: str, problem: str) -> FieldFault:
    return FieldFault(path, f"{owner}: {problem}" if owner else problem)


@cache
def _list_fields(kind: Any) -> dict[str, tuple[Any, bool]]:
    hints = get_type_hints(kind, include_extras=True)
    return {
        entry.name: (
            hints[entry.name],
            entry.default is MISSING and entry.default_factory is MISSING,
        )
        for entry in fields(kind)
    }


def _is_class(kind: Any) -> bool:
    return is_dataclass(kind)


def _strip_meta(kind: Any) -> Any:
    return get_args(kind)[0] if get_origin(kind) is Annotated else kind


def _strip_union(kind: Any) -> Any:
    plain = _strip_meta(kind)
    if get_origin(plain) in (Union, type(int | None)):
        classes = [part for part in get_args(plain) if is_dataclass(part)]
        return classes[0] if classes else plain
    return plain


def _describe_unknown(name: str, known: dict[str, tuple[Any, bool]]) -> str:
    matches = get_close_matches(name, known, n=1)
    hint = f', did you mean "{matches[0]}"?' if matches else ""
    return f'unknown field "{_shorten(name)}"{hint}'


def _format_value(raw: Any) -> str:
    if isinstance(raw, dict):
        return "an object"
    if isinstance(raw, list):
        return f"a list of {len(raw)}"
    if isinstance(raw, int) and abs(raw) >= 10**MAX_QUOTED_CHARACTERS:
        return "a huge number"
    return _shorten(repr(raw) if not isinstance(raw, str) else f'"{raw}"')


def _shorten(text: str) -> str:
    return text if len(text) <= MAX_QUOTED_CHARACTERS else f"{text[:MAX_QUOTED_CHARACTERS]}…"

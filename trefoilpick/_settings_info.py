"""Descriptions of all settings, derived from their types."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum
from typing import Any, get_args

import msgspec
from msgspec import NODEFAULT, inspect

from trefoilpick._field_lines import join_path
from trefoilpick.document import Name
from trefoilpick.settings import Settings
from trefoilpick.vms import Host

PATTERN_NAMES: dict[str, str] = {
    get_args(Name)[1].pattern: "name",
    get_args(Host)[1].pattern: "IP address",
}
"""Readable names of the patterns of shared types."""


@dataclass(frozen=True)
class SettingInfo:
    """Description of one setting.

    Attributes:
        path: Path of the field, such as `source.watch_ms`.
        unit: Unit of the value; empty if it has none.
        default: Default as JSON; None if the setting is required.
        range: Accepted values.
        text: Meaning of the setting.
    """

    path: str
    unit: str
    default: str | None
    range: str
    text: str


def list_settings(kind: Any = Settings) -> Iterator[SettingInfo]:
    """List every setting of a node.

    Args:
        kind: The data class of settings.

    Yields:
        Each setting, in the order of the classes.
    """
    yield from _list_fields(inspect.type_info(kind), "", is_optional=False)


def _list_fields(info: Any, path: str, *, is_optional: bool) -> Iterator[SettingInfo]:
    for entry in info.fields:
        inner_path = join_path(path, entry.name)
        nested = _find_class(entry.type)
        if nested is not None:
            defaults_to_none = entry.default is None
            yield from _list_fields(nested, inner_path, is_optional=is_optional or defaults_to_none)
            continue
        default = _format_default(entry)
        if default is None and is_optional:
            default = "none"
        yield _describe(entry.type, inner_path, default)


def _find_class(info: Any) -> Any:
    if isinstance(info, inspect.Metadata):
        return _find_class(info.type)
    if isinstance(info, inspect.UnionType):
        return next((nested for nested in map(_find_class, info.types) if nested), None)
    return info if isinstance(info, inspect.DataclassType) else None


def _describe(info: Any, path: str, default: str | None) -> SettingInfo:
    unit, text = "", ""
    while isinstance(info, inspect.Metadata):
        unit = unit or (info.extra or {}).get("unit", "")
        text = text or (info.extra_json_schema or {}).get("description", "")
        info = info.type
    return SettingInfo(path, unit, default, _format_range(info), text)


def _format_range(info: Any) -> str:
    if isinstance(info, inspect.Metadata):
        return _format_range(info.type)
    if isinstance(info, inspect.IntType | inspect.FloatType):
        return f"{_format_bound(info.ge, info.gt)} to {_format_bound(info.le, info.lt)}"
    if isinstance(info, inspect.LiteralType):
        return ", ".join(str(value) for value in info.values)
    if isinstance(info, inspect.EnumType):
        return ", ".join(str(member.value) for member in info.cls)
    if isinstance(info, inspect.BoolType):
        return "true, false"
    if isinstance(info, inspect.VarTupleType):
        minimum = f", at least {info.min_length}" if info.min_length else ""
        return f"list of {_format_range(info.item_type)}{minimum}"
    if isinstance(info, inspect.StrType) and info.min_length == info.max_length:
        return f"{info.min_length} characters" if info.min_length else _format_pattern(info)
    return "text"


def _format_bound(inclusive: float | None, exclusive: float | None) -> str:
    if inclusive is not None:
        return f"{inclusive:_}"
    return "any" if exclusive is None else f"{exclusive:_} (exclusive)"


def _format_pattern(info: inspect.StrType) -> str:
    if info.pattern is None:
        return "text"
    return PATTERN_NAMES.get(info.pattern, f"text matching {info.pattern}")


def _format_default(entry: inspect.Field) -> str | None:
    default = entry.default
    if entry.default_factory is not NODEFAULT:
        default = entry.default_factory()
    if default is NODEFAULT:
        return None
    if isinstance(default, Enum):
        default = default.value
    return msgspec.json.encode(default).decode()

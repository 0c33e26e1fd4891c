"""The command `settings`."""

from __future__ import annotations

from collections.abc import Iterator
from enum import Enum
from itertools import groupby
from typing import Annotated

import msgspec
import typer
from rich.table import Table
from rich.text import Text

from trefoilpick._console import console
from trefoilpick._settings_info import SettingInfo, list_settings


class Format(Enum):
    """Output format of the list of settings."""

    TABLE = "table"
    JSON = "json"
    MARKDOWN = "markdown"


def settings(
    as_json: Annotated[bool, typer.Option("--json", help="Print one JSON object.")] = False,
    layout: Annotated[Format, typer.Option("--format", help="Output format.")] = Format.TABLE,
) -> None:
    """List every setting of a node with its unit, default and range.

    Examples:

        trefoilpick settings

        trefoilpick settings --format markdown > docs/settings.md
    """
    setting_infos = tuple(list_settings())
    if as_json or layout is Format.JSON:
        typer.echo(msgspec.json.encode({"settings": setting_infos}).decode())
    elif layout is Format.MARKDOWN:
        typer.echo("\n".join(render_markdown(setting_infos)))
    else:
        console.print(_build_table(setting_infos))


def render_markdown(settings: tuple[SettingInfo, ...]) -> Iterator[str]:
    """Yield the lines of the documentation page on settings."""
    yield "# Settings of a node"
    yield ""
    yield "Written by `trefoilpick settings --format markdown`. A settings file is JSON with"
    yield "comments; `examples/node.jsonc` is one. Unknown fields and values out of range are"
    yield "refused at the start, all of them in one error."
    for group, members in groupby(settings, _get_group):
        yield ""
        yield f"## {group}"
        yield ""
        yield "| setting | what it sets | unit | default | range |"
        yield "| --- | --- | --- | --- | --- |"
        for info in members:
            default = "required" if info.default is None else f"`{info.default}`"
            values = info.range.replace("|", "\\|")
            yield f"| `{info.path}` | {info.text} | {info.unit} | {default} | {values} |"


def _build_table(settings: tuple[SettingInfo, ...]) -> Table:
    table = Table(box=None, pad_edge=False, header_style="bold")
    table.add_column("setting", style="cyan", no_wrap=True)
    for name in ("unit", "default", "range", "what it sets"):
        table.add_column(name, overflow="fold")
    for info in settings:
        default = Text("required", "yellow") if info.default is None else Text(info.default)
        table.add_row(info.path, info.unit, default, Text(info.range), Text(info.text))
    return table


def _get_group(info: SettingInfo) -> str:
    return info.path.partition(".")[0]

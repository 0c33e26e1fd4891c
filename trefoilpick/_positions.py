"""Lines of fields in JSON with comments."""

from __future__ import annotations

import re
from collections.abc import Iterator
from dataclasses import dataclass, field

_TOKEN = re.compile(
    r"""
    (?P<skip>//[^\n]*|/\*.*?\*/|\s+)
    |(?P<string>"(?:\\.|[^"\\])*"|'(?:\\.|[^'\\])*')
    |(?P<mark>[\[\]{}:,])
    |(?P<word>(?:(?!/[/*])[^\s\[\]{}:,"'])+)
    |(?P<other>.)
    """,
    re.VERBOSE | re.DOTALL,
)


@dataclass(frozen=True)
class Positions:
    """Where the fields of a text stand.

    Attributes:
        lines: Line by path, from 1; the path of a field is like `routes[2].contract.retries`.
        doubled: Paths that the text gives more than once, with the later line.
    """

    lines: dict[str, int]
    doubled: tuple[tuple[str, int], ...]

    def find_line(self, path: str) -> int:
        """Return the line of a field, or of the nearest thing around it; 1 at the least."""
        while path:
            if path in self.lines:
                return self.lines[path]
            path = path[: max(path.rfind("."), path.rfind("["), 0)]
        return self.lines.get("", 1)


@dataclass
class _Level:
    """An object or a list that is open."""

    path: str
    is_list: bool
    index: int = 0
    key: str = ""
    has_key: bool = False
    seen: set[str] = field(default_factory=set)

    def name_entry(self) -> str:
        return f"{self.path}[{self.index}]" if self.is_list else join_path(self.path, self.key)


def join_path(path: str, name: str) -> str:
    """Return the path of a field within the thing at a path."""
    return f"{path}.{name}" if path else name


def locate_fields(text: str) -> Positions:
    """Find the line of every field of a text.

    Args:
        text: JSON with comments; where it is malformed, the lines are those found before.
    """
    lines: dict[str, int] = {}
    doubled: list[tuple[str, int]] = []
    levels: list[_Level] = []
    for token, line in _list_tokens(text):
        level = levels[-1] if levels else None
        if token in ("{", "["):
            path = level.name_entry() if level else ""
            lines.setdefault(path, line)
            levels.append(_Level(path, token == "["))
        elif token in ("}", "]"):
            if levels:
                levels.pop()
        elif level is None:
            lines.setdefault("", line)
        elif token == ",":
            level.index += 1
            level.has_key = False
        elif token == ":":
            level.has_key = True
        elif level.is_list:
            lines.setdefault(level.name_entry(), line)
        elif not level.has_key:
            level.key = _strip_quotes(token)
            path = level.name_entry()
            if level.key in level.seen:
                doubled.append((path, line))
            level.seen.add(level.key)
            lines.setdefault(path, line)
    return Positions(lines, tuple(doubled))


def _list_tokens(text: str) -> Iterator[tuple[str, int]]:
    line = 1
    for found in _TOKEN.finditer(text):
        token = found.group()
        if found.lastgroup != "skip":
            yield token, line
        line += token.count("\n")


def _strip_quotes(token: str) -> str:
    return token[1:-1] if token[0] in "\"'" and len(token) > 1 else token

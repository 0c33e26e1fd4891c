"""Lines of fields in JSON with comments."""

from __future__ import annotations

import re
from collections.abc import Iterator
from dataclasses import dataclass, field

MAX_DEPTH = 8
"""Levels of nesting whose fields have lines; a section has five."""

MAX_KEY = 32
"""Part of a field's name that its path keeps, in characters."""

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
        """Return the path of the field that the text stands at."""
        return f"{self.path}[{self.index}]" if self.is_list else join_path(self.path, self.key)


def join_path(path: str, name: str) -> str:
    """Return the path of a field within the thing at a path."""
    return f"{path}.{name}" if path else name


def locate_fields(text: str) -> Positions:
    """Find the line of every field of a text, down to `MAX_DEPTH` levels.

    Args:
        text: JSON with comments.
    """
    locator = _Locator()
    for token, line in _list_tokens(text):
        locator.take(token, line)
    return Positions(locator.lines, tuple(locator.doubled))


class _Locator:
    """Follows the tokens of a text."""

    def __init__(self) -> None:
        self.lines: dict[str, int] = {}
        self.doubled: list[tuple[str, int]] = []
        self._levels: list[_Level] = []
        self._depth = 0

    def take(self, token: str, line: int) -> None:
        """Take the next token."""
        if token in ("{", "["):
            self._open(line, is_list=token == "[")
        elif token in ("}", "]"):
            self._close()
        elif self._depth <= MAX_DEPTH:
            self._take_inner(token, line)

    def _open(self, line: int, *, is_list: bool) -> None:
        if self._depth < MAX_DEPTH:
            path = self._levels[-1].name_entry() if self._levels else ""
            self.lines.setdefault(path, line)
            self._levels.append(_Level(path, is_list))
        self._depth += 1

    def _close(self) -> None:
        if 0 < self._depth <= MAX_DEPTH:
            self._levels.pop()
        self._depth = max(self._depth - 1, 0)

    def _take_inner(self, token: str, line: int) -> None:
        level = self._levels[-1] if self._levels else None
        if level is None:
            self.lines.setdefault("", line)
        elif token == ",":
            level.index += 1
            level.has_key = False
        elif token == ":":
            level.has_key = True
        elif level.is_list:
            self.lines.setdefault(level.name_entry(), line)
        elif not level.has_key:
            self._take_key(level, _strip_quotes(token), line)

    def _take_key(self, level: _Level, key: str, line: int) -> None:
        level.key = key[:MAX_KEY]
        path = level.name_entry()
        if key in level.seen:
            self.doubled.append((path, line))
        level.seen.add(key)
        self.lines.setdefault(path, line)


def _list_tokens(text: str) -> Iterator[tuple[str, int]]:
    line = 1
    for found in _TOKEN.finditer(text):
        token = found.group()
        if found.lastgroup != "skip":
            yield token, line
        line += token.count("\n")


def _strip_quotes(token: str) -> str:
    return token[1:-1] if token[0] in "\"'" and len(token) > 1 else token

"""Line numbers of the fields in a JSON text with comments."""

from __future__ import annotations

import re
from collections.abc import Iterator
from dataclasses import dataclass, field

MAX_DEPTH = 8
"""Deepest level of nesting whose fields are located; a section has five levels."""

MAX_KEY_CHARS = 32
"""Length to which a path truncates the name of a field, in characters."""

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
class FieldLines:
    """Line numbers of the fields of a text.

    Attributes:
        lines: Line number by path, from 1; a path looks like `routes[2].contract.retries`.
        duplicates: Paths that occur more than once, each with the line of the repetition.
    """

    lines: dict[str, int]
    duplicates: tuple[tuple[str, int], ...]

    def find_line(self, path: str) -> int:
        """Return the line of a field or of its nearest located parent; 1 if there is none."""
        while path:
            if path in self.lines:
                return self.lines[path]
            path = path[: max(path.rfind("."), path.rfind("["), 0)]
        return self.lines.get("", 1)


@dataclass
class _Container:
    """An object or a list whose end has not been reached."""

    path: str
    is_list: bool
    index: int = 0
    key: str = ""
    has_key: bool = False
    seen_keys: set[str] = field(default_factory=set)

    def build_path(self) -> str:
        """Return the path of the current field or item."""
        return f"{self.path}[{self.index}]" if self.is_list else join_path(self.path, self.key)


def join_path(path: str, name: str) -> str:
    """Return the path of a field of the object at `path`."""
    return f"{path}.{name}" if path else name


def locate_fields(text: str) -> FieldLines:
    """Find the line of every field of a text, to a depth of `MAX_DEPTH` levels.

    Args:
        text: JSON with comments.
    """
    locator = _Locator()
    for token, line in _tokenize(text):
        locator.feed(token, line)
    return FieldLines(locator.lines, tuple(locator.duplicates))


class _Locator:
    """Tracks paths and their lines over the tokens of a text."""

    def __init__(self) -> None:
        self.lines: dict[str, int] = {}
        self.duplicates: list[tuple[str, int]] = []
        self._open_containers: list[_Container] = []
        self._depth = 0

    def feed(self, token: str, line: int) -> None:
        """Process the next token."""
        if token in ("{", "["):
            self._open(line, is_list=token == "[")
        elif token in ("}", "]"):
            self._close()
        elif self._depth <= MAX_DEPTH:
            self._handle_entry_token(token, line)

    def _open(self, line: int, *, is_list: bool) -> None:
        if self._depth < MAX_DEPTH:
            path = self._open_containers[-1].build_path() if self._open_containers else ""
            self.lines.setdefault(path, line)
            self._open_containers.append(_Container(path, is_list))
        self._depth += 1

    def _close(self) -> None:
        if 0 < self._depth <= MAX_DEPTH:
            self._open_containers.pop()
        self._depth = max(self._depth - 1, 0)

    def _handle_entry_token(self, token: str, line: int) -> None:
        container = self._open_containers[-1] if self._open_containers else None
        if container is None:
            self.lines.setdefault("", line)
        elif token == ",":
            container.index += 1
            container.has_key = False
        elif token == ":":
            container.has_key = True
        elif container.is_list:
            self.lines.setdefault(container.build_path(), line)
        elif not container.has_key:
            self._handle_key(container, _strip_quotes(token), line)

    def _handle_key(self, container: _Container, key: str, line: int) -> None:
        container.key = key[:MAX_KEY_CHARS]
        path = container.build_path()
        if key in container.seen_keys:
            self.duplicates.append((path, line))
        container.seen_keys.add(key)
        self.lines.setdefault(path, line)


def _tokenize(text: str) -> Iterator[tuple[str, int]]:
    line = 1
    for match in _TOKEN.finditer(text):
        token = match.group()
        if match.lastgroup != "skip":
            yield token, line
        line += token.count("\n")


def _strip_quotes(token: str) -> str:
    return token[1:-1] if token[0] in "\"'" and len(token) > 1 else token

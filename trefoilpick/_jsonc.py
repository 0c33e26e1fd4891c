"""Parser for JSON with comments."""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import Any

import json5
import msgspec
from returns.result import Failure, Result, Success

MAX_JSON5_BYTES = 100_000
"""Maximum size of a text that is parsed as JSON5, in bytes."""

MIN_COMMENT = len("/**/")
"""Minimum length of a closed block comment, in characters."""

# Each pattern consumes an unterminated string or comment to the end of the text; otherwise the
# search would start again at every further quote, in quadratic time.
_STRING = r'("(?:\\.|[^"\\])*+(?:"|\\?\Z))'
_COMMENT = re.compile(_STRING + r"|//[^\n]*|/\*(?:.*?\*/|.*\Z)", re.DOTALL)
_TRAILING_COMMA = re.compile(_STRING + r"|,(?=\s*[\]}])", re.DOTALL)
_NO_NEWLINE = re.compile(r"[^\n]")
_JSON5_POSITION = re.compile(r"<string>:(\d+) (.*)", re.DOTALL)
_BYTE_POSITION = re.compile(r"(?:JSON is malformed: )?(.*) \(byte (\d+)\)", re.DOTALL)


@dataclass(frozen=True)
class TextError:
    """A syntax error in JSON with comments.

    Attributes:
        line: Line of the error, starting at 1.
        text: Description of the error.
    """

    line: int
    text: str


def parse_jsonc(text: str) -> Result[Any, TextError]:
    """Parse JSON with comments and trailing commas, or JSON5 if the text is short.

    The JSON5 parser handles about 50 KB per second, so it is used only for text that is not plain
    JSON after comments and trailing commas are blanked.

    Args:
        text: The text to parse.

    Returns:
        The value in plain Python types, or the first error.
    """
    blanked = _TRAILING_COMMA.sub(_blank, _COMMENT.sub(_blank, text))
    plain = blanked.encode("utf-8", "replace")
    try:
        return Success(msgspec.json.decode(plain))
    except RecursionError:
        return Failure(TextError(1, "values are nested too deeply"))
    except (msgspec.MsgspecError, UnicodeError) as error:
        if len(plain) <= MAX_JSON5_BYTES:
            return _parse_json5(text)
        return Failure(_locate_error(error, plain))


def _parse_json5(text: str) -> Result[Any, TextError]:
    try:
        return Success(json5.loads(text))
    except RecursionError:
        return Failure(TextError(1, "values are nested too deeply"))
    except (ValueError, ArithmeticError) as error:
        match = _JSON5_POSITION.match(str(error))
        line, problem = (int(match[1]), match[2]) if match else (1, str(error))
        return Failure(TextError(line, f"malformed JSON: {problem}"))


def _locate_error(error: Exception, plain: bytes) -> TextError:
    match = _BYTE_POSITION.fullmatch(str(error))
    if match is None:
        return TextError(1, f"malformed JSON: {error}")
    line = plain.count(b"\n", 0, int(match[2])) + 1
    return TextError(line, f"malformed JSON: {match[1]}")


def _blank(match: re.Match[str]) -> str:
    text = match[0]
    is_open = text.startswith("/*") and (len(text) < MIN_COMMENT or not text.endswith("*/"))
    return text if match[1] or is_open else _NO_NEWLINE.sub(" ", text)

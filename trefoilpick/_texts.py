"""Reading of JSON with comments."""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import Any

import json5
import msgspec
from returns.result import Failure, Result, Success

_COMMENT = re.compile(r'("(?:\\.|[^"\\])*")|//[^\n]*|/\*.*?\*/', re.DOTALL)
_TRAILING_COMMA = re.compile(r'("(?:\\.|[^"\\])*")|,(?=\s*[\]}])', re.DOTALL)
_PLACE = re.compile(r"<string>:(\d+) (.*)", re.DOTALL)


@dataclass(frozen=True)
class TextError:
    """Why a text is not JSON with comments.

    Attributes:
        line: Line of the fault, from 1.
        text: What is wrong.
    """

    line: int
    text: str


def parse_text(text: str) -> Result[Any, TextError]:
    """Read JSON with comments, with all that JSON5 allows.

    The JSON5 parser handles some 50 KB a second, so it reads only what is not plain JSON once
    comments and trailing commas are removed.

    Args:
        text: The text.

    Returns:
        Its value in plain Python types, or the first error.
    """
    try:
        plain = _TRAILING_COMMA.sub(_keep_string, _COMMENT.sub(_keep_string, text))
        return Success(msgspec.json.decode(plain))
    except (msgspec.MsgspecError, UnicodeError, RecursionError):
        return _parse_json5(text)


def _parse_json5(text: str) -> Result[Any, TextError]:
    try:
        return Success(json5.loads(text))
    except RecursionError:
        return Failure(TextError(1, "values are nested too deeply"))
    except (ValueError, ArithmeticError) as error:
        found = _PLACE.match(str(error))
        line, problem = (int(found[1]), found[2]) if found else (1, str(error))
        return Failure(TextError(line, f"malformed JSON: {problem}"))


def _keep_string(found: re.Match[str]) -> str:
    return found[1] or " "

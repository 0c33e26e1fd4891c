"""Conversion of the platform's names to names that a document accepts."""

from __future__ import annotations

import re
from hashlib import blake2b

PART_MARK = ".part-"
"""Separates the name of a service from the number of a part of its routes."""

_VALID_NAME = re.compile(r"[a-z0-9][a-z0-9._-]{0,62}")

DIGEST_BYTES = 8
"""Length of the digest that replaces a name, in bytes."""


def name_part(service: str, number: int) -> str:
    """Return the name of a part of a service's routes."""
    name = f"{service}{PART_MARK}{number:04x}"
    return (
        name if _VALID_NAME.fullmatch(name) else f"{_derive_name(service)}{PART_MARK}{number:04x}"
    )


def convert_name(text: str) -> str:
    """Return a name unchanged if it is a valid one, otherwise one derived from its digest.

    A valid name is one that a document accepts and that names no part.

    The result depends on the text only, so that every node derives the same name.
    """
    if _VALID_NAME.fullmatch(text) and PART_MARK not in text:
        return text
    return _derive_name(text)


def _derive_name(text: str) -> str:
    digest = blake2b(text.encode("utf-8", "surrogatepass"), digest_size=DIGEST_BYTES)
    return f"name-{digest.hexdigest()}"

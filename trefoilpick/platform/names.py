"""Conversion of the platform's names to names that a document accepts."""

from __future__ import annotations

import re
from hashlib import blake2b

_VALID_NAME = re.compile(r"[a-z0-9][a-z0-9._-]{0,62}")

DIGEST_BYTES = 8
"""Length of the digest that replaces a name, in bytes."""


def convert_name(text: str) -> str:
    """Return a name unchanged if a document accepts it, otherwise one derived from its digest.

    The result depends on the text only, so that every node derives the same name.
    """
    if _VALID_NAME.fullmatch(text):
        return text
    digest = blake2b(text.encode("utf-8", "surrogatepass"), digest_size=DIGEST_BYTES)
    return f"name-{digest.hexdigest()}"

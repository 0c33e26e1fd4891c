"""Identity of a request that is repeated with another request ID."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from hashlib import blake2b
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from trefoilpick.conventions import Conventions

DIGEST_BYTES = 8
"""Length of each digest, in bytes."""

SAMPLE_BYTES = 4_096
"""Length of the part of a body that identifies it, in bytes, together with its declared length."""

ANY_CALLER = b""
"""Stands for all callers in a fingerprint."""

_SEPARATOR = b"\x00"


@dataclass(frozen=True)
class Fingerprint:
    """Identity of a request's content and of its caller.

    Attributes:
        content: Digest of method, host, target and body.
        caller: Digest of the headers that identify the caller; `ANY_CALLER` for all callers.
    """

    content: bytes
    caller: bytes

    @property
    def for_any_caller(self) -> Fingerprint:
        """The same content from any caller."""
        return Fingerprint(self.content, ANY_CALLER)

    def __str__(self) -> str:
        return f"{self.content.hex()}/{self.caller.hex() or 'any'}"


def compute_fingerprint(
    method: str,
    target: str,
    headers: Sequence[tuple[bytes, bytes]],
    body: Iterable[bytes],
    *,
    conventions: Conventions,
) -> Fingerprint:
    """Return the fingerprint of a request.

    Only the first `SAMPLE_BYTES` of the body count, since a worker may begin to run a request
    before the rest arrives; a longer body is also identified by its declared length.

    Args:
        method: HTTP method.
        target: Path and query.
        headers: End-to-end headers, with names in lower case.
        body: The parts of the body that have arrived.
        conventions: Headers of the fleet.
    """
    sample = bytearray()
    for part in body:
        sample += part[: SAMPLE_BYTES - len(sample)]
    is_whole = len(sample) < SAMPLE_BYTES
    host, length = b"", b""
    caller = blake2b(digest_size=DIGEST_BYTES)
    for name, value in headers:
        if name == b"host":
            host = value.lower()
        elif name == b"content-length" and not is_whole:
            length = value
        elif name == conventions.caller_service or name in conventions.caller_identity:
            caller.update(_SEPARATOR.join((name, value, b"")))
    fields = (method.encode(), host, target.encode(), length, bytes(sample))
    content = blake2b(_SEPARATOR.join(fields), digest_size=DIGEST_BYTES)
    return Fingerprint(content.digest(), caller.digest())

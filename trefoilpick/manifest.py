"""The manifest: the small value by which operators accept a version.

It names a version's number, the time of acceptance and the digest of every section.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from typing import Annotated

import msgspec
from msgspec import Meta

from trefoilpick.document import Name
from trefoilpick.errors import ErrorKind, TrefoilpickError

DIGEST_BYTES = 16
"""Length of a digest, in bytes."""

MAX_MANIFEST_BYTES = 256_000
"""Largest encoded manifest, in bytes."""

Digest = Annotated[str, Meta(pattern=r"^[0-9a-f]{32}$")]
"""A BLAKE2b digest of 128 bits, in lower-case hexadecimal."""


@dataclass(frozen=True, order=True)
class VersionId:
    """Identity and order of a version: by number, then by digest of the manifest.

    Two versions with one number are ordered by their digests, so that every node prefers the
    same one whichever it heard of first.
    """

    number: int
    digest: str


@dataclass(frozen=True)
class SectionRef:
    """A section within a manifest.

    Attributes:
        team: The owner.
        digest: Digest of the section's text.
        size: Length of the section's text, in bytes.
    """

    team: Name
    digest: Digest
    size: Annotated[int, Meta(ge=0, le=1_000_000)]


@dataclass(frozen=True)
class Manifest:
    """A version that operators accepted.

    Attributes:
        number: Version number, growing by each acceptance.
        accepted_at_ms: Time of acceptance, in milliseconds since the Unix epoch.
        sections: References to the sections, ordered by team.
    """

    number: Annotated[int, Meta(ge=1, lt=2**53)]
    accepted_at_ms: Annotated[int, Meta(ge=0, lt=2**53)]
    sections: tuple[SectionRef, ...]


def compute_digest(data: bytes) -> str:
    """Return the digest of a value's bytes, in hexadecimal."""
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES).hexdigest()


def encode_manifest(manifest: Manifest) -> bytes:
    """Return the canonical JSON encoding of a manifest."""
    return msgspec.json.encode(manifest)


def decode_manifest(data: bytes) -> Manifest:
    """Read and check a manifest.

    Args:
        data: JSON in the canonical encoding or any other.

    Returns:
        The manifest, its sections ordered by team.

    Raises:
        TrefoilpickError: `MANIFEST_FAULTY`, where it is not a manifest or names a team twice.
    """
    if len(data) > MAX_MANIFEST_BYTES:
        raise TrefoilpickError(
            ErrorKind.MANIFEST_FAULTY, f"manifest has {len(data)} bytes, over {MAX_MANIFEST_BYTES}"
        )
    try:
        manifest = msgspec.json.decode(data, type=Manifest)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise TrefoilpickError(ErrorKind.MANIFEST_FAULTY, f"manifest: {error}") from error
    teams = [section.team for section in manifest.sections]
    for before, after in zip(teams, teams[1:], strict=False):
        if before >= after:
            text = f'manifest {manifest.number}: section "{after}" is doubled or out of order'
            raise TrefoilpickError(ErrorKind.MANIFEST_FAULTY, text)
    return manifest


def identify_version(manifest: Manifest) -> VersionId:
    """Return the identity of the version that a manifest describes."""
    return VersionId(manifest.number, compute_digest(encode_manifest(manifest)))

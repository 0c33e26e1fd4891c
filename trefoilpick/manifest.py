"""The manifest: the small value by which operators accept a version.

It holds the version number, the acceptance time and the digest of every section.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field
from functools import total_ordering
from typing import Annotated

import msgspec
from msgspec import Meta

from trefoilpick.document import Name
from trefoilpick.errors import ErrorKind, TrefoilpickError

DIGEST_BYTES = 16
"""Length of a digest, in bytes."""

MAX_MANIFEST_BYTES = 1_500_000
"""Maximum size of an encoded manifest, in bytes."""

Digest = Annotated[str, Meta(pattern=r"^[0-9a-f]{32}\Z")]
"""A BLAKE2b digest of 128 bits, in lower-case hexadecimal."""


@total_ordering
@dataclass(frozen=True)
class VersionId:
    """Identity of a version, ordered by number, then by confirmation, then by manifest digest.

    Of two contents with the same number, the one that the source confirmed last is newer. The
    digest orders them where that is unknown, so that all nodes prefer the same one regardless of
    which they receive first.

    Attributes:
        number: Version number.
        digest: Digest of the manifest.
        confirmed_at: Composed revision at which the source confirmed it; 0 if unknown. It does not
            belong to the identity, since a version may be confirmed again.
    """

    number: int
    digest: str
    confirmed_at: int = field(default=0, compare=False)

    def __lt__(self, other: VersionId) -> bool:
        return self != other and self._get_rank() < other._get_rank()

    def _get_rank(self) -> tuple[int, int, str]:
        return self.number, self.confirmed_at, self.digest


@dataclass(frozen=True)
class SectionRef:
    """A reference to a section in a manifest.

    Attributes:
        team: Name of the owning team.
        digest: Digest of the section's encoding.
        size: Size of the section's encoding, in bytes.
    """

    team: Name
    digest: Digest
    size: Annotated[int, Meta(ge=0, le=1_000_000)]


@dataclass(frozen=True)
class Manifest:
    """The manifest of a version that operators accepted.

    Attributes:
        number: Version number, increasing with each acceptance.
        accepted_at_ms: Time of acceptance, in milliseconds since the Unix epoch.
        sections: References to the sections, ordered by team.
    """

    number: Annotated[int, Meta(ge=1, lt=2**53)]
    accepted_at_ms: Annotated[int, Meta(ge=0, lt=2**53)]
    sections: tuple[SectionRef, ...]


def compute_digest(data: bytes) -> str:
    """Return the digest of some bytes, in hexadecimal."""
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES).hexdigest()


def encode_manifest(manifest: Manifest) -> bytes:
    """Return the canonical JSON encoding of a manifest."""
    return msgspec.json.encode(manifest)


def decode_manifest(data: bytes) -> Manifest:
    """Decode and validate a manifest.

    Args:
        data: JSON, not necessarily in the canonical encoding.

    Returns:
        The manifest with its sections ordered by team.

    Raises:
        TrefoilpickError: `MANIFEST_FAULTY` if the data is not a manifest, or its teams are
            duplicated or out of order.
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
            text = f'manifest {manifest.number}: section "{after}" is duplicated or out of order'
            raise TrefoilpickError(ErrorKind.MANIFEST_FAULTY, text)
    return manifest


def identify_version(manifest: Manifest, *, confirmed_at: int = 0) -> VersionId:
    """Return the identity of the version described by a manifest.

    Args:
        manifest: The manifest.
        confirmed_at: Composed revision at which the source confirmed it; 0 if unknown.
    """
    digest = compute_digest(encode_manifest(manifest))
    return VersionId(manifest.number, digest, confirmed_at)

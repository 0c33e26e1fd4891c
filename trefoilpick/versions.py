"""Versions that a node holds: manifests, sections by digest, and changes between versions."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from trefoilpick.checks import check_sections
from trefoilpick.document import Document, Section
from trefoilpick.errors import ErrorKind, TrefoilpickError
from trefoilpick.manifest import (
    Manifest,
    SectionRef,
    VersionId,
    compute_digest,
    identify_version,
)
from trefoilpick.messages import (
    Delivery,
    WireRef,
    WireSection,
    pack_bytes,
    pack_version,
    unpack_bytes,
    unpack_version,
)
from trefoilpick.revisions import get_era, is_restored_copy
from trefoilpick.sections import decode_section
from trefoilpick.snapshots import Snapshot, build_snapshot

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

KEPT_MANIFESTS = 8
"""Manifests kept to compute changes against older versions."""

MAX_DELIVERY_BYTES = 500_000
"""Maximum size of the packed sections in one message, in bytes; a larger section is sent alone."""


class VersionStore:
    """Stores the complete versions that a node holds and the sections collected so far."""

    def __init__(self) -> None:
        self._manifests: dict[VersionId, Manifest] = {}
        self._confirmed_at: dict[VersionId, int] = {}
        self._packed: dict[str, bytes] = {}
        self.newest: VersionId | None = None

    def find_manifest(self, version: VersionId) -> Manifest | None:
        """Return the manifest of a held version, or None if the version is not held."""
        return self._manifests.get(version)

    def list_missing(self, manifest: Manifest) -> tuple[SectionRef, ...]:
        """Return the references whose sections have not been added yet."""
        return tuple(ref for ref in manifest.sections if ref.digest not in self._packed)

    def add_text(self, ref: SectionRef, text: bytes) -> None:
        """Add a section's text as read from the source.

        Raises:
            TrefoilpickError: `DIGEST_MISMATCH`.
        """
        _check_text(ref, text)
        self._packed[ref.digest] = pack_bytes(text)

    def add_packed(self, ref: SectionRef, packed: bytes) -> None:
        """Add a packed section as received from a peer.

        Raises:
            TrefoilpickError: `DIGEST_MISMATCH`, `MESSAGE_MALFORMED` or `MESSAGE_TOO_LARGE`.
        """
        _check_text(ref, unpack_bytes(packed, ref.size))
        self._packed[ref.digest] = packed

    def is_newer(self, version: VersionId) -> bool:
        """Return whether a version is newer than the newest one held."""
        return self.newest is None or self.correct_confirmation(version) > self.newest

    def correct_confirmation(self, version: VersionId) -> VersionId:
        """Return a version as it was confirmed before, if it was only restored from a copy.

        Within an era, the source's own order holds, also for values restored from a copy.
        """
        original = self._confirmed_at.get(version)
        if original is None or not is_restored_copy(version.confirmed_at, original=original):
            return version
        newest = self.newest
        if newest is not None and get_era(newest.confirmed_at) == get_era(version.confirmed_at):
            return version
        return replace(version, confirmed_at=original)

    def record_confirmation(self, version: VersionId) -> None:
        """Record that the source confirmed a version again, if the version is held."""
        known = self._confirmed_at.get(version)
        corrected = self.correct_confirmation(version)
        if known is None or corrected.confirmed_at <= known:
            return
        self._confirmed_at[version] = corrected.confirmed_at
        if version == self.newest:
            self.newest = corrected

    def add_version(self, manifest: Manifest, *, confirmed_at: int = 0) -> bool:
        """Add a version if all its sections are stored and it is newer than every version held.

        Args:
            manifest: Manifest of the version.
            confirmed_at: Composed revision at which the source confirmed it; 0 if unknown.

        Returns:
            Whether it was added.
        """
        version = identify_version(manifest, confirmed_at=confirmed_at)
        if not self.is_newer(version) or self.list_missing(manifest):
            return False
        self._manifests[version] = manifest
        self._confirmed_at[version] = version.confirmed_at
        self.newest = version
        return True

    def drop_unused(self, *, enforced: VersionId | None, wanted: Manifest | None = None) -> None:
        """Drop old manifests, and sections that no remaining manifest references.

        Args:
            enforced: A version that is always kept.
            wanted: A manifest whose sections are being collected.
        """
        for version in sorted(self._manifests)[:-KEPT_MANIFESTS]:
            if version != enforced:
                del self._manifests[version]
                del self._confirmed_at[version]
        manifests = [*self._manifests.values(), *([wanted] if wanted else [])]
        referenced = {ref.digest for manifest in manifests for ref in manifest.sections}
        for digest in self._packed.keys() - referenced:
            del self._packed[digest]

    def read_texts(self, refs: Iterable[SectionRef]) -> Iterator[bytes]:
        """Yield the texts of stored sections."""
        for ref in refs:
            yield unpack_bytes(self._packed[ref.digest], ref.size)

    def list_packed(self, digests: Iterable[str]) -> tuple[WireSection, ...]:
        """Return those of the given sections that are stored, as many as fit in one message."""
        return tuple(self._iterate_packed(digests))

    def build_delivery(self, wanted: VersionId, base: VersionId | None) -> Delivery | None:
        """Return a version as a change against a base, or complete if the base is unknown.

        Returns:
            None if the version is not held.
        """
        manifest = self._manifests.get(wanted)
        if manifest is None:
            return None
        known = self._manifests.get(base) if base is not None else None
        before = {ref.team: ref for ref in known.sections} if known else {}
        changed = [ref for ref in manifest.sections if before.get(ref.team) != ref]
        teams = {ref.team for ref in manifest.sections}
        return Delivery(
            version=pack_version(replace(wanted, confirmed_at=self._confirmed_at[wanted])),
            base=pack_version(base if known else None),
            accepted_at_ms=manifest.accepted_at_ms,
            refs=tuple(WireRef(r.team, bytes.fromhex(r.digest), r.size) for r in changed),
            removed=tuple(team for team in before if team not in teams),
            sections=self.list_packed(ref.digest for ref in changed),
        )

    def resolve_manifest(self, delivery: Delivery) -> Manifest:
        """Return the manifest that a delivery describes, verified against its version's digest.

        Raises:
            TrefoilpickError: `DIGEST_MISMATCH`.
        """
        refs: dict[str, SectionRef] = {}
        base = unpack_version(delivery.base)
        if base is not None:
            known = self._manifests.get(base)
            if known is None:
                text = f"delivery is against version {base.number}, which is not held"
                raise TrefoilpickError(ErrorKind.DIGEST_MISMATCH, text)
            refs = {ref.team: ref for ref in known.sections if ref.team not in delivery.removed}
        for ref in delivery.refs:
            refs[ref.team] = SectionRef(ref.team, ref.digest.hex(), ref.size)
        sections = tuple(refs[team] for team in sorted(refs))
        manifest = Manifest(delivery.version.number, delivery.accepted_at_ms, sections)
        if identify_version(manifest) != unpack_version(delivery.version):
            text = f"manifest of version {manifest.number} does not match the announced digest"
            raise TrefoilpickError(ErrorKind.DIGEST_MISMATCH, text)
        return manifest

    def _iterate_packed(self, digests: Iterable[str]) -> Iterator[WireSection]:
        remaining = MAX_DELIVERY_BYTES
        for digest in digests:
            packed = self._packed.get(digest)
            if packed is None:
                continue
            remaining -= len(packed)
            # At least one section is sent, or a large one would never be delivered.
            if remaining < 0 and remaining + len(packed) < MAX_DELIVERY_BYTES:
                return
            yield WireSection(bytes.fromhex(digest), packed)


def prepare_snapshot(
    manifest: Manifest, store: VersionStore, *, enforced: Snapshot | None, confirmed_at: int = 0
) -> Snapshot:
    """Check a complete version and build its snapshot.

    Sections that are also in the enforced snapshot are neither decoded nor checked again.

    Args:
        manifest: A manifest whose sections are all stored.
        store: Contains the sections.
        enforced: The enforced snapshot.
        confirmed_at: Composed revision at which the source confirmed it; 0 if unknown.

    Raises:
        TrefoilpickError: `DOCUMENT_FAULTY`, naming the first fault.
    """
    known = _index_sections(enforced)
    sections = tuple(_read_section(ref, store, known) for ref in manifest.sections)
    _check_document(_omit_known_routes(sections, enforced))
    version = identify_version(manifest, confirmed_at=confirmed_at)
    return build_snapshot(version, manifest, Document(sections), previous=enforced)


def _omit_known_routes(
    sections: tuple[Section, ...], enforced: Snapshot | None
) -> tuple[Section, ...]:
    """Return the sections without routes that are valid because they are enforced already.

    Conflicts between those and other routes are found while the snapshot is built.
    """
    if enforced is None:
        return sections
    names = {upstream.name for section in sections for upstream in section.upstreams}
    if not names >= enforced.upstreams.keys():
        return sections
    known = {section.team: section for section in enforced.document.sections}
    return tuple(
        replace(section, routes=()) if known.get(section.team) is section else section
        for section in sections
    )


def _index_sections(snapshot: Snapshot | None) -> dict[str, Section]:
    if snapshot is None:
        return {}
    pairs = zip(snapshot.manifest.sections, snapshot.document.sections, strict=True)
    return {ref.digest: section for ref, section in pairs}


def _read_section(ref: SectionRef, store: VersionStore, known: dict[str, Section]) -> Section:
    section = known.get(ref.digest)
    if section is None:
        section = decode_section(next(store.read_texts([ref])))
    if section.team != ref.team:
        text = f'section "{section.team}" is listed under team "{ref.team}" in the manifest'
        raise TrefoilpickError(ErrorKind.DOCUMENT_FAULTY, text)
    return section


def _check_text(ref: SectionRef, text: bytes) -> None:
    if len(text) != ref.size or compute_digest(text) != ref.digest:
        message = f'section "{ref.team}" does not match the digest in its manifest'
        raise TrefoilpickError(ErrorKind.DIGEST_MISMATCH, message)


def _check_document(sections: tuple[Section, ...]) -> None:
    for fault in check_sections(sections):
        text = f'section "{fault.section}": {fault.path}: {fault.text}'
        raise TrefoilpickError(ErrorKind.DOCUMENT_FAULTY, text)

"""Section files of teams, and the local folder from which operators publish versions."""

from __future__ import annotations

import fcntl
import os
from contextlib import contextmanager
from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec
from returns.result import Success

from trefoilpick._jsonc import parse_jsonc
from trefoilpick._text_validation import validate_text
from trefoilpick.checks import SectionText
from trefoilpick.document import Document
from trefoilpick.errors import ErrorKind, TrefoilpickError
from trefoilpick.manifest import (
    Manifest,
    SectionRef,
    compute_digest,
    decode_manifest,
    encode_manifest,
)
from trefoilpick.sections import decode_section, encode_section
from trefoilpick.source import MANIFEST_KEY, VMS_KEY, build_section_key
from trefoilpick.vms import VmList

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator
    from pathlib import Path

SECTION_SUFFIX = ".jsonc"
"""File name suffix of section files."""

VMS_FILE = "vms.jsonc"
"""File name of the VM list; not a section, even in a folder of section files."""


@dataclass(frozen=True)
class Publication:
    """A published version.

    Attributes:
        manifest: Manifest of the version.
        document: Its sections.
    """

    manifest: Manifest
    document: Document


def read_section_files(paths: Iterable[Path]) -> tuple[SectionText, ...]:
    """Read section files; a folder is expanded to its `*.jsonc` files except `vms.jsonc`.

    Raises:
        TrefoilpickError: `FILE_UNREADABLE`.
    """
    files = [file for path in paths for file in _list_files(path)]
    return tuple(SectionText(str(file), _read_text(file)) for file in files)


def read_publication(folder: Path) -> Publication | None:
    """Read the published version from a folder.

    Args:
        folder: A folder containing `manifest` and `sections/<digest>`.

    Returns:
        The version; None if the folder contains no manifest.

    Raises:
        TrefoilpickError: `FILE_UNREADABLE`, `MANIFEST_FAULTY`, `DIGEST_MISMATCH` or
            `DOCUMENT_FAULTY`.
    """
    if not (folder / MANIFEST_KEY).exists():
        return None
    manifest = decode_manifest(_read_bytes(folder / MANIFEST_KEY))
    sections = []
    for ref in manifest.sections:
        data = _read_bytes(folder / build_section_key(ref.digest))
        if compute_digest(data) != ref.digest:
            text = f'section "{ref.team}" of version {manifest.number} does not match its digest'
            raise TrefoilpickError(ErrorKind.DIGEST_MISMATCH, text)
        sections.append(decode_section(data))
    return Publication(manifest, Document(tuple(sections)))


def map_upstream_owners(document: Document) -> dict[str, str]:
    """Return the owning team of each upstream."""
    return {
        upstream.name: section.team
        for section in document.sections
        for upstream in section.upstreams
    }


def read_vms_file(path: Path) -> VmList:
    """Read a VM list in JSON with comments, for use instead of the platform's list.

    Raises:
        TrefoilpickError: `FILE_UNREADABLE` or `SETTINGS_FAULTY`.
    """
    checked = validate_text(_read_text(path), VmList)
    if checked.faults:
        text = f'"{path}": {"; ".join(map(str, checked.faults))}'
        raise TrefoilpickError(ErrorKind.SETTINGS_FAULTY, text)
    return msgspec.convert(checked.raw, VmList)


def write_vms(folder: Path, vms: VmList) -> None:
    """Write a VM list to a folder that is served by a stand-in source.

    Raises:
        TrefoilpickError: `FILE_UNREADABLE` if the folder cannot be written.
    """
    try:
        _write_file(folder / VMS_KEY, msgspec.json.encode(vms))
    except OSError as error:
        raise _make_unwritable_error(folder, error) from error


def merge_sections(
    texts: tuple[SectionText, ...], published: Document, *, removed: Iterable[str] = ()
) -> tuple[SectionText, ...]:
    """Combine new sections with the published sections of all other teams.

    Args:
        texts: New or changed sections.
        published: The document of the version in force.
        removed: Teams whose sections are removed.

    Raises:
        TrefoilpickError: `DOCUMENT_FAULTY` if a section to remove is not published, or is also in
            `texts`.
    """
    excluded = set(removed)
    replaced = {_read_team(text) for text in texts}
    for team in sorted(excluded & replaced):
        text = f'section "{team}" cannot be removed: a file for it is passed too'
        raise TrefoilpickError(ErrorKind.DOCUMENT_FAULTY, text)
    for team in sorted(excluded - {section.team for section in published.sections}):
        text = f'section "{team}" cannot be removed: it is not published'
        raise TrefoilpickError(ErrorKind.DOCUMENT_FAULTY, text)
    excluded |= replaced
    retained = (section for section in published.sections if section.team not in excluded)
    return texts + tuple(
        SectionText(
            f"published {section.team}", encode_section(section).decode(), is_published=True
        )
        for section in retained
    )


def build_manifest(document: Document, *, number: int, accepted_at_ms: int) -> Manifest:
    """Build the manifest that accepts a document.

    Args:
        document: A document without faults.
        number: The version's number.
        accepted_at_ms: Time of acceptance, in milliseconds since the Unix epoch.
    """
    encoded = ((section.team, encode_section(section)) for section in document.sections)
    refs = tuple(SectionRef(team, compute_digest(data), len(data)) for team, data in encoded)
    return Manifest(number, accepted_at_ms, refs)


def write_publication(folder: Path, publication: Publication) -> None:
    """Write a version to a folder: sections first, then the manifest.

    Each file is replaced atomically by a rename. Sections of older versions are kept.

    Raises:
        TrefoilpickError: `FILE_UNREADABLE` if the folder cannot be written.
    """
    try:
        for section in publication.document.sections:
            data = encode_section(section)
            _write_file(folder / build_section_key(compute_digest(data)), data)
        _write_file(folder / MANIFEST_KEY, encode_manifest(publication.manifest))
    except OSError as error:
        raise _make_unwritable_error(folder, error) from error


@contextmanager
def lock_folder(folder: Path) -> Iterator[None]:
    """Lock a folder against writes by other processes on this VM, creating it if necessary.

    Raises:
        TrefoilpickError: `FILE_UNREADABLE` if the folder cannot be locked.
    """
    descriptor = -1
    try:
        folder.mkdir(parents=True, exist_ok=True)
        descriptor = os.open(folder, os.O_RDONLY)
        fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError as error:
        os.close(descriptor)
        text = f'folder "{folder}" is in use by another accept command'
        raise TrefoilpickError(ErrorKind.FILE_UNREADABLE, text) from error
    except OSError as error:
        raise _make_unwritable_error(folder, error) from error
    try:
        yield
    finally:
        os.close(descriptor)


def _make_unwritable_error(folder: Path, error: OSError) -> TrefoilpickError:
    text = f'folder "{folder}" cannot be written: {error.strerror}'
    return TrefoilpickError(ErrorKind.FILE_UNREADABLE, text)


def _read_team(text: SectionText) -> str:
    parsed = parse_jsonc(text.text)
    raw = parsed.unwrap() if isinstance(parsed, Success) else None
    team = raw.get("team") if isinstance(raw, dict) else None
    return team if isinstance(team, str) else ""


def _list_files(path: Path) -> list[Path]:
    if not path.is_dir():
        return [path]
    files = [file for file in sorted(path.glob(f"*{SECTION_SUFFIX}")) if file.name != VMS_FILE]
    if not files:
        text = f'folder "{path}" has no section files (*{SECTION_SUFFIX})'
        raise TrefoilpickError(ErrorKind.FILE_UNREADABLE, text)
    return files


def _write_file(path: Path, data: bytes) -> None:
    path.parent.mkdir(parents=True, exist_ok=True)
    if path.exists() and path.read_bytes() == data:
        return
    temporary = path.with_name(f".{path.name}.{os.getpid()}.partial")
    with temporary.open("wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    temporary.replace(path)


def _read_text(path: Path) -> str:
    try:
        return _read_bytes(path).decode("utf-8")
    except UnicodeDecodeError as error:
        raise TrefoilpickError(
            ErrorKind.FILE_UNREADABLE, f'file "{path}" is not UTF-8 at byte {error.start}'
        ) from error


def _read_bytes(path: Path) -> bytes:
    try:
        return path.read_bytes()
    except OSError as error:
        text = f'file "{path}" cannot be read: {error.strerror}'
        raise TrefoilpickError(ErrorKind.FILE_UNREADABLE, text) from error

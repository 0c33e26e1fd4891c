"""Messages between nodes: msgpack in an envelope that names the sender and its incarnation."""

from __future__ import annotations

import zlib
from contextlib import suppress
from typing import TYPE_CHECKING, Annotated

import msgspec
from msgspec import Meta

from trefoilpick.document import Name
from trefoilpick.errors import ErrorKind, TrefoilpickError
from trefoilpick.left_workers import MAX_LEFT_WORKERS
from trefoilpick.logs import SubjectWarnings
from trefoilpick.manifest import VersionId
from trefoilpick.vms import Vm

if TYPE_CHECKING:
    from collections.abc import Iterator

MAX_MESSAGE_BYTES = 1_500_000
"""Largest encoded message, in bytes."""

MAX_END_REPORTS = 8
"""Largest number of ends of workers in one message."""

MAX_SUSPECTS = 64
"""Largest number of requests that are reported with one end of a worker."""

MAX_EXCHANGED_CASES = 8
"""Largest number of quarantine cases in one message."""

MAX_SUBSTITUTES = 16
"""Largest number of VMs that are named to read in the place of a reader."""

Count = Annotated[int, Meta(ge=0, le=2**62)]
"""A non-negative integer that fits in eight bytes."""

RawDigest = Annotated[bytes, Meta(min_length=16, max_length=16)]
"""A digest as 16 raw bytes."""

RawFingerprint = Annotated[bytes, Meta(max_length=8)]
"""A part of a request's fingerprint."""

RouteName = Annotated[str, Meta(max_length=200)]
"""Name of a route, for operators."""


class WireVersion(msgspec.Struct, frozen=True, array_like=True):
    """Compact encoding of a `VersionId`; number 0 means no version.

    Nodes of earlier releases neither send nor read `confirmed_at`.
    """

    number: Annotated[int, Meta(ge=0, le=2**53 - 1)]
    digest: RawDigest
    confirmed_at: Count = 0


class LeftWorker(msgspec.Struct, frozen=True, array_like=True):
    """A worker that stated that it is leaving.

    Attributes:
        vm: Name of its VM.
        worker: Its identity.
        started_ms: Start of its incarnation, in milliseconds since the Unix epoch.
    """

    vm: Name
    worker: Annotated[str, Meta(max_length=200)]
    started_ms: Count


class WireCase(msgspec.Struct, frozen=True, array_like=True):
    """A request under which workers ended; see `quarantine.Case`.

    Attributes:
        content: Fingerprint of its content.
        caller: Fingerprint of its caller; empty for any caller.
        service: Service of the workers.
        route: Name of the route.
        state: Value of `CaseState`.
        revision: Increases with every change.
        ends: Ends of workers that were counted.
        trials: Trials made.
        trial_in_ms: Time until the next trial, in milliseconds.
        expires_in_ms: Time until the case is forgotten, in milliseconds.
    """

    content: RawFingerprint
    caller: RawFingerprint
    service: Name
    route: RouteName
    state: Annotated[int, Meta(ge=0, le=2)]
    revision: Count
    ends: Count
    trials: Count
    trial_in_ms: Annotated[int, Meta(ge=0, le=100_000_000)]
    expires_in_ms: Annotated[int, Meta(ge=0, le=100_000_000)]


class WireSuspect(msgspec.Struct, frozen=True, array_like=True):
    """A request that a worker was running when it ended; see `blame.Suspect`."""

    content: RawFingerprint
    caller: RawFingerprint
    route: RouteName
    ran_ms: Count


class WireEnd(msgspec.Struct, frozen=True, array_like=True):
    """An end of a worker; see `blame.EndReport`."""

    number: Count
    service: Name
    suspects: Annotated[tuple[WireSuspect, ...], Meta(max_length=MAX_SUSPECTS)]


class Exchange(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Compact state of a node: a heartbeat, and also the answer to one.

    Attributes:
        held: Newest version that the node holds.
        enforced: Version that the node enforces.
        vms_revision: Revision of its list of VMs.
        reader_age_ms: Milliseconds since the last known read by a reader of the data centre.
        leaving: Whether the node accepts no new work.
        has_low_bandwidth_link: Whether its link has too little bandwidth to read the source while
            other nodes can.
        left_workers: Listed workers that stated that they are leaving.
        substitutes: VMs of its data centre that are to read in its place, first ones first, while
            the source does not answer it; empty otherwise.
        cases: Some of the requests under which workers ended; all of them take turns.
    """

    held: WireVersion
    enforced: WireVersion
    vms_revision: Count
    reader_age_ms: Count
    leaving: bool
    has_low_bandwidth_link: bool = False
    left_workers: Annotated[tuple[LeftWorker, ...], Meta(max_length=MAX_LEFT_WORKERS)] = ()
    substitutes: Annotated[tuple[Name, ...], Meta(max_length=MAX_SUBSTITUTES)] = ()
    cases: Annotated[tuple[WireCase, ...], Meta(max_length=MAX_EXCHANGED_CASES)] = ()


class Hello(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Introduces a node to a peer that may not know it. Answer: `Exchange`."""

    vm: Vm


class Announcement(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Offers the version and the list of VMs that the sender holds. No answer."""

    held: WireVersion
    vms_revision: Count


class Fetch(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Requests a version as a change against a base. Answer: `Delivery`.

    Attributes:
        wanted: The requested version.
        base: Newest version that the requester holds; number 0 for none.
    """

    wanted: WireVersion
    base: WireVersion


class WireRef(msgspec.Struct, frozen=True, array_like=True):
    """Compact encoding of a `SectionRef`."""

    team: Name
    digest: RawDigest
    size: Annotated[int, Meta(ge=0, le=1_000_000)]


class WireSection(msgspec.Struct, frozen=True, array_like=True):
    """A section's text, compressed with zlib."""

    digest: RawDigest
    packed: bytes


class Delivery(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """A version as a change against a base, with as many sections as the size limit allows.

    Attributes:
        version: The delivered version.
        base: The version that the change is against; number 0 if `refs` is complete.
        accepted_at_ms: When the manifest was accepted, in milliseconds since the Unix epoch.
        refs: References that are new or differ from the base.
        removed: Teams of the base that no longer have a section.
        sections: Texts of the references in `refs`.
    """

    version: WireVersion
    base: WireVersion
    accepted_at_ms: Count
    refs: tuple[WireRef, ...]
    removed: tuple[Name, ...]
    sections: tuple[WireSection, ...]


class FetchSections(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Requests sections by digest. Answer: `Sections`, with as many as fit."""

    digests: tuple[RawDigest, ...]


class Sections(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """Answers `FetchSections`."""

    sections: tuple[WireSection, ...]


class FetchVms(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """Requests the list of VMs. Answer: `VmsDelivery`.

    Attributes:
        revision: Revision that the requester holds; 0 for none.
    """

    revision: Count


class VmsDelivery(msgspec.Struct, frozen=True, array_like=True, tag=9):
    """The list of VMs as a change against a base.

    Attributes:
        revision: Revision of the list.
        base: Revision that the change is against; 0 if `packed` is the complete list.
        packed: New and changed records as msgpack, compressed with zlib.
        removed: Names of removed VMs.
    """

    revision: Count
    base: Count
    packed: bytes
    removed: tuple[Name, ...]


class Leaving(msgspec.Struct, frozen=True, array_like=True, tag=10):
    """Announces that the sender accepts no new work from now on. No answer."""


class StatusRequest(msgspec.Struct, frozen=True, array_like=True, tag=11):
    """Requests a node's status. Answer: `StatusAnswer`."""


class StatusAnswer(msgspec.Struct, frozen=True, array_like=True, tag=12):
    """A node's status for operators.

    Attributes:
        enforced: Version that the node enforces.
        held: Newest version that it holds.
        refused: Why it refused the newest version; empty if it did not.
        is_reader: Whether it reads the source.
        unconfirmed: Whether its version has not been confirmed since it joined.
        enforced_ms: Time since it enforced the version, in milliseconds.
    """

    enforced: WireVersion
    held: WireVersion
    refused: str
    is_reader: bool
    unconfirmed: bool
    enforced_ms: Count


class Refusal(msgspec.Struct, frozen=True, array_like=True, tag=13):
    """Refuses a request.

    Attributes:
        kind: "unknown" if the sender must send `Hello` first, "busy" if it should ask another
            node, "absent" if the node does not hold what was requested.
    """

    kind: str


class EndReports(msgspec.Struct, frozen=True, array_like=True, tag=14):
    """Reports the newest ends of the sender's worker to a node that counts them. No answer.

    Nodes of earlier releases drop this message and `CaseNotice`.
    """

    ends: Annotated[tuple[WireEnd, ...], Meta(max_length=MAX_END_REPORTS)]


class CaseNotice(msgspec.Struct, frozen=True, array_like=True, tag=15):
    """Spreads changed cases of requests under which workers ended. No answer."""

    cases: Annotated[tuple[WireCase, ...], Meta(max_length=MAX_EXCHANGED_CASES)]


Body = (
    Exchange
    | Hello
    | Announcement
    | Fetch
    | Delivery
    | FetchSections
    | Sections
    | FetchVms
    | VmsDelivery
    | Leaving
    | StatusRequest
    | StatusAnswer
    | Refusal
    | EndReports
    | CaseNotice
)
"""All messages between nodes."""


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """A message with its sender.

    Attributes:
        vm: Name of the sender's VM.
        incarnation: Start of the sender's process, in nanoseconds since the Unix epoch.
        sequence: Number of the message within the incarnation.
        request: Number that matches an answer to its request; 0 if no answer is expected.
        is_answer: Whether this answers the request.
        body: The message itself.
    """

    vm: Name
    incarnation: Count
    sequence: Count
    request: Count
    is_answer: bool
    body: Body


NO_VERSION = WireVersion(0, bytes(16))
"""Encodes the absence of a version."""

_decoder = msgspec.msgpack.Decoder(Envelope)
_vms_decoder = msgspec.msgpack.Decoder(tuple[Vm, ...])
_vm_decoder = msgspec.msgpack.Decoder(Vm)
_raws_decoder = msgspec.msgpack.Decoder(tuple[msgspec.Raw, ...])

DECODE_ERRORS = (msgspec.MsgspecError, UnicodeDecodeError, RecursionError)
"""Errors of bytes that cannot be decoded."""

RECORD_EVENT = "invalid_record"
"""Event of log lines about peers' lists of VMs with an invalid record."""

_warnings = SubjectWarnings(RECORD_EVENT)


def encode_envelope(envelope: Envelope) -> bytes:
    """Encode a message."""
    return msgspec.msgpack.encode(envelope)


def decode_envelope(data: bytes) -> Envelope:
    """Decode and validate a message.

    Raises:
        TrefoilpickError: `MESSAGE_TOO_LARGE` or `MESSAGE_MALFORMED`.
    """
    if len(data) > MAX_MESSAGE_BYTES:
        text = f"message has {len(data)} bytes, over {MAX_MESSAGE_BYTES}"
        raise TrefoilpickError(ErrorKind.MESSAGE_TOO_LARGE, text)
    try:
        return _decoder.decode(data)
    except DECODE_ERRORS as error:
        raise TrefoilpickError(ErrorKind.MESSAGE_MALFORMED, f"message: {error}") from error


def pack_version(version: VersionId | None) -> WireVersion:
    """Return the compact encoding of a version."""
    if version is None:
        return NO_VERSION
    return WireVersion(version.number, bytes.fromhex(version.digest), version.confirmed_at)


def unpack_version(version: WireVersion) -> VersionId | None:
    """Return a decoded version, or None for no version."""
    if version.number == 0:
        return None
    return VersionId(version.number, version.digest.hex(), version.confirmed_at)


def pack_bytes(data: bytes) -> bytes:
    """Compress bytes with zlib."""
    return zlib.compress(data, 6)


def unpack_bytes(packed: bytes, limit: int) -> bytes:
    """Decompress untrusted bytes without exceeding a limit.

    Args:
        packed: Result of `pack_bytes`.
        limit: Maximum length of the decompressed bytes.

    Raises:
        TrefoilpickError: `MESSAGE_MALFORMED` or `MESSAGE_TOO_LARGE`.
    """
    unpacker = zlib.decompressobj()
    try:
        data = unpacker.decompress(packed, limit + 1)
    except zlib.error as error:
        raise TrefoilpickError(ErrorKind.MESSAGE_MALFORMED, f"packed bytes: {error}") from error
    if len(data) > limit:
        raise TrefoilpickError(ErrorKind.MESSAGE_TOO_LARGE, f"packed bytes exceed {limit}")
    if not unpacker.eof:
        raise TrefoilpickError(ErrorKind.MESSAGE_MALFORMED, "packed bytes are cut off")
    return data


def pack_vms(vms: tuple[Vm, ...]) -> bytes:
    """Encode and compress records of VMs."""
    return pack_bytes(msgspec.msgpack.encode(vms))


def unpack_vms(packed: bytes) -> tuple[Vm, ...]:
    """Decompress and decode records of VMs.

    Invalid records are left out: nodes of earlier releases pass on some that others refuse.

    Raises:
        TrefoilpickError: `MESSAGE_MALFORMED` or `MESSAGE_TOO_LARGE`.
    """
    data = unpack_bytes(packed, MAX_MESSAGE_BYTES)
    try:
        return _vms_decoder.decode(data)
    except msgspec.ValidationError as error:
        _warnings.warn(str(error), f"a list of VMs has an invalid record: {error!s:.200}")
        return tuple(_decode_valid_vms(data))
    except DECODE_ERRORS as error:
        raise TrefoilpickError(ErrorKind.MESSAGE_MALFORMED, f"VM records: {error}") from error


def _decode_valid_vms(data: bytes) -> Iterator[Vm]:
    try:
        records = _raws_decoder.decode(data)
    except DECODE_ERRORS as error:
        raise TrefoilpickError(ErrorKind.MESSAGE_MALFORMED, f"VM records: {error}") from error
    for record in records:
        with suppress(*DECODE_ERRORS):
            yield _vm_decoder.decode(record)

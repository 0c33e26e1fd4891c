"""Messages between nodes: msgpack in an envelope that names the sender and its life."""

from __future__ import annotations

import zlib
from typing import Annotated

import msgspec
from msgspec import Meta

from trefoilpick.document import Name
from trefoilpick.errors import ErrorKind, TrefoilpickError
from trefoilpick.manifest import VersionId
from trefoilpick.vms import Vm

MAX_MESSAGE_BYTES = 1_500_000
"""Largest encoded message, in bytes."""

Count = Annotated[int, Meta(ge=0, le=2**62)]
"""A number that fits in eight bytes and is not negative."""

RawDigest = Annotated[bytes, Meta(min_length=16, max_length=16)]
"""A digest as raw bytes."""


class WireVersion(msgspec.Struct, frozen=True, array_like=True):
    """A `VersionId` in few bytes; number 0 stands for no version."""

    number: Annotated[int, Meta(ge=0, le=2**53 - 1)]
    digest: RawDigest


class Exchange(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """The state of a node in few bytes: the heartbeat, and its answer.

    Attributes:
        held: Newest version that the node holds.
        enforced: Version that the node enforces.
        vms_revision: Revision of its list of VMs.
        silence_ms: Time since a reader of the data centre was known to read, in milliseconds.
        leaving: Whether the node takes no new work.
        has_thin_link: Whether its link is too thin to read the source while other nodes can.
    """

    held: WireVersion
    enforced: WireVersion
    vms_revision: Count
    silence_ms: Count
    leaving: bool
    has_thin_link: bool = False


class Hello(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """The first message of a node to a peer that may not know it. Answer: `Exchange`."""

    vm: Vm


class Announcement(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """The sender holds a version and a list of VMs, and gives them to whoever asks. No answer."""

    held: WireVersion
    vms_revision: Count


class Fetch(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Asks for a version, told as the change against a base. Answer: `Delivery`.

    Attributes:
        wanted: The version.
        base: Newest version that the asker holds; number 0 for none.
    """

    wanted: WireVersion
    base: WireVersion


class WireRef(msgspec.Struct, frozen=True, array_like=True):
    """A `SectionRef` in few bytes."""

    team: Name
    digest: RawDigest
    size: Annotated[int, Meta(ge=0, le=1_000_000)]


class WireSection(msgspec.Struct, frozen=True, array_like=True):
    """A section's text, packed by zlib."""

    digest: RawDigest
    packed: bytes


class Delivery(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """A version as the change against a base, with as many sections as the size bound allows.

    Attributes:
        version: The version.
        base: The version that the change is against; number 0 where `refs` is the whole.
        accepted_at_ms: The manifest's time of acceptance.
        refs: References that are new or other than in the base.
        removed: Teams of the base that have no section any more.
        sections: Texts of the references in `refs`.
    """

    version: WireVersion
    base: WireVersion
    accepted_at_ms: Count
    refs: tuple[WireRef, ...]
    removed: tuple[Name, ...]
    sections: tuple[WireSection, ...]


class FetchSections(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Asks for sections by digest. Answer: `Sections`, with those that fit."""

    digests: tuple[RawDigest, ...]


class Sections(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """Sections by digest."""

    sections: tuple[WireSection, ...]


class FetchVms(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """Asks for the list of VMs. Answer: `VmsDelivery`.

    Attributes:
        revision: Revision that the asker holds; 0 for none.
    """

    revision: Count


class VmsDelivery(msgspec.Struct, frozen=True, array_like=True, tag=9):
    """The list of VMs as the change against a base.

    Attributes:
        revision: Revision of the list.
        base: Revision that the change is against; 0 where `packed` is the whole.
        packed: msgpack of the records that are new or changed, packed by zlib.
        removed: Names of the VMs that are gone.
    """

    revision: Count
    base: Count
    packed: bytes
    removed: tuple[Name, ...]


class Leaving(msgspec.Struct, frozen=True, array_like=True, tag=10):
    """The sender takes no new work from now on. No answer."""


class StatusRequest(msgspec.Struct, frozen=True, array_like=True, tag=11):
    """Asks for a node's state in full. Answer: `StatusAnswer`."""


class StatusAnswer(msgspec.Struct, frozen=True, array_like=True, tag=12):
    """A node's state for operators.

    Attributes:
        enforced: Version that the node enforces.
        held: Newest version that it holds.
        refused: Why it refused the newest version; empty where it did not.
        is_reader: Whether it reads the source.
        unconfirmed: Whether it could not confirm its version when it joined.
        enforced_ms: Time since it enforces the version, in milliseconds.
    """

    enforced: WireVersion
    held: WireVersion
    refused: str
    is_reader: bool
    unconfirmed: bool
    enforced_ms: Count


class Refusal(msgspec.Struct, frozen=True, array_like=True, tag=13):
    """The node cannot answer the request.

    Attributes:
        kind: "unknown" for a sender that must say `Hello` first, "busy" for one that should ask
            another node, "absent" for a thing that the node does not hold.
    """

    kind: str


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
)
"""Everything that one node says to another."""


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """A message with its sender.

    Attributes:
        vm: Name of the sender's VM.
        incarnation: Start of the sender's process, in nanoseconds since the Unix epoch.
        sequence: Number of the message in the sender's life.
        request: Number that ties an answer to its request; 0 where none is expected.
        is_answer: Whether this answers the request.
        body: What is said.
    """

    vm: Name
    incarnation: Count
    sequence: Count
    request: Count
    is_answer: bool
    body: Body


NO_VERSION = WireVersion(0, bytes(16))
"""Stands for no version."""

_decoder = msgspec.msgpack.Decoder(Envelope)
_vms_decoder = msgspec.msgpack.Decoder(tuple[Vm, ...])


def encode_envelope(envelope: Envelope) -> bytes:
    """Return the bytes of a message."""
    return msgspec.msgpack.encode(envelope)


def decode_envelope(data: bytes) -> Envelope:
    """Read and check a message.

    Raises:
        TrefoilpickError: `MESSAGE_TOO_LARGE` or `MESSAGE_MALFORMED`.
    """
    if len(data) > MAX_MESSAGE_BYTES:
        text = f"message has {len(data)} bytes, over {MAX_MESSAGE_BYTES}"
        raise TrefoilpickError(ErrorKind.MESSAGE_TOO_LARGE, text)
    try:
        return _decoder.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise TrefoilpickError(ErrorKind.MESSAGE_MALFORMED, f"message: {error}") from error


def pack_version(version: VersionId | None) -> WireVersion:
    """Return a version's identity in few bytes."""
    if version is None:
        return NO_VERSION
    return WireVersion(version.number, bytes.fromhex(version.digest))


def unpack_version(version: WireVersion) -> VersionId | None:
    """Return the identity that a message gives; None for no version."""
    if version.number == 0:
        return None
    return VersionId(version.number, version.digest.hex())


def pack_bytes(data: bytes) -> bytes:
    """Return bytes packed by zlib."""
    return zlib.compress(data, 6)


def unpack_bytes(packed: bytes, limit: int) -> bytes:
    """Unpack bytes, which may claim to be of any length.

    Args:
        packed: What `pack_bytes` returned.
        limit: Largest length of the result, in bytes.

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
    """Return records of VMs, packed."""
    return pack_bytes(msgspec.msgpack.encode(vms))


def unpack_vms(packed: bytes) -> tuple[Vm, ...]:
    """Read packed records of VMs.

    Raises:
        TrefoilpickError: `MESSAGE_MALFORMED` or `MESSAGE_TOO_LARGE`.
    """
    data = unpack_bytes(packed, MAX_MESSAGE_BYTES)
    try:
        return _vms_decoder.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise TrefoilpickError(ErrorKind.MESSAGE_MALFORMED, f"VM records: {error}") from error

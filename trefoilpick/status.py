"""What nodes tell operators: typed answers of the operators' port."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TypeVar

import msgspec

from trefoilpick.errors import ErrorKind, TrefoilpickError

StatusT = TypeVar("StatusT")


class Standing(Enum):
    """How a node stands against the newest version that the fleet knows."""

    LEVEL = "level"
    """It enforces the newest version."""
    LAGGING = "lagging"
    """It enforces an older version, or none."""
    REFUSING = "refusing"
    """It refused the newest version and keeps its own."""
    UNREACHABLE = "unreachable"
    """It did not answer."""


@dataclass(frozen=True, order=True)
class VersionRef:
    """A version as operators see it.

    Attributes:
        number: Version number.
        digest: Digest of its manifest.
    """

    number: int
    digest: str

    def __str__(self) -> str:
        return f"{self.number} ({self.digest[:8]})"


@dataclass(frozen=True)
class EnforcedVersion:
    """A version that a node took over.

    Attributes:
        number: Version number.
        digest: Digest of its manifest.
        accepted_at_ms: Time of acceptance, in milliseconds since the Unix epoch.
        convergence_ms: Time from acceptance until the node enforced it, in milliseconds; None
            where the node started after the acceptance.
    """

    number: int
    digest: str
    accepted_at_ms: int
    convergence_ms: float | None = None


@dataclass(frozen=True)
class RefusedVersion:
    """A version that a node refused.

    Attributes:
        number: Version number.
        digest: Digest of its manifest.
        kind: Value of `ErrorKind`.
        text: What is wrong with it.
    """

    number: int
    digest: str
    kind: str
    text: str


@dataclass(frozen=True)
class PeerStatus:
    """Another node, as one node knows it.

    Attributes:
        vm: Its VM.
        data_centre: Where it stands.
        service: The upstream whose worker it holds.
        standing: Whether it answers, and how it stands.
        number: Version number that it last told; None where it told none.
        digest: Digest of that version.
        age_s: Time since it was last heard, in seconds; None where never.
        reason: Why it lags, where known.
        operator_address: Address of its operators' port as host:port; empty where not known.
    """

    vm: str
    data_centre: str
    service: str
    standing: Standing
    number: int | None = None
    digest: str | None = None
    age_s: float | None = None
    reason: str = ""
    operator_address: str = ""


@dataclass(frozen=True)
class NodeStatus:
    """One node's own state.

    Attributes:
        vm: Its VM.
        region: Region of the data centre.
        data_centre: Where it stands.
        service: The upstream whose worker it holds.
        incarnation: Start of the process, in nanoseconds since the Unix epoch.
        uptime_s: Time since that start, in seconds.
        ready: Whether it takes callers' requests.
        reasons: Why it is not ready.
        leaving: Whether it drains.
        version: The version that it enforces.
        newest: The newest version that it has heard of, enforced or not.
        source_age_s: Time since its version was last confirmed, by the source or through a
            reader of its data centre, in seconds; None where never in this incarnation.
        unconfirmed: Whether it serves a version that nobody confirmed when it joined.
        reads_source: Whether it reads the source for its data centre.
        vm_list_revision: Revision of its list of VMs; None without a list.
        in_flight: Requests that the worker runs.
        queued: Requests that wait for a slot.
        slots: Slots of the worker.
        versions: The last versions that it enforced, the newest first.
        refused: The last versions that it refused, the newest first.
    """

    vm: str
    region: str
    data_centre: str
    service: str
    incarnation: int
    uptime_s: float
    ready: bool
    reasons: tuple[str, ...] = ()
    leaving: bool = False
    version: VersionRef | None = None
    newest: VersionRef | None = None
    source_age_s: float | None = None
    unconfirmed: bool = False
    reads_source: bool = False
    vm_list_revision: int | None = None
    in_flight: int = 0
    queued: int = 0
    slots: int = 0
    versions: tuple[EnforcedVersion, ...] = ()
    refused: tuple[RefusedVersion, ...] = ()


@dataclass(frozen=True)
class FleetStatus:
    """The fleet as one node finds it when it asks all others.

    Attributes:
        node: The node that asked.
        peers: All other nodes of its list of VMs, ordered by name.
        took_s: How long the sweep took, in seconds.
    """

    node: NodeStatus
    peers: tuple[PeerStatus, ...]
    took_s: float = 0.0


@dataclass(frozen=True)
class Fault:
    """An error answer of the operators' port.

    Attributes:
        kind: Value of `ErrorKind`.
        text: What is wrong.
    """

    kind: str
    text: str


@dataclass(frozen=True)
class Readiness:
    """Whether a node takes callers' requests, and why not."""

    ready: bool
    reasons: tuple[str, ...] = ()


def encode_status(status: object) -> bytes:
    """Return the JSON encoding of an answer of the operators' port."""
    return msgspec.json.encode(status)


def decode_status(data: bytes, kind: type[StatusT]) -> StatusT:
    """Read an answer of the operators' port.

    Raises:
        TrefoilpickError: `MESSAGE_MALFORMED`.
    """
    try:
        return msgspec.json.decode(data, type=kind)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        text = f"{kind.__name__} of the operators' port: {error}"
        raise TrefoilpickError(ErrorKind.MESSAGE_MALFORMED, text) from error

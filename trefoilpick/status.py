"""Typed responses of the operators' port."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TypeVar

import msgspec

from trefoilpick.errors import ErrorKind, TrefoilpickError

StatusT = TypeVar("StatusT")


class Standing(Enum):
    """State of a node relative to the newest version known to the fleet."""

    UP_TO_DATE = "level"
    """Enforces the newest version."""
    LAGGING = "lagging"
    """Enforces an older version, or none."""
    REFUSING = "refusing"
    """Refused the newest version and keeps its current one."""
    UNREACHABLE = "unreachable"
    """Did not answer."""


@dataclass(frozen=True, order=True)
class VersionRef:
    """A reference to a version, as shown to operators.

    Attributes:
        number: Version number.
        digest: Digest of its manifest.
    """

    number: int
    digest: str

    def __str__(self) -> str:
        return f"{self.number} ({self.digest[:8]})"


@dataclass(frozen=True)
class QuarantineCase:
    """A request under which workers ended.

    Attributes:
        fingerprint: Identity of the request, as in the log.
        state: "suspected" or "quarantined".
        service: Service of the workers.
        route: Name of the route.
        ends: Ends of workers that were counted.
        trials: Trials made since it was quarantined.
        wait_s: Time until its next trial, or until it is forgotten, in seconds.
    """

    fingerprint: str
    state: str
    service: str
    route: str
    ends: int
    trials: int
    wait_s: float


@dataclass(frozen=True)
class EnforcedVersion:
    """A version that a node enforced.

    Attributes:
        number: Version number.
        digest: Digest of its manifest.
        accepted_at_ms: Time of acceptance, in milliseconds since the Unix epoch.
        convergence_ms: Time from acceptance until the node enforced it, in milliseconds; None if
            the node started after the acceptance.
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
        text: Reason for the refusal.
    """

    number: int
    digest: str
    kind: str
    text: str


@dataclass(frozen=True)
class PeerStatus:
    """The state of another node, as known to the reporting node.

    Attributes:
        vm: Name of its VM.
        data_centre: Data centre of the VM.
        service: Upstream whose worker runs on the VM.
        standing: Whether it answers, and its state relative to the newest version.
        number: Version number that it last reported; None if it reported none.
        digest: Digest of that version.
        age_s: Time since its last message, in seconds; None if none was received.
        reason: Why it lags, if known.
        operator_address: Address of its operators' port as host:port; empty if unknown.
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
    """The state of a node, as reported by itself.

    Attributes:
        vm: Name of its VM.
        region: Region of the data centre.
        data_centre: Data centre of the VM.
        service: Upstream whose worker runs on the VM.
        incarnation: Start time of the process, in nanoseconds since the Unix epoch.
        uptime_s: Time since the process started, in seconds.
        ready: Whether it accepts callers' requests.
        reasons: Why it is not ready.
        leaving: Whether it is draining.
        version: The version that it enforces.
        newest: The newest version known to it, enforced or not.
        source_age_s: Time since its version was last confirmed by the source, directly or through a
            reader of its data centre, in seconds; None if never in this incarnation.
        unconfirmed: Whether it serves a version that was not confirmed when it joined.
        reads_source: Whether it reads the source for its data centre.
        vm_list_revision: Revision of its VM list; None without a list.
        in_flight: Requests that the worker is running.
        queued: Requests waiting for a slot.
        slots: Slots of the worker.
        versions: Most recently enforced versions, newest first.
        refused: Most recently refused versions, newest first.
        quarantine: Requests that are suspected or quarantined.
        evacuated: Evacuated data centres that it knows.
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
    quarantine: tuple[QuarantineCase, ...] = ()
    evacuated: tuple[str, ...] = ()


@dataclass(frozen=True)
class FleetStatus:
    """The state of the fleet, collected by one node from all others.

    Attributes:
        node: The node that collected the status.
        peers: All other nodes of its VM list, ordered by name.
        took_s: Duration of the collection, in seconds.
    """

    node: NodeStatus
    peers: tuple[PeerStatus, ...]
    took_s: float = 0.0


@dataclass(frozen=True)
class Candidate:
    """A worker to which a request may be sent.

    Attributes:
        vm: Name of its VM.
        data_centre: Data centre of the VM.
        distance: 0 for the nearest group of workers, increasing with distance.
        excluded: Why it may not get the request, a value of `Exclusion`; empty if it may.
        utilisation: Requests at the worker divided by its slots.
        cost: Relative cost by which workers of one distance are compared; the lower one is chosen.
        rate_limit: Requests per second that it accepts; None without limit.
    """

    vm: str
    data_centre: str
    distance: int
    excluded: str
    utilisation: float
    cost: float
    rate_limit: float | None = None


@dataclass(frozen=True)
class UpstreamChoice:
    """An upstream that may receive a request.

    Attributes:
        upstream: Name of the upstream.
        weight: Its weight in the route's traffic split.
        candidates: Its workers, nearest first, and of these the cheapest first.
    """

    upstream: str
    weight: int
    candidates: tuple[Candidate, ...]


@dataclass(frozen=True)
class Choice:
    """Where a node would send a request now.

    Attributes:
        vm: Name of the node's VM.
        version: Version by which it routes; None if it enforces none.
        team: Team of the route.
        route: Name of the route.
        upstreams: Upstreams that the route sends requests to.
        refusal: Why no route applies; empty if one does.
    """

    vm: str
    version: VersionRef | None = None
    team: str = ""
    route: str = ""
    upstreams: tuple[UpstreamChoice, ...] = ()
    refusal: str = ""

    @property
    def has_available(self) -> bool:
        """Whether any worker may get the request."""
        return any(
            not candidate.excluded
            for upstream in self.upstreams
            for candidate in upstream.candidates
        )


@dataclass(frozen=True)
class ErrorResponse:
    """An error response of the operators' port.

    Attributes:
        kind: Value of `ErrorKind`.
        text: Description of the error.
    """

    kind: str
    text: str


@dataclass(frozen=True)
class Readiness:
    """Whether a node accepts callers' requests, and the reasons if it does not."""

    ready: bool
    reasons: tuple[str, ...] = ()


def encode_status(status: object) -> bytes:
    """Encode a response of the operators' port as JSON."""
    return msgspec.json.encode(status)


def decode_status(data: bytes, kind: type[StatusT]) -> StatusT:
    """Decode a response of the operators' port.

    Raises:
        TrefoilpickError: `MESSAGE_MALFORMED`.
    """
    try:
        return msgspec.json.decode(data, type=kind)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        text = f"{kind.__name__} of the operators' port: {error}"
        raise TrefoilpickError(ErrorKind.MESSAGE_MALFORMED, text) from error

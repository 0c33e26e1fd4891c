"""Settings of a node, read from JSON with comments and validated completely at startup."""

from __future__ import annotations

from dataclasses import dataclass, field
from itertools import islice
from pathlib import Path
from typing import TYPE_CHECKING, Annotated, Any, Literal

import msgspec
from msgspec import Meta

from trefoilpick._field_validation import validate_fields
from trefoilpick._text_validation import validate_text
from trefoilpick.document import Name
from trefoilpick.errors import ErrorKind, TrefoilpickError
from trefoilpick.vms import Host, Port

if TYPE_CHECKING:
    from collections.abc import Iterable

NOTICE_GRACE_FRACTION = 0.4
"""Fraction of the grace period for notifying peers and callers that the node is leaving: one third,
plus the time for a notice to be received."""

ABORT_GRACE_FRACTION = 0.92
"""Fraction of the grace period after which requests are aborted: just over five sixths, the time
that workers have to answer."""

LAST_ANSWERS_GRACE_FRACTION = 0.04
"""Fraction of the grace period in which answers that are ready are sent after the abort: half of
what is left then, so that the process has the other half to end."""

LAST_ANSWERS_MS = 250.0
"""Time for that without a grace period, in milliseconds."""

MAX_SHOWN_FAULTS = 8
"""Maximum number of faults listed in one error."""


def _describe(text: str, unit: str = "") -> Meta:
    return Meta(description=text, extra={"unit": unit})


@dataclass(frozen=True)
class VmSettings:
    """Identity and location of this VM."""

    name: Annotated[Name, _describe("Name of this VM, as the platform lists it")]
    region: Annotated[Name, _describe("Region of the data centre")]
    data_centre: Annotated[Name, _describe("Data centre of this VM")]
    service: Annotated[Name, _describe("Upstream whose worker runs on this VM")]


@dataclass(frozen=True)
class ListenSettings:
    """Addresses on which the node listens. All VMs of a fleet may use the same ports."""

    host: Annotated[Host, _describe("IP address that the node listens on")]
    caller_port: Annotated[Port, _describe("Port for callers' HTTP requests")] = 8080
    hop_port: Annotated[Port, _describe("Port for requests from other nodes")] = 8081
    control_port: Annotated[Port, _describe("Port of the control link")] = 8082
    operator_port: Annotated[Port, _describe("Port for metrics, health and status")] = 8083


@dataclass(frozen=True)
class WorkerSettings:
    """Address of the worker on this VM."""

    host: Annotated[Host, _describe("IP address of the worker")]
    port: Annotated[Port, _describe("Port of the worker")]


@dataclass(frozen=True)
class SourceSettings:
    """The platform's configuration service."""

    addresses: Annotated[
        tuple[str, ...],
        Meta(min_length=1, description="Addresses of the service", extra={"unit": "ip:port"}),
    ]
    read_timeout_ms: Annotated[
        int, Meta(ge=10, le=60_000), _describe("Timeout until the response to a read begins", "ms")
    ] = 2_000
    watch_ms: Annotated[
        int, Meta(ge=100, le=600_000), _describe("Time that a watch waits for a change", "ms")
    ] = 6_000
    watch_gap_ms: Annotated[
        int, Meta(ge=0, le=60_000), _describe("Time between a change and the next watch", "ms")
    ] = 0
    backoff_ms: Annotated[
        int, Meta(ge=10, le=600_000), _describe("Maximum backoff after a failed read", "ms")
    ] = 10_000
    regions: Annotated[
        dict[str, str], _describe("Region by data centre, where the list of VMs names none")
    ] = field(default_factory=dict)
    evacuations: Annotated[
        bool, _describe("Whether the source also holds the evacuations of data centres")
    ] = False


@dataclass(frozen=True)
class ControlSettings:
    """Distribution of versions between nodes."""

    readers: Annotated[
        int, Meta(ge=1, le=256), _describe("Nodes of a data centre that read the source")
    ] = 2
    small_fleet: Annotated[
        int, Meta(ge=0, le=256), _describe("Largest fleet in which every node reads", "VMs")
    ] = 0
    thin_link: Annotated[
        bool, _describe("Whether the link is too slow to read the source if other nodes can")
    ] = False
    exchange_ms: Annotated[
        int, Meta(ge=50, le=60_000), _describe("Mean time between exchanges with a peer", "ms")
    ] = 2_000
    overlay: Annotated[
        Literal["fingers", "tree", "gossip", "every-node-watches"],
        _describe("Overlay that distributes versions between nodes"),
    ] = "fingers"
    seeds: Annotated[
        tuple[Annotated[str, Meta(pattern=r"^[0-9a-fA-F.:]{2,45}:[0-9]{1,5}\Z")], ...],
        _describe("Control links of nodes to contact until the list of VMs is known", "ip:port"),
    ] = ()
    listed_only: Annotated[
        bool, _describe("Whether only VMs on the platform's list receive requests")
    ] = False
    expected_vms: Annotated[
        int,
        Meta(ge=1, le=100_000),
        _describe("Assumed size of the fleet until its list is known", "VMs"),
    ] = 1_100
    source_reads_per_s: Annotated[
        int,
        Meta(ge=1, le=1_000_000),
        _describe("Maximum rate of reads of the source by the whole fleet", "1/s"),
    ] = 500
    answer_ms: Annotated[
        int, Meta(ge=10, le=60_000), _describe("Timeout for a peer's response", "ms")
    ] = 1_000
    join_wait_ms: Annotated[
        int,
        Meta(ge=0, le=600_000),
        _describe("Time until a new node serves a version that was not confirmed", "ms"),
    ] = 5_000
    pause_ms: Annotated[
        int,
        Meta(ge=10, le=600_000),
        _describe(
            "Pause of the process after which the node first checks for a newer version", "ms"
        ),
    ] = 1_000


@dataclass(frozen=True)
class RequestSettings:
    """Limits and retries for the requests of callers."""

    max_connections: Annotated[
        int, Meta(ge=1, le=100_000), _describe("Maximum concurrent connections of callers")
    ] = 2_000
    head_timeout_ms: Annotated[
        int, Meta(ge=10, le=600_000), _describe("Timeout for receiving a request's head", "ms")
    ] = 10_000
    max_head_bytes: Annotated[
        int, Meta(ge=1_024, le=1_048_576), _describe("Largest request head", "bytes")
    ] = 32_768
    keepalive_ms: Annotated[
        int,
        Meta(ge=10, le=3_600_000),
        _describe("Idle timeout of a caller's connection between requests", "ms"),
    ] = 75_000
    body_idle_ms: Annotated[
        int, Meta(ge=10, le=3_600_000), _describe("Idle timeout of a body", "ms")
    ] = 30_000
    kept_body_bytes: Annotated[
        int,
        Meta(ge=0, le=1_048_576),
        _describe("Maximum part of a request's body that is kept for a retry", "bytes"),
    ] = 65_536
    idle_hops: Annotated[
        int, Meta(ge=0, le=1_000), _describe("Maximum idle connections kept to one VM")
    ] = 16
    hop_idle_ms: Annotated[
        int,
        Meta(ge=10, le=3_600_000),
        _describe("Idle timeout of a connection to another node", "ms"),
    ] = 60_000
    retry_percent: Annotated[
        int,
        Meta(ge=0, le=100),
        _describe("Retries to an upstream, as a share of its requests", "percent"),
    ] = 10
    retry_reserve: Annotated[
        int,
        Meta(ge=0, le=1_000_000),
        _describe("Additional retries that all nodes may make to an upstream in 10 s"),
    ] = 0
    balance_by_work: Annotated[
        bool, _describe("Whether workers are compared by reported work and speed, not by requests")
    ] = False


@dataclass(frozen=True)
class HopSettings:
    """Limits for requests that other nodes forward to this node's worker."""

    max_connections: Annotated[
        int, Meta(ge=1, le=100_000), _describe("Maximum concurrent connections of other nodes")
    ] = 4_000
    warm_up_ms: Annotated[
        int,
        Meta(ge=0, le=3_600_000),
        _describe("Time until all slots of a new worker are open", "ms"),
    ] = 10_000
    warm_up_percent: Annotated[
        int, Meta(ge=1, le=100), _describe("Slots of a worker that are open at the start", "%")
    ] = 30
    worker_idle_ms: Annotated[
        int,
        Meta(ge=0, le=3_600_000),
        _describe("Idle time after which a worker's connection is not used again", "ms"),
    ] = 4_000
    body_idle_ms: Annotated[
        int, Meta(ge=10, le=3_600_000), _describe("Idle timeout of a body", "ms")
    ] = 30_000
    token_lifetime_ms: Annotated[
        int, Meta(ge=100, le=3_600_000), _describe("Time for which a token is valid", "ms")
    ] = 60_000
    max_tokens: Annotated[
        int, Meta(ge=0, le=1_000_000), _describe("Maximum number of valid tokens")
    ] = 10_000
    max_answer_bytes: Annotated[
        int,
        Meta(ge=0, le=1_048_576),
        _describe("Maximum size of an answer kept for a token", "bytes"),
    ] = 65_536
    max_answers_bytes: Annotated[
        int,
        Meta(ge=0, le=2**30),
        _describe("Maximum total size of the answers kept for tokens", "bytes"),
    ] = 8_388_608
    cold_overage: Annotated[
        float,
        Meta(ge=1.0, le=1_000.0),
        _describe("Factor by which a worker may exceed the rate that it tolerates while cold"),
    ] = 1.0
    cold_slack: Annotated[
        float,
        Meta(ge=0.0, le=1_000_000.0),
        _describe("Requests that a cold worker may get in a second in addition to its rate"),
    ] = 0.0
    nested_first: Annotated[
        bool, _describe("Whether calls of running requests go before new ones of their priority")
    ] = False


@dataclass(frozen=True)
class DrainSettings:
    """Timing of a planned shutdown."""

    notice_ms: Annotated[
        int,
        Meta(ge=0, le=60_000),
        _describe("Time from the notice to peers until new requests are refused", "ms"),
    ] = 2_000
    limit_ms: Annotated[
        int, Meta(ge=0, le=86_400_000), _describe("Time limit for requests in flight to end", "ms")
    ] = 600_000
    peer_notice_ms: Annotated[
        int,
        Meta(ge=0, le=60_000),
        _describe("Maximum part of the notice in which other nodes' requests are accepted", "ms"),
    ] = 60_000
    grace_ms: Annotated[
        int,
        Meta(ge=0, le=86_400_000),
        _describe(
            "Time until the process is killed; limits notice_ms and limit_ms, 0 for no limit", "ms"
        ),
    ] = 0

    @property
    def bounded_notice_ms(self) -> float:
        """Notice period, bounded by the grace period, in milliseconds."""
        return (
            min(self.notice_ms, self.grace_ms * NOTICE_GRACE_FRACTION)
            if self.grace_ms
            else self.notice_ms
        )

    @property
    def bounded_limit_ms(self) -> float:
        """Time for requests in flight, bounded by the grace period, in milliseconds."""
        if not self.grace_ms:
            return self.limit_ms
        return min(self.limit_ms, self.grace_ms * ABORT_GRACE_FRACTION - self.bounded_notice_ms)

    @property
    def last_answers_ms(self) -> float:
        """Time to send the answers that are ready after the time limit, in milliseconds."""
        return self.grace_ms * LAST_ANSWERS_GRACE_FRACTION if self.grace_ms else LAST_ANSWERS_MS


@dataclass(frozen=True)
class LinkSettings:
    """The network link of this VM."""

    mbps: Annotated[
        float,
        Meta(ge=0.0, le=1_000_000.0),
        _describe("Bandwidth of the link; 0 if it does not limit answers", "Mbit/s"),
    ] = 0.0


@dataclass(frozen=True)
class KeySettings:
    """CURVE keys of the fleet's control links, in Z85."""

    public: Annotated[str, Meta(min_length=40, max_length=40), _describe("Public key")]
    secret: Annotated[str, Meta(min_length=40, max_length=40), _describe("Secret key")]


@dataclass(frozen=True)
class Settings:
    """All settings of a node."""

    vm: VmSettings
    listen: ListenSettings
    worker: WorkerSettings
    source: SourceSettings
    control: ControlSettings = field(default_factory=ControlSettings)
    requests: RequestSettings = field(default_factory=RequestSettings)
    hops: HopSettings = field(default_factory=HopSettings)
    drain: DrainSettings = field(default_factory=DrainSettings)
    link: LinkSettings = field(default_factory=LinkSettings)
    keys: KeySettings | None = None


def parse_settings(text: str, *, origin: str = "settings") -> Settings:
    """Parse and validate settings.

    Args:
        text: JSON with comments.
        origin: Name of the file, for errors.

    Raises:
        TrefoilpickError: `SETTINGS_FAULTY`, naming the fields.
    """
    checked = validate_text(text, Settings)
    return _convert(checked.raw, map(str, checked.faults), origin=origin)


def check_settings(raw: Any, *, origin: str = "settings") -> Settings:
    """Validate settings given as plain Python types.

    Args:
        raw: Settings by name.
        origin: Name of their origin, for errors.

    Raises:
        TrefoilpickError: `SETTINGS_FAULTY`, naming the fields.
    """
    faults = (f"{fault.path}: {fault.text}" for fault in validate_fields(raw, Settings))
    return _convert(raw, faults, origin=origin)


def _convert(raw: Any, faults: Iterable[str], *, origin: str) -> Settings:
    if shown := list(islice(faults, MAX_SHOWN_FAULTS)):
        raise TrefoilpickError(ErrorKind.SETTINGS_FAULTY, f"{origin}: {'; '.join(shown)}")
    return msgspec.convert(raw, Settings)


def read_settings(path: Path) -> Settings:
    """Read and validate a settings file.

    Raises:
        TrefoilpickError: `FILE_UNREADABLE` or `SETTINGS_FAULTY`.
    """
    return parse_settings(read_settings_text(path), origin=str(path))


def read_settings_text(path: Path) -> str:
    """Read the text of a settings file.

    Raises:
        TrefoilpickError: `FILE_UNREADABLE`.
    """
    try:
        return path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise TrefoilpickError(ErrorKind.FILE_UNREADABLE, f'"{path}": {error}') from error

"""Traces: events in a fleet as JSON lines, with the expected outcomes at the end.

Each line is an object with `event` (what happens, `at_s` seconds after the start) or `outcome`
(what must hold at the end). `docs/traces.md` describes every field.
"""

from __future__ import annotations

from enum import Enum
from pathlib import Path
from typing import TYPE_CHECKING, Annotated

import msgspec
from msgspec import Meta

from trefoilpick.document import Name, Section
from trefoilpick.errors import ErrorKind, TrefoilpickError
from trefoilpick.vms import VmState

if TYPE_CHECKING:
    from collections.abc import Iterator

Seconds = Annotated[float, Meta(ge=0.0, le=1_000_000.0)]
"""A time or a duration, in seconds."""

Count = Annotated[int, Meta(ge=0, le=1_000_000)]
"""A count or a number of bytes."""

MAX_LINE_BYTES = 4_000_000
"""Longest line of a trace, in bytes."""


class SourceFault(Enum):
    """Faults of the configuration service."""

    DOWN = "down"
    STALE = "stale"
    SLOW = "slow"
    TRUNCATED = "truncated"
    WRONG = "wrong"


class VmJoins(msgspec.Struct, frozen=True, tag_field="event", tag="vm_joins"):
    """A new VM starts, with its node and its worker.

    Attributes:
        listed: Whether the platform's list shows it at once; if not, only `vm_listed` adds it.
        service_time_s: Service time of each request at its worker, in seconds.
    """

    at_s: Seconds
    vm: Name
    region: Name
    data_centre: Name
    service: Name
    listed: bool = True
    service_time_s: Seconds = 0.005


class VmListed(msgspec.Struct, frozen=True, tag_field="event", tag="vm_listed"):
    """The platform's list changes the state of a VM; null removes the VM."""

    at_s: Seconds
    vm: Name
    state: VmState | None


class VmLeaves(msgspec.Struct, frozen=True, tag_field="event", tag="vm_leaves"):
    """A VM's node is shut down gracefully."""

    at_s: Seconds
    vm: Name


class VmDies(msgspec.Struct, frozen=True, tag_field="event", tag="vm_dies"):
    """VMs are killed: those named, and all of a data centre if one is given."""

    at_s: Seconds
    vms: tuple[Name, ...] = ()
    data_centre: Name | None = None


class VmReturns(msgspec.Struct, frozen=True, tag_field="event", tag="vm_returns"):
    """Killed VMs restart without state: those named, and all of a data centre if one is given."""

    at_s: Seconds
    vms: tuple[Name, ...] = ()
    data_centre: Name | None = None


class VmPauses(msgspec.Struct, frozen=True, tag_field="event", tag="vm_pauses"):
    """A VM is suspended for a time; its control messages are delayed until it resumes."""

    at_s: Seconds
    vm: Name
    for_s: Seconds


class SourceFails(msgspec.Struct, frozen=True, tag_field="event", tag="source_fails"):
    """The configuration service is faulty for a time."""

    at_s: Seconds
    fault: SourceFault
    for_s: Seconds


class Partition(msgspec.Struct, frozen=True, tag_field="event", tag="partition"):
    """A network partition separates some data centres from all others for a time.

    Attributes:
        side: Data centres on one side.
        source: Whether this side can reach the configuration service; if not, the other side can.
    """

    at_s: Seconds
    side: tuple[Name, ...]
    for_s: Seconds
    source: bool = False


class VersionAccepted(msgspec.Struct, frozen=True, tag_field="event", tag="version_accepted"):
    """A version is accepted; sections that are not named stay unchanged.

    Attributes:
        sections: New or changed sections.
        removed: Teams whose sections are removed.
    """

    at_s: Seconds
    number: Annotated[int, Meta(ge=1, lt=2**53)]
    sections: tuple[Section, ...]
    removed: tuple[Name, ...] = ()


class Requests(msgspec.Struct, frozen=True, tag_field="event", tag="requests"):
    """A caller makes requests at even intervals.

    Attributes:
        vm: The VM whose node the caller prefers; it uses other nodes if that one fails.
        count: Number of requests.
        for_s: Duration over which they are spread, in seconds.
        token: Whether each request carries a token, so that it runs at most once.
    """

    at_s: Seconds
    vm: Name
    count: Count
    for_s: Seconds
    method: str
    host: str
    path: str
    body_bytes: Count = 0
    token: bool = False


class InForce(msgspec.Struct, frozen=True, tag_field="outcome", tag="in_force"):
    """Every node that runs long enough enforces a version, or a newer one, in time.

    Attributes:
        within_s: Maximum time since the version's acceptance, or since the node's start if that is
            later, in seconds.
    """

    number: int
    within_s: Seconds


class NeverInForce(msgspec.Struct, frozen=True, tag_field="outcome", tag="never_in_force"):
    """No node ever enforces a version."""

    number: int


class NeverOlder(msgspec.Struct, frozen=True, tag_field="outcome", tag="never_older"):
    """No node goes back from a version that it enforced to an older one."""


class CallsKept(msgspec.Struct, frozen=True, tag_field="outcome", tag="calls_kept"):
    """No call is lost, run twice, cut or falsely reported "not run", and enough are answered.

    Attributes:
        answered_share: Minimum share of calls that must be answered.
    """

    answered_share: Annotated[float, Meta(ge=0.0, le=1.0)]


class SourceReads(msgspec.Struct, frozen=True, tag_field="outcome", tag="source_reads"):
    """The configuration service receives at most `peak` calls in any second."""

    peak: Count


Event = (
    VmJoins
    | VmListed
    | VmLeaves
    | VmDies
    | VmReturns
    | VmPauses
    | SourceFails
    | Partition
    | VersionAccepted
    | Requests
)
"""An event of a trace."""

Expectation = InForce | NeverInForce | NeverOlder | CallsKept | SourceReads
"""An expected outcome of a trace."""


class _LineKind(msgspec.Struct, frozen=True):
    outcome: str | None = None


_KINDS = msgspec.json.Decoder(_LineKind)
_EVENTS = msgspec.json.Decoder(Event)
_EXPECTATIONS = msgspec.json.Decoder(Expectation)


class Trace(msgspec.Struct, frozen=True):
    """A whole trace.

    Attributes:
        events: Events in order of time.
        expectations: Expected outcomes, checked after the last event.
    """

    events: tuple[Event, ...]
    expectations: tuple[Expectation, ...]


def parse_trace(lines: Iterator[bytes], *, origin: str) -> Trace:
    """Parse and validate a trace.

    Args:
        lines: JSON lines; empty lines and lines that begin with "#" are skipped.
        origin: Name of the trace, for error messages.

    Raises:
        TrefoilpickError: `TRACE_FAULTY`, naming the line.
    """
    events: list[Event] = []
    expectations: list[Expectation] = []
    for number, line in enumerate(lines, start=1):
        if not line.strip() or line.startswith(b"#"):
            continue
        entry = _parse_line(line, f"{origin}:{number}")
        if isinstance(entry, InForce | NeverInForce | NeverOlder | CallsKept | SourceReads):
            expectations.append(entry)
        elif expectations or (events and entry.at_s < events[-1].at_s):
            text = f"{origin}:{number}: event is out of order"
            raise TrefoilpickError(ErrorKind.TRACE_FAULTY, text)
        else:
            events.append(entry)
    if not expectations:
        raise TrefoilpickError(ErrorKind.TRACE_FAULTY, f"{origin}: no expected outcome")
    return Trace(tuple(events), tuple(expectations))


def read_trace(path: Path) -> Trace:
    """Read and parse the file of a trace.

    Raises:
        TrefoilpickError: `FILE_UNREADABLE` or `TRACE_FAULTY`.
    """
    try:
        data = path.read_bytes()
    except OSError as error:
        raise TrefoilpickError(ErrorKind.FILE_UNREADABLE, f'"{path}": {error}') from error
    return parse_trace(iter(data.splitlines()), origin=path.name)


def encode_line(entry: Event | Expectation) -> bytes:
    """Encode one line of a trace, including the line feed."""
    return msgspec.json.encode(entry) + b"\n"


def _parse_line(line: bytes, location: str) -> Event | Expectation:
    if len(line) > MAX_LINE_BYTES:
        text = f"{location}: line has {len(line)} bytes, over {MAX_LINE_BYTES}"
        raise TrefoilpickError(ErrorKind.TRACE_FAULTY, text)
    try:
        if _KINDS.decode(line).outcome is not None:
            return _EXPECTATIONS.decode(line)
        return _EVENTS.decode(line)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise TrefoilpickError(ErrorKind.TRACE_FAULTY, f"{location}: {error}") from error

"""The platform's list of VMs."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from functools import lru_cache
from ipaddress import ip_address
from typing import Annotated

from msgspec import Meta

from trefoilpick.document import Name

Port = Annotated[int, Meta(ge=1, le=65_535)]
"""A TCP port."""

Host = Annotated[str, Meta(pattern=r"^[0-9a-fA-F.:]{2,45}\Z")]
"""A numeric IP address."""

WorkerName = Annotated[str, Meta(pattern=r"^([!-~]([ -~]{0,198}[!-~])?)?\Z")]
"""Identity of a worker, which fits in a header; empty if unknown."""

Timestamp = Annotated[int, Meta(ge=0, le=2**62)]
"""Milliseconds since the Unix epoch, as a number that fits in a message; 0 if unknown."""

SlotCount = Annotated[int, Meta(ge=0, le=1_000_000)]
"""Maximum concurrent requests of a worker."""

ColdTime = Annotated[int, Meta(ge=0, le=100_000_000)]
"""Time for which a worker stays cold, in milliseconds."""

MAX_CHECKED_HOSTS = 4_096
"""Number of hosts whose check is remembered: several times the VMs of the target size."""


class VmState(Enum):
    """State of a VM, as reported by the platform."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True)
class WorkerIdentity:
    """Identity of one incarnation of a worker.

    Attributes:
        worker: Identity that the platform gives; empty if unknown.
        started_ms: Start of the incarnation, in milliseconds since the Unix epoch; 0 if unknown.
    """

    worker: str = ""
    started_ms: int = 0


UNIDENTIFIED_LEAVING_S = 60.0
"""Time for which a worker without identity is considered leaving, in seconds: nothing shows that
another one has replaced it."""

UNKNOWN_WORKER = WorkerIdentity()
"""Identity of a worker that the platform does not list."""


@dataclass(frozen=True)
class Vm:
    """A VM that runs a worker and its node.

    Attributes:
        name: Unique in the fleet, for one incarnation of the VM.
        region: Region of its data centre.
        data_centre: Data centre of the VM.
        service: Upstream whose worker runs on the VM.
        host: IP address of the node.
        control_port: Port of the node's control link.
        hop_port: Port on which the node accepts requests from other nodes.
        state: State reported by the platform.
        worker: Identity of the worker's current incarnation; empty if the platform gives none.
        slots: Maximum concurrent requests of the worker; 0 if set by its upstream.
        started_ms: Start of the worker's current incarnation, in milliseconds since the Unix epoch;
            0 if the platform gives none.
        evacuated: Whether its data centre is evacuated, so that its worker gets no requests. Its
            state is then `LEAVING`, which nodes of the former release respect.
        cold_ms: Time for which the worker stayed cold when the record was written, in milliseconds.
        others: Records of the platform's further entries with the VM's address, the best first. One
            of them may be the node's own, which another writer's entry hides.

    Raises:
        ValueError: The host is not the IP address of a machine.
    """

    name: Name
    region: Name
    data_centre: Name
    service: Name
    host: Host
    control_port: Port
    hop_port: Port
    state: VmState = VmState.LIVE
    worker: WorkerName = ""
    slots: SlotCount = 0
    started_ms: Timestamp = 0
    evacuated: bool = False
    cold_ms: ColdTime = 0
    others: tuple[Vm, ...] = ()

    def __post_init__(self) -> None:
        """Check what the annotations cannot express; decoding reports a fault as invalid."""
        if not _is_machine(self.host):
            raise ValueError(f"host {self.host!r} is not the IP address of a machine")

    @property
    def worker_identity(self) -> WorkerIdentity:
        """Identity of the worker's current incarnation."""
        return WorkerIdentity(self.worker, self.started_ms)


@dataclass(frozen=True)
class VmList:
    """The platform's list of VMs, which may be out of date.

    Attributes:
        revision: Increases with every change of the list.
        vms: All VMs known to the platform, ordered by name.
    """

    revision: int
    vms: tuple[Vm, ...]


@lru_cache(maxsize=MAX_CHECKED_HOSTS)
def _is_machine(host: str) -> bool:
    """Return whether a text is an IP address that one machine can have."""
    try:
        address = ip_address(host)
    except ValueError:
        return False
    return not (address.is_unspecified or address.is_multicast)

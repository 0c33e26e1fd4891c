"""VMs as the platform lists them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Annotated

from msgspec import Meta

from trefoilpick.document import Name

Port = Annotated[int, Meta(ge=1, le=65_535)]
"""A TCP port."""

Host = Annotated[str, Meta(pattern=r"^[0-9a-fA-F.:]{2,45}$")]
"""An IP address as a number."""


class VmState(Enum):
    """What the platform says of a VM."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True)
class Vm:
    """One VM with the node beside its worker.

    Attributes:
        name: Unique in the fleet, for one life of the VM.
        region: Region of its data centre.
        data_centre: Where it stands.
        service: The upstream whose worker it holds.
        host: IP address of the node.
        control_port: Port of the node's control link.
        hop_port: Port on which the node takes requests from other nodes.
        state: What the platform says of it.
        worker: Identity of the worker's present life; empty where the platform names none.
        slots: Requests that the worker runs at a time; 0 where its upstream says it.
    """

    name: Name
    region: Name
    data_centre: Name
    service: Name
    host: Host
    control_port: Port
    hop_port: Port
    state: VmState = VmState.LIVE
    worker: str = ""
    slots: int = 0


@dataclass(frozen=True)
class VmList:
    """The platform's list of VMs, which lags behind the truth.

    Attributes:
        revision: Grows by each change of the list.
        vms: All VMs that the platform knows of, ordered by name.
    """

    revision: int
    vms: tuple[Vm, ...]

"""A node's state in the form that operators see."""

from __future__ import annotations

from typing import TYPE_CHECKING

from trefoilpick.status import (
    EnforcedVersion,
    FleetStatus,
    NodeStatus,
    PeerStatus,
    RefusedVersion,
    Standing,
    VersionRef,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

    from trefoilpick.distribution import ControlStatus
    from trefoilpick.distribution import PeerStatus as ControlPeer
    from trefoilpick.hops import Load
    from trefoilpick.manifest import VersionId
    from trefoilpick.roster import Roster
    from trefoilpick.settings import VmSettings
    from trefoilpick.snapshots import Snapshot
    from trefoilpick.vms import Vm

FAULTY_KIND = "document_faulty"
"""Kind of a refusal whose text names the fault."""


def build_node_status(
    vm: VmSettings,
    *,
    control: ControlStatus,
    snapshot: Snapshot | None,
    load: Load,
    uptime_s: float,
    leaving: bool,
) -> NodeStatus:
    """Return one node's own state.

    Args:
        vm: The node's VM.
        control: State of its distribution.
        snapshot: What it enforces.
        load: Load of its worker.
        uptime_s: Time since its start, in seconds.
        leaving: Whether it drains.
    """
    reasons = tuple(_list_reasons(control, leaving))
    return NodeStatus(
        vm=vm.name,
        region=vm.region,
        data_centre=vm.data_centre,
        service=vm.service,
        incarnation=load.incarnation,
        uptime_s=uptime_s,
        ready=not reasons,
        reasons=reasons,
        leaving=leaving,
        version=_refer(control.enforced),
        newest=_refer(control.newest_known),
        source_age_s=control.source_age_s,
        reads_source=control.is_reader,
        vm_list_revision=control.vms_revision or None,
        in_flight=load.in_flight,
        queued=load.queued,
        slots=load.slots,
        versions=tuple(_list_versions(control, snapshot)),
        refused=tuple(
            RefusedVersion(entry.version.number, entry.version.digest, FAULTY_KIND, entry.reason)
            for entry in control.refused
        ),
    )


def build_fleet_status(
    node: NodeStatus,
    peers: tuple[ControlPeer, ...],
    roster: Roster,
    *,
    operator_port: int,
    took_s: float,
) -> FleetStatus:
    """Return the fleet as a node found it when it asked all others.

    Args:
        node: The asking node.
        peers: What the nodes answered.
        roster: What the asking node knows of VMs.
        operator_port: Port for operators, the same on every VM of a fleet.
        took_s: How long the sweep took, in seconds.
    """
    newest = max((peer.held for peer in peers if peer.held is not None), default=None)
    found = (
        _build_peer(peer, roster.find_vm(peer.vm), newest, operator_port)
        for peer in peers
        if peer.vm != node.vm
    )
    return FleetStatus(node, tuple(found), took_s)


def _build_peer(
    peer: ControlPeer, vm: Vm | None, newest: VersionId | None, operator_port: int
) -> PeerStatus:
    return PeerStatus(
        vm=peer.vm,
        data_centre=peer.data_centre,
        service=vm.service if vm is not None else "",
        standing=_judge(peer, newest),
        number=peer.enforced.number if peer.enforced is not None else None,
        digest=peer.enforced.digest if peer.enforced is not None else None,
        age_s=peer.age_s,
        reason=peer.note,
        operator_address=_name_address(vm.host, operator_port) if vm is not None else "",
    )


def _name_address(host: str, port: int) -> str:
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"


def _judge(peer: ControlPeer, newest: VersionId | None) -> Standing:
    if peer.held is None and peer.note:
        return Standing.UNREACHABLE
    if peer.enforced is not None and peer.enforced == newest:
        return Standing.LEVEL
    return Standing.REFUSING if peer.held == newest and peer.note else Standing.LAGGING


def _refer(version: VersionId | None) -> VersionRef | None:
    return VersionRef(version.number, version.digest) if version is not None else None


def _list_reasons(control: ControlStatus, leaving: bool) -> Iterator[str]:
    if leaving:
        yield "the node is leaving"
    if control.enforced is None:
        yield "no version is enforced yet"
    elif not control.is_ready:
        yield "no peer and no source has confirmed the version yet"
    if not control.is_level:
        yield "the node was paused and has not heard of the fleet since"


def _list_versions(control: ControlStatus, snapshot: Snapshot | None) -> Iterator[EnforcedVersion]:
    for entry in control.convergences:
        current = snapshot if snapshot and snapshot.version.number == entry.number else None
        yield EnforcedVersion(
            number=entry.number,
            digest=current.version.digest if current else "",
            accepted_at_ms=current.manifest.accepted_at_ms if current else 0,
            convergence_ms=float(entry.milliseconds),
        )

"""Status of a node and of the fleet for operators."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from trefoilpick.status import FleetStatus, NodeStatus, PeerStatus, VersionRef

if TYPE_CHECKING:
    from collections.abc import Iterator

    from trefoilpick.distribution import ControlStatus
    from trefoilpick.hops import Load
    from trefoilpick.manifest import VersionId
    from trefoilpick.membership import MembershipTable
    from trefoilpick.settings import VmSettings
    from trefoilpick.status import QuarantineCase


def build_node_status(
    vm: VmSettings,
    *,
    control: ControlStatus,
    load: Load,
    uptime_s: float,
    leaving: bool,
    quarantine: tuple[QuarantineCase, ...] = (),
    evacuated: tuple[str, ...] = (),
) -> NodeStatus:
    """Return the status of one node.

    Args:
        vm: The node's VM.
        control: State of its distribution.
        load: Load of its worker.
        uptime_s: Time since its start, in seconds.
        leaving: Whether it is draining.
        quarantine: Requests that are suspected or quarantined.
        evacuated: Evacuated data centres that it knows.
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
        version=_build_version_ref(control.enforced),
        newest=_build_version_ref(control.newest_known),
        source_age_s=control.source_age_s,
        unconfirmed=control.unconfirmed,
        reads_source=control.is_reader,
        vm_list_revision=control.vms_revision or None,
        in_flight=load.in_flight,
        queued=load.queued,
        slots=load.slots,
        versions=control.enforced_versions,
        refused=control.refused,
        quarantine=quarantine,
        evacuated=evacuated,
    )


def build_fleet_status(
    node: NodeStatus,
    peers: tuple[PeerStatus, ...],
    membership: MembershipTable,
    *,
    operator_port: int,
    took_s: float,
) -> FleetStatus:
    """Return the status of the fleet from one node's query of all others.

    Args:
        node: Status of the querying node.
        peers: Answers of the other nodes.
        membership: The VMs that the querying node knows.
        operator_port: Port for operators, the same on every VM of a fleet.
        took_s: Duration of the query, in seconds.
    """
    located = tuple(_add_address(peer, membership, operator_port) for peer in peers)
    return FleetStatus(node, located, took_s)


def _add_address(peer: PeerStatus, membership: MembershipTable, operator_port: int) -> PeerStatus:
    vm = membership.find_vm(peer.vm)
    address = _format_address(vm.host, operator_port) if vm is not None else ""
    return replace(peer, operator_address=address)


def _format_address(host: str, port: int) -> str:
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"


def _build_version_ref(version: VersionId | None) -> VersionRef | None:
    return VersionRef(version.number, version.digest) if version is not None else None


def _list_reasons(control: ControlStatus, leaving: bool) -> Iterator[str]:
    if leaving:
        yield "the node is leaving"
    if control.enforced is None:
        yield "no version is enforced yet"
    elif not control.is_ready:
        yield "no peer and no source has confirmed the version yet"
    if not control.is_up_to_date:
        yield "the node was paused, and no peer or source has answered since"

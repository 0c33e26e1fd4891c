"""The operator's view of the fleet: versions in force, and lagging nodes with the reasons."""

from __future__ import annotations

import statistics
from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

import curio

from trefoilpick._http import fetch
from trefoilpick.addresses import split_address
from trefoilpick.errors import ErrorKind, TrefoilpickError
from trefoilpick.status import (
    FleetStatus,
    NodeStatus,
    PeerStatus,
    Standing,
    StatusT,
    VersionRef,
    decode_status,
)

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from trefoilpick.status import EnforcedVersion, QuarantineCase, RefusedVersion

MAX_RESPONSE_BYTES = 16_000_000
"""Maximum size of a response of an operators' port, in bytes."""

MAX_CONCURRENT_QUERIES = 32
"""Maximum number of nodes that are queried concurrently."""

MAX_SHOWN_VERSIONS = 5
"""Maximum number of versions whose convergence is shown."""


@dataclass(frozen=True)
class NodeView:
    """One node of the fleet.

    Attributes:
        vm: Name of its VM.
        data_centre: Data centre of its VM.
        service: The upstream of its worker.
        standing: Whether it is up to date with the newest version.
        version: Version that it enforces; None if unknown.
        reason: Why it lags; empty if it is up to date.
        source_age_s: Time since the source last confirmed its version, in seconds; None if
            unknown.
        unconfirmed: Whether it enforces a version that has not been confirmed.
    """

    vm: str
    data_centre: str
    service: str
    standing: Standing
    version: VersionRef | None
    reason: str
    source_age_s: float | None = None
    unconfirmed: bool = False


@dataclass(frozen=True)
class VersionView:
    """A version that is in force on at least one node.

    Attributes:
        version: Number and digest.
        nodes: Number of nodes that enforce it.
    """

    version: VersionRef
    nodes: int


@dataclass(frozen=True)
class ConvergenceView:
    """Convergence time of a version, from the nodes that reported it.

    Attributes:
        version: Number and digest.
        nodes: Number of nodes that enforced it and were running when it was accepted.
        p50_ms: Median time from acceptance, in milliseconds.
        max_ms: Longest time from acceptance, in milliseconds.
    """

    version: VersionRef
    nodes: int
    p50_ms: float
    max_ms: float


@dataclass(frozen=True)
class RefusalView:
    """A version that nodes refused.

    Attributes:
        version: Number and digest.
        kind: Value of `ErrorKind`.
        text: Reason of the refusal.
        nodes: Number of nodes that reported it.
    """

    version: VersionRef
    kind: str
    text: str
    nodes: int


@dataclass(frozen=True)
class CaseView:
    """A request that nodes suspect or quarantine.

    Attributes:
        case: The case as one of the nodes knows it.
        nodes: Number of nodes that know it.
    """

    case: QuarantineCase
    nodes: int


@dataclass(frozen=True)
class EvacuationView:
    """An evacuated data centre.

    Attributes:
        data_centre: Its name.
        nodes: Number of nodes that know of its evacuation.
    """

    data_centre: str
    nodes: int


@dataclass(frozen=True)
class FleetView:
    """The data that `trefoilpick status` shows.

    Attributes:
        asked: VM of the queried node.
        newest: Newest version that is in force or being distributed; None if there is none.
        versions: Versions in force, newest first.
        nodes: All nodes, ordered by name.
        convergence: Convergence of the latest versions, newest first.
        refused: Refused versions, newest first.
        quarantine: Requests that nodes suspect or quarantine, quarantined ones first.
        evacuated: Evacuated data centres, in order.
    """

    asked: str
    newest: VersionRef | None
    versions: tuple[VersionView, ...]
    nodes: tuple[NodeView, ...]
    convergence: tuple[ConvergenceView, ...]
    refused: tuple[RefusalView, ...]
    quarantine: tuple[CaseView, ...] = ()
    evacuated: tuple[EvacuationView, ...] = ()

    @property
    def lagging(self) -> tuple[NodeView, ...]:
        """Nodes that do not enforce the newest version."""
        return tuple(node for node in self.nodes if node.standing is not Standing.UP_TO_DATE)


async def query_node(address: str, path: str, kind: type[StatusT], *, timeout_s: float) -> StatusT:
    """Request one path of a node's operators' port.

    Args:
        address: Address of the operators' port, as "ip:port".
        path: The path, for example "/status".
        kind: Type of the response.
        timeout_s: Timeout of the request, in seconds.

    Raises:
        TrefoilpickError: The node cannot be reached, or its response is invalid.
    """
    host, port = split_address(address)
    answer = await fetch(host, port, path, timeout_s=timeout_s, max_bytes=MAX_RESPONSE_BYTES)
    if answer.status != 200:
        text = f'"{address}" answered {path} with status {answer.status}'
        raise TrefoilpickError(ErrorKind.PEER_UNREACHABLE, text)
    return decode_status(answer.body, kind)


async def query_nodes(
    addresses: Iterable[str], path: str, kind: type[StatusT], *, timeout_s: float
) -> dict[str, StatusT | TrefoilpickError]:
    """Request one path of several nodes, at most `MAX_CONCURRENT_QUERIES` of them concurrently.

    Returns:
        The response or the error, by address.
    """
    semaphore = curio.Semaphore(MAX_CONCURRENT_QUERIES)
    answers: dict[str, StatusT | TrefoilpickError] = {}

    async def query(address: str) -> None:
        async with semaphore:
            try:
                answers[address] = await query_node(address, path, kind, timeout_s=timeout_s)
            except TrefoilpickError as error:
                answers[address] = error

    async with curio.TaskGroup() as tasks:
        for address in dict.fromkeys(addresses):
            await tasks.spawn(query, address)
    return answers


async def fetch_fleet_view(address: str, *, timeout_s: float) -> FleetView:
    """Query a node for its view of the fleet, and then every other node for its own status.

    Raises:
        TrefoilpickError: The first node cannot be reached, or its response is invalid.
    """
    fleet = await query_node(address, "/fleet", FleetStatus, timeout_s=timeout_s)
    addresses = [peer.operator_address for peer in fleet.peers if peer.operator_address]
    answers = await query_nodes(addresses, "/status", NodeStatus, timeout_s=timeout_s)
    statuses = {
        peer.vm: answer
        for peer in fleet.peers
        if isinstance(answer := answers.get(peer.operator_address), NodeStatus)
        and answer.vm == peer.vm
    }
    return build_fleet_view(fleet, statuses)


def build_fleet_view(fleet: FleetStatus, statuses: dict[str, NodeStatus]) -> FleetView:
    """Build the operator's view.

    Args:
        fleet: Response of the queried node.
        statuses: Statuses of other nodes, by VM.
    """
    by_vm = {**statuses, fleet.node.vm: fleet.node}
    newest = _find_newest(fleet, by_vm.values())
    nodes = [_build_node_view(status, newest) for status in by_vm.values()]
    nodes += [_build_peer_view(peer, newest) for peer in fleet.peers if peer.vm not in by_vm]
    return FleetView(
        asked=fleet.node.vm,
        newest=newest,
        versions=tuple(_count_versions(nodes)),
        nodes=tuple(sorted(nodes, key=lambda node: node.vm)),
        convergence=tuple(_summarize_convergence(by_vm.values())),
        refused=tuple(_count_refusals(by_vm.values())),
        quarantine=tuple(_count_cases(by_vm.values())),
        evacuated=tuple(_count_evacuations(by_vm.values())),
    )


def _find_newest(fleet: FleetStatus, node_statuses: Iterable[NodeStatus]) -> VersionRef | None:
    statuses = list(node_statuses)
    refused = {_get_version_ref(entry) for status in statuses for entry in status.refused}
    announced = {status.newest for status in statuses if status.newest} - refused
    enforced = {status.version for status in statuses if status.version}
    enforced |= {ref for peer in fleet.peers if (ref := _find_peer_version(peer))}
    return max(announced | enforced, default=None)


def _get_version_ref(entry: EnforcedVersion | RefusedVersion) -> VersionRef:
    return VersionRef(entry.number, entry.digest)


def _find_peer_version(peer: PeerStatus) -> VersionRef | None:
    if peer.number is None or peer.digest is None:
        return None
    return VersionRef(peer.number, peer.digest)


def _build_node_view(status: NodeStatus, newest: VersionRef | None) -> NodeView:
    standing, reason = _determine_standing(status, newest)
    return NodeView(
        status.vm,
        status.data_centre,
        status.service,
        standing,
        status.version,
        reason,
        status.source_age_s,
        status.unconfirmed,
    )


def _determine_standing(status: NodeStatus, newest: VersionRef | None) -> tuple[Standing, str]:
    if newest is not None and status.version == newest:
        return Standing.UP_TO_DATE, ""
    for entry in status.refused:
        if _get_version_ref(entry) == newest:
            return Standing.REFUSING, f"refused version {entry.number}: {entry.text}"
    if status.newest is None or newest is None:
        reason = "does not know of any version"
    elif status.newest < newest:
        reason = f"does not know of version {newest.number}"
    else:
        reason = f"knows of version {newest.number} but does not enforce it yet"
    return Standing.LAGGING, "; ".join((reason, *status.reasons))


def _build_peer_view(peer: PeerStatus, newest: VersionRef | None) -> NodeView:
    version = _find_peer_version(peer)
    standing, reason = peer.standing, peer.reason
    if standing is not Standing.UNREACHABLE:
        is_up_to_date = version is not None and version == newest
        standing = Standing.UP_TO_DATE if is_up_to_date else Standing.LAGGING
        reason = "" if is_up_to_date else reason or "its operators' port does not answer"
    return NodeView(peer.vm, peer.data_centre, peer.service, standing, version, reason, peer.age_s)


def _count_versions(nodes: Iterable[NodeView]) -> Iterator[VersionView]:
    counts: dict[VersionRef, int] = {}
    for node in nodes:
        if node.version is not None and node.standing is not Standing.UNREACHABLE:
            counts[node.version] = counts.get(node.version, 0) + 1
    for version in sorted(counts, reverse=True):
        yield VersionView(version, counts[version])


def _summarize_convergence(statuses: Iterable[NodeStatus]) -> Iterator[ConvergenceView]:
    times: dict[VersionRef, list[float]] = {}
    for status in statuses:
        for entry in status.versions:
            if entry.convergence_ms is not None:
                times.setdefault(_get_version_ref(entry), []).append(entry.convergence_ms)
    for version in sorted(times, reverse=True)[:MAX_SHOWN_VERSIONS]:
        values = times[version]
        yield ConvergenceView(version, len(values), statistics.median(values), max(values))


def _count_cases(statuses: Iterable[NodeStatus]) -> Iterator[CaseView]:
    cases: dict[tuple[str, str], list[QuarantineCase]] = {}
    for status in statuses:
        for case in status.quarantine:
            cases.setdefault((case.state, case.fingerprint), []).append(case)
    for _, known in sorted(cases.items()):
        yield CaseView(max(known, key=lambda case: case.trials), len(known))


def _count_evacuations(statuses: Iterable[NodeStatus]) -> Iterator[EvacuationView]:
    counts = Counter(name for status in statuses for name in status.evacuated)
    for data_centre in sorted(counts):
        yield EvacuationView(data_centre, counts[data_centre])


def _count_refusals(statuses: Iterable[NodeStatus]) -> Iterator[RefusalView]:
    counts: dict[tuple[VersionRef, str, str], int] = {}
    for status in statuses:
        for entry in status.refused:
            key = (_get_version_ref(entry), entry.kind, entry.text)
            counts[key] = counts.get(key, 0) + 1
    for key in sorted(counts, reverse=True):
        yield RefusalView(*key, counts[key])

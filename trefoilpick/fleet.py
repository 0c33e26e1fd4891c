"""The fleet as an operator sees it: which versions are in force, and which nodes lag and why."""

from __future__ import annotations

import statistics
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

    from trefoilpick.status import EnforcedVersion, RefusedVersion

MAX_ANSWER_BYTES = 16_000_000
"""Largest answer of an operators' port that is read, in bytes."""

MAX_FETCHES = 32
"""Largest number of nodes that are asked at a time."""

SHOWN_VERSIONS = 5
"""Versions whose convergence is shown."""


@dataclass(frozen=True)
class NodeView:
    """One node of the fleet.

    Attributes:
        vm: Its VM.
        data_centre: Where it stands.
        service: The upstream whose worker it holds.
        standing: How it stands against the newest version in force.
        version: Version that it enforces, where known.
        reason: Why it lags; empty where it is level.
        source_age_s: Time since its version was last confirmed, in seconds, where known.
        unconfirmed: Whether it serves a version that nobody confirmed.
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
    """A version in force somewhere.

    Attributes:
        version: Which.
        nodes: Number of nodes that enforce it.
    """

    version: VersionRef
    nodes: int


@dataclass(frozen=True)
class ConvergenceView:
    """How long a version took, at the nodes that told of it.

    Attributes:
        version: Which.
        nodes: Nodes that enforced it and ran when it was accepted.
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
        version: Which.
        kind: Value of `ErrorKind`.
        text: What is wrong with it.
        nodes: Number of nodes that told of it.
    """

    version: VersionRef
    kind: str
    text: str
    nodes: int


@dataclass(frozen=True)
class FleetView:
    """All that `trefoilpick status` shows.

    Attributes:
        asked: The VM whose node was asked.
        newest: Newest version that is in force or on its way; None without one.
        versions: Versions in force, the newest first.
        nodes: All nodes, ordered by name.
        convergence: The last versions, the newest first.
        refused: Refused versions, the newest first.
    """

    asked: str
    newest: VersionRef | None
    versions: tuple[VersionView, ...]
    nodes: tuple[NodeView, ...]
    convergence: tuple[ConvergenceView, ...]
    refused: tuple[RefusalView, ...]

    @property
    def lagging(self) -> tuple[NodeView, ...]:
        """Nodes that do not enforce the newest version."""
        return tuple(node for node in self.nodes if node.standing is not Standing.LEVEL)


async def ask_node(address: str, path: str, kind: type[StatusT], *, timeout_s: float) -> StatusT:
    """Ask one page of a node's operators' port.

    Args:
        address: "ip:port".
        path: The page, for example "/status".
        kind: Type of the answer.
        timeout_s: Time for the answer, in seconds.

    Raises:
        TrefoilpickError: The node cannot be reached, or answers otherwise.
    """
    host, port = split_address(address)
    answer = await fetch(host, port, path, timeout_s=timeout_s, max_bytes=MAX_ANSWER_BYTES)
    if answer.status != 200:
        text = f'"{address}" answered {path} with status {answer.status}'
        raise TrefoilpickError(ErrorKind.PEER_UNREACHABLE, text)
    return decode_status(answer.body, kind)


async def ask_nodes(
    addresses: Iterable[str], path: str, kind: type[StatusT], *, timeout_s: float
) -> dict[str, StatusT | TrefoilpickError]:
    """Ask one page of many nodes, some at a time.

    Returns:
        The answer or the error, by address.
    """
    gate = curio.Semaphore(MAX_FETCHES)
    answers: dict[str, StatusT | TrefoilpickError] = {}

    async def ask(address: str) -> None:
        async with gate:
            try:
                answers[address] = await ask_node(address, path, kind, timeout_s=timeout_s)
            except TrefoilpickError as error:
                answers[address] = error

    async with curio.TaskGroup() as tasks:
        for address in dict.fromkeys(addresses):
            await tasks.spawn(ask, address)
    return answers


async def view_fleet(address: str, *, timeout_s: float) -> FleetView:
    """Ask a node for its view of the fleet, and then every other node for its own state.

    Raises:
        TrefoilpickError: The first node cannot be reached.
    """
    fleet = await ask_node(address, "/fleet", FleetStatus, timeout_s=timeout_s)
    addresses = [peer.operator_address for peer in fleet.peers if peer.operator_address]
    answers = await ask_nodes(addresses, "/status", NodeStatus, timeout_s=timeout_s)
    known = {
        peer.vm: answer
        for peer in fleet.peers
        if isinstance(answer := answers.get(peer.operator_address), NodeStatus)
        and answer.vm == peer.vm
    }
    return build_view(fleet, known)


def build_view(fleet: FleetStatus, statuses: dict[str, NodeStatus]) -> FleetView:
    """Build the operator's view.

    Args:
        fleet: What the asked node told.
        statuses: What other nodes told of themselves, by VM.
    """
    told = {**statuses, fleet.node.vm: fleet.node}
    newest = _find_newest(fleet, told.values())
    nodes = [_view_told(status, newest) for status in told.values()]
    nodes += [_view_peer(peer, newest) for peer in fleet.peers if peer.vm not in told]
    return FleetView(
        asked=fleet.node.vm,
        newest=newest,
        versions=tuple(_count_versions(nodes)),
        nodes=tuple(sorted(nodes, key=lambda node: node.vm)),
        convergence=tuple(_measure_convergence(told.values())),
        refused=tuple(_count_refusals(told.values())),
    )


def _find_newest(fleet: FleetStatus, told: Iterable[NodeStatus]) -> VersionRef | None:
    statuses = list(told)
    refused = {_ref(entry) for status in statuses for entry in status.refused}
    heard = {status.newest for status in statuses if status.newest} - refused
    enforced = {status.version for status in statuses if status.version}
    enforced |= {ref for peer in fleet.peers if (ref := _find_peer_version(peer))}
    return max(heard | enforced, default=None)


def _ref(entry: EnforcedVersion | RefusedVersion) -> VersionRef:
    return VersionRef(entry.number, entry.digest)


def _find_peer_version(peer: PeerStatus) -> VersionRef | None:
    if peer.number is None or peer.digest is None:
        return None
    return VersionRef(peer.number, peer.digest)


def _view_told(status: NodeStatus, newest: VersionRef | None) -> NodeView:
    standing, reason = _judge(status, newest)
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


def _judge(status: NodeStatus, newest: VersionRef | None) -> tuple[Standing, str]:
    if newest is not None and status.version == newest:
        return Standing.LEVEL, ""
    for entry in status.refused:
        if _ref(entry) == newest:
            return Standing.REFUSING, f"refused version {entry.number}: {entry.text}"
    if status.newest is None or newest is None:
        reason = "has not heard of any version"
    elif status.newest < newest:
        reason = f"has not heard of version {newest.number}"
    else:
        reason = f"has heard of version {newest.number} and does not enforce it yet"
    return Standing.LAGGING, "; ".join((reason, *status.reasons))


def _view_peer(peer: PeerStatus, newest: VersionRef | None) -> NodeView:
    version = _find_peer_version(peer)
    standing, reason = peer.standing, peer.reason
    if standing is not Standing.UNREACHABLE:
        is_level = version is not None and version == newest
        standing = Standing.LEVEL if is_level else Standing.LAGGING
        reason = "" if is_level else reason or "its operators' port does not answer"
    return NodeView(peer.vm, peer.data_centre, peer.service, standing, version, reason, peer.age_s)


def _count_versions(nodes: Iterable[NodeView]) -> Iterator[VersionView]:
    counts: dict[VersionRef, int] = {}
    for node in nodes:
        if node.version is not None and node.standing is not Standing.UNREACHABLE:
            counts[node.version] = counts.get(node.version, 0) + 1
    for version in sorted(counts, reverse=True):
        yield VersionView(version, counts[version])


def _measure_convergence(told: Iterable[NodeStatus]) -> Iterator[ConvergenceView]:
    times: dict[VersionRef, list[float]] = {}
    for status in told:
        for entry in status.versions:
            if entry.convergence_ms is not None:
                times.setdefault(_ref(entry), []).append(entry.convergence_ms)
    for version in sorted(times, reverse=True)[:SHOWN_VERSIONS]:
        found = times[version]
        yield ConvergenceView(version, len(found), statistics.median(found), max(found))


def _count_refusals(told: Iterable[NodeStatus]) -> Iterator[RefusalView]:
    counts: dict[tuple[VersionRef, str, str], int] = {}
    for status in told:
        for entry in status.refused:
            key = (_ref(entry), entry.kind, entry.text)
            counts[key] = counts.get(key, 0) + 1
    for key in sorted(counts, reverse=True):
        yield RefusalView(*key, counts[key])

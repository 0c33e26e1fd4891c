"""Faults of the soak: chosen at random by a seed and injected from outside the nodes."""

from __future__ import annotations

import signal
import time
from contextlib import contextmanager
from dataclasses import dataclass
from functools import singledispatch
from typing import TYPE_CHECKING

import curio

from soak.fleet import SERVICE_TIME_S, Rewrite
from soak.proxies import NO_TROUBLE, LinkTrouble
from trefoilpick.standin import Faults

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable, Iterator

    from soak.fleet import SoakFleet, SoakNode

MIN_DURATION_S, MAX_DURATION_S = 0.3, 2.5
"""Bounds of a fault's duration, in seconds."""

MEAN_INTERVAL_S = 0.8
"""Mean time between the starts of two faults, in seconds: shorter than most faults, so that they
overlap."""

VERSION_INTERVAL_S = 0.15
"""Time between two versions of a burst, in seconds."""

RESET_INTERVAL_S = 0.2
"""Time between two resets of all connections, in seconds: some calls finish in between."""

LIMITED_S = 9.0
"""Time for which a worker states a limited rate, in seconds: the time after which the rate is
checked, and more than one window of the check."""

LEAVING_S = 2.5
"""Shortest time for which a worker states that it is leaving, in seconds."""

SPREAD_S = 0.5
"""Time between a version and the source's absence that loses it, in seconds."""

STOP_LIMIT_S = 12.0
"""Time after SIGTERM at which a node that has not exited is killed, in seconds: more than twice its
drain notice and drain limit together, for a busy machine."""


@dataclass(frozen=True)
class NodeKilled:
    """A node's process is killed and restarted later."""

    node: int
    for_s: float


@dataclass(frozen=True)
class NodeStopped:
    """A node's process receives SIGTERM and is restarted after it exits."""

    node: int


@dataclass(frozen=True)
class NodePaused:
    """A node's process is suspended for a time."""

    node: int
    for_s: float


@dataclass(frozen=True)
class NodeReloaded:
    """A node's process receives SIGHUP, the request to reload its settings."""

    node: int


@dataclass(frozen=True)
class ClockMoved:
    """The wall clock of a VM jumps, and jumps back later."""

    node: int
    for_s: float
    by_ms: int


@dataclass(frozen=True)
class LinksTroubled:
    """The links from all other nodes to a node are impaired for a time."""

    node: int
    for_s: float
    trouble: LinkTrouble


@dataclass(frozen=True)
class LinksReset:
    """All connections to a node from other nodes, and those to its worker, are reset repeatedly."""

    node: int
    for_s: float


@dataclass(frozen=True)
class ConnectionsSilenced:
    """All open connections through the proxies of one node, or of all nodes, fall silent for good.

    Attributes:
        node: Index of the only affected node; None for all nodes.
    """

    node: int | None = None


@dataclass(frozen=True)
class WorkerTroubled:
    """A worker is slow or its link is impaired for a time."""

    node: int
    for_s: float
    service_time_s: float
    trouble: LinkTrouble


@dataclass(frozen=True)
class WorkerLimited:
    """A worker is in need and states how many requests per second it accepts."""

    node: int
    for_s: float
    rate_limit: float


@dataclass(frozen=True)
class WorkerLeft:
    """A worker states that it is leaving, and later another one takes its place."""

    node: int
    for_s: float


@dataclass(frozen=True)
class AnswersCopied:
    """A worker sends a second copy of each answer a little later."""

    node: int
    for_s: float
    delay_s: float


@dataclass(frozen=True)
class SourceTroubled:
    """The source is faulty for all nodes, or unreachable for one node, for a time.

    Attributes:
        faults: Faults for all nodes; unused if `node` is set.
        node: Index of the only affected node; None for all nodes.
    """

    for_s: float
    faults: Faults
    node: int | None = None


@dataclass(frozen=True)
class SourceRestored:
    """A version is accepted; the source returns from an older copy; a version is confirmed then.

    Attributes:
        for_s: Time for which the source is away, in seconds.
        back_s: Age of the copy, in seconds.
        rewritten_after_s: Time between the return and the confirmation, in seconds.
        rewrite: The version that is confirmed, if the copy lacks one.
    """

    for_s: float
    back_s: float
    rewritten_after_s: float
    rewrite: Rewrite = Rewrite.UNCHANGED


@dataclass(frozen=True)
class VersionsAccepted:
    """A burst of versions is accepted."""

    count: int


Fault = (
    NodeKilled
    | NodeStopped
    | NodePaused
    | NodeReloaded
    | ClockMoved
    | LinksTroubled
    | LinksReset
    | ConnectionsSilenced
    | WorkerTroubled
    | WorkerLimited
    | WorkerLeft
    | AnswersCopied
    | SourceTroubled
    | SourceRestored
    | VersionsAccepted
)
"""Any fault; `node` is the index of the affected node, `for_s` the duration in seconds."""

LINK_TROUBLES = (
    LinkTrouble(delay_s=0.05),
    LinkTrouble(delay_s=0.3),
    LinkTrouble(holds_requests=True),
    LinkTrouble(holds_answers=True),
    LinkTrouble(holds_requests=True, holds_answers=True),
    LinkTrouble(refuses=True),
)

SOURCE_FAULTS = (
    Faults(down=True),
    Faults(delay_ms=600),
    Faults(stale=True),
    Faults(truncated=True),
    Faults(backwards=True),
)


def draw_faults(
    random: random.Random, *, seconds: float, nodes: int
) -> Iterator[tuple[float, Fault]]:
    """Yield random faults with their times since the start, in seconds."""
    at_s = 0.0
    while (at_s := at_s + random.expovariate(1 / MEAN_INTERVAL_S)) < seconds:
        yield at_s, _draw_fault(random, nodes)


def _draw_fault(random: random.Random, nodes: int) -> Fault:
    node = random.randrange(nodes)
    for_s = random.uniform(MIN_DURATION_S, MAX_DURATION_S)
    factories = (
        lambda: NodeKilled(node, for_s),
        lambda: NodeStopped(node),
        lambda: NodeStopped(node),
        lambda: NodePaused(node, for_s),
        lambda: NodeReloaded(node),
        lambda: ClockMoved(node, for_s, random.choice((-5_000, 5_000))),
        lambda: LinksTroubled(node, for_s, random.choice(LINK_TROUBLES)),
        lambda: LinksReset(node, for_s),
        lambda: ConnectionsSilenced(random.choice((None, node))),
        lambda: ConnectionsSilenced(),
        lambda: WorkerTroubled(
            node,
            for_s,
            random.choice((SERVICE_TIME_S, 0.4)),
            random.choice((NO_TROUBLE, *LINK_TROUBLES)),
        ),
        lambda: WorkerLimited(node, LIMITED_S, random.choice((0.0, 2.5, 6.0))),
        lambda: WorkerLeft(node, LEAVING_S + for_s),
        lambda: AnswersCopied(node, for_s, random.choice((0.0, 0.01, 0.1))),
        lambda: SourceTroubled(for_s, random.choice(SOURCE_FAULTS)),
        lambda: SourceTroubled(for_s, Faults(), node),
        lambda: SourceRestored(
            random.choice((0.0, for_s)),
            random.uniform(1.0, 8.0),
            random.uniform(0.1, 1.5),
            random.choice(tuple(Rewrite)),
        ),
        lambda: VersionsAccepted(random.choice((1, 1, 1, 8))),
        lambda: VersionsAccepted(1),
    )
    return random.choice(factories)()


@singledispatch
async def inject(fault: Fault, fleet: SoakFleet) -> None:
    """Inject a fault, wait for its duration and undo it."""
    raise NotImplementedError(type(fault).__name__)


@inject.register(NodeKilled)
async def _(fault: NodeKilled, fleet: SoakFleet) -> None:
    node = fleet.nodes[fault.node]
    if node.is_down:
        return
    node.is_down = True
    _record_fault(node)
    fleet.signal_node(node, signal.SIGKILL)
    await fleet.wait_for_exit(node, STOP_LIMIT_S)
    await curio.sleep(fault.for_s)
    fleet.start_node(node)
    _record_fault(node)


@inject.register(NodeStopped)
async def _(fault: NodeStopped, fleet: SoakFleet) -> None:
    node = fleet.nodes[fault.node]
    if node.is_down:
        return
    node.is_down = True
    node.sigterm_at = time.monotonic()
    fleet.signal_node(node, signal.SIGTERM)
    if not await fleet.wait_for_exit(node, STOP_LIMIT_S):
        fleet.signal_node(node, signal.SIGKILL)
        await fleet.wait_for_exit(node, STOP_LIMIT_S)
    _record_fault(node)
    fleet.start_node(node)


@inject.register(NodePaused)
async def _(fault: NodePaused, fleet: SoakFleet) -> None:
    node = fleet.nodes[fault.node]
    with _record_fault_span([node]):
        fleet.signal_node(node, signal.SIGSTOP)
        await curio.sleep(fault.for_s)
        fleet.signal_node(node, signal.SIGCONT)


@inject.register(NodeReloaded)
async def _(fault: NodeReloaded, fleet: SoakFleet) -> None:
    node = fleet.nodes[fault.node]
    if not node.is_down and time.monotonic() - node.last_fault_at > MAX_DURATION_S:
        fleet.signal_node(node, signal.SIGHUP)


@inject.register(ClockMoved)
async def _(fault: ClockMoved, fleet: SoakFleet) -> None:
    node = fleet.nodes[fault.node]
    node.clock_path.write_text(str(fault.by_ms))
    await curio.sleep(fault.for_s)
    node.clock_path.write_text("0")


@inject.register(LinksTroubled)
async def _(fault: LinksTroubled, fleet: SoakFleet) -> None:
    node = fleet.nodes[fault.node]
    # Requests at other nodes may wait for messages of this node.
    with _record_fault_span(fleet.nodes):
        node.set_links(fault.trouble)
        await curio.sleep(fault.for_s)
        node.set_links(NO_TROUBLE)


@inject.register(LinksReset)
async def _(fault: LinksReset, fleet: SoakFleet) -> None:
    node = fleet.nodes[fault.node]
    until = time.monotonic() + fault.for_s
    while time.monotonic() < until:
        for other in fleet.nodes:
            _record_fault(other)
        for link in (*node.links, node.worker_link):
            link.reset()
        await curio.sleep(RESET_INTERVAL_S)


@inject.register(ConnectionsSilenced)
async def _(fault: ConnectionsSilenced, fleet: SoakFleet) -> None:
    # Requests at other nodes may wait for messages of this node.
    with _record_fault_span(fleet.nodes):
        for node in fleet.nodes if fault.node is None else (fleet.nodes[fault.node],):
            for proxy in node.proxies:
                proxy.silence()
        for node in fleet.nodes:
            node.silenced_at = time.monotonic()


@inject.register(WorkerTroubled)
async def _(fault: WorkerTroubled, fleet: SoakFleet) -> None:
    node = fleet.nodes[fault.node]
    with _record_fault_span([node]):
        node.worker.service_time_s = fault.service_time_s
        node.worker_link.trouble = fault.trouble
        await curio.sleep(fault.for_s)
        node.worker.service_time_s = SERVICE_TIME_S
        node.worker_link.trouble = NO_TROUBLE


@inject.register(WorkerLimited)
async def _(fault: WorkerLimited, fleet: SoakFleet) -> None:
    worker = fleet.nodes[fault.node].worker
    if worker.rate_limit is not None:
        return
    worker.rate_limit = fault.rate_limit
    await curio.sleep(fault.for_s)
    worker.rate_limit = None


@inject.register(WorkerLeft)
async def _(fault: WorkerLeft, fleet: SoakFleet) -> None:
    node = fleet.nodes[fault.node]
    others = [other for other in fleet.nodes if other.worker.service == node.worker.service]
    if any(other.worker.is_leaving for other in others):
        return
    node.worker.is_leaving = True
    await curio.sleep(fault.for_s)
    await fleet.replace_worker(node)


@inject.register(AnswersCopied)
async def _(fault: AnswersCopied, fleet: SoakFleet) -> None:
    worker = fleet.nodes[fault.node].worker
    worker.copy_delay_s = fault.delay_s
    await curio.sleep(fault.for_s)
    worker.copy_delay_s = None


@inject.register(SourceTroubled)
async def _(fault: SourceTroubled, fleet: SoakFleet) -> None:
    if fault.node is None:
        with _record_fault_span(fleet.nodes):
            await fleet.standin.set_faults(fault.faults)
            await curio.sleep(fault.for_s)
            await fleet.standin.set_faults(Faults())
        return
    node = fleet.nodes[fault.node]
    with _record_fault_span([node]):
        node.source_link.trouble = LinkTrouble(refuses=True)
        node.source_link.reset()
        await curio.sleep(fault.for_s)
        node.source_link.trouble = NO_TROUBLE


@inject.register(SourceRestored)
async def _(fault: SourceRestored, fleet: SoakFleet) -> None:
    await fleet.accept()
    await curio.sleep(SPREAD_S)
    with _record_fault_span(fleet.nodes):
        if fault.for_s:
            await fleet.standin.set_faults(Faults(down=True))
            await curio.sleep(fault.for_s)
        await fleet.restore_source(
            fault.back_s, rewritten_after_s=fault.rewritten_after_s, rewrite=fault.rewrite
        )


@inject.register(VersionsAccepted)
async def _(fault: VersionsAccepted, fleet: SoakFleet) -> None:
    for _number in range(fault.count):
        await fleet.accept()
        await curio.sleep(VERSION_INTERVAL_S)


@contextmanager
def _record_fault_span(nodes: Iterable[SoakNode]) -> Iterator[None]:
    """Record at nodes that a fault affects them when it starts and when it ends."""
    affected = list(nodes)
    for node in affected:
        _record_fault(node)
    yield
    for node in affected:
        _record_fault(node)


def _record_fault(node: SoakNode) -> None:
    node.last_fault_at = time.monotonic()

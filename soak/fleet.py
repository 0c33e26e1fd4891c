"""The fleet of a soak: node processes, workers, a stand-in source and proxies between them."""

from __future__ import annotations

import signal
import subprocess
import sys
import time
from collections import Counter
from dataclasses import dataclass, field, replace
from enum import Enum
from functools import partial
from typing import TYPE_CHECKING

import curio
import msgspec

from soak.proxies import NO_TROUBLE, LinkTrouble, Proxy
from trefoilpick._demo_document import build_first_version, build_moved_version
from trefoilpick.manifest import VersionId, decode_manifest, identify_version
from trefoilpick.source import MANIFEST_KEY
from trefoilpick.standin import Faults, Standin, open_standin
from trefoilpick.standin_worker import Worker
from trefoilpick.vms import Vm

if TYPE_CHECKING:
    from pathlib import Path

    from trefoilpick.status import VersionRef

DATA_CENTRES = ("lima-a", "lima-b", "lima-c")
SERVICES = ("portafolio", "encargos")

CALLER_PORT, HOP_PORT, CONTROL_PORT, OPERATOR_PORT = 8080, 8081, 8082, 8083
WORKER_PORT, SOURCE_PORT = 9100, 9000

NODES_NET, LINKS_NET, WORKER_LINKS_NET, WORKERS_NET, SOURCE_LINKS_NET, SOURCE_NET = range(6)
"""Third octet of the addresses of each kind of endpoint."""

NS_PER_MS = 1_000_000

SERVICE_TIME_S = 0.05
"""Service time of a request at a worker, in seconds."""

REWRITE_INTERVAL_S = 0.05
"""Time between two versions that are confirmed again, in seconds."""

NOTICE_MS = 500
"""Time between the drain notice of a node and its first refusal, in milliseconds."""

DRAIN_LIMIT_MS = 4_000
"""Drain limit of a node, in milliseconds: longer than the callers' deadline."""

STATIC_SETTINGS: dict[str, dict[str, object]] = {
    "control": {"exchange_ms": 500, "join_wait_ms": 1_000, "expected_vms": 50},
    "source": {"watch_ms": 2_000, "watch_gap_ms": 200, "backoff_ms": 1_000},
    "drain": {"notice_ms": NOTICE_MS, "limit_ms": DRAIN_LIMIT_MS},
}
"""Settings common to all nodes."""


LETHAL_TARGET = b"/sketches/lethal"
"""Target of the requests under which workers end."""

WORKER_DOWN_S = 2.0
"""Time for which a worker that ended is down, in seconds."""

NO_FAULTS = Faults()


@dataclass(frozen=True)
class Topology:
    """Number of data centres, and how many nodes of each read the source."""

    centres: int
    readers: int


TOPOLOGIES = (Topology(3, 2), Topology(3, 1), Topology(2, 1), Topology(1, 1))
"""Topologies of the soak; in all but the first, most nodes learn of versions from peers only."""


@dataclass(frozen=True)
class Confirmation:
    """A version that the source confirmed.

    Attributes:
        place: Its place among all confirmations: its number, and how many came before it.
        version: Identity of the version.
        service: Service of the archive's route.
        accepted_at_ms: Time of acceptance in its manifest.
        at: When it was confirmed, in seconds on the monotonic clock.
    """

    place: tuple[int, int]
    version: VersionId
    service: str
    accepted_at_ms: int
    at: float

    def __str__(self) -> str:
        number, before = self.place
        return f"version {number} ({self.version.digest[:8]}, confirmation {before})"


class Rewrite(Enum):
    """What the operator confirms after the source returned without the newest version."""

    UNCHANGED = "unchanged"
    """The newest version."""
    SAME_NUMBER = "same number"
    """Another content under the number of the newest version."""
    SERIES = "series"
    """All lost versions, one after the other."""
    HIGHER = "higher"
    """Another content under a number that was not used before."""


@dataclass
class SoakNode:
    """A VM with its node process, its worker and the proxies between them and other endpoints.

    Attributes:
        vm: Its entry in the list of VMs, which names the address of its proxies.
        host: Address on which the node listens.
        worker: The worker.
        links: Proxies for its hop and control ports.
        worker_link: Proxy between the node and its worker.
        source_link: Proxy between the node and the source.
        process: The process of the node, running or exited; None before the first start.
        incarnation: Number of times that its process was started.
        started_at: When its process was last started, in seconds on the monotonic clock.
        clock_path: File with the offset of its wall clock, in milliseconds.
        last_fault_at: When a fault last affected it, in seconds on the monotonic clock.
        silenced_at: When connections to or from it last fell silent, in seconds on the monotonic
            clock.
        sigterm_at: When its process last received SIGTERM, in seconds on the monotonic clock.
        is_down: Whether its process was killed or stopped and not yet restarted.
        worker_serving: The task that accepts connections to the worker.
        worker_back_at: When its worker was last back after an end, in seconds on the monotonic
            clock.
        worker_ends: When its worker ended under a request, and when its node had last been
            disturbed then, in seconds on the monotonic clock.
    """

    vm: Vm
    host: str
    worker: Worker
    links: tuple[Proxy, ...]
    worker_link: Proxy
    source_link: Proxy
    clock_path: Path
    process: subprocess.Popen[bytes] | None = None
    incarnation: int = 0
    started_at: float = float("-inf")
    last_fault_at: float = float("-inf")
    silenced_at: float = float("-inf")
    sigterm_at: float = float("-inf")
    is_down: bool = False
    worker_serving: curio.Task | None = None
    worker_back_at: float = float("-inf")
    worker_ends: list[tuple[float, float]] = field(default_factory=list)

    @property
    def caller_address(self) -> str:
        """The address for callers, as "ip:port"."""
        return f"{self.host}:{CALLER_PORT}"

    @property
    def disturbed_at(self) -> float:
        """When a fault last affected it or it was started, in seconds on the monotonic clock."""
        return max(self.last_fault_at, self.started_at)

    @property
    def proxies(self) -> tuple[Proxy, ...]:
        """The proxies before its ports, and those to its worker and to the source."""
        return (*self.links, self.worker_link, self.source_link)

    def set_links(self, trouble: LinkTrouble) -> None:
        """Impair or restore the links from all other nodes to this node."""
        for link in self.links:
            link.trouble = trouble


@dataclass
class SoakFleet:
    """All VMs and the source.

    Attributes:
        network: Second octet of all addresses.
        folder: Directory for settings and logs.
        breakage: Name of a deliberate breakage in all nodes; empty for none.
        standin: The stand-in source.
        nodes: All VMs.
        topology: Data centres and readers.
        confirmed: Versions that the source confirmed, in this order.
    """

    network: int
    folder: Path
    breakage: str
    standin: Standin
    topology: Topology
    nodes: list[SoakNode] = field(default_factory=list)
    confirmed: list[Confirmation] = field(default_factory=list)
    _vms_revision: int = 0
    _writing: curio.Lock = field(default_factory=curio.Lock)

    def find_newest(self, latest_at: float = float("inf")) -> Confirmation:
        """Return the newest confirmation until a time: of the highest number, the last one."""
        known = [entry for entry in self.confirmed if entry.at <= latest_at]
        return max(known, key=lambda entry: entry.place, default=self.confirmed[0])

    def find_confirmation(self, version: VersionRef) -> Confirmation | None:
        """Return the last confirmation of a version; None if there is none."""
        wanted = VersionId(version.number, version.digest)
        found = (entry for entry in reversed(self.confirmed) if entry.version == wanted)
        return next(found, None)

    def count_runs(self) -> Counter[str]:
        """Return how often each request ran on all workers together, by request id."""
        runs: Counter[str] = Counter()
        for node in self.nodes:
            runs += node.worker.runs
        return runs

    async def start(self, count: int) -> None:
        """Publish a version and the list of VMs, and start nodes, workers and proxies."""
        await curio.spawn(self.standin.run, daemon=True)
        self.nodes = [self._build_node(number) for number in range(count)]
        await self.publish_vms()
        await self.accept()
        for node in self.nodes:
            for proxy in (*node.links, node.source_link):
                await curio.spawn(proxy.run, daemon=True)
            node.worker_serving = await curio.spawn(node.worker_link.run, daemon=True)
            node.worker.lethal_target = LETHAL_TARGET
            node.worker.end = partial(self._end_worker, node)
            await curio.spawn(node.worker.run, daemon=True)
            self.start_node(node)

    async def accept(self) -> None:
        """Accept the next version, in which the archive's route moves to the other service."""
        async with self._writing:
            await self._accept(self.find_newest().version.number + 1 if self.confirmed else 1)

    async def publish_vms(self) -> None:
        """Publish the list of VMs under the next revision."""
        self._vms_revision += 1
        await self.standin.put_vms(self._vms_revision, (node.vm for node in self.nodes))

    async def replace_worker(self, node: SoakNode) -> None:
        """Replace a worker that is leaving by one that starts under the same name."""
        node.worker.is_leaving = False
        node.vm = replace(node.vm, started_ms=node.vm.started_ms + 1)
        await self.publish_vms()

    async def _end_worker(self, node: SoakNode) -> None:
        """End a worker as its node sees it: all connections break, and new ones are refused."""
        node.worker_ends.append((time.monotonic(), node.disturbed_at))
        await curio.spawn(self._restart_worker, node, daemon=True)

    async def _restart_worker(self, node: SoakNode) -> None:
        assert node.worker_serving is not None
        await node.worker_serving.cancel()
        node.worker_link.reset()
        node.worker_back_at = time.monotonic() + WORKER_DOWN_S
        await curio.sleep(WORKER_DOWN_S)
        if node.worker_serving.terminated:
            node.worker_serving = await curio.spawn(node.worker_link.run, daemon=True)

    async def restore_source(
        self, back_s: float, *, rewritten_after_s: float, rewrite: Rewrite
    ) -> None:
        """Return the source to an older copy, and confirm a version later if the copy lacks one.

        Args:
            back_s: Age of the copy, in seconds.
            rewritten_after_s: Time until the version is confirmed, in seconds.
            rewrite: The version that is confirmed.
        """
        async with self._writing:
            await self.standin.restore(back_s)
            await self.standin.set_faults(NO_FAULTS)
            count, lost = len(self.confirmed), self._list_lost()
        await curio.sleep(rewritten_after_s)
        await self.publish_vms()
        async with self._writing:
            # Versions that are confirmed meanwhile replace the lost one.
            if lost and len(self.confirmed) == count:
                await self._rewrite(rewrite, lost)

    async def _rewrite(self, rewrite: Rewrite, lost: list[Confirmation]) -> None:
        number = lost[-1].version.number
        if rewrite is Rewrite.SAME_NUMBER:
            await self._accept(number)
        elif rewrite is Rewrite.HIGHER:
            await self._accept(number + 1)
        else:
            for entry in lost if rewrite is Rewrite.SERIES else lost[-1:]:
                await self._confirm(entry.version.number, entry.service, entry.accepted_at_ms)
                await curio.sleep(REWRITE_INTERVAL_S)

    async def _accept(self, number: int) -> None:
        is_first = not self.confirmed or self.find_newest().service != SERVICES[0]
        # Not the time of day, so that the digests of a script are the same in each run.
        accepted_at_ms = len(self.confirmed)
        await self._confirm(number, SERVICES[not is_first], accepted_at_ms)

    async def _confirm(self, number: int, service: str, accepted_at_ms: int) -> None:
        sections = build_first_version() if service == SERVICES[0] else build_moved_version()
        version = await self.standin.put_version(number, sections, accepted_at_ms=accepted_at_ms)
        place = (number, len(self.confirmed))
        entry = Confirmation(place, version, service, accepted_at_ms, time.monotonic())
        self.confirmed.append(entry)

    def _list_lost(self) -> list[Confirmation]:
        """Return the versions that are newer than the one in the source, oldest first."""
        value = self.standin.values.get(MANIFEST_KEY)
        copied = (0, 0)
        if value is not None:
            version = identify_version(decode_manifest(value.data))
            places = (one.place for one in self.confirmed if one.version == version)
            copied = max(places, default=copied)
        lost = {entry.version: entry for entry in self.confirmed if entry.place > copied}
        return sorted(lost.values(), key=lambda entry: entry.place)

    def start_node(self, node: SoakNode) -> None:
        """Start a node's process."""
        settings = self.folder / f"{node.vm.name}.jsonc"
        settings.write_bytes(msgspec.json.encode(self._build_settings(node)))
        command = [sys.executable, "-m", "soak.launcher", str(settings), str(node.clock_path)]
        if self.breakage:
            command.append(self.breakage)
        with (self.folder / f"{node.vm.name}.log").open("ab") as log:
            node.process = subprocess.Popen(command, stdout=log, stderr=log)
        node.incarnation += 1
        node.is_down = False
        node.started_at = time.monotonic()

    def signal_node(self, node: SoakNode, number: signal.Signals) -> None:
        """Send a signal to a node's process, if it runs."""
        if node.process is not None and node.process.poll() is None:
            node.process.send_signal(number)

    async def wait_for_exit(self, node: SoakNode, limit_s: float) -> bool:
        """Wait until a node's process has exited; return whether it did within the limit."""
        until = time.monotonic() + limit_s
        while node.process is not None and node.process.poll() is None:
            if time.monotonic() > until:
                return False
            await curio.sleep(0.05)
        return True

    def undo_faults(self) -> None:
        """Undo all faults and restart exited nodes."""
        for node in self.nodes:
            node.set_links(NO_TROUBLE)
            node.worker_link.trouble = node.source_link.trouble = NO_TROUBLE
            node.worker.service_time_s = SERVICE_TIME_S
            node.worker.rate_limit = node.worker.copy_delay_s = None
            node.clock_path.write_text("0")
            self.signal_node(node, signal.SIGCONT)
            if node.process is not None and node.process.poll() is not None:
                self.start_node(node)

    def stop(self) -> None:
        """Kill every process that this fleet started."""
        for node in self.nodes:
            self.signal_node(node, signal.SIGKILL)
        for node in self.nodes:
            if node.process is not None:
                node.process.wait()

    def _build_node(self, number: int) -> SoakNode:
        service = SERVICES[number % len(SERVICES)]
        name = f"vm-{number}"
        host = self._build_host(NODES_NET, number)
        links_host = self._build_host(LINKS_NET, number)
        vm = Vm(
            name,
            "lima",
            DATA_CENTRES[number % self.topology.centres],
            service,
            links_host,
            CONTROL_PORT,
            HOP_PORT,
            worker=f"worker-{number}",
            started_ms=1,
        )
        worker_host = self._build_host(WORKERS_NET, number)
        source_host, _, source_port = self.standin.address.partition(":")
        return SoakNode(
            vm,
            host,
            Worker(name, service, worker_host, WORKER_PORT, service_time_s=SERVICE_TIME_S),
            tuple(Proxy((links_host, port), (host, port)) for port in (HOP_PORT, CONTROL_PORT)),
            Proxy(
                (self._build_host(WORKER_LINKS_NET, number), WORKER_PORT),
                (worker_host, WORKER_PORT),
            ),
            Proxy(
                (self._build_host(SOURCE_LINKS_NET, number), SOURCE_PORT),
                (source_host, int(source_port)),
            ),
            self.folder / f"{name}.clock",
        )

    def _build_settings(self, node: SoakNode) -> dict[str, dict[str, object]]:
        number = self.nodes.index(node)
        source = f"{self._build_host(SOURCE_LINKS_NET, number)}:{SOURCE_PORT}"
        vm = node.vm
        return {
            **STATIC_SETTINGS,
            "control": {**STATIC_SETTINGS["control"], "readers": self.topology.readers},
            "source": {**STATIC_SETTINGS["source"], "addresses": [source]},
            "vm": {
                "name": vm.name,
                "region": vm.region,
                "data_centre": vm.data_centre,
                "service": vm.service,
            },
            "listen": {"host": node.host},
            "worker": {"host": self._build_host(WORKER_LINKS_NET, number), "port": WORKER_PORT},
        }

    def _build_host(self, net: int, number: int) -> str:
        return f"127.{self.network}.{net}.{number + 1}"


def open_fleet(
    network: int, folder: Path, *, breakage: str = "", topology: Topology = TOPOLOGIES[0]
) -> SoakFleet:
    """Create a fleet without VMs, with a listening source.

    Args:
        network: Second octet of all addresses; concurrent runs on a machine need different ones.
        folder: Directory for settings and logs.
        breakage: Name of a deliberate breakage in all nodes; empty for none.
        topology: Data centres and readers.
    """
    folder.mkdir(parents=True, exist_ok=True)
    standin = open_standin(f"127.{network}.{SOURCE_NET}.1", 0)
    return SoakFleet(network, folder, breakage, standin, topology)

"""The fleet of a replay: nodes with in-process links and an in-process source."""

from __future__ import annotations

import random
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

import curio
import msgspec

from trefoilpick._clock import read_clock
from trefoilpick._ports import find_free_ports
from trefoilpick.errors import ErrorKind, TrefoilpickError
from trefoilpick.local_network import LocalLinks, LocalNetwork, LocalSource
from trefoilpick.message_endpoint import MessageEndpoint
from trefoilpick.metrics import Metrics
from trefoilpick.node import build_own_vm, open_node
from trefoilpick.settings import (
    ControlSettings,
    DrainSettings,
    ListenSettings,
    Settings,
    SourceSettings,
    VmSettings,
    WorkerSettings,
)
from trefoilpick.snapshots import Snapshot, SnapshotCell
from trefoilpick.source import VMS_KEY, Source, SourceValue
from trefoilpick.standin_worker import Worker
from trefoilpick.vms import Vm, VmList, VmState

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator

    from curio.task import Task

    from trefoilpick.manifest import VersionId
    from trefoilpick.node import Node
    from trefoilpick.traces import VmJoins

VMS_PER_NET = 200
"""Number of VMs whose loopback addresses share the second octet."""

SOURCE_ADDRESS = "127.0.0.1:9"
"""Address of the source in the settings; unused, because the source is in-process."""

NOTICE_MS = 1_000
"""Time between the leaving notice and the refusal of new requests, in milliseconds."""


@dataclass(frozen=True)
class Enforcement:
    """A version that a node put in force, and when, in seconds on the virtual clock."""

    at_s: float
    version: VersionId


@dataclass
class Incarnation:
    """One incarnation of a node: its time from a start to the next stop.

    Attributes:
        vm: Name of its VM.
        began_s: Start time, in seconds on the virtual clock.
        ended_s: End time, in seconds on the virtual clock; infinite while it runs.
        history: Versions that it enforced, in order.
    """

    vm: str
    began_s: float
    ended_s: float = float("inf")
    history: list[Enforcement] = field(default_factory=list)

    @property
    def is_running(self) -> bool:
        """Whether it has not ended."""
        return self.ended_s == float("inf")


@dataclass
class ReplayVm:
    """One VM of a replay, with its current or last node.

    Attributes:
        vm: Its entry in the list of VMs.
        settings: Settings of its node.
        worker: Its worker.
        node: The node of the current or last incarnation; None before the first start.
        incarnation: The current or last incarnation; None before the first start.
        tasks: Tasks of the worker and of the node, in this order.
        paused_until_s: End of the last pause, in seconds on the virtual clock.
        suspended_s: Total duration of all pauses that ended, in seconds.
    """

    vm: Vm
    settings: Settings
    worker: Worker
    node: Node | None = None
    incarnation: Incarnation | None = None
    tasks: list[Task] = field(default_factory=list)
    paused_until_s: float = 0.0
    suspended_s: float = 0.0


class _RecordingCell(SnapshotCell):
    """Snapshot cell that records each new version in the history of its incarnation."""

    def __init__(self, incarnation: Incarnation) -> None:
        super().__init__()
        self._incarnation = incarnation

    def replace(self, snapshot: Snapshot) -> bool:
        is_replaced = super().replace(snapshot)
        if is_replaced:
            self._incarnation.history.append(Enforcement(read_clock(), snapshot.version))
        return is_replaced


class _PartitionedSource:
    """The source as seen from one VM: unreachable while a partition separates them."""

    def __init__(self, source: Source, is_partitioned: Callable[[], bool]) -> None:
        self._source = source
        self._is_partitioned = is_partitioned

    async def read_value(self, key: str) -> SourceValue:
        self._raise_if_partitioned()
        return await self._source.read_value(key)

    def find_held(self, key: str) -> bytes | None:
        """Return a value that needs no call."""
        return self._source.find_held(key)

    def apply_settings(self, settings: SourceSettings) -> None:
        """Ignore the settings: the in-process source has no address and no timeouts."""

    async def watch_value(self, key: str, *, after: int) -> SourceValue | None:
        self._raise_if_partitioned()
        value = await self._source.watch_value(key, after=after)
        self._raise_if_partitioned()
        return value

    def _raise_if_partitioned(self) -> None:
        if self._is_partitioned():
            raise TrefoilpickError(
                ErrorKind.SOURCE_UNAVAILABLE, "source is on the other side of a partition"
            )


class ReplayFleet:
    """All VMs of a replay.

    Args:
        seed: Seed of every random choice.

    Attributes:
        source: The in-process configuration service.
        network: The in-process network between the nodes.
        vms: All VMs that joined, by name.
        incarnations: All incarnations of all nodes, in order of their starts.
    """

    def __init__(self, seed: int) -> None:
        self.source = LocalSource()
        self.network = LocalNetwork(random.Random(seed))
        self.network.is_partitioned = self._is_partitioned
        self.network.is_suspended = self._is_suspended
        self.vms: dict[str, ReplayVm] = {}
        self.incarnations: list[Incarnation] = []
        self._seed = seed
        self._listed: dict[str, Vm] = {}
        self._list_revision = 0
        self._partitions: list[tuple[frozenset[str], bool]] = []
        self._by_address: dict[str, ReplayVm] = {}

    async def join(self, event: VmJoins) -> None:
        """Add a VM and start it."""
        index = len(self.vms)
        host = f"127.{20 + index // VMS_PER_NET}.0.{index % VMS_PER_NET + 1}"
        settings = _build_settings(event, host)
        worker = Worker(
            event.vm,
            event.service,
            host,
            settings.worker.port,
            service_time_s=event.service_time_s,
        )
        entry = ReplayVm(build_own_vm(settings), settings, worker)
        self.vms[event.vm] = entry
        self._by_address[f"{host}:{settings.listen.control_port}"] = entry
        if event.listed:
            self._listed[event.vm] = entry.vm
        await self.start(event.vm)

    async def start(self, name: str) -> None:
        """Start the node and the worker of a VM, unless they run already."""
        entry = self._find(name)
        if entry.incarnation is not None and entry.incarnation.is_running:
            return
        incarnation = Incarnation(name, read_clock())
        self.incarnations.append(incarnation)
        number = len(self.incarnations)
        metrics = Metrics()
        address = f"{entry.vm.host}:{entry.vm.control_port}"
        message_endpoint = MessageEndpoint(name, number, metrics)
        entry.incarnation = incarnation
        entry.node = open_node(
            entry.settings,
            source=_PartitionedSource(
                self.source, lambda: self._is_source_partitioned(entry.vm.data_centre)
            ),
            links=LocalLinks(
                self.network, address, message_endpoint=message_endpoint, metrics=metrics
            ),
            rng=random.Random(f"{self._seed}/{number}"),
            incarnation=number,
            cell=_RecordingCell(incarnation),
            read_suspended=lambda: entry.suspended_s,
        )
        entry.tasks = [
            await curio.spawn(entry.worker.run, daemon=True),
            await curio.spawn(entry.node.run, daemon=True),
        ]

    async def kill(self, name: str) -> None:
        """Kill the node and the worker of a VM, without a graceful shutdown."""
        entry = self._find(name)
        for task in entry.tasks:
            await task.cancel()
        self._end_incarnation(entry)

    async def stop(self, name: str) -> None:
        """Shut down the node of a VM gracefully, then stop its worker."""
        entry = self._find(name)
        if entry.node is None or entry.incarnation is None or not entry.incarnation.is_running:
            return
        await entry.node.request_stop()
        await entry.tasks[1].join()
        await entry.tasks[0].cancel()
        self._end_incarnation(entry)

    async def pause(self, name: str, for_s: float) -> None:
        """Delay all messages of a node by a pause, then add the pause to its suspended time.

        Args:
            name: Name of the VM.
            for_s: Duration, in seconds.
        """
        entry = self._find(name)
        entry.paused_until_s = read_clock() + for_s
        await curio.sleep(for_s)
        entry.suspended_s += for_s

    async def partition(self, side: Iterable[str], for_s: float, *, has_source: bool) -> None:
        """Partition some data centres from all others for a time.

        Args:
            side: Data centres on one side of the partition.
            for_s: Duration, in seconds.
            has_source: Whether this side can reach the source; if not, the other side can.
        """
        entry = (frozenset(side), has_source)
        self._partitions.append(entry)
        await curio.sleep(for_s)
        self._partitions.remove(entry)

    async def update_listing(self, name: str, state: VmState | None) -> None:
        """Change the state of a VM in the platform's list and publish it; None removes the VM."""
        if state is None:
            self._listed.pop(name, None)
        else:
            self._listed[name] = replace(self._find(name).vm, state=state)
        await self.publish_list()

    async def publish_list(self) -> None:
        """Publish the platform's list of VMs under a new revision."""
        self._list_revision += 1
        vms = tuple(self._listed[name] for name in sorted(self._listed))
        await self.source.put(VMS_KEY, msgspec.json.encode(VmList(self._list_revision, vms)))

    def select_vms(self, names: Iterable[str], data_centre: str | None) -> Iterator[str]:
        """Yield the given names, then the names of all VMs of a data centre if one is given."""
        yield from names
        for name, entry in self.vms.items():
            if data_centre is not None and entry.vm.data_centre == data_centre:
                yield name

    def list_addresses(self, name: str) -> list[str]:
        """Return the callers' addresses of all nodes, that of one VM first."""
        names = [name, *(other for other in self.vms if other != name)]
        entries = [self._find(each).settings.listen for each in names]
        return [f"{listen.host}:{listen.caller_port}" for listen in entries]

    def _find(self, name: str) -> ReplayVm:
        entry = self.vms.get(name)
        if entry is None:
            raise TrefoilpickError(ErrorKind.TRACE_FAULTY, f'VM "{name}" has not joined')
        return entry

    def _end_incarnation(self, entry: ReplayVm) -> None:
        if entry.incarnation is not None and entry.incarnation.is_running:
            entry.incarnation.ended_s = read_clock()

    def _is_partitioned(self, one: str, other: str) -> bool:
        data_centres = [self._by_address[address].vm.data_centre for address in (one, other)]
        return any(
            (data_centres[0] in side) != (data_centres[1] in side) for side, _ in self._partitions
        )

    def _is_suspended(self, address: str) -> bool:
        return read_clock() < self._by_address[address].paused_until_s

    def _is_source_partitioned(self, data_centre: str) -> bool:
        return any((data_centre in side) != has_source for side, has_source in self._partitions)


def _build_settings(event: VmJoins, host: str) -> Settings:
    ports = find_free_ports(host, 5)
    return Settings(
        vm=VmSettings(event.vm, event.region, event.data_centre, event.service),
        listen=ListenSettings(host, *ports[:4]),
        worker=WorkerSettings(host, ports[4]),
        source=SourceSettings((SOURCE_ADDRESS,)),
        control=ControlSettings(),
        drain=DrainSettings(notice_ms=NOTICE_MS),
    )

"""A fleet of distributors in one process, over a local network and a local source."""

from __future__ import annotations

from collections.abc import Callable, Container
from dataclasses import replace
from random import Random

import curio
import msgspec
from fakes_proxy import SilencingProxy

from trefoilpick.distribution import Distributor, open_distributor
from trefoilpick.document import Contract, Match, Route, Section, Upstream
from trefoilpick.links import Links, ZmqLinks
from trefoilpick.local_network import LocalLinks, LocalNetwork, LocalSource, SourceFault
from trefoilpick.logs import StateLog
from trefoilpick.manifest import Manifest, SectionRef, VersionId, compute_digest
from trefoilpick.membership import MembershipTable
from trefoilpick.message_endpoint import MessageEndpoint
from trefoilpick.metrics import Metrics
from trefoilpick.settings import (
    ControlSettings,
    ListenSettings,
    Settings,
    SourceSettings,
    VmSettings,
    WorkerSettings,
)
from trefoilpick.snapshots import Snapshot, SnapshotCell
from trefoilpick.source import VMS_KEY, SourceValue
from trefoilpick.vms import Vm, VmList

PROXIED_PORT = 8_092
"""Port on which a node behind a proxy listens."""


class RecordingCell(SnapshotCell):
    """Records enforced versions and asserts that each is newer, complete and consistent."""

    def __init__(self) -> None:
        super().__init__()
        self.history: list[VersionId] = []

    def replace(self, snapshot: Snapshot) -> bool:
        if not super().replace(snapshot):
            return False
        assert not self.history or snapshot.version > self.history[-1]
        defined = {u.name for section in snapshot.document.sections for u in section.upstreams}
        assert all(r.upstream in defined for s in snapshot.document.sections for r in s.routes)
        assert len(snapshot.document.sections) == len(snapshot.manifest.sections)
        self.history.append(snapshot.version)
        return True


class FakeSource(LocalSource):
    """A local source whose values a test can corrupt or replace by earlier ones."""

    def __init__(self) -> None:
        super().__init__()
        self.corrupt: Callable[[str, bytes], bytes] = lambda key, data: data

    async def read_value(self, key: str) -> SourceValue:
        value = await super().read_value(key)
        return replace(value, data=self.corrupt(key, value.data))

    async def watch_value(self, key: str, *, after: int) -> SourceValue | None:
        value = await super().watch_value(key, after=after)
        return value and replace(value, data=self.corrupt(key, value.data))

    def copy(self) -> FakeSource:
        other = FakeSource()
        other.values, other._revision = dict(self.values), self._revision
        return other

    async def serve_old_values(self, values: dict[str, SourceValue]) -> None:
        await self.begin_fault(SourceFault.STALE)
        self._stale_values = values


async def restore_for_a_while(
    source: LocalSource, copy: dict[str, SourceValue], for_s: float
) -> None:
    """Return a source to an older copy; what it lost is written again after a time."""
    newest = dict(source.values)
    await source.restore(copy)
    await curio.sleep(for_s)
    for key, value in newest.items():
        if source.values.get(key) == copy.get(key):
            await source.put(key, value.data)


class FakeNode:
    """A node's distributor together with its collaborators."""

    def __init__(
        self,
        own: Vm,
        network: LocalNetwork,
        source: LocalSource,
        control: ControlSettings,
        incarnation: int,
    ) -> None:
        self.own = own
        self.metrics = Metrics()
        self.cell = RecordingCell()
        self.membership = MembershipTable(own)
        self.suspended_s = 0.0
        self.links = self.open_links(network, MessageEndpoint(own.name, incarnation, self.metrics))
        self.distributor: Distributor = open_distributor(
            make_settings(own, control),
            own=own,
            source=source,
            links=self.links,
            cell=self.cell,
            membership=self.membership,
            metrics=self.metrics,
            log=StateLog(
                make_settings(own, control).vm, incarnation=incarnation, metrics=self.metrics
            ),
            random=Random(f"{own.name}/{incarnation}"),
            read_suspended=lambda: self.suspended_s,
        )
        self.task: curio.Task | None = None

    async def run(self) -> None:
        await self.distributor.run()

    @property
    def number(self) -> int:
        return self.cell.current.version.number if self.cell.current else 0

    def open_links(self, network: LocalNetwork, message_endpoint: MessageEndpoint) -> Links:
        address = f"{self.own.host}:{self.own.control_port}"
        return LocalLinks(network, address, message_endpoint=message_endpoint, metrics=self.metrics)


class ProxiedNode(FakeNode):
    """A node with links over ZeroMQ, which its peers reach through a proxy."""

    def open_links(self, network: LocalNetwork, message_endpoint: MessageEndpoint) -> Links:
        self.proxy = SilencingProxy(
            (self.own.host, self.own.control_port), (self.own.host, PROXIED_PORT)
        )
        return ZmqLinks(
            self.own.host, PROXIED_PORT, message_endpoint=message_endpoint, metrics=self.metrics
        )

    async def run(self) -> None:
        async with curio.TaskGroup(wait=any) as group:
            await group.spawn(self.proxy.run)
            await group.spawn(self.distributor.run)


class FakeFleet:
    """Nodes that share one network and one source."""

    node_class = FakeNode

    def __init__(
        self,
        vms: tuple[Vm, ...],
        *,
        control: ControlSettings | None = None,
        low_bandwidth: Container[str] = (),
    ) -> None:
        self.network = LocalNetwork(Random(7))
        self.source = FakeSource()
        self.vms = vms
        self.control = control or ControlSettings(expected_vms=len(vms))
        self.nodes: dict[str, FakeNode] = {}
        self.incarnations = 0
        self.low_bandwidth = low_bandwidth

    async def publish_vms(self, revision: int, vms: tuple[Vm, ...] | None = None) -> None:
        value = VmList(revision, self.vms if vms is None else vms)
        await self.source.put(VMS_KEY, msgspec.json.encode(value))

    async def start(self, *names: str, source: LocalSource | None = None) -> None:
        for vm in self.vms:
            if not names or vm.name in names:
                self.incarnations += 1
                control = replace(self.control, thin_link=vm.name in self.low_bandwidth)
                node = self.node_class(
                    vm, self.network, source or self.source, control, self.incarnations
                )
                self.nodes[vm.name] = node
                node.task = await curio.spawn(node.run, daemon=True)

    async def kill(self, *names: str) -> None:
        for name in names or tuple(self.nodes):
            node = self.nodes.pop(name)
            assert node.task is not None
            await node.task.cancel()

    def list_readers(self) -> list[str]:
        return [name for name, node in self.nodes.items() if node.distributor.reader.is_reading]

    async def wait_all(self, number: int, limit_s: float, *names: str) -> float:
        """Wait until all nodes enforce a version; return the elapsed time in seconds."""
        return await self.wait_for(
            lambda: all(
                node.number == number
                for name, node in self.nodes.items()
                if not names or name in names
            ),
            limit_s,
        )

    async def wait_for(self, condition: Callable[[], bool], limit_s: float) -> float:
        started_s = await curio.clock()
        while not condition():
            assert await curio.clock() < started_s + limit_s, self.list_numbers()
            await curio.sleep(0.01)
        return await curio.clock() - started_s

    def list_numbers(self) -> dict[str, int]:
        return {name: node.number for name, node in self.nodes.items()}


class ProxiedFleet(FakeFleet):
    """Nodes with links over ZeroMQ, through proxies."""

    node_class = ProxiedNode

    def silence_links(self) -> None:
        """Silence all links that are open; new ones work."""
        for node in self.nodes.values():
            node.proxy.silence()


def make_vms(centres: int, each: int) -> tuple[Vm, ...]:
    return tuple(
        Vm(
            name=f"vm-{centre}-{number}",
            region=f"region-{centre % 3}",
            data_centre=f"centre-{centre}",
            service=f"service-{number % 3}",
            host=f"127.1.{centre}.{number + 1}",
            control_port=8082,
            hop_port=8081,
        )
        for centre in range(centres)
        for number in range(each)
    )


def make_settings(vm: Vm, control: ControlSettings) -> Settings:
    return Settings(
        vm=VmSettings(vm.name, vm.region, vm.data_centre, vm.service),
        listen=ListenSettings(vm.host),
        worker=WorkerSettings(vm.host, 9000),
        source=SourceSettings(("127.0.0.1:7000",)),
        control=control,
    )


def make_section(team: str, variant: int, *, upstream: str | None = None) -> bytes:
    contract = Contract(idempotent=True, deadline_ms=1_000 + variant)
    route = Route("main", Match(f"/{team}", ("GET",)), upstream or team, contract)
    return msgspec.json.encode(Section(team, (Upstream(team),), (route,)))


def make_version(
    number: int, variants: dict[str, int], *, broken: str | None = None
) -> tuple[Manifest, dict[str, bytes]]:
    """Return a manifest and its texts by digest.

    Args:
        number: Version number.
        variants: Teams with a number each; sections with different numbers have different contents.
        broken: Team whose route names an undefined upstream.
    """
    refs: list[SectionRef] = []
    texts: dict[str, bytes] = {}
    for team, variant in sorted(variants.items()):
        text = make_section(team, variant, upstream="nowhere" if team == broken else None)
        digest = compute_digest(text)
        refs.append(SectionRef(team, digest, len(text)))
        texts[digest] = text
    return Manifest(number, 1_000, tuple(refs)), texts

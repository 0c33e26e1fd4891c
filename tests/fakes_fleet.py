"""Fakes at the interfaces of the distribution: a network between nodes and a source."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import TYPE_CHECKING

import curio
import msgspec

from trefoilpick.distribution import Distributor, open_distributor
from trefoilpick.document import Contract, Match, Route, Section, Upstream
from trefoilpick.errors import ErrorKind, TrefoilpickError
from trefoilpick.links import Traffic
from trefoilpick.logs import StateLog
from trefoilpick.mailbox import Mailbox
from trefoilpick.manifest import Manifest, SectionRef, compute_digest, encode_manifest
from trefoilpick.messages import Body, Envelope
from trefoilpick.metrics import Metrics
from trefoilpick.roster import Roster
from trefoilpick.settings import (
    ControlSettings,
    ListenSettings,
    Settings,
    SourceSettings,
    VmSettings,
    WorkerSettings,
)
from trefoilpick.snapshots import SnapshotCell
from trefoilpick.source import MANIFEST_KEY, VMS_KEY, SourceValue, name_section_key
from trefoilpick.vms import Vm, VmList

if TYPE_CHECKING:
    from trefoilpick.mailbox import Handler


class FakeNetwork:
    """Carries messages between nodes of one process, as badly as it is told to."""

    def __init__(self, random: Random) -> None:
        self.random = random
        self.ends: dict[str, FakeLinks] = {}
        self.is_cut: Callable[[str, str], bool] = lambda one, other: False
        self.loss = 0.0
        self.doubling = 0.0
        self.delay_s = (0.001, 0.002)
        self.sent: list[bytes] = []

    async def carry(self, data: bytes, one: str, other: str, arrive: Callable) -> None:
        self.sent.append(data)
        for _ in range(1 + (self.random.random() < self.doubling)):
            if self.random.random() >= self.loss:
                await curio.spawn(self._carry_once, data, one, other, arrive, daemon=True)

    async def _carry_once(self, data: bytes, one: str, other: str, arrive: Callable) -> None:
        await curio.sleep(self.random.uniform(*self.delay_s))
        if not self.is_cut(one, other):
            await arrive(data)


class FakeLinks:
    """`Links` over a `FakeNetwork`."""

    def __init__(
        self, network: FakeNetwork, address: str, mailbox: Mailbox, metrics: Metrics
    ) -> None:
        self.traffic = Traffic(metrics)
        self._network = network
        self._address = address
        self._mailbox = mailbox

    async def run(self, handler: Handler) -> None:
        self._mailbox.set_handler(handler)
        self._network.ends[self._address] = self
        try:
            await curio.Event().wait()
        finally:
            if self._network.ends.get(self._address) is self:
                del self._network.ends[self._address]

    async def tell(self, address: str, body: Body) -> None:
        await self._send(address, self._mailbox.encode(body))

    async def ask(self, address: str, body: Body, *, timeout_s: float) -> Envelope:
        pending = self._mailbox.open_request(address)
        await self._send(address, self._mailbox.encode(body, request=pending.request))
        return await self._mailbox.wait_answer(pending, timeout_s)

    async def _send(self, address: str, data: bytes) -> None:
        self.traffic.sent += len(data)

        async def arrive(received: bytes) -> None:
            end = self._network.ends.get(address)
            if end is not None:
                await end.take(received, self)

        await self._network.carry(data, self._address, address, arrive)

    async def take(self, data: bytes, asker: FakeLinks) -> None:
        self.traffic.received += len(data)
        answer = await self._mailbox.take_request(data)
        if answer is None:
            return

        async def arrive(received: bytes) -> None:
            asker.traffic.received += len(received)
            await asker._mailbox.take_answer(received, self._address)

        await self._network.carry(answer, self._address, asker._address, arrive)


class FakeSource:
    """A configuration service that counts its calls and fails as it is told to."""

    def __init__(self) -> None:
        self.values: dict[str, SourceValue] = {}
        self.reads: list[tuple[float, str]] = []
        self.is_down = False
        self.spoil: Callable[[str, bytes], bytes] = lambda key, data: data
        self.read_s = 0.002
        self._revision = 0
        self._changed = curio.Condition()

    async def put(self, key: str, data: bytes) -> None:
        self._revision += 1
        self.values[key] = SourceValue(data, self._revision)
        async with self._changed:
            await self._changed.notify_all()

    async def accept(self, manifest: Manifest, texts: dict[str, bytes]) -> None:
        for digest, text in texts.items():
            await self.put(name_section_key(digest), text)
        await self.put(MANIFEST_KEY, encode_manifest(manifest))

    async def read_value(self, key: str) -> SourceValue:
        self.reads.append((await curio.clock(), key))
        await curio.sleep(self.read_s)
        if self.is_down or key not in self.values:
            raise TrefoilpickError(ErrorKind.SOURCE_UNAVAILABLE, f'source has no "{key}"')
        value = self.values[key]
        return SourceValue(self.spoil(key, value.data), value.revision)

    async def watch_value(self, key: str, *, after: int) -> SourceValue | None:
        self.reads.append((await curio.clock(), key))
        async with curio.ignore_after(30):
            while key not in self.values or self.values[key].revision <= after:
                async with self._changed:
                    await self._changed.wait()
            if self.is_down:
                raise TrefoilpickError(ErrorKind.SOURCE_UNAVAILABLE, "source is down")
            value = self.values[key]
            return SourceValue(self.spoil(key, value.data), value.revision)
        return None

    def count_peak(self) -> int:
        """Return the most calls within any one second."""
        times = [at for at, _ in self.reads]
        return max((sum(at <= other < at + 1 for other in times) for at in times), default=0)


class FakeNode:
    """A node's distributor with all that it was made of."""

    def __init__(
        self, own: Vm, network: FakeNetwork, source: FakeSource, control: ControlSettings, life: int
    ) -> None:
        self.own = own
        self.metrics = Metrics()
        self.cell = SnapshotCell()
        self.roster = Roster(own)
        self.suspended_s = 0.0
        self.history: list[tuple[int, str]] = []
        address = f"{own.host}:{own.control_port}"
        mailbox = Mailbox(own.name, life, self.metrics)
        self.links = FakeLinks(network, address, mailbox, self.metrics)
        self.distributor: Distributor = open_distributor(
            make_settings(own, control),
            own=own,
            source=source,
            links=self.links,
            cell=self.cell,
            roster=self.roster,
            metrics=self.metrics,
            log=StateLog(make_settings(own, control).vm, incarnation=life, metrics=self.metrics),
            random=Random(f"{own.name}/{life}"),
            read_suspended=lambda: self.suspended_s,
        )
        self.task: curio.Task | None = None

    @property
    def number(self) -> int:
        return self.cell.current.version.number if self.cell.current else 0


class FakeFleet:
    """Nodes on one network with one source."""

    def __init__(self, vms: tuple[Vm, ...], *, control: ControlSettings | None = None) -> None:
        self.network = FakeNetwork(Random(7))
        self.source = FakeSource()
        self.vms = vms
        self.control = control or ControlSettings(expected_vms=len(vms))
        self.nodes: dict[str, FakeNode] = {}
        self.lives = 0

    async def publish_vms(self, revision: int, vms: tuple[Vm, ...] | None = None) -> None:
        value = VmList(revision, self.vms if vms is None else vms)
        await self.source.put(VMS_KEY, msgspec.json.encode(value))

    async def start(self, *names: str, source: FakeSource | None = None) -> None:
        for vm in self.vms:
            if not names or vm.name in names:
                self.lives += 1
                node = FakeNode(vm, self.network, source or self.source, self.control, self.lives)
                self.nodes[vm.name] = node
                node.task = await curio.spawn(node.distributor.run, daemon=True)

    async def kill(self, *names: str) -> None:
        for name in names or tuple(self.nodes):
            node = self.nodes.pop(name)
            assert node.task is not None
            await node.task.cancel()

    async def wait_all(self, number: int, limit_s: float, *names: str) -> float:
        """Wait until all nodes enforce a version; return how long that took."""
        return await self.wait_for(
            lambda: all(
                node.number == number
                for name, node in self.nodes.items()
                if not names or name in names
            ),
            limit_s,
        )

    async def wait_for(self, holds: Callable[[], bool], limit_s: float) -> float:
        began = await curio.clock()
        while not holds():
            assert await curio.clock() < began + limit_s, self.list_numbers()
            await curio.sleep(0.01)
        return await curio.clock() - began

    def list_numbers(self) -> dict[str, int]:
        return {name: node.number for name, node in self.nodes.items()}


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


def make_section(team: str, mark: int, *, upstream: str | None = None) -> bytes:
    contract = Contract(idempotent=True, deadline_ms=1_000 + mark)
    route = Route("main", Match(f"/{team}", ("GET",)), upstream or team, contract)
    return msgspec.json.encode(Section(team, (Upstream(team),), (route,)))


def make_version(
    number: int, marks: dict[str, int], *, broken: str | None = None
) -> tuple[Manifest, dict[str, bytes]]:
    """Return a manifest and its texts by digest; a broken team routes to nothing."""
    refs: list[SectionRef] = []
    texts: dict[str, bytes] = {}
    for team, mark in sorted(marks.items()):
        text = make_section(team, mark, upstream="nowhere" if team == broken else None)
        digest = compute_digest(text)
        refs.append(SectionRef(team, digest, len(text)))
        texts[digest] = text
    return Manifest(number, 1_000, tuple(refs)), texts

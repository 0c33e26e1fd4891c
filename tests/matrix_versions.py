"""Runs the cells of version distribution: distributors on a fake network and a fake source."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from contextlib import contextmanager
from dataclasses import replace
from random import Random

import curio
from fakes_fleet import (
    FakeFleet,
    FakeNode,
    FakeSource,
    make_version,
    make_vms,
    restore_for_a_while,
)
from matrix_table import Cell, Expected, Fault, Step

from trefoilpick import enforcement
from trefoilpick._virtual_time import VirtualTime, run_virtual
from trefoilpick.errors import ErrorKind, TrefoilpickError
from trefoilpick.local_network import LocalNetwork, SourceFault
from trefoilpick.manifest import encode_manifest
from trefoilpick.messages import (
    Announcement,
    Delivery,
    Exchange,
    Fetch,
    StatusAnswer,
    StatusRequest,
    decode_envelope,
)
from trefoilpick.source import MANIFEST_KEY, SourceValue

CONVERGENCE_LIMIT_S = 8.0
"""Time limit until a version is in force on all nodes, in seconds."""

FAULT_S = 6.0
"""Duration of a fault, in seconds."""

RESTART_S = 2.0
"""Time until a dead node restarts, in seconds."""

START_S = 20.0
"""Time limit for the start of the fleet, in seconds."""

WATCHING_S = 5.0
"""Time after which a started reader waits in a watch, in seconds."""

LATE_S = 0.5
"""Delay of an older value that arrives after the newer one, in seconds."""

TEAMS = {f"team-{number}": 0 for number in range(4)}
STEP_MESSAGES = {
    Step.ANNOUNCE: (Announcement,),
    Step.RELAY: (Fetch, Delivery),
    Step.REPORT: (Exchange, StatusRequest, StatusAnswer),
}
SOURCE_STEPS = (Step.WATCH, Step.READ_MANIFEST, Step.READ_SECTION)


class ProcessDeathError(curio.TaskCancelled):
    """Raised to end the process of a node within a step."""


class MatrixNetwork(LocalNetwork):
    """Lets a cell inspect, change and delay each message."""

    def __init__(self, random: Random) -> None:
        super().__init__(random)
        self.intercept: Callable[[bytes, str, str], Awaitable[list[tuple[float, bytes]]]] | None = (
            None
        )

    async def deliver(self, data: bytes, sender: str, receiver: str, arrive: Callable) -> None:
        if self.intercept is None:
            await super().deliver(data, sender, receiver, arrive)
            return
        for delay_s, changed in await self.intercept(data, sender, receiver):
            await curio.spawn(
                self._deliver_later, delay_s, changed, sender, receiver, arrive, daemon=True
            )

    async def _deliver_later(
        self, delay_s: float, data: bytes, sender: str, receiver: str, arrive: Callable
    ) -> None:
        await curio.sleep(delay_s)
        await self._deliver_once(data, sender, receiver, arrive)


class MatrixSource:
    """The source as seen by the subject, with the cell's faults."""

    def __init__(self, source: FakeSource, run: VersionRun) -> None:
        self._source = source
        self._run = run

    async def read_value(self, key: str) -> SourceValue:
        value = await self._source.read_value(key)
        step = Step.READ_MANIFEST if key == MANIFEST_KEY else Step.READ_SECTION
        return await self._run.intercept_source(step, value) if key != "vms" else value

    def find_held(self, key: str) -> bytes | None:
        return self._source.find_held(key)

    async def watch_value(self, key: str, *, after: int) -> SourceValue | None:
        if key == MANIFEST_KEY and self._run.late_value is not None:
            await curio.sleep(LATE_S)
            value, self._run.late_value = self._run.late_value, None
            return value
        value = await self._source.watch_value(key, after=after)
        if value is None or key != MANIFEST_KEY:
            return value
        value = await self._run.intercept_source(Step.WATCH, value)
        return await self._run.intercept_source(Step.READ_MANIFEST, value)


class VersionRun:
    """One cell: version 1 is in force, 2 is accepted, the fault is injected, 3 is accepted."""

    def __init__(self, cell: Cell, clock: VirtualTime) -> None:
        self.cell = cell
        self.clock = clock
        self.fleet = FakeFleet(make_vms(2, 3))
        self.fleet.network = MatrixNetwork(Random(11))
        self.histories: list[list[tuple[int, str]]] = []
        self.is_injected = False
        self.is_armed = False
        self.until_s = 0.0
        self.random = Random(5)
        self.subject = ""
        self.dead: list[str] = []
        self.first_revision = 0
        self.late_value: SourceValue | None = None

    async def run(self) -> None:
        fleet = self.fleet
        await fleet.publish_vms(1)
        await fleet.source.accept(*make_version(1, TEAMS))
        self.first_revision = fleet.source.values[MANIFEST_KEY].revision
        await self._start()
        await fleet.wait_all(1, START_S)
        await fleet.wait_for(lambda: all(n.distributor.is_ready for n in fleet.nodes.values()), 30)
        self.subject = self._choose_subject()
        if self.cell.step in SOURCE_STEPS:
            # Restarts the reader with a source that injects faults.
            await fleet.kill(self.subject)
            await self._start(self.subject)
            await fleet.wait_for(self._is_subject_reading, START_S)
            await curio.sleep(WATCHING_S)
        await self._inject_and_recover()
        await self._accept_third()
        self.check_guarantees()

    def check_guarantees(self) -> None:
        """Assert that no node was downgraded and that each version was enforced as a whole."""
        for history in self.histories:
            assert history == sorted(set(history)), history
        for node in self.fleet.nodes.values():
            snapshot = node.cell.current
            assert snapshot is not None
            assert len(snapshot.document.sections) == len(TEAMS)
            for routes in snapshot.section_routes.values():
                assert all(entry.route.upstream in snapshot.upstreams for entry in routes)

    async def _inject_and_recover(self) -> None:
        fleet, expected = self.fleet, self.cell.expected
        self.is_armed = True
        self.is_injected = expected is Expected.KEPT
        fleet.network.intercept = self._intercept
        await curio.spawn(self._restart_dead, daemon=True)
        began_s = await curio.clock()
        broken = "team-1" if expected is Expected.KEPT else None
        with self._hook_prepare():
            await fleet.source.accept(*make_version(2, TEAMS | {"team-1": 2}, broken=broken))
            await curio.sleep(0.1)
            if self.cell.step is Step.REPORT:
                await self._collect_statuses()
            if expected is Expected.KEPT:
                await curio.sleep(CONVERGENCE_LIMIT_S)
                assert set(fleet.list_numbers().values()) == {1}
                return
            await fleet.wait_for(lambda: self.is_injected, CONVERGENCE_LIMIT_S + FAULT_S)
            limit_s = CONVERGENCE_LIMIT_S
            if expected is Expected.AFTER:
                limit_s = max(self.until_s - began_s, 0.0) + CONVERGENCE_LIMIT_S
            await self._wait_for_all(2, began_s + limit_s)
        await curio.sleep(max(0.0, self.until_s - await curio.clock()) + 1.0)

    async def _accept_third(self) -> None:
        self.is_armed = False
        began_s = await curio.clock()
        await self.fleet.source.accept(*make_version(3, TEAMS | {"team-2": 3}))
        await self._wait_for_all(3, began_s + CONVERGENCE_LIMIT_S)

    async def _wait_for_all(self, number: int, until_s: float) -> None:
        while await curio.clock() < until_s:
            numbers = self.fleet.list_numbers()
            if len(numbers) == len(self.fleet.vms) and set(numbers.values()) == {number}:
                return
            await curio.sleep(0.02)
        raise AssertionError(f"version {number} not in force: {self.fleet.list_numbers()}")

    async def _start(self, *names: str) -> None:
        fleet = self.fleet
        for vm in fleet.vms:
            if names and vm.name not in names:
                continue
            source = fleet.source
            if vm.name == self.subject and self.cell.step in SOURCE_STEPS:
                source = MatrixSource(fleet.source, self)
            await fleet.start(vm.name, source=source)
            self._record_history(fleet.nodes[vm.name])

    def _record_history(self, node: FakeNode) -> None:
        history: list[tuple[int, str]] = []
        self.histories.append(history)
        replace = node.cell.replace

        def record(snapshot: object) -> bool:
            if self.cell.step is Step.ENFORCE and node.own.name == self.subject:
                self._inject_now()
            replaced = replace(snapshot)
            if replaced:
                history.append((snapshot.version.number, snapshot.version.digest))
            return replaced

        node.cell.replace = record

    def _choose_subject(self) -> str:
        must_be_reader = self.cell.step not in (Step.RELAY, Step.REPORT)
        for name, node in self.fleet.nodes.items():
            if node.distributor.reader.is_reading == must_be_reader:
                return name
        raise AssertionError("no node has the role that this step needs")

    def _is_subject_reading(self) -> bool:
        node = self.fleet.nodes[self.subject]
        return node.number == 1 and node.distributor.reader.is_reading

    async def _collect_statuses(self) -> None:
        querying = next(node for name, node in self.fleet.nodes.items() if name != self.subject)
        await querying.distributor.collect_peer_statuses()

    def _list_faults(self) -> list[Fault]:
        return [fault for fault in (self.cell.fault, self.cell.second_fault) if fault]

    async def _inject(self) -> None:
        """Start the faults that affect nodes, the source or the network, once."""
        if self.is_injected or not self.is_armed:
            return
        self.is_injected = True
        self.until_s = await curio.clock() + FAULT_S
        for fault in self._list_faults():
            await curio.spawn(self._run_fault, fault, daemon=True)

    async def _run_fault(self, fault: Fault) -> None:
        fleet = self.fleet
        if fault is Fault.DEATH:
            await self._kill_and_restart(self.subject)
        elif fault is Fault.HERD:
            await self._kill_and_restart(*[vm.name for vm in fleet.vms])
        elif fault is Fault.PAUSE:
            node = fleet.nodes[self.subject]
            await curio.sleep(FAULT_S)
            node.suspended_s += FAULT_S
        elif fault is Fault.SOURCE_DOWN:
            await fleet.source.begin_fault(SourceFault.DOWN)
            await curio.sleep(FAULT_S)
            await fleet.source.end_fault(SourceFault.DOWN)
        elif fault is Fault.STALE:
            await fleet.source.serve_old_values(dict(self._list_first_values()))
            await curio.sleep(FAULT_S)
            await fleet.source.end_fault(SourceFault.STALE)
        elif fault is Fault.RESTORED:
            await restore_for_a_while(fleet.source, dict(self._list_first_values()), FAULT_S)
        elif fault is Fault.PARTITION:
            fleet.network.is_partitioned = (
                lambda sender, receiver: sender.split(".")[2] != receiver.split(".")[2]
            )
            await curio.sleep(FAULT_S)
            fleet.network.is_partitioned = lambda sender, receiver: False

    def _list_first_values(self) -> list[tuple[str, SourceValue]]:
        manifest, texts = make_version(1, TEAMS)
        values = self.fleet.source.values
        old_manifest = encode_manifest(manifest)
        unchanged = [(key, value) for key, value in values.items() if key != MANIFEST_KEY]
        return [*unchanged, (MANIFEST_KEY, SourceValue(old_manifest, self.first_revision))]

    async def _kill_and_restart(self, *names: str) -> None:
        alive = [name for name in names if name in self.fleet.nodes]
        await self.fleet.kill(*alive)
        await curio.sleep(RESTART_S)
        await self._start(*names)
        self.until_s = max(self.until_s, await curio.clock())

    def _is_active(self, fault: Fault) -> bool:
        return self.is_injected and self.clock.now_s < self.until_s and fault in self._list_faults()

    async def intercept_source(self, step: Step, value: SourceValue) -> SourceValue:
        """Inject the fault into a read of the subject."""
        if step is not self.cell.step or not self.is_armed:
            return value
        await self._inject()
        if self._is_active(Fault.SLOW):
            await curio.sleep(FAULT_S / 2)
        for fault in (Fault.REFUSED, Fault.RESET, Fault.PARTITION):
            if self._is_active(fault):
                raise TrefoilpickError(ErrorKind.SOURCE_UNAVAILABLE, fault.value)
        for fault in (Fault.BLACK_HOLE, Fault.PAUSE):
            if self._is_active(fault):
                await curio.sleep(FAULT_S)
                raise TrefoilpickError(ErrorKind.SOURCE_UNAVAILABLE, fault.value)
        if self._is_active(Fault.TRUNCATED):
            return replace(value, data=value.data[: len(value.data) // 2])
        if self._is_active(Fault.GARBAGE):
            return replace(value, data=self.random.randbytes(len(value.data)))
        if self._is_active(Fault.REORDERED):
            old = dict(self._list_first_values())[MANIFEST_KEY]
            self.late_value = replace(value, data=old.data)
        return value

    async def _intercept(
        self, data: bytes, sender: str, receiver: str
    ) -> list[tuple[float, bytes]]:
        subject = next(vm for vm in self.fleet.vms if vm.name == self.subject)
        is_subject = subject.host in (sender.split(":")[0], receiver.split(":")[0])
        message_types = STEP_MESSAGES.get(self.cell.step, ())
        is_target = is_subject and isinstance(decode_envelope(data).body, message_types or ())
        if is_target:
            await self._inject()
        if is_subject and self._is_active(Fault.PAUSE):
            return [(max(0.0, self.until_s - self.clock.now_s), data)]
        if not is_target:
            return [(0.0, data)]
        return list(self._corrupt(data))

    def _corrupt(self, data: bytes) -> list[tuple[float, bytes]]:
        losing = (Fault.REFUSED, Fault.RESET, Fault.BLACK_HOLE)
        if any(self._is_active(fault) for fault in losing):
            return []
        if self._is_active(Fault.TRUNCATED):
            data = data[: len(data) // 2]
        if self._is_active(Fault.GARBAGE):
            data = self.random.randbytes(len(data))
        delay_s = 0.0
        if self._is_active(Fault.SLOW):
            delay_s = 0.5
        if self._is_active(Fault.REORDERED):
            delay_s = self.random.uniform(0.0, 0.5)
        copies = 2 if self._is_active(Fault.DOUBLED) else 1
        if self._is_active(Fault.STALE):
            copies = 3
        return [(delay_s + copy * 0.3, data) for copy in range(copies)]

    @contextmanager
    def _hook_prepare(self):
        prepare = enforcement.prepare_snapshot
        is_after_prepare = self.cell.step is Step.PREPARE

        def hooked(manifest, store, **fields):
            subject = self.fleet.nodes.get(self.subject)
            is_subject = subject is not None and subject.distributor.store is store
            if is_subject and self.cell.step is Step.CHECK:
                self._inject_now()
            snapshot = prepare(manifest, store, **fields)
            if is_subject and is_after_prepare:
                self._inject_now()
            return snapshot

        enforcement.prepare_snapshot = hooked
        try:
            yield
        finally:
            enforcement.prepare_snapshot = prepare

    def _inject_now(self) -> None:
        """Inject the fault in synchronous code, where nothing can be awaited."""
        if self.is_injected or not self.is_armed:
            return
        self.is_injected = True
        if self.cell.fault is Fault.PAUSE:
            self.clock.now_s += FAULT_S
            self.until_s = self.clock.now_s
            return
        self.until_s = self.clock.now_s + RESTART_S
        names = [self.subject] if self.cell.fault is Fault.DEATH else list(self.fleet.nodes)
        self.dead = names
        raise ProcessDeathError

    async def _restart_dead(self) -> None:
        while not self.dead:
            await curio.sleep(0.01)
        await self._kill_and_restart(*self.dead)


def run_version_cell(cell: Cell) -> None:
    """Run one cell of version distribution.

    Raises:
        AssertionError: The expected outcome or a guarantee does not hold.
    """
    clock = VirtualTime()
    run_virtual(VersionRun(cell, clock).run(), clock=clock)

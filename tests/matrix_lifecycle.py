"""Runs the cells of a node's lifecycle: complete nodes under constant load from callers."""

from __future__ import annotations

from random import Random

import curio
from fakes_fleet import restore_for_a_while
from matrix_table import Cell, Fault, Step

from trefoilpick._call_recorder import CallPlan, CallRecorder
from trefoilpick._call_totals import CallResult, total_calls
from trefoilpick._clock import read_clock
from trefoilpick._replay_fleet import ReplayFleet
from trefoilpick._virtual_time import run_virtual
from trefoilpick.document import Contract, Match, Route, Section, Upstream
from trefoilpick.manifest import Manifest, SectionRef, compute_digest
from trefoilpick.sections import encode_section
from trefoilpick.traces import SourceFault, VmJoins

FAULT_S = 6.0
"""Duration of a fault, in seconds."""

RESTART_S = 2.0
"""Time until a dead node restarts, in seconds."""

CONVERGENCE_LIMIT_S = 8.0
"""Time limit until a version is in force on all nodes, in seconds."""

WARM_UP_S = 12.0
"""Time from the first version until calls begin, in seconds."""

CALL_PAUSE_S = 0.1
"""Pause of a caller between two calls, in seconds."""

SERVICE_S = 0.4
"""Service time of a worker, in seconds; keeps some requests in flight at all times."""

CALLERS = ("vm-1", "vm-2", "vm-2", "vm-2", "vm-2", "vm-2", "vm-3")
INTERRUPTING = (Fault.DEATH, Fault.HERD, Fault.PAUSE)
PLANNED = (Step.LEAVE, Step.DRAIN, Step.EXIT)
SUBJECT = "vm-0"
PLANS = (
    CallPlan("GET", "q", "/read", True, 0),
    CallPlan("POST", "q", "/write", False, 64),
    CallPlan("POST", "q", "/write", False, 20_000),
    CallPlan("PUT", "q", "/upload", True, 300_000),
)


class LifecycleRun:
    """One cell: a node is at a step of its lifecycle when the fault is injected."""

    def __init__(self, cell: Cell) -> None:
        self.cell = cell
        self.fleet = ReplayFleet(3)
        self.random = Random(9)
        self.recorders: list[CallRecorder] = []
        self.is_calling = True
        self.calls_before: list[int] = []

    async def run(self) -> None:
        await self._start_fleet()
        self.first_values = dict(self.fleet.source.values)
        callers = [
            await curio.spawn(self._call, name, number) for number, name in enumerate(CALLERS)
        ]
        await curio.sleep(1.0)
        await self._advance_to_step()
        await self._inject()
        await self._restart_subject()
        self.calls_before = [len(recorder.calls) for recorder in self.recorders]
        await self._accept(2, 2_500)
        await curio.sleep(CONVERGENCE_LIMIT_S)
        self.is_calling = False
        for caller in callers:
            await caller.join()
        self._check()
        for name in self.fleet.vms:
            await self.fleet.kill(name)

    def _check(self) -> None:
        for incarnation in self.fleet.incarnations:
            versions = [entry.version for entry in incarnation.history]
            assert versions == sorted(set(versions)), incarnation
        numbers = {
            name: vm.incarnation.history[-1].version.number for name, vm in self._list_running()
        }
        assert set(numbers.values()) == {2}, numbers
        assert all(vm.node.is_ready for _, vm in self._list_running())
        runs: dict[str, int] = {}
        for vm in self.fleet.vms.values():
            for request_id, count in vm.worker.runs.items():
                runs[request_id] = runs.get(request_id, 0) + count
        totals = total_calls((c for each in self.recorders for c in each.calls), runs)
        violations = (totals.lost, totals.doubled, totals.cut, totals.false_not_run)
        assert violations == (0, 0, 0, 0), totals
        assert totals.sent > 10
        for recorder, calls_before in zip(self.recorders, self.calls_before, strict=True):
            results = [call.result for call in recorder.calls[calls_before:]]
            assert results, "a caller made no call after the fault"
            assert set(results) == {CallResult.ANSWERED}, totals
        faults = {self.cell.fault, self.cell.second_fault}
        if Fault.HERD not in faults:
            # While the whole fleet is dead, each caller makes many failing calls per second.
            assert totals.answered >= 0.8 * totals.sent, totals
        if self.cell.step in PLANNED and not faults & set(INTERRUPTING):
            # A planned stop leaves no call with an unknown outcome.
            assert totals.unknown == 0, totals

    def _list_running(self):
        return [
            (name, vm)
            for name, vm in self.fleet.vms.items()
            if vm.incarnation and vm.incarnation.is_running
        ]

    async def _start_fleet(self) -> None:
        for number in range(4):
            if self.cell.step is Step.START and number == 0:
                continue
            await self._join(f"vm-{number}", f"lima-{number % 2}")
        await self._accept(1, 2_000)
        await curio.sleep(WARM_UP_S)

    async def _join(self, name: str, data_centre: str) -> None:
        await self.fleet.join(
            VmJoins(0.0, name, "lima", data_centre, "portafolio", service_time_s=SERVICE_S)
        )
        await self.fleet.publish_list()

    async def _accept(self, number: int, deadline_ms: int) -> None:
        contract = Contract(idempotent=True, deadline_ms=deadline_ms, retries=2)
        large = Contract(idempotent=True, deadline_ms=9_000, body_limit_bytes=2**24)
        writing = Contract(idempotent=False, deadline_ms=deadline_ms)
        routes = (
            Route("read", Match("/read", ("GET",)), "portafolio", contract),
            Route("write", Match("/write", ("POST",)), "portafolio", writing),
            Route("upload", Match("/upload", ("PUT",)), "portafolio", large),
        )
        section = Section("portafolio", (Upstream("portafolio"),), routes)
        text = encode_section(section)
        digest = compute_digest(text)
        manifest = Manifest(number, number, (SectionRef("portafolio", digest, len(text)),))
        await self.fleet.source.accept(manifest, {digest: text})

    async def _call(self, name: str, number: int) -> None:
        label = f"{name}/{number}"
        recorder = CallRecorder(label, self.fleet.list_addresses(name), Random(label))
        self.recorders.append(recorder)
        while self.is_calling:
            await recorder.make_call(self.random.choice(PLANS), number, 20.0)
            number += 1
            await curio.sleep(CALL_PAUSE_S)
        await recorder.close()

    async def _advance_to_step(self) -> None:
        step = self.cell.step
        if step is Step.START:
            await self._join(SUBJECT, "lima-0")
        elif step is Step.JOIN:
            await self.fleet.kill(SUBJECT)
            await curio.sleep(1.0)
            await self.fleet.start(SUBJECT)
            await curio.sleep(0.3)
        elif step in (Step.LEAVE, Step.DRAIN):
            await curio.spawn(self.fleet.stop, SUBJECT, daemon=True)
            await curio.sleep(0.01 if step is Step.LEAVE else 1.2)
        elif step is Step.EXIT:
            await self.fleet.stop(SUBJECT)

    async def _inject(self) -> None:
        faults = [fault for fault in (self.cell.fault, self.cell.second_fault) if fault]
        async with curio.TaskGroup() as tasks:
            for fault in faults:
                await tasks.spawn(self._run_fault, fault)

    async def _run_fault(self, fault: Fault) -> None:
        fleet = self.fleet
        if fault is Fault.DEATH:
            await fleet.kill(SUBJECT)
            await curio.sleep(RESTART_S)
        elif fault is Fault.HERD:
            for name in fleet.vms:
                await fleet.kill(name)
            await curio.sleep(RESTART_S)
            for name in fleet.vms:
                await fleet.start(name)
            await curio.sleep(FAULT_S)
        elif fault is Fault.PAUSE:
            await fleet.pause(SUBJECT, FAULT_S)
        elif fault is Fault.PARTITION:
            await fleet.partition(["lima-1"], FAULT_S, has_source=True)
        elif fault is Fault.SOURCE_DOWN:
            await self._inject_source_fault(SourceFault.DOWN)
        elif fault is Fault.STALE:
            await self._inject_source_fault(SourceFault.STALE)
        elif fault is Fault.RESTORED:
            await self._restore_source()
        else:
            await self._inject_network_fault(fault)

    async def _inject_source_fault(self, fault: SourceFault) -> None:
        await self.fleet.source.begin_fault(fault)
        await curio.sleep(FAULT_S)
        await self.fleet.source.end_fault(fault)

    async def _restore_source(self) -> None:
        await restore_for_a_while(self.fleet.source, self.first_values, FAULT_S)

    async def _inject_network_fault(self, fault: Fault) -> None:
        network = self.fleet.network
        if fault is Fault.SLOW:
            network.delay_s = (0.3, 0.5)
        elif fault is Fault.REORDERED:
            network.delay_s = (0.001, 0.4)
        elif fault is Fault.DOUBLED:
            network.duplication = 1.0
        elif fault is Fault.TRUNCATED:
            network.corrupt = lambda data: data[: len(data) // 2]
        elif fault is Fault.GARBAGE:
            network.corrupt = lambda data: self.random.randbytes(len(data))
        else:
            network.loss = 1.0
        await curio.sleep(FAULT_S)
        network.delay_s, network.duplication, network.loss = (0.001, 0.002), 0.0, 0.0
        network.corrupt = lambda data: data

    async def _restart_subject(self) -> None:
        subject = self.fleet.vms[SUBJECT]
        if self.cell.step in PLANNED and subject.incarnation is not None:
            until_s = read_clock() + CONVERGENCE_LIMIT_S
            while subject.incarnation.is_running and read_clock() < until_s:
                await curio.sleep(0.1)
        await self.fleet.start(SUBJECT)
        await curio.sleep(CONVERGENCE_LIMIT_S)


def run_lifecycle_cell(cell: Cell) -> None:
    """Run one cell of a node's lifecycle.

    Raises:
        AssertionError: The expected outcome or a guarantee does not hold.
    """
    run_virtual(LifecycleRun(cell).run())

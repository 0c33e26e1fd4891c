"""Workers that turn cold under a load near their capacity: one, a data centre, a whole fleet.

Real admission, balancers and cold starts of 6 and 83 nodes in virtual time, without network.
"""

from __future__ import annotations

import random
from collections import defaultdict
from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace

import curio
import msgspec
import pytest

from trefoilpick._clock import read_clock
from trefoilpick._experiment_mesh import SimulatedMesh
from trefoilpick._experiment_nodes import (
    CurrentNode,
    CurrentPolicy,
    NodeAdmission,
    SimulatedRequest,
    WorkerNode,
)
from trefoilpick._experiment_workload import MEAN_WORK_S, REQUEST_KINDS, SERVICE, SLOTS, SPEEDS
from trefoilpick._virtual_time import run_virtual
from trefoilpick._worker_model import WorkerModel
from trefoilpick.cold_starts import ColdStarts
from trefoilpick.document import Upstream
from trefoilpick.errors import TrefoilpickError
from trefoilpick.hops import Load
from trefoilpick.hopserver import QUEUE_POLL_S
from trefoilpick.logs import open_state_log
from trefoilpick.metrics import Metrics
from trefoilpick.settings import HopSettings, VmSettings
from trefoilpick.vms import Vm

COLD_S = 3.0
COLD_RATE_PER_S = 3.15
HOPS = HopSettings(cold_overage=1.5, cold_slack=8.0)
SUSTAINED_PER_S = COLD_RATE_PER_S * HOPS.cold_overage
MAX_PER_S = SUSTAINED_PER_S + HOPS.cold_slack
UPSTREAM = Upstream(
    SERVICE, slots=SLOTS, cold_start_ms=round(COLD_S * 1_000), cold_rate_per_s=COLD_RATE_PER_S
)
LOAD = 0.85
COLD_AT_S, DURATION_S = 5.0, 13.0
"""When the workers turn cold, and when the load ends, in seconds from its start."""
MIN_SHARE_OF_RATE = 0.75
"""Least that a cold worker gets of its rate while the others are near their capacity: what was sent
in the second before it turned cold delays its first request by up to 1.1 of 3 s."""
MIN_SHARE_OF_CAPACITY = 0.75
"""Least share answered, of what the warm workers and the cold rate can serve: a request has only
two attempts, and with 6 workers the other ones are full at times."""
MAX_LASTING_LOSS = 0.05
"""Largest loss of answered requests 2 s after the cold start."""
PER_WORKER_PER_S = SLOTS * sum(SPEEDS) / len(SPEEDS) / MEAN_WORK_S


class ColdWorker(WorkerModel):
    """A worker that may turn cold, and its node's cold starts; records what is sent to it."""

    def __init__(self, vm: Vm, admission: NodeAdmission, *, speed: float, rng: random.Random):
        super().__init__(vm, slots=SLOTS, speed=speed, random=rng)
        self.rate = admission.controller.rate
        self.sent_s: list[float] = []
        self.cold_from_s = self.cold_until_s = float("-inf")
        metrics = Metrics()
        own = VmSettings(vm.name, vm.region, vm.data_centre, vm.service)
        log = open_state_log(own, incarnation=1, metrics=metrics)
        self.cold_starts = ColdStarts(self.rate, HOPS, log=log, metrics=metrics)
        self.cold_starts.handle_listing(vm)
        self.cold_starts.apply_upstream(UPSTREAM)

    def turn_cold(self) -> None:
        self.cold_from_s = read_clock()
        self.cold_until_s = self.cold_from_s + COLD_S
        self.set_faults(slowness=2.0)
        self.vm = replace(self.vm, started_ms=self.vm.started_ms + 1, cold_ms=3_000)
        self.cold_starts.handle_listing(self.vm)

    async def run(self, work_s: float) -> float:
        while not self.rate.try_send():
            await curio.sleep(max(self.rate.estimate_turn(), 0.001))
        self.sent_s.append(read_clock())
        return await super().run(work_s)

    def list_cold(self) -> list[float]:
        return [s for s in self.sent_s if self.cold_from_s <= s < self.cold_until_s]

    def count_most(self) -> int:
        """Return the most requests in a second that ends while the worker is cold."""
        counts = (sum(e - 1.0 <= s <= e for s in self.sent_s) for e in self.list_cold())
        return max(counts, default=0)


class ColdWorkerNode(WorkerNode):
    """The node beside a worker that may be cold."""

    def report_load(self) -> Load:
        load = super().report_load()
        assert isinstance(self.worker, ColdWorker)
        return msgspec.structs.replace(load, cold_rate=self.worker.rate.cold_rate)


@dataclass
class ColdMesh(SimulatedMesh):
    """A mesh of any size whose results are recorded by the second of their request."""

    def __post_init__(self) -> None:
        self.results: dict[int, list[bool]] = defaultdict(list)

    @property
    def workers(self) -> list[ColdWorker]:
        nodes = self.worker_nodes.values()
        return [node.worker for node in nodes if isinstance(node.worker, ColdWorker)]

    def open_nodes(self, size: int) -> None:
        for number in range(size):
            centre = f"lima-{'abc'[number % 3]}"
            vm = Vm(
                f"vm-{number}", "lima", centre, SERVICE, "127.0.0.1", 1, 2, worker=f"i-{number}"
            )
            admission = NodeAdmission(SLOTS)
            worker = ColdWorker(
                vm, admission, speed=SPEEDS[(number + number // 3) % 3], rng=self.random
            )
            self.worker_nodes[vm.name] = ColdWorkerNode(worker, admission)
        self.nodes = [CurrentNode(self, number) for number in range(size)]

    async def drive(self, select: Callable[[list[ColdWorker]], list[ColdWorker]]) -> None:
        polls = await curio.spawn(self._poll)
        # All nodes have just started, so all workers are assumed cold at first.
        await curio.sleep(COLD_S + 1.0)
        began_s = read_clock()
        changes = await curio.spawn(self._turn_cold, select)
        per_s = LOAD * len(self.nodes) * PER_WORKER_PER_S
        async with curio.TaskGroup() as callers:
            while (now_s := read_clock()) < began_s + DURATION_S:
                await callers.spawn(self._call_once, int(now_s - began_s))
                await curio.sleep(self.random.expovariate(per_s))
        await changes.join()
        await polls.cancel()

    async def _turn_cold(self, select: Callable[[list[ColdWorker]], list[ColdWorker]]) -> None:
        await curio.sleep(COLD_AT_S)
        for worker in select(self.workers):
            worker.turn_cold()

    async def _poll(self) -> None:
        while True:
            for worker_node in self.worker_nodes.values():
                assert isinstance(worker_node.worker, ColdWorker)
                worker_node.worker.cold_starts.refresh()
                if read_clock() >= worker_node.worker.cold_until_s:
                    worker_node.worker.clear_faults()
                await worker_node.admission.check_waiting()
            await curio.sleep(QUEUE_POLL_S)

    async def _call_once(self, second: int) -> None:
        kind = self.random.choices(REQUEST_KINDS, [kind.share for kind in REQUEST_KINDS])[0]
        node = self._choose_node()
        try:
            await node.serve(SimulatedRequest(kind, kind.work_s, read_clock()))
        except TrefoilpickError:
            self.results[second].append(False)
        else:
            self.results[second].append(True)

    def compute_answered(self, first: float, last: float) -> float:
        """Return the share of the requests from one second to another that were answered."""
        results = [r for s in range(int(first), int(last)) for r in self.results[s]]
        return sum(results) / len(results)


def run_load(size: int, select: Callable[[list[ColdWorker]], list[ColdWorker]]) -> ColdMesh:
    async def main() -> ColdMesh:
        mesh = ColdMesh(CurrentPolicy(), random.Random(size))
        mesh.first_data_centre_share = 1 / 3
        mesh.open_nodes(size)
        await mesh.drive(select)
        return mesh

    mesh: ColdMesh = run_virtual(main())
    return mesh


def list_shares(mesh: ColdMesh) -> Iterator[float]:
    """Yield what each worker that turned cold got, as a share of what it may get while cold."""
    for worker in mesh.workers:
        if worker.cold_until_s > 0:
            yield len(worker.list_cold()) / (SUSTAINED_PER_S * COLD_S)


def select_one(workers: list[ColdWorker]) -> list[ColdWorker]:
    return workers[:1]


def select_data_centre(workers: list[ColdWorker]) -> list[ColdWorker]:
    return [worker for worker in workers if worker.vm.data_centre == "lima-a"]


def select_all(workers: list[ColdWorker]) -> list[ColdWorker]:
    return workers


LOADS = {
    "one worker turns cold": select_one,
    "a data centre returns cold at once": select_data_centre,
    "a whole fleet restarts cold": select_all,
}


# Guards against a second over the bound, against cold workers that stay idle while others are
# overloaded, and against workers whose share does not grow back.
@pytest.mark.parametrize("size", [6, 83])
@pytest.mark.parametrize("load", LOADS)
def test_cold_workers_get_their_rate_and_no_more(load: str, size: int) -> None:
    mesh = run_load(size, LOADS[load])
    assert max(worker.count_most() for worker in mesh.workers) <= MAX_PER_S
    assert min(list_shares(mesh)) >= MIN_SHARE_OF_RATE
    cold = sum(worker.cold_until_s > 0 for worker in mesh.workers)
    capacity = size - cold + cold * SUSTAINED_PER_S / PER_WORKER_PER_S
    served = mesh.compute_answered(COLD_AT_S, COLD_AT_S + COLD_S)
    assert served >= MIN_SHARE_OF_CAPACITY * min(1.0, capacity / (LOAD * size))
    before = mesh.compute_answered(0, COLD_AT_S - 1)
    assert mesh.compute_answered(DURATION_S - 3, DURATION_S) >= before - MAX_LASTING_LOSS

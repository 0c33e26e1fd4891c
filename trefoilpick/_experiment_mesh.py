"""The simulated mesh of an experiment: callers, nodes and models of workers."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import curio

from trefoilpick._clock import read_clock
from trefoilpick._experiment_nodes import (
    BaselineNode,
    CurrentNode,
    Policy,
    SimulatedRequest,
    WorkerNode,
    build_admission,
    build_node,
)
from trefoilpick._experiment_workload import (
    ADVISED_RETRY_ATTEMPTS,
    DATA_CENTRES,
    IMMEDIATE_RETRY_ATTEMPTS,
    REFUSED_STATUS,
    REQUEST_KINDS,
    SERVICE,
    MeshShape,
    RequestKind,
    Tally,
)
from trefoilpick._worker_model import WorkerModel
from trefoilpick.deadline_history import RETRY_DELAY_DIVISOR
from trefoilpick.errors import TrefoilpickError, find_answer
from trefoilpick.hopserver import QUEUE_POLL_S
from trefoilpick.vms import Vm

if TYPE_CHECKING:
    import random

    from trefoilpick.vms import WorkerIdentity


@dataclass
class SimulatedMesh:
    """Nodes, workers and callers of one run, and the list of VMs that the nodes' balancers use.

    Attributes:
        policy: How nodes choose workers and admit requests.
        random: Random number generator of all random choices.
        load: Request rate, as a share of the workers' total capacity.
        immediate_retry_share: Share of callers that ignore the retry advice and retry
            immediately.
        first_data_centre_share: Share of callers that use nodes of the first data centre; the
            others spread evenly over the nodes of all other data centres.
        shape: Size of the mesh.
        worker_nodes: Workers and their nodes, by name of the VM.
        nodes: Nodes that receive callers' requests.
        tallies: Results by kind of request.
    """

    policy: Policy
    random: random.Random
    load: float = 0.7
    immediate_retry_share: float = 0.0
    first_data_centre_share: float = 1 / len(DATA_CENTRES)
    shape: MeshShape = MeshShape()
    worker_nodes: dict[str, WorkerNode] = field(default_factory=dict)
    nodes: list[CurrentNode | BaselineNode] = field(default_factory=list)
    tallies: dict[str, Tally] = field(
        default_factory=lambda: {kind.name: Tally() for kind in REQUEST_KINDS}
    )

    def add_worker(self, *, is_cold: bool = False) -> WorkerModel:
        """Start a worker on a new VM and return it."""
        number = len(self.worker_nodes)
        vm = Vm(
            f"vm-{number}",
            "lima",
            DATA_CENTRES[number % len(DATA_CENTRES)],
            SERVICE,
            "127.0.0.1",
            1,
            2,
        )
        shape = self.shape
        speed = shape.speeds[number % len(shape.speeds)]
        worker = WorkerModel(
            vm, slots=shape.slots, speed=speed, random=self.random, is_cold=is_cold
        )
        self.worker_nodes[vm.name] = WorkerNode(worker, build_admission(self.policy, shape.slots))
        return worker

    def start_nodes(self) -> None:
        """Start all nodes; nodes that run already are replaced by new ones without state."""
        self.nodes = [build_node(self.policy, self, number) for number in range(self.shape.workers)]

    def list_workers(self) -> list[WorkerModel]:
        """Return the reachable workers, the oldest first."""
        workers = (worker_node.worker for worker_node in self.worker_nodes.values())
        return [worker for worker in workers if not worker.faults.is_unreachable]

    def list_endpoints(self, service: str) -> tuple[Vm, ...]:
        """Return the VMs with a reachable worker that is not leaving."""
        return tuple(worker.vm for worker in self.list_workers() if not worker.is_leaving)

    def count_vms(self) -> int:
        """Return the number of VMs in the fleet."""
        return self.shape.workers

    def record_connection_refused(self, vm: str) -> None:
        """Do nothing: `list_endpoints` reads the state of the worker models directly."""

    def record_leaving(self, vm: str) -> None:
        """Do nothing: `list_endpoints` reads the state of the worker models directly."""

    def record_alive(self, vm: str, incarnation: int) -> None:
        """Do nothing: `list_endpoints` reads the state of the worker models directly."""

    def record_worker_left(self, vm: str, worker: WorkerIdentity) -> None:
        """Do nothing: `list_endpoints` reads the state of the worker models directly."""

    async def send_requests(self) -> None:
        """Send callers' requests for a time and wait until all have ended."""
        until = read_clock() + self.shape.duration_s
        checks = await curio.spawn(self._check_waiting)
        async with curio.TaskGroup() as callers:
            while read_clock() < until:
                await curio.sleep(self.random.expovariate(self.load * self.shape.capacity_per_s))
                kind = self.random.choices(REQUEST_KINDS, [kind.share for kind in REQUEST_KINDS])[0]
                await callers.spawn(self._call, kind)
        await checks.cancel()

    async def _check_waiting(self) -> None:
        while True:
            for worker_node in list(self.worker_nodes.values()):
                await worker_node.admission.check_waiting()
            await curio.sleep(QUEUE_POLL_S)

    async def _call(self, kind: RequestKind) -> None:
        tally = self.tallies[kind.name]
        sigma = self.shape.work_sigma
        work_s = self.random.lognormvariate(math.log(kind.work_s) - sigma**2 / 2, sigma)
        request = SimulatedRequest(kind, work_s, read_clock())
        retries_immediately = self.random.random() < self.immediate_retry_share
        attempts = IMMEDIATE_RETRY_ATTEMPTS if retries_immediately else ADVISED_RETRY_ATTEMPTS
        tally.asked += 1
        tally.owed += kind.worth
        for number in range(attempts):
            node = self._choose_node()
            try:
                await node.serve(request)
            except TrefoilpickError as error:
                is_refusal = find_answer(error).status == REFUSED_STATUS
                if number == 0 and is_refusal:
                    tally.refusals += 1
                    tally.refused_after_s += read_clock() - request.started_at
                remaining_s = request.deadline_at - read_clock()
                is_last = number == attempts - 1 or remaining_s <= 0
                if is_last or not (is_refusal or kind.is_idempotent):
                    tally.refused += is_refusal
                    tally.failed += not is_refusal
                    return
                if not retries_immediately:
                    pause_s = node.compute_retry_delay(request, error)
                    await curio.sleep(min(pause_s, remaining_s / RETRY_DELAY_DIVISOR))
            else:
                self._record_answer(tally, request)
                return

    def _choose_node(self) -> CurrentNode | BaselineNode:
        is_in_first_data_centre = self.random.random() < self.first_data_centre_share
        step = len(DATA_CENTRES)
        first_nodes = self.nodes[::step]
        other_nodes = [node for index, node in enumerate(self.nodes) if index % step]
        return self.random.choice(first_nodes if is_in_first_data_centre else other_nodes)

    def _record_answer(self, tally: Tally, request: SimulatedRequest) -> None:
        took_s = read_clock() - request.started_at
        tally.waited_s += took_s
        if took_s <= request.kind.objective_s:
            tally.in_time += 1
            tally.earned += request.kind.worth
        else:
            tally.late += 1
            tally.earned += request.kind.late_worth

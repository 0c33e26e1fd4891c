"""Nodes of an experiment, under the current and the baseline policies."""

from __future__ import annotations

from dataclasses import dataclass
from functools import singledispatch
from typing import TYPE_CHECKING, Protocol

import curio

from trefoilpick._clock import read_clock
from trefoilpick._experiment_workload import (
    DATA_CENTRES,
    MS_PER_S,
    RETRY_PERCENT,
    SERVICE,
    RequestKind,
)
from trefoilpick._worker_model import WorkerFailedError, WorkerModel, WorkerShedError
from trefoilpick.admission import AdmissionController, AdmissionLimits
from trefoilpick.balancing import FULL_UTILISATION, Balancer, WorkerRecord
from trefoilpick.deadline_history import DeadlineHistory, compute_retry_after
from trefoilpick.document import Upstream
from trefoilpick.errors import ErrorKind, TrefoilpickError, find_answer
from trefoilpick.hops import Load
from trefoilpick.retries import RetryBudgets
from trefoilpick.settings import VmSettings
from trefoilpick.work_estimates import RequestMarks

if TYPE_CHECKING:
    from trefoilpick._experiment_mesh import SimulatedMesh


@dataclass(frozen=True)
class CurrentPolicy:
    """Policy with the nodes' own balancing, admission, retry budgets and retry advice."""


@dataclass(frozen=True)
class BaselinePolicy:
    """Baseline policy: a random worker, without admission control, retries or retry advice."""


@dataclass(frozen=True)
class WorkPolicy:
    """The current policy with the setting `requests.balance_by_work`."""


@dataclass(frozen=True)
class PerfectPolicy:
    """The current policy, but each choice knows the count and speed of every worker."""


Policy = CurrentPolicy | BaselinePolicy | WorkPolicy | PerfectPolicy


class Admission(Protocol):
    """Admission of requests at the node beside a worker."""

    async def acquire(
        self, kind: RequestKind, *, deadline_s: float, objective_s: float, marks: RequestMarks
    ) -> None:
        """Wait for a slot.

        Raises:
            TrefoilpickError: The request was refused.
        """

    async def release(self, kind: RequestKind, served_s: float | None, marks: RequestMarks) -> None:
        """Release the slot; `served_s` is the service time, or None without an answer."""

    async def check_waiting(self) -> None:
        """Admit or refuse waiting requests whose turn has come or who are late."""

    def apply_rate_limit(self, rate_limit: float | None) -> None:
        """Apply the rate that the worker states, in requests per second."""

    def count_requests(self) -> tuple[int, int]:
        """Return the number of running and of queued requests."""

    def estimate_work(self) -> tuple[float | None, float | None]:
        """Return the expected work, in seconds, and the speed of the worker; None if unknown."""


class NodeAdmission:
    """Admission by the admission controller of real nodes."""

    def __init__(self, slots: int, *, tracks_work: bool = False) -> None:
        self.controller = AdmissionController(AdmissionLimits(slots, 130, 130))
        self._tracks_work = tracks_work

    async def acquire(
        self, kind: RequestKind, *, deadline_s: float, objective_s: float, marks: RequestMarks
    ) -> None:
        """Wait for a slot."""
        await self.controller.acquire(
            caller="caller",
            priority=kind.priority.value,
            deadline_s=deadline_s,
            now_s=read_clock(),
            route=kind.name,
            objective_s=objective_s,
            marks=marks if self._tracks_work else None,
        )

    async def release(self, kind: RequestKind, served_s: float | None, marks: RequestMarks) -> None:
        """Release the slot; `served_s` is the service time, or None without an answer."""
        await self.controller.release(served_s=served_s, route=kind.name, marks=marks)

    async def check_waiting(self) -> None:
        """Admit or refuse waiting requests whose turn has come or who are late."""
        await self.controller.refuse_late(read_clock())
        await self.controller.admit_waiting()

    def apply_rate_limit(self, rate_limit: float | None) -> None:
        """Apply the rate that the worker states, in requests per second."""
        self.controller.rate.set_limit(rate_limit)

    def count_requests(self) -> tuple[int, int]:
        """Return the number of running and of queued requests."""
        return self.controller.in_flight, self.controller.queued

    def estimate_work(self) -> tuple[float | None, float | None]:
        """Return the expected work, in seconds, and the speed of the worker; None if unknown."""
        work = self.controller.work
        return work.estimate_remaining(read_clock()), work.speed.speed


class UnlimitedAdmission:
    """No admission control: every request goes straight to the worker's own queue."""

    async def acquire(
        self, kind: RequestKind, *, deadline_s: float, objective_s: float, marks: RequestMarks
    ) -> None:
        """Admit every request at once."""

    async def release(self, kind: RequestKind, served_s: float | None, marks: RequestMarks) -> None:
        """Do nothing, as `acquire` reserves no slot."""

    async def check_waiting(self) -> None:
        """Do nothing, as no request waits."""

    def apply_rate_limit(self, rate_limit: float | None) -> None:
        """Do nothing, as requests are not limited."""

    def count_requests(self) -> tuple[int, int]:
        """Return zeros, as requests are not counted."""
        return 0, 0

    def estimate_work(self) -> tuple[float | None, float | None]:
        """Return nothing, as work is not estimated."""
        return None, None


@dataclass(frozen=True)
class SimulatedRequest:
    """One request of a caller, shared by all its attempts.

    Attributes:
        kind: Kind of request.
        work_s: Its service time on a worker of speed 1, in seconds.
        started_at: Time of the first attempt, in seconds on the virtual clock.
    """

    kind: RequestKind
    work_s: float
    started_at: float

    @property
    def deadline_at(self) -> float:
        """Time of the deadline, in seconds on the virtual clock."""
        return self.started_at + self.kind.deadline_s


class CurrentNode:
    """A node that uses the balancer, retry budgets and retry advice of real nodes.

    Args:
        mesh: The simulated mesh that it is part of.
        number: Index of the node, which determines its data centre.
        by_work: Whether the node compares workers by their expected work.
    """

    def __init__(self, mesh: SimulatedMesh, number: int, *, by_work: bool = False) -> None:
        self.mesh = mesh
        data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
        own = VmSettings(f"caller-{number}", "lima", data_centre, "portafolio")
        self.balancer = Balancer(own, mesh, mesh.random, by_work=by_work)
        self.budgets = RetryBudgets(RETRY_PERCENT, reserve=24, count_vms=mesh.count_vms)
        self.deadline_history = DeadlineHistory()
        self.upstream = Upstream(SERVICE, slots=mesh.shape.slots)

    async def serve(self, request: SimulatedRequest) -> None:
        """Forward a request to a worker; retry it at most once, on another worker if there is one.

        Raises:
            TrefoilpickError: The request was refused or failed, as the error's kind says.
        """
        kind = request.kind
        self.budgets.record_request(SERVICE, read_clock())
        tried: list[str] = []
        while True:
            try:
                await self._attempt(request, tried)
                return
            except TrefoilpickError as error:
                if not self._may_retry(kind, error, tried):
                    raise

    def _may_retry(self, kind: RequestKind, error: TrefoilpickError, tried: list[str]) -> bool:
        if len(tried) > 1:
            return False
        if error.kind in (ErrorKind.UPSTREAM_LIMITED, ErrorKind.DEADLINE_AFTER_SEND):
            return False
        if error.kind is ErrorKind.RATE_LIMITED:
            return True
        if error.kind is ErrorKind.SHED:
            return not self.is_full(self.choose(kind, tried))
        if error.kind is ErrorKind.UPSTREAM_FAILED and not kind.is_idempotent:
            return False
        return self.budgets.consume(SERVICE, read_clock())

    def choose(self, kind: RequestKind, tried: list[str]) -> WorkerRecord:
        """Choose a worker, preferably one that was not tried."""
        return self.balancer.choose(self.upstream, read_clock(), avoid=tried, route=kind.name)

    def is_full(self, record: WorkerRecord) -> bool:
        """Return whether a worker is too full for a request that another one refused."""
        return self.balancer.is_full(record, self.upstream, read_clock())

    async def _attempt(self, request: SimulatedRequest, tried: list[str]) -> None:
        now = read_clock()
        record = self.choose(request.kind, tried)
        tried.append(record.vm.name)
        worker_node = self.mesh.worker_nodes[record.vm.name]
        route = request.kind.name
        expected_s = self.balancer.estimate_service(SERVICE, route)
        record.begin_request(now, expected_s=expected_s)
        try:
            served_s = await worker_node.serve(request, expected_s)
        except TrefoilpickError as error:
            if error.kind is ErrorKind.RATE_LIMITED:
                record.record_rate_refusal(read_clock(), error.retry_after_s or 0.0)
            elif error.kind is not ErrorKind.SHED:
                self.balancer.record_failure(record, read_clock())
            raise
        else:
            ended_at = read_clock()
            self.balancer.record_success(
                record, ended_at - now, ended_at, route=route, served_s=served_s
            )
        finally:
            record.end_request()
            self.balancer.record_load(record, worker_node.report_load(), read_clock())

    def compute_retry_delay(self, request: SimulatedRequest, error: TrefoilpickError) -> float:
        """Return the time after which a refused caller should retry, in seconds."""
        now = read_clock()
        remaining_s = request.deadline_at - now
        elapsed_ms = self.deadline_history.estimate_elapsed(
            SERVICE, request.kind.name, int(remaining_s * MS_PER_S), now
        )
        return compute_retry_after(
            find_answer(error).retry_after_s or 0.0,
            elapsed_ms=elapsed_ms,
            objective_ms=int(request.kind.objective_s * MS_PER_S),
            remaining_s=remaining_s,
        )


class PerfectNode(CurrentNode):
    """A node that looks at the true count and speed of every worker when it chooses one."""

    def choose(self, kind: RequestKind, tried: list[str]) -> WorkerRecord:
        """Choose the worker that is expected to answer first."""
        names = [vm.name for vm in self.mesh.list_endpoints(SERVICE)]
        names = [name for name in names if name not in tried] or names
        self.mesh.random.shuffle(names)
        best = min(names, key=lambda name: self.mesh.worker_nodes[name].estimate_time())
        record = self.balancer.find(SERVICE, best, read_clock())
        return record or super().choose(kind, tried)

    def is_full(self, record: WorkerRecord) -> bool:
        """Return whether a worker is too full for a request that another one refused."""
        worker_node = self.mesh.worker_nodes[record.vm.name]
        return sum(worker_node.admission.count_requests()) >= (
            FULL_UTILISATION * worker_node.worker.slots
        )


class BaselineNode:
    """A node that chooses a random worker and gives no retry advice."""

    def __init__(self, mesh: SimulatedMesh, number: int) -> None:
        self.mesh = mesh

    async def serve(self, request: SimulatedRequest) -> None:
        """Forward a request to a random worker.

        Raises:
            TrefoilpickError: The request was refused or failed.
        """
        vms = self.mesh.list_endpoints(SERVICE)
        await self.mesh.worker_nodes[self.mesh.random.choice(vms).name].serve(request)

    def compute_retry_delay(self, request: SimulatedRequest, error: TrefoilpickError) -> float:
        """Return zero: the baseline gives no retry advice."""
        return 0.0


@singledispatch
def build_admission(policy: Policy, slots: int) -> Admission:
    """Return the admission control of a worker's node under a policy."""
    raise NotImplementedError(type(policy).__name__)


@build_admission.register(CurrentPolicy)
@build_admission.register(PerfectPolicy)
def _(policy: CurrentPolicy | PerfectPolicy, slots: int) -> Admission:
    return NodeAdmission(slots)


@build_admission.register(WorkPolicy)
def _(policy: WorkPolicy, slots: int) -> Admission:
    return NodeAdmission(slots, tracks_work=True)


@build_admission.register(BaselinePolicy)
def _(policy: BaselinePolicy, slots: int) -> Admission:
    return UnlimitedAdmission()


@singledispatch
def build_node(policy: Policy, mesh: SimulatedMesh, number: int) -> CurrentNode | BaselineNode:
    """Return a node that receives callers' requests under a policy."""
    raise NotImplementedError(type(policy).__name__)


@build_node.register(CurrentPolicy)
def _(policy: CurrentPolicy, mesh: SimulatedMesh, number: int) -> CurrentNode | BaselineNode:
    return CurrentNode(mesh, number)


@build_node.register(WorkPolicy)
def _(policy: WorkPolicy, mesh: SimulatedMesh, number: int) -> CurrentNode | BaselineNode:
    return CurrentNode(mesh, number, by_work=True)


@build_node.register(PerfectPolicy)
def _(policy: PerfectPolicy, mesh: SimulatedMesh, number: int) -> CurrentNode | BaselineNode:
    return PerfectNode(mesh, number)


@build_node.register(BaselinePolicy)
def _(policy: BaselinePolicy, mesh: SimulatedMesh, number: int) -> CurrentNode | BaselineNode:
    return BaselineNode(mesh, number)


class WorkerNode:
    """A worker and the node on its VM, which admits requests for it.

    Args:
        worker: The worker.
        admission: Admission control at its node.
    """

    def __init__(self, worker: WorkerModel, admission: Admission) -> None:
        self.worker = worker
        self.admission = admission

    def estimate_time(self) -> float:
        """Return the true expected time of the next request, in mean service times at speed 1."""
        slots = self.worker.slots
        ahead = max(sum(self.admission.count_requests()) + 1 - slots, 0)
        return (ahead / slots + 1.0) / self.worker.compute_speed()

    async def serve(
        self, request: SimulatedRequest, expected_s: float | None = None
    ) -> float | None:
        """Admit a request and run it on the worker.

        Args:
            request: The request.
            expected_s: Time that the sending node expects on an average worker, in seconds.

        Returns:
            The service time, in seconds.

        Raises:
            TrefoilpickError: `SHED`, `RATE_LIMITED`, `UPSTREAM_SHED`, `UPSTREAM_FAILED` or
                `DEADLINE_AFTER_SEND`.
        """
        kind = request.kind
        marks = RequestMarks(kind.name, expected_s=expected_s)
        await self.admission.acquire(
            kind,
            deadline_s=request.deadline_at,
            objective_s=request.started_at + kind.objective_s,
            marks=marks,
        )
        served_s = None
        try:
            async with curio.timeout_after(max(request.deadline_at - read_clock(), 0.0)):
                served_s = await self.worker.run(request.work_s)
        except WorkerShedError as error:
            raise TrefoilpickError(ErrorKind.UPSTREAM_SHED, "worker shed the request") from error
        except WorkerFailedError as error:
            raise TrefoilpickError(
                ErrorKind.UPSTREAM_FAILED, "worker failed while running the request"
            ) from error
        except curio.TaskTimeout as error:
            raise TrefoilpickError(
                ErrorKind.DEADLINE_AFTER_SEND, "deadline passed while the worker ran the request"
            ) from error
        finally:
            self.admission.apply_rate_limit(self.worker.faults.rate_limit)
            await self.admission.release(kind, served_s, marks)
        return served_s

    def report_load(self) -> Load:
        """Return the load that the worker's node reports to other nodes."""
        in_flight, queued = self.admission.count_requests()
        work_s, speed = self.admission.estimate_work()
        vm = self.worker.vm.name
        return Load(
            vm,
            1,
            1,
            "",
            in_flight,
            queued,
            self.worker.slots,
            self.worker.is_leaving,
            rate_limit=self.worker.faults.rate_limit,
            work_s=work_s,
            speed=speed,
        )

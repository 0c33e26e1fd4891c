"""Checks of the guarantees from outside the nodes: by call results, workers' runs and status."""

from __future__ import annotations

import time
from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import curio

from soak.callers import ARCHIVE_PATH, SETTLING_S
from soak.fleet import OPERATOR_PORT
from trefoilpick._burn_fleet import CONVERGENCE_BOUND_MS
from trefoilpick._call_totals import CallResult, total_calls
from trefoilpick.errors import TrefoilpickError
from trefoilpick.fleet import query_node
from trefoilpick.status import NodeStatus

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator
    from pathlib import Path

    from soak.callers import FinishedCall
    from soak.fleet import Confirmation, SoakFleet, SoakNode
    from trefoilpick.status import VersionRef

CONFIRMED_WITHIN_S = 1.0
"""Time within which a version that the source shows is confirmed, in seconds."""

ENFORCED_WITHIN_S = CONVERGENCE_BOUND_MS / 1_000
"""Time within which a node without injected faults must enforce a version, in seconds: the
convergence target."""

UNDISTURBED_WITHIN_S = 2.5
"""Time within which a ready node whose faults are repaired must enforce a version, in seconds."""

RECOVERED_WITHIN_S = 20.0
"""Time after the last fault within which all nodes must be ready with the newest version, in
seconds: the convergence target of 8 s, a process start, and the time for which nodes do not contact
a peer that they consider dead."""

MIN_ANSWERED_SHARE = 0.98
"""Minimum share of calls after the recovery that must be answered."""

STATUS_TIMEOUT_S = 0.5
"""Timeout of a status query, in seconds."""

POLL_INTERVAL_S = 0.25
"""Time between two status queries of a node, in seconds."""


TASK_FAILURE = b"a task failed and is started again"
"""Message of the log line about an unexpected error of a background task."""

SAMPLE_INTERVAL_S = 0.1
"""Time between two samples of a worker, in seconds."""

STATED_AFTER_S = 3.0
"""Time after a worker's node first hears its limit from which the limit must hold, in seconds."""

RATE_WINDOW_S = 4.0
"""Window in which requests to a worker with a limited rate are counted, in seconds."""

EXCESS_FACTOR, EXCESS_REQUESTS = 1.5, 5
"""A worker may get this many times what its limit allows, and this many more."""

ENDS_TO_KNOW = 3
"""Ends of workers under one request after which it must be known to end them."""

KNOWN_WITHIN_S = 3.0
"""Time after that within which undisturbed nodes know it, in seconds."""

MAX_LATE_ENDS = 3
"""Ends of workers under one request that are allowed after that."""

DRAINED_AFTER_S = 2.0
"""Time after a worker's node first hears that it leaves from which it must get no more requests, in
seconds."""


@dataclass
class NodeMonitor:
    """Polls the status of all nodes while the soak runs.

    Attributes:
        fleet: The fleet.
        violations: Descriptions of violated guarantees.
    """

    fleet: SoakFleet
    violations: list[str] = field(default_factory=list)
    _seen: dict[tuple[str, int], Confirmation] = field(default_factory=dict)
    _overdue: set[tuple[str, Confirmation]] = field(default_factory=set)
    _unconfirmed_since: dict[tuple[str, str], float] = field(default_factory=dict)

    async def run(self) -> None:
        """Poll all nodes until cancelled."""
        while True:
            for node in self.fleet.nodes:
                await self._check_status(node)
            await curio.sleep(POLL_INTERVAL_S)

    async def wait_for_recovery(self) -> None:
        """Wait until every node is ready with the newest version."""
        began = time.monotonic()
        waiting = list(self.fleet.nodes)
        while waiting:
            if time.monotonic() - began > RECOVERED_WITHIN_S:
                names = ", ".join(node.vm.name for node in waiting)
                self.violations.append(f"no recovery within {RECOVERED_WITHIN_S} s: {names}")
                return
            waiting = [node for node in waiting if not await self._is_up_to_date(node)]
            await curio.sleep(POLL_INTERVAL_S)

    async def _check_status(self, node: SoakNode) -> None:
        incarnation_key = (node.vm.name, node.incarnation)
        now = time.monotonic()
        status = await query_status(node)
        if status is None or status.version is None or incarnation_key[1] != node.incarnation:
            return
        enforced = self.fleet.find_confirmation(status.version)
        if enforced is None:
            self._check_unconfirmed(node, status.version, now)
            return
        former = self._seen.get(incarnation_key, enforced)
        self._seen[incarnation_key] = enforced
        if enforced.place < former.place:
            self.violations.append(f"{node.vm.name} went back from {former} to {enforced}")
        due = self._find_due(node, now, is_ready=status.ready)
        is_overdue = enforced.place < due.place and not node.is_down
        if is_overdue and (node.vm.name, due) not in self._overdue:
            self._overdue.add((node.vm.name, due))
            self.violations.append(f"{node.vm.name} has {enforced}, but {due} is due")

    def _check_unconfirmed(self, node: SoakNode, version: VersionRef, now: float) -> None:
        """Check a version that the source shows, but has not confirmed yet."""
        key = (node.vm.name, version.digest)
        since = self._unconfirmed_since.setdefault(key, now)
        if now - since > CONFIRMED_WITHIN_S:
            self._unconfirmed_since[key] = float("inf")
            self.violations.append(
                f"{node.vm.name} has version {version.number}, which was never confirmed"
            )

    def _find_due(self, node: SoakNode, now: float, *, is_ready: bool) -> Confirmation:
        """Return the oldest confirmation that a node may enforce at a time."""
        if is_ready and node.disturbed_at < now - SETTLING_S - UNDISTURBED_WITHIN_S:
            return self.fleet.find_newest(now - UNDISTURBED_WITHIN_S)
        if node.last_fault_at < now - ENFORCED_WITHIN_S:
            return self.fleet.find_newest(now - ENFORCED_WITHIN_S)
        return self.fleet.confirmed[0]

    async def _is_up_to_date(self, node: SoakNode) -> bool:
        status = await query_status(node)
        if status is None or status.version is None:
            return False
        enforced = self.fleet.find_confirmation(status.version)
        return status.ready and enforced == self.fleet.find_newest()


@dataclass(frozen=True)
class WorkerSample:
    """What a worker stated at a moment, and the requests run and answers delivered until then."""

    at: float
    runs: int
    delivered_bytes: int
    rate_limit: float | None
    is_leaving: bool


@dataclass
class StatementMonitor:
    """Checks that workers get no more requests than they state that they accept.

    Attributes:
        fleet: The fleet.
        violations: Descriptions of violated guarantees.
    """

    fleet: SoakFleet
    violations: list[str] = field(default_factory=list)
    _samples: dict[str, deque[WorkerSample]] = field(default_factory=dict)

    async def run(self) -> None:
        """Sample all workers until cancelled."""
        while True:
            for node in self.fleet.nodes:
                self._check(node)
            await curio.sleep(SAMPLE_INTERVAL_S)

    def _check(self, node: SoakNode) -> None:
        worker = node.worker
        sample = WorkerSample(
            time.monotonic(),
            worker.runs.total(),
            node.worker_link.delivered_bytes,
            worker.rate_limit,
            worker.is_leaving,
        )
        samples = self._samples.setdefault(worker.vm, deque())
        if samples and (samples[-1].rate_limit, samples[-1].is_leaving) != (
            sample.rate_limit,
            sample.is_leaving,
        ):
            samples.clear()
        samples.append(sample)
        if self._is_excused(node, samples[0].at):
            samples.clear()
        elif sample.rate_limit is not None:
            self._check_rate(worker.vm, samples, sample.rate_limit)
        elif sample.is_leaving:
            self._check_leaving(worker.vm, samples)

    def _is_excused(self, node: SoakNode, since: float) -> bool:
        """Return whether all nodes that took part in a request may have forgotten a statement.

        A restarted node beside the worker learns a limit from the next request of a node that knows
        it, and from its peers that the worker leaves.
        """
        others = (other for other in self.fleet.nodes if other is not node)
        return node.started_at > since and any(other.started_at > since for other in others)

    def _check_rate(self, vm: str, samples: deque[WorkerSample], rate_limit: float) -> None:
        newest = samples[-1]
        checked = list_samples_after(samples, STATED_AFTER_S)
        window = [sample for sample in checked if sample.at >= newest.at - RATE_WINDOW_S]
        if not window:
            return
        allowed = EXCESS_FACTOR * rate_limit * RATE_WINDOW_S + EXCESS_REQUESTS
        got = newest.runs - window[0].runs
        if got > allowed:
            self.violations.append(
                f"worker of {vm} got {got} requests in {RATE_WINDOW_S:g} s; allowed {allowed:g}"
            )
            samples.clear()

    def _check_leaving(self, vm: str, samples: deque[WorkerSample]) -> None:
        known = list_samples_after(samples, DRAINED_AFTER_S)
        if known and known[-1].runs > known[0].runs:
            self.violations.append(f"worker of {vm} got requests although it states that it leaves")
            samples.clear()


def list_samples_after(samples: Iterable[WorkerSample], after_s: float) -> list[WorkerSample]:
    """Return the samples from some seconds after the first answer with the statement arrived."""
    samples = list(samples)
    told = (one.at for one in samples if one.delivered_bytes > samples[0].delivered_bytes)
    told_at = next(told, float("inf"))
    return [sample for sample in samples if sample.at >= told_at + after_s]


async def query_status(node: SoakNode) -> NodeStatus | None:
    """Return a node's status; None if it does not answer."""
    try:
        return await query_node(
            f"{node.host}:{OPERATOR_PORT}", "/status", NodeStatus, timeout_s=STATUS_TIMEOUT_S
        )
    except TrefoilpickError:
        return None


def check_worker_ends(nodes: Iterable[SoakNode]) -> Iterator[str]:
    """Yield a violation if a request that ended workers reached too many of them afterwards.

    Ends at a node that was disturbed shortly before do not count as later ones: the node beside the
    worker is the last that can refuse the request.
    """
    ends = sorted(end for node in nodes for end in node.worker_ends)
    if len(ends) < ENDS_TO_KNOW:
        return
    known_at = ends[ENDS_TO_KNOW - 1][0] + KNOWN_WITHIN_S
    late = [at for at, disturbed_at in ends if at > max(known_at, disturbed_at + KNOWN_WITHIN_S)]
    if len(late) > MAX_LATE_ENDS:
        yield f"a request ended {len(ends)} workers, {len(late)} of them too late"


def check_calls(finished: Iterable[FinishedCall], fleet: SoakFleet) -> Iterator[str]:
    """Yield descriptions of violated guarantees of calls.

    Args:
        finished: Finished calls of all callers.
        fleet: The fleet that served them.
    """
    finished = list(finished)
    totals = total_calls((entry.call for entry in finished), fleet.count_runs())
    for name in ("lost", "doubled", "cut", "false_not_run"):
        if count := getattr(totals, name):
            yield f"{count} calls {name.replace('_', ' ')}"
    for entry in finished:
        call = entry.call
        if entry.path == ARCHIVE_PATH and call.service and not _may_serve(entry, fleet):
            yield f"{call.request_id} was served by {call.service}, which no longer has its route"


def check_logs(folder: Path) -> Iterator[str]:
    """Yield a violation for each node whose log has unexpected errors of background tasks."""
    for path in sorted(folder.glob("*.log")):
        if TASK_FAILURE in path.read_bytes():
            yield f"a background task failed: {path.name}"


def check_recovery(finished: Iterable[FinishedCall], recovered_at: float) -> Iterator[str]:
    """Yield a violation if too few calls were answered after the recovery."""
    after_recovery = [entry for entry in finished if entry.sent_at > recovered_at]
    answered = sum(entry.call.result is CallResult.ANSWERED for entry in after_recovery)
    if not after_recovery or answered < MIN_ANSWERED_SHARE * len(after_recovery):
        yield f"{answered} of {len(after_recovery)} calls answered after the recovery"


def _may_serve(entry: FinishedCall, fleet: SoakFleet) -> bool:
    """Return whether the archive's route may have led to the service when a call was made."""
    # A node that cannot be reached may lag, so calls shortly after a fault are not checked.
    disturbed_at = max(node.disturbed_at for node in fleet.nodes)
    if disturbed_at >= entry.sent_at - SETTLING_S - UNDISTURBED_WITHIN_S:
        return True
    due = fleet.find_newest(entry.sent_at - UNDISTURBED_WITHIN_S)
    allowed = (one.service for one in fleet.confirmed if one.place >= due.place)
    return entry.call.service in allowed

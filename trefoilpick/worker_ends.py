"""Ends of a node's worker, and the requests that it was running then."""

from __future__ import annotations

import logging
from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

import curio
import xxhash

from trefoilpick._clock import read_clock
from trefoilpick.blame import EndReport, Suspect
from trefoilpick.logs import Event
from trefoilpick.vms import UNKNOWN_WORKER

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterable

    from trefoilpick.fingerprints import Fingerprint
    from trefoilpick.logs import StateLog
    from trefoilpick.metrics import Metrics
    from trefoilpick.recent_answers import RecentAnswers
    from trefoilpick.upstreams import WorkerPool
    from trefoilpick.vms import WorkerIdentity

CONNECT_TIMEOUT_S = 0.25
"""Timeout of the connection that shows whether the worker still listens, in seconds."""

RECHECK_S = 0.1
"""Time after a lost connection after which the worker is looked at again, in seconds: a process
that ends may close some connections before its port."""

EXPLAINED_S = 1.0
"""Time before an end within which a connection was lost by it, in seconds."""

REPLACEMENT_S = 5.0
"""Time after a lost connection within which a new worker at the address shows that the former one
ended, in seconds: a worker that restarts at once accepts connections again before it is listed."""

MAX_UNEXPLAINED = 64
"""Largest number of lost requests that are kept until it is known whether the worker ended."""

MAX_NUMBER = 2**62
"""Numbers of ends are below this."""


@dataclass(frozen=True)
class Run:
    """A request that was sent to the worker and lost with its connection.

    Attributes:
        fingerprint: Identity of the request if it comes again.
        request_id: The caller's ID of the attempt.
        route: Name of the route.
        worker: The worker to which it was sent.
        sent_s: Clock reading when it was sent, in seconds.
        lost_s: Clock reading when its connection was lost, in seconds.
    """

    fingerprint: Fingerprint
    request_id: str
    route: str
    worker: WorkerIdentity
    sent_s: float
    lost_s: float


class WorkerEnds:
    """Tells an end of the worker from a lost connection.

    The worker ended if it refuses a new connection and none of its connections is open any more, or
    if another one is found in its place soon after a connection was lost. A planned end does not
    count, and neither does silence.

    Args:
        pool: Connections to the worker.
        answers: Requests that the worker answered recently; they are not blamed.
        log: Log of state changes.
        metrics: Metrics of the node.
        name: Name of the node's process, unique in the fleet.
        service: Service of the worker.
        is_leaving: Returns whether the worker is known to be leaving.
        report: Called with each end, and again with requests that turn out to have been lost in it.
    """

    def __init__(
        self,
        pool: WorkerPool,
        *,
        answers: RecentAnswers,
        log: StateLog,
        metrics: Metrics,
        name: str,
        service: str,
        is_leaving: Callable[[], bool],
        report: Callable[[EndReport], Awaitable[None]],
    ) -> None:
        self._pool = pool
        self._answers = answers
        self._log = log
        self._metrics = metrics
        self._name = name
        self._service = service
        self._count = 0
        self._is_leaving = is_leaving
        self._report = report
        self._lock = curio.Lock()
        self._number = 0
        self._ended_s = float("-inf")
        self._alive_s = float("-inf")
        self._unexplained: deque[Run] = deque(maxlen=MAX_UNEXPLAINED)
        self._recheck_at_s = float("inf")

    @property
    def count(self) -> int:
        """Number of ends that were found."""
        return self._count

    async def check(self, run: Run) -> bool:
        """Return whether a request was lost because the worker ended, and report it if so."""
        async with self._lock:
            if run.sent_s > self._ended_s and run.lost_s > self._alive_s:
                await self._check_worker()
        if run.sent_s <= self._ended_s:
            await self._add((run,))
            return True
        if not self._is_leaving():
            self._unexplained.append(run)
            self._recheck_at_s = min(self._recheck_at_s, read_clock() + RECHECK_S)
        return False

    async def recheck(self) -> None:
        """Look again whether the worker has ended, some time after a connection was lost."""
        now_s = read_clock()
        if now_s < self._recheck_at_s:
            return
        self._recheck_at_s = float("inf")
        has_recent = any(run.lost_s >= now_s - EXPLAINED_S for run in self._unexplained)
        if has_recent and not self._pool.has_open_connection():
            async with self._lock:
                await self._check_worker()

    async def handle_replacement(self, former: WorkerIdentity) -> None:
        """Handle that a worker is no longer at its address: it has ended.

        Args:
            former: The worker that was there before.
        """
        if not self._unexplained or former == UNKNOWN_WORKER:
            return
        since_s = read_clock() - REPLACEMENT_S
        lost = [r for r in self._unexplained if r.worker == former and r.lost_s >= since_s]
        self._unexplained.clear()
        if lost and not self._is_leaving():
            self._begin_end(max(run.lost_s for run in lost))
            await self._add(lost)

    async def _check_worker(self) -> None:
        if await self._pool.is_refused(CONNECT_TIMEOUT_S) and not self._is_leaving():
            now_s = read_clock()
            self._begin_end(now_s)
            explained = [r for r in self._unexplained if r.lost_s >= now_s - EXPLAINED_S]
            self._unexplained.clear()
            await self._add(explained)
        else:
            self._alive_s = read_clock()

    def _begin_end(self, ended_s: float) -> None:
        self._count += 1
        self._number = xxhash.xxh64_intdigest(f"{self._name}/{self._count}".encode()) % MAX_NUMBER
        self._ended_s = ended_s
        self._metrics.count("trefoilpick_worker_ends_total")

    async def _add(self, runs: Iterable[Run]) -> None:
        suspects = []
        for run in runs:
            self._log.report(
                Event.WORKER_END,
                f"{self._number:x}",
                subject=f"{run.fingerprint}",
                level=logging.WARNING,
                request_id=run.request_id,
                route=run.route,
                worker=run.worker.worker,
                ran_ms=round((run.lost_s - run.sent_s) * 1000, 1),
            )
            if not self._answers.has_answered(run.fingerprint, run.lost_s):
                suspects.append(Suspect(run.fingerprint, run.route, run.lost_s - run.sent_s))
        if suspects:
            await self._report(EndReport(self._number, self._service, tuple(suspects)))

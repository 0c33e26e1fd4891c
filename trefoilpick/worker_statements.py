"""What a worker states about itself in its answers: a limit on its requests, and that it leaves."""

from __future__ import annotations

import logging
import re
import time
from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

from trefoilpick._clock import read_clock
from trefoilpick.logs import Event
from trefoilpick.vms import UNIDENTIFIED_LEAVING_S, UNKNOWN_WORKER, WorkerIdentity

if TYPE_CHECKING:
    from collections.abc import Callable

    from trefoilpick.conventions import Conventions
    from trefoilpick.hops import Headers
    from trefoilpick.logs import StateLog
    from trefoilpick.metrics import Metrics
    from trefoilpick.worker_rates import WorkerRate

LEAVING_MARK = b"1"
"""Value of the header by which a worker states that it is leaving."""

MAX_REMEMBERED_WORKERS = 16
"""Largest number of workers that left this VM and are remembered."""

NS_PER_MS = 1_000_000
"""Nanoseconds in a millisecond."""

MAX_LOGGED_CHARACTERS = 40
"""Largest number of characters of an unreadable value that are logged."""

_DECIMAL_NUMBER = re.compile(rb"\d{1,9}(\.\d{1,9})?")


@dataclass(frozen=True)
class WorkerStatement:
    """What one answer states about the worker.

    Attributes:
        rate_limit: Requests per second that the worker accepts from all nodes together; None if the
            answer names no limit.
        is_leaving: Whether the worker is leaving.
        unreadable: The value of a limit that is not a number; empty if there is none.
    """

    rate_limit: float | None = None
    is_leaving: bool = False
    unreadable: str = ""


NO_STATEMENT = WorkerStatement()
"""The statement of an answer without these headers."""


class WorkerStatements:
    """The newest statements of a node's worker; their changes are logged and measured.

    Args:
        conventions: Headers of the fleet.
        rate: Rate of requests to the worker, to which a stated limit is applied.
        log: Log of state changes.
        metrics: Metrics of the node.
        read_wall_ms: Reads the VM's wall clock, in milliseconds since the Unix epoch.
    """

    def __init__(
        self,
        conventions: Conventions,
        *,
        rate: WorkerRate,
        log: StateLog,
        metrics: Metrics,
        read_wall_ms: Callable[[], int] = lambda: time.time_ns() // NS_PER_MS,
    ) -> None:
        self._conventions = conventions
        self._rate = rate
        self._log = log
        self._metrics = metrics
        self._read_wall_ms = read_wall_ms
        self._worker = UNKNOWN_WORKER
        self._left: deque[WorkerIdentity] = deque(maxlen=MAX_REMEMBERED_WORKERS)
        self._unknown_left_at_ms = 0
        self._unknown_left_until_s = 0.0
        self._has_answered = False

    @property
    def worker(self) -> WorkerIdentity:
        """The worker as the platform listed it last."""
        return self._worker

    @property
    def has_left(self) -> bool:
        """Whether the current worker stated that it is leaving, or its address is another's."""
        if self._worker == UNKNOWN_WORKER:
            return bool(self._unknown_left_at_ms) and read_clock() < self._unknown_left_until_s
        return self._worker in self._left

    def record(self, headers: Headers, *, has_run: bool, worker: WorkerIdentity) -> WorkerStatement:
        """Read the headers of an answer.

        A limit is in force until the worker answers a request that it ran without naming one.

        Args:
            headers: Headers of the answer.
            has_run: Whether the worker ran the request.
            worker: The worker to which the request was sent.
        """
        statement = read_statement(headers, self._conventions)
        if statement.is_leaving:
            self.record_left(worker)
        if worker != self._worker:
            return statement
        self._has_answered = True
        if statement.unreadable:
            self._log.report(
                Event.WORKER_LIMIT,
                "unreadable",
                level=logging.WARNING,
                text=statement.unreadable,
                worker=worker.worker,
            )
        elif statement.rate_limit is not None:
            self._apply_limit(statement.rate_limit)
        elif has_run and self._rate.limit is not None:
            self._end_limit()
        return statement

    def record_left(self, worker: WorkerIdentity) -> None:
        """Record that a worker gets no more requests."""
        if worker == UNKNOWN_WORKER:
            self._unknown_left_at_ms = self._read_wall_ms()
            self._unknown_left_until_s = read_clock() + UNIDENTIFIED_LEAVING_S
        elif worker not in self._left:
            self._left.append(worker)
        self._log.report(Event.WORKER_LEAVING, worker.worker)

    def adopt_limit(self, rate_limit: float | None) -> None:
        """Apply a limit that another node knows, until a worker has answered this process."""
        if rate_limit is not None and not self._has_answered:
            self._apply_limit(rate_limit)

    def handle_listing(self, worker: WorkerIdentity) -> None:
        """Apply the identity of the worker that the platform lists for this VM.

        What an earlier worker stated does not hold for a new one.
        """
        if worker == self._worker:
            return
        if self._worker != UNKNOWN_WORKER:
            if self._rate.limit is not None:
                self._end_limit()
        elif self.has_left and worker.started_ms <= self._unknown_left_at_ms:
            self._left.append(worker)
        self._worker = worker

    def _apply_limit(self, rate_limit: float) -> None:
        self._rate.set_limit(rate_limit)
        self._metrics.set_gauge("trefoilpick_worker_rate_limit", rate_limit)
        self._log.report(
            Event.WORKER_LIMIT, "limited", rate_limit=rate_limit, worker=self._worker.worker
        )

    def _end_limit(self) -> None:
        self._rate.set_limit(None)
        self._metrics.set_gauge("trefoilpick_worker_rate_limit", -1)
        self._log.report(Event.WORKER_LIMIT, "unlimited", worker=self._worker.worker)


def read_statement(headers: Headers, conventions: Conventions) -> WorkerStatement:
    """Return what the headers of an answer state about the worker."""
    limit: bytes | None = None
    is_leaving = False
    for name, value in headers:
        if name == conventions.rate_limit:
            limit = value
        elif name == conventions.leaving:
            is_leaving = value == LEAVING_MARK
    if limit is None:
        return WorkerStatement(is_leaving=True) if is_leaving else NO_STATEMENT
    rate_limit = parse_decimal(limit)
    if rate_limit is None:
        text = limit.decode("latin-1")[:MAX_LOGGED_CHARACTERS]
        return WorkerStatement(is_leaving=is_leaving, unreadable=text or "(empty)")
    return WorkerStatement(rate_limit, is_leaving)


def parse_decimal(value: bytes) -> float | None:
    """Return the number that a header states; None if it is not a decimal number."""
    return None if _DECIMAL_NUMBER.fullmatch(value) is None else float(value)

"""Workers in need that state a rate far below their usual one, under the load of a busy day."""

from __future__ import annotations

from functools import partial

import curio
import pytest

from trefoilpick._clock import read_clock
from trefoilpick._virtual_time import run_virtual
from trefoilpick.admission import AdmissionController, AdmissionLimits
from trefoilpick.document import Priority
from trefoilpick.errors import ErrorKind, TrefoilpickError
from trefoilpick.hopserver import QUEUE_POLL_S
from trefoilpick.worker_rates import MIN_RATE_PER_S

SERVICE_S = 0.1
OBJECTIVE_S = 0.4
DEADLINE_S = 2.5
SLOTS = 8
RATE_LIMIT = 8.0
"""Requests per second that the worker accepts: a tenth of what its slots allow."""


class LimitedWorker:
    """A worker with its admission, which records when requests start and how refusals end."""

    def __init__(self, limit: float | None = RATE_LIMIT) -> None:
        self.admission = AdmissionController(AdmissionLimits(SLOTS, 100, 1_000))
        self.admission.rate.set_limit(limit)
        self.started_s: list[float] = []
        self.served: list[str] = []
        self.refusals: list[TrefoilpickError] = []
        self.longest_refusal_s = 0.0

    async def call(self, priority: str, *, objective_s: float = OBJECTIVE_S) -> None:
        began_s = read_clock()
        try:
            await self.admission.acquire(
                caller="c",
                priority=priority,
                deadline_s=began_s + DEADLINE_S,
                now_s=began_s,
                route=priority,
                objective_s=began_s + objective_s,
            )
        except TrefoilpickError as error:
            self.refusals.append(error)
            self.longest_refusal_s = max(self.longest_refusal_s, read_clock() - began_s)
            return
        self.started_s.append(read_clock())
        await curio.sleep(SERVICE_S)
        self.served.append(priority)
        await self.admission.release(served_s=SERVICE_S, route=priority)

    async def send_at_rate(self, priority: Priority, rate_per_s: float, for_s: float) -> None:
        async with curio.TaskGroup() as tasks:
            for _ in range(round(rate_per_s * for_s)):
                await tasks.spawn(partial(self.call, priority.value))
                await curio.sleep(1 / rate_per_s)

    def count_most_started(self, window_s: float) -> int:
        """Return the largest number of requests that started within a sliding window."""
        return max(
            sum(1 for other in self.started_s if 0 <= other - start <= window_s)
            for start in self.started_s
        )


def test_a_worker_in_need_gets_its_rate_and_no_more() -> None:
    async def run() -> LimitedWorker:
        worker = LimitedWorker()
        await worker.send_at_rate(Priority.NORMAL, 10 * RATE_LIMIT, 20.0)
        return worker

    worker = run_virtual(run())
    assert worker.count_most_started(4.0) <= RATE_LIMIT * 4.0 + 1
    assert len(worker.started_s) >= 0.95 * RATE_LIMIT * 20.0


def test_what_the_rate_does_not_allow_in_time_is_refused_at_once() -> None:
    async def run() -> LimitedWorker:
        worker = LimitedWorker()
        await worker.send_at_rate(Priority.NORMAL, 10 * RATE_LIMIT, 10.0)
        return worker

    worker = run_virtual(run())
    assert {error.kind for error in worker.refusals} == {ErrorKind.RATE_LIMITED}
    assert worker.longest_refusal_s == 0.0
    # The queue holds what can be answered within the objective; the next turn comes after it.
    longest_s = OBJECTIVE_S + 1 / RATE_LIMIT
    assert all(0.05 <= (error.retry_after_s or 0) <= longest_s for error in worker.refusals)


def test_urgent_requests_get_the_limited_rate_first() -> None:
    async def run() -> LimitedWorker:
        worker = LimitedWorker()
        async with curio.TaskGroup() as tasks:
            await tasks.spawn(worker.send_at_rate, Priority.DEFERRABLE, 4 * RATE_LIMIT, 10.0)
            await tasks.spawn(worker.send_at_rate, Priority.INTERACTIVE, RATE_LIMIT / 2, 10.0)
        return worker

    worker = run_virtual(run())
    assert worker.served.count("interactive") == round(10.0 * RATE_LIMIT / 2)
    assert worker.served.count("deferrable") >= 0.4 * RATE_LIMIT * 10.0


def test_waiting_requests_are_refused_once_a_new_limit_makes_them_late() -> None:
    async def run() -> LimitedWorker:
        worker = LimitedWorker(limit=None)
        async with curio.TaskGroup() as tasks:
            for _ in range(2 * SLOTS):
                await tasks.spawn(partial(worker.call, "normal"))
            await curio.sleep(SERVICE_S / 2)
            worker.admission.rate.set_limit(RATE_LIMIT)
            while worker.admission.queued:
                # As the hop server does.
                await worker.admission.refuse_late(read_clock())
                await worker.admission.admit_waiting()
                await curio.sleep(QUEUE_POLL_S)
        return worker

    worker = run_virtual(run())
    assert {error.kind for error in worker.refusals} == {ErrorKind.RATE_LIMITED}
    assert worker.longest_refusal_s == pytest.approx(SERVICE_S / 2)
    assert 0 < len(worker.started_s) - SLOTS <= RATE_LIMIT * OBJECTIVE_S


def test_a_request_that_waits_for_the_rate_is_admitted_although_no_other_ends() -> None:
    async def run() -> float:
        worker = LimitedWorker()
        began_s = read_clock()
        await worker.call("normal")
        return worker.started_s[0] - began_s

    assert run_virtual(run()) == pytest.approx(1 / RATE_LIMIT, abs=0.01)


def test_waiting_requests_go_on_when_the_limit_ends() -> None:
    async def run() -> LimitedWorker:
        worker = LimitedWorker(limit=0.0)
        task = await curio.spawn(partial(worker.call, "normal", objective_s=DEADLINE_S))
        await curio.sleep(0.2)
        worker.admission.rate.set_limit(None)
        await worker.admission.admit_waiting()
        await task.join()
        return worker

    worker = run_virtual(run())
    assert worker.refusals == [] and len(worker.started_s) == 1


def test_a_worker_that_accepts_nothing_is_still_asked_now_and_then() -> None:
    async def run() -> LimitedWorker:
        worker = LimitedWorker(limit=0.0)
        await worker.send_at_rate(Priority.NORMAL, 20.0, 20.0)
        return worker

    worker = run_virtual(run())
    assert 0.7 * MIN_RATE_PER_S * 20.0 <= len(worker.started_s) <= MIN_RATE_PER_S * 20.0 + 1
    # The users' rule allows five requests in four seconds beside the stated rate.
    assert worker.count_most_started(4.0) <= 5


def test_changes_of_the_limit_add_no_burst() -> None:
    async def run() -> LimitedWorker:
        worker = LimitedWorker()
        async with curio.TaskGroup() as tasks:
            await tasks.spawn(worker.send_at_rate, Priority.NORMAL, 10 * RATE_LIMIT, 8.0)
            for number in range(80):
                worker.admission.rate.set_limit(RATE_LIMIT + number % 2 / 10)
                await curio.sleep(0.1)
        return worker

    worker = run_virtual(run())
    assert worker.count_most_started(4.0) <= (RATE_LIMIT + 0.1) * 4.0 + 1

"""Admission to one worker: a fixed number of slots and a bounded, fair queue.

A request acquires a slot before it is sent to the worker and releases it once the worker's
connection is idle or closed. While the worker states a rate, it also waits until the rate allows
it. Waiting requests are queued: higher priorities are served first, and callers of the same
priority take turns. When the queue is full, requests of the lowest priority are shed first. Where
the settings ask for it, nested calls go before new requests of their priority (`_nested_turns`).
"""

from __future__ import annotations

import math
from dataclasses import dataclass

import curio

from trefoilpick._clock import read_clock
from trefoilpick._fair_queue import FairQueue, Waiter
from trefoilpick._nested_turns import (
    NESTED_NAMES,
    NESTED_QUEUES,
    PRIORITIES,
    QUEUE_NAMES,
    NestedTurns,
)
from trefoilpick.averages import ServiceTimes
from trefoilpick.errors import ErrorKind, TrefoilpickError
from trefoilpick.work_estimates import RequestMarks, WorkLedger
from trefoilpick.worker_rates import WorkerRate

DELAYED = "delayed"
"""Queue of the requests that cannot be answered within their objective."""

DELAYED_DIVISOR = 2
"""The delayed queue holds at most the number of slots divided by this: each of its requests takes a
slot from one that could be answered in time."""

DELAYED_MAX_WAIT_SHARE = 0.1
"""Share of the time until its deadline that a delayed request may wait. Then it is refused, so that
its caller has time left to retry at another node."""

MIN_RATE_WAIT_S = 0.001
"""Shortest wait for a limited rate, in seconds."""

MIN_RETRY_AFTER_S = 0.05
"""Shortest delay that callers are advised to wait before a retry, in seconds."""


@dataclass(frozen=True)
class AdmissionLimits:
    """Capacity of a worker and of its queue.

    Attributes:
        slots: Number of requests that the worker runs concurrently.
        connections: Number of connections that the worker accepts.
        queue: Number of requests that may wait for a slot.
    """

    slots: int
    connections: int
    queue: int


class AdmissionController:
    """Controls the admission of requests to one worker.

    Args:
        limits: Capacity of the worker and of its queue.
        warm_up_s: Time over which the number of slots grows to its limit, in seconds.
        warm_up_share: Share of the slots that is available at the start.
        nested_first: Whether nested calls go before new requests of their priority.

    Attributes:
        in_flight: Number of requests that have a slot.
        queued: Number of requests that wait for one.
        rate: Rate of requests that the worker accepts.
        work: Expected work of the requests that are admitted with their marks.
    """

    def __init__(
        self,
        limits: AdmissionLimits,
        *,
        warm_up_s: float = 0.0,
        warm_up_share: float = 1.0,
        nested_first: bool = False,
    ) -> None:
        self.limits = limits
        self.in_flight = 0
        self.queued = 0
        self.rate = WorkerRate()
        self.work = WorkLedger()
        self._service_times = ServiceTimes()
        self._started_s = 0.0
        self._warm_up_s = warm_up_s
        self._warm_up_share = warm_up_share
        self._nested_first = nested_first
        self._queues = {name: FairQueue() for name in (*QUEUE_NAMES, DELAYED)}
        self._turns = NestedTurns(self._queues)

    @property
    def service_s(self) -> float:
        """Mean service time of a request, in seconds; 0 before the first."""
        return self._service_times.mean_s or 0.0

    def estimate_service(self, route: str) -> float:
        """Return the expected service time of a request of a route, in seconds."""
        return self._service_times.estimate(route)

    def start_warm_up(self, now_s: float) -> None:
        """Start the warm-up, during which only a part of the slots is available.

        Args:
            now_s: Current clock reading, in seconds.
        """
        self._started_s = now_s

    def count_slots(self, now_s: float) -> int:
        """Return the number of requests that the worker may run now.

        Args:
            now_s: Current clock reading, in seconds.
        """
        slots = min(self.limits.slots, self.limits.connections)
        age_s = now_s - self._started_s
        if age_s >= self._warm_up_s:
            return slots
        share = self._warm_up_share + (1 - self._warm_up_share) * age_s / self._warm_up_s
        return max(1, int(slots * share))

    def estimate_wait(self, ahead: int, slots: int) -> float:
        """Return the expected time until a request gets a slot, in seconds.

        Args:
            ahead: Number of requests that get a slot before it.
            slots: Number of requests that the worker runs concurrently.
        """
        return self.service_s * (ahead + 1) / slots

    async def acquire(
        self,
        *,
        caller: str,
        priority: str,
        deadline_s: float,
        now_s: float,
        route: str = "",
        objective_s: float = math.inf,
        nested: bool = False,
        marks: RequestMarks | None = None,
    ) -> float:
        """Acquire a slot, waiting for one if necessary.

        A request is queued only if it is expected to be answered within its objective. A request
        that cannot meet its objective even without a wait goes to the delayed queue, which is
        short and served last.

        Args:
            caller: Identity of the caller.
            priority: Value of `Priority`.
            deadline_s: Clock reading at which the request expires, in seconds.
            now_s: Current clock reading, in seconds.
            route: Route of the request; service times are estimated by route.
            objective_s: Clock reading after which the answer is late, in seconds.
            nested: Whether a request that runs elsewhere waits for it. While such calls are few,
                they are queued if they are expected to meet their deadline.
            marks: What tells the work of the request; None if its work is not tracked.

        Returns:
            Clock reading at which the slot was acquired, in seconds.

        Raises:
            TrefoilpickError: `QUEUE_FULL`, `SHED`, `RATE_LIMITED` or `DEADLINE_BEFORE_RUN`; no slot
                was acquired.
        """
        if now_s >= deadline_s:
            raise _build_expired_error()
        slots = self.count_slots(now_s)
        if self.in_flight < slots and not self.queued and self.rate.try_acquire():
            self.in_flight += 1
            self.work.start(marks, now_s)
            return now_s
        waiter = Waiter(
            caller,
            self._find_queue_name(priority, nested=nested),
            deadline_s,
            objective_s,
            self._service_times.estimate(route),
        )
        with self.work.track_waiting(marks, now_s):
            await self._enqueue(waiter, now_s, slots)
            await self._admit_waiting(now_s)
            acquired_s = await self._wait_for_slot(waiter)
        self.work.start(marks, acquired_s)
        return acquired_s

    def check_arrival(
        self,
        *,
        caller: str,
        priority: str,
        now_s: float,
        link_wait_s: float,
        transfer_s: float,
        deadline_s: float,
        objective_s: float,
        route: str,
    ) -> None:
        """Check that a request whose body is still to be sent is likely to be served.

        Args:
            caller: Identity of the caller.
            priority: Value of `Priority`.
            now_s: Current clock reading, in seconds.
            link_wait_s: Time until the link is free for its body, in seconds.
            transfer_s: Time that its body takes on the link, in seconds.
            deadline_s: Clock reading at which the request expires, in seconds.
            objective_s: Clock reading after which the answer is late, in seconds; if it cannot be
                met even over a free link by a free worker, only the deadline counts.
            route: Route of the request.

        Raises:
            TrefoilpickError: `SHED`, `RATE_LIMITED` or `QUEUE_FULL`.
        """
        slots = self.count_slots(now_s)
        service_s = self._service_times.estimate(route)
        start_s = now_s
        if self.queued or self.in_flight >= slots:
            queue = self._find_queue_name(priority, nested=False)
            start_s += self._estimate_start(queue, caller, slots)
        can_meet_objective = now_s + transfer_s + service_s <= objective_s
        latest_s = objective_s if can_meet_objective else deadline_s
        arrival_s = now_s + link_wait_s + transfer_s
        if max(start_s, arrival_s) + service_s > latest_s:
            text = (
                f"body would wait {link_wait_s:.3f} s for the link, too long to be served in time"
            )
            error = self._build_refusal(text, slots)
            error.retry_after_s = max(error.retry_after_s or 0.0, link_wait_s)
            raise error
        if self.queued >= self.limits.queue:
            raise self._build_full_error(slots)

    async def release(
        self,
        *,
        served_s: float | None = None,
        route: str = "",
        marks: RequestMarks | None = None,
    ) -> None:
        """Release a slot and admit the next waiting request.

        Args:
            served_s: Service time of the request, in seconds; None if the worker did not answer.
            route: Route of the request.
            marks: The marks with which the slot was acquired.
        """
        self.in_flight -= 1
        self.work.finish(marks, served_s, read_clock())
        if served_s is not None:
            self._service_times.record(route, served_s)
        if self.queued:
            await self._admit_waiting(read_clock())

    async def refuse_late(self, now_s: float) -> None:
        """Delay or refuse waiting requests that can no longer be answered in time.

        Args:
            now_s: Current clock reading, in seconds.
        """
        slots = self.count_slots(now_s)
        ahead = 0
        for queue in self._queues.values():
            for waiter in queue:
                if self._is_late(waiter, now_s):
                    self._remove(waiter)
                    await self._delay_or_refuse(waiter, now_s, slots)
                elif self.rate.is_limited and self._is_late(
                    waiter, now_s + self.rate.estimate_wait(ahead + 1)
                ):
                    self._remove(waiter)
                    await _refuse(waiter, self._build_refusal("limited rate is used up", slots))
                else:
                    ahead += 1

    async def admit_waiting(self) -> None:
        """Admit waiting requests as far as slots and the worker's rate allow."""
        if self.queued:
            await self._admit_waiting(read_clock())

    async def refuse_waiting(self, refusal: TrefoilpickError) -> None:
        """Refuse every waiting request."""
        for queue in self._queues.values():
            while queue:
                waiter = queue.pop_next()
                self.queued -= 1
                await _refuse(waiter, refusal)

    async def _wait_for_slot(self, waiter: Waiter) -> float:
        try:
            while not waiter.decided.is_set():
                await self._wait_for_decision(waiter)
        except BaseException:
            if not waiter.decided.is_set():
                self._remove(waiter)
            elif waiter.refusal is None:
                await self.release()
            raise
        if waiter.refusal is not None:
            raise waiter.refusal
        return read_clock()

    async def _wait_for_decision(self, waiter: Waiter) -> None:
        """Wait until a request is admitted or refused, or the rate may allow the next one.

        No other request may end at that moment, so a waiting one has to look.

        Raises:
            TrefoilpickError: `DEADLINE_BEFORE_RUN`.
        """
        pause_s = waiter.deadline_s - read_clock()
        if self.rate.is_limited:
            pause_s = min(pause_s, max(self.rate.estimate_wait(), MIN_RATE_WAIT_S))
        try:
            async with curio.timeout_after(pause_s):
                await waiter.decided.wait()
        except curio.TaskTimeout as error:
            if read_clock() >= waiter.deadline_s:
                raise _build_expired_error() from error
            await self.admit_waiting()

    def _find_queue_name(self, priority: str, *, nested: bool) -> str:
        if priority not in PRIORITIES:
            priority = PRIORITIES[1]
        return NESTED_QUEUES[priority] if nested and self._nested_first else priority

    async def _enqueue(self, waiter: Waiter, now_s: float, slots: int) -> None:
        if waiter.priority in NESTED_NAMES and self._turns.are_nested_few(slots):
            waiter.objective_s = max(waiter.objective_s, waiter.deadline_s)
        start_s = now_s + self._estimate_start(waiter.priority, waiter.caller, slots)
        if start_s > waiter.deadline_s:
            text = f"estimated wait of {start_s - now_s:.3f} s exceeds the time left"
            raise self._build_refusal(text, slots)
        if start_s + waiter.service_s > waiter.objective_s:
            if now_s + waiter.service_s <= waiter.objective_s:
                text = f"estimated wait of {start_s - now_s:.3f} s exceeds the objective"
                raise self._build_refusal(text, slots)
            self._delay(waiter, now_s, slots)
        if self.queued >= self.limits.queue or self._is_nested_share_used_up(waiter):
            await self._evict_for(waiter, slots)
        self._queues[waiter.priority].append(waiter)
        self.queued += 1

    def _delay(self, waiter: Waiter, now_s: float, slots: int) -> None:
        """Assign a request to the delayed queue, which is served after all others.

        Raises:
            TrefoilpickError: `SHED`, if the request is unlikely to be served.
        """
        waiter.priority = DELAYED
        waiter.wait_until_s = now_s + DELAYED_MAX_WAIT_SHARE * (waiter.deadline_s - now_s)
        start_s = now_s + self._estimate_start(waiter.priority, waiter.caller, slots)
        end_s = start_s + waiter.service_s
        if len(self._queues[DELAYED]) >= max(1, slots // DELAYED_DIVISOR) or (
            end_s > waiter.deadline_s
        ):
            text = "answer would miss its objective, and other requests are waiting"
            raise self._build_refusal(text, slots)

    def _estimate_start(self, queue: str, caller: str, slots: int) -> float:
        """Return the expected time until a new request gets a slot, in seconds."""
        ahead, ahead_s = self._turns.estimate_ahead(queue, caller)
        return max((self.service_s + ahead_s) / slots, self.rate.estimate_wait(ahead + 1))

    async def _evict_for(self, waiter: Waiter, slots: int) -> None:
        victim = self._find_victim(waiter)
        if victim is None:
            raise self._build_full_error(slots)
        self._remove(victim)
        text = f'displaced by a request of priority "{waiter.priority}"'
        await _refuse(victim, self._build_refusal(text, slots))

    def _remove(self, waiter: Waiter) -> None:
        self._queues[waiter.priority].remove(waiter)
        self.queued -= 1

    def _is_nested_share_used_up(self, waiter: Waiter) -> bool:
        """Return whether a request is a nested call and these have all of their places."""
        return waiter.priority in NESTED_NAMES and not self._turns.has_place(self.limits.queue)

    def _find_victim(self, waiter: Waiter) -> Waiter | None:
        own_queue = self._queues[waiter.priority]
        keeps_new = self._is_nested_share_used_up(waiter)
        for name, queue in reversed(self._queues.items()):
            if queue is own_queue:
                break
            if queue and (name in NESTED_NAMES or not keeps_new):
                return queue.find_newest_of_longest()
        if not own_queue:
            return None
        victim = own_queue.find_newest_of_longest()
        if own_queue.count_caller(victim.caller) > own_queue.count_caller(waiter.caller) + 1:
            return victim
        return None

    def _build_refusal(self, text: str, slots: int) -> TrefoilpickError:
        """Return the error for a request that would have to wait too long for its turn."""
        is_limited = self.rate.estimate_wait(self.queued + 1) > self.estimate_wait(
            self.queued, slots
        )
        kind = ErrorKind.RATE_LIMITED if is_limited else ErrorKind.SHED
        return TrefoilpickError(kind, text, retry_after_s=self._estimate_retry_after(slots))

    def _build_full_error(self, slots: int) -> TrefoilpickError:
        text = f"queue is full: {self.queued} requests are waiting"
        return TrefoilpickError(
            ErrorKind.QUEUE_FULL, text, retry_after_s=self._estimate_retry_after(slots)
        )

    def _estimate_retry_after(self, slots: int) -> float:
        return max(
            MIN_RETRY_AFTER_S,
            self.estimate_wait(self.queued, slots),
            self.rate.estimate_wait(self.queued + 1),
        )

    async def _admit_waiting(self, now_s: float) -> None:
        slots = self.count_slots(now_s)
        while self.in_flight < slots and not self.rate.estimate_wait():
            queue = self._turns.choose_queue()
            if queue is None:
                return
            waiter = queue.pop_next()
            self.queued -= 1
            if self._is_late(waiter, now_s):
                await self._delay_or_refuse(waiter, now_s, slots)
                continue
            self._turns.record_turn(waiter.priority)
            self.rate.try_acquire()
            self.in_flight += 1
            await waiter.decided.set()

    def _is_late(self, waiter: Waiter, now_s: float) -> bool:
        """Return whether a waiting request can no longer be answered in time.

        It must meet its objective, or in the delayed queue its deadline and the maximum wait.
        """
        if now_s >= waiter.deadline_s:
            return True
        if waiter.priority == DELAYED:
            return now_s + waiter.service_s > waiter.deadline_s or now_s > waiter.wait_until_s
        return now_s + waiter.service_s > waiter.objective_s

    async def _delay_or_refuse(self, waiter: Waiter, now_s: float, slots: int) -> None:
        if now_s >= waiter.deadline_s:
            await _refuse(waiter, _build_expired_error())
            return
        if waiter.priority == DELAYED:
            text = "no slot became free for a delayed request"
            await _refuse(waiter, self._build_refusal(text, slots))
            return
        try:
            self._delay(waiter, now_s, slots)
        except TrefoilpickError as refusal:
            await _refuse(waiter, refusal)
            return
        self._queues[DELAYED].append(waiter)
        self.queued += 1


def _build_expired_error() -> TrefoilpickError:
    return TrefoilpickError(ErrorKind.DEADLINE_BEFORE_RUN, "deadline passed before the request ran")


async def _refuse(waiter: Waiter, refusal: TrefoilpickError) -> None:
    waiter.refusal = refusal
    await waiter.decided.set()

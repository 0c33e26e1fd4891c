"""The gate beside a worker: exact slots, and a bounded queue that is fair and sheds by priority.

A request enters the gate before it is sent to the worker and leaves it when the worker's
connection is idle or closed. Those that find no free slot wait: a higher priority goes first, and
callers of one priority take turns.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

import curio

from trefoilpick._clock import read_clock
from trefoilpick._waiting import Line, Waiter
from trefoilpick.document import Priority
from trefoilpick.errors import ErrorKind, TrefoilpickError
from trefoilpick.means import MovingMeans, blend

PRIORITIES = (Priority.INTERACTIVE.value, Priority.NORMAL.value, Priority.DEFERRABLE.value)
"""Values of `Priority`, the one that is served first at the start."""

DELAYED = "delayed"
"""Line of requests whose answers are late in any case."""

DELAYED_DIVISOR = 2
"""At most the slots divided by this many requests wait in that line: each takes a slot from one
that could be answered in time."""

DELAYED_PATIENCE = 0.1
"""Part of the time left that such a request waits at most: its caller does better to ask another
node while there is time."""

MIN_RETRY_AFTER_S = 0.05
"""Shortest advice on when to come back, in seconds."""


@dataclass(frozen=True)
class GateLimits:
    """What the worker takes.

    Attributes:
        slots: Requests that the worker runs at a time.
        connections: Connections that the worker takes.
        queue: Requests that may wait.
    """

    slots: int
    connections: int
    queue: int


class ServiceTimes:
    """Mean times that a worker takes, by route.

    Attributes:
        mean_s: The mean over all requests, in seconds; None before the first.
    """

    def __init__(self) -> None:
        self.mean_s: float | None = None
        self._routes: MovingMeans[str] = MovingMeans()

    def note(self, route: str, served_s: float) -> None:
        """Take a time into the means, in seconds."""
        self.mean_s = blend(self.mean_s, served_s)
        self._routes.note(route, served_s)

    def estimate(self, route: str) -> float:
        """Return the time that a request of a route is expected to take, in seconds."""
        return self._routes.get(route, self.mean_s or 0.0)


class Gate:
    """Admission to one worker.

    Args:
        limits: What the worker takes.
        warm_up_s: Time in which the slots grow to all, in seconds.
        warm_up_share: Share of the slots that is open at the start.
    """

    def __init__(
        self,
        limits: GateLimits,
        *,
        warm_up_s: float = 0.0,
        warm_up_share: float = 1.0,
    ) -> None:
        self.limits = limits
        self.in_flight = 0
        self.queued = 0
        self._times = ServiceTimes()
        self._started_s = 0.0
        self._warm_up_s = warm_up_s
        self._warm_up_share = warm_up_share
        self._lines = {name: Line() for name in (*PRIORITIES, DELAYED)}

    @property
    def service_s(self) -> float:
        """Mean time that the worker takes for a request, in seconds; 0 before any was served."""
        return self._times.mean_s or 0.0

    def start_warm_up(self, now_s: float) -> None:
        """Begin with a part of the slots.

        Args:
            now_s: Reading of the clock, in seconds.
        """
        self._started_s = now_s

    def count_slots(self, now_s: float) -> int:
        """Return how many requests the worker may run now.

        Args:
            now_s: Reading of the clock, in seconds.
        """
        slots = min(self.limits.slots, self.limits.connections)
        age_s = now_s - self._started_s
        if age_s >= self._warm_up_s:
            return slots
        share = self._warm_up_share + (1 - self._warm_up_share) * age_s / self._warm_up_s
        return max(1, int(slots * share))

    def estimate_wait(self, ahead: int, slots: int) -> float:
        """Return the time until a request leaves the queue, in seconds.

        Args:
            ahead: Requests that go before it.
            slots: Requests that the worker runs at a time.
        """
        return self.service_s * (ahead + 1) / slots

    async def enter(
        self,
        *,
        caller: str,
        priority: str,
        deadline_s: float,
        now_s: float,
        route: str = "",
        objective_s: float = math.inf,
    ) -> float:
        """Take a slot, or wait for one.

        A request waits only where it is expected to be answered within its objective. One whose
        answer is late in any case waits behind all others, and only where few do.

        Args:
            caller: Identity of the caller.
            priority: Value of `Priority`.
            deadline_s: Reading of the clock at which the request is given up, in seconds.
            now_s: Reading of the clock, in seconds.
            route: Which requests take a like time.
            objective_s: Reading of the clock at which the answer is late, in seconds.

        Returns:
            Reading of the clock when it took a slot, in seconds.

        Raises:
            TrefoilpickError: `QUEUE_FULL`, `SHED` or `DEADLINE_BEFORE_RUN`; the request did not
                take a slot.
        """
        if now_s >= deadline_s:
            raise _refuse_late()
        slots = self.count_slots(now_s)
        if self.in_flight < slots and not self.queued:
            self.in_flight += 1
            return now_s
        waiter = Waiter(
            caller,
            priority if priority in self._lines else PRIORITIES[1],
            deadline_s,
            objective_s,
            self._times.estimate(route),
        )
        await self._join_queue(waiter, now_s, slots)
        await self._let_in(now_s)
        return await self._wait_turn(waiter)

    async def leave(self, *, served_s: float | None = None, route: str = "") -> None:
        """Give a slot back, and let in whoever is next.

        Args:
            served_s: Time that the worker took, in seconds; None where it did not answer.
            route: Which requests take a like time.
        """
        self.in_flight -= 1
        if served_s is not None:
            self._times.note(route, served_s)
        if self.queued:
            await self._let_in(read_clock())

    async def refuse_late(self, now_s: float) -> None:
        """Refuse waiting requests that cannot be answered in time any more.

        Args:
            now_s: Reading of the clock, in seconds.
        """
        slots = self.count_slots(now_s)
        for line in self._lines.values():
            for waiter in line:
                if self._is_late(waiter, now_s):
                    self._remove(waiter)
                    await self._delay_or_refuse(waiter, now_s, slots)

    async def refuse_waiting(self, refusal: TrefoilpickError) -> None:
        """Refuse every request that waits for a slot."""
        for line in self._lines.values():
            while line:
                waiter = line.take_next()
                self.queued -= 1
                await _refuse(waiter, refusal)

    async def _wait_turn(self, waiter: Waiter) -> float:
        try:
            async with curio.timeout_after(waiter.deadline_s - read_clock()):
                await waiter.decided.wait()
        except BaseException as error:
            if not waiter.decided.is_set():
                self._remove(waiter)
            elif waiter.refusal is None:
                await self.leave()
            if isinstance(error, curio.TaskTimeout):
                raise _refuse_late() from error
            raise
        if waiter.refusal is not None:
            raise waiter.refusal
        return read_clock()

    async def _join_queue(self, waiter: Waiter, now_s: float, slots: int) -> None:
        start_s = now_s + self._estimate_start(waiter, slots)
        if start_s > waiter.deadline_s:
            text = f"estimated wait of {start_s - now_s:.3f} s is over the remaining time"
            raise TrefoilpickError(ErrorKind.SHED, text, retry_after_s=self._advise(slots))
        if start_s + waiter.service_s > waiter.objective_s:
            if now_s + waiter.service_s <= waiter.objective_s:
                text = f"estimated wait of {start_s - now_s:.3f} s is over the objective"
                raise TrefoilpickError(ErrorKind.SHED, text, retry_after_s=self._advise(slots))
            self._delay(waiter, now_s, slots)
        if self.queued >= self.limits.queue:
            await self._displace_for(waiter, slots)
        self._lines[waiter.priority].append(waiter)
        self.queued += 1

    def _delay(self, waiter: Waiter, now_s: float, slots: int) -> None:
        """Put a request behind all that can be answered within their objectives.

        Raises:
            TrefoilpickError: `SHED`, where it would hardly be served.
        """
        waiter.priority = DELAYED
        waiter.patience_s = now_s + DELAYED_PATIENCE * (waiter.deadline_s - now_s)
        end_s = now_s + self._estimate_start(waiter, slots) + waiter.service_s
        if len(self._lines[DELAYED]) >= max(1, slots // DELAYED_DIVISOR) or (
            end_s > waiter.deadline_s
        ):
            text = "its answer would be late, and others wait for theirs"
            raise TrefoilpickError(ErrorKind.SHED, text, retry_after_s=self._advise(slots))

    def _estimate_start(self, waiter: Waiter, slots: int) -> float:
        """Return the time until a new request leaves the queue, in seconds."""
        work_s = self.service_s
        for name, line in self._lines.items():
            if name == waiter.priority:
                work_s += line.estimate_ahead(waiter.caller)
                break
            work_s += line.work_s
        return work_s / slots

    async def _displace_for(self, waiter: Waiter, slots: int) -> None:
        victim = self._find_victim(waiter)
        if victim is None:
            text = f"{self.queued} requests wait already"
            raise TrefoilpickError(ErrorKind.QUEUE_FULL, text, retry_after_s=self._advise(slots))
        self._remove(victim)
        text = f'displaced by a request of priority "{waiter.priority}"'
        await _refuse(
            victim, TrefoilpickError(ErrorKind.SHED, text, retry_after_s=self._advise(slots))
        )

    def _remove(self, waiter: Waiter) -> None:
        self._lines[waiter.priority].remove(waiter)
        self.queued -= 1

    def _find_victim(self, waiter: Waiter) -> Waiter | None:
        own = self._lines[waiter.priority]
        for priority in reversed(PRIORITIES):
            line = self._lines[priority]
            if line is own:
                break
            if line:
                return line.find_newest_of_longest()
        if not own:
            return None
        victim = own.find_newest_of_longest()
        if own.count_caller(victim.caller) > own.count_caller(waiter.caller) + 1:
            return victim
        return None

    def _advise(self, slots: int) -> float:
        return max(MIN_RETRY_AFTER_S, self.estimate_wait(self.queued, slots))

    async def _let_in(self, now_s: float) -> None:
        slots = self.count_slots(now_s)
        for line in self._lines.values():
            while line and self.in_flight < slots:
                waiter = line.take_next()
                self.queued -= 1
                if self._is_late(waiter, now_s):
                    await self._delay_or_refuse(waiter, now_s, slots)
                    continue
                self.in_flight += 1
                await waiter.decided.set()

    def _is_late(self, waiter: Waiter, now_s: float) -> bool:
        """Tell whether a waiting request cannot be answered by what its line is for."""
        if now_s >= waiter.deadline_s:
            return True
        if waiter.priority == DELAYED:
            return now_s + waiter.service_s > waiter.deadline_s or now_s > waiter.patience_s
        return now_s + waiter.service_s > waiter.objective_s

    async def _delay_or_refuse(self, waiter: Waiter, now_s: float, slots: int) -> None:
        if now_s >= waiter.deadline_s:
            await _refuse(waiter, _refuse_late())
            return
        if waiter.priority == DELAYED:
            text = "others took the slots that it waited for"
            refusal = TrefoilpickError(ErrorKind.SHED, text, retry_after_s=self._advise(slots))
            await _refuse(waiter, refusal)
            return
        try:
            self._delay(waiter, now_s, slots)
        except TrefoilpickError as refusal:
            await _refuse(waiter, refusal)
            return
        self._lines[DELAYED].append(waiter)
        self.queued += 1


def _refuse_late() -> TrefoilpickError:
    return TrefoilpickError(ErrorKind.DEADLINE_BEFORE_RUN, "time is over before the request ran")


async def _refuse(waiter: Waiter, refusal: TrefoilpickError) -> None:
    waiter.refusal = refusal
    await waiter.decided.set()

"""A model of a worker on a virtual clock: slots, speed, a cold start, and ways to fail."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Any

import curio

from trefoilpick._clock import read_clock

if TYPE_CHECKING:
    import random

    from trefoilpick.vms import Vm

COLD_S = 3.0
"""Time after its start in which a worker is slow, in seconds."""

COLD_FACTOR = 2.0
"""How much slower it is then."""

QUEUE = 24
"""Requests that a worker lets wait; it sheds what comes on top."""


class WorkerShedError(Exception):
    """The worker did not run a request."""


class WorkerFailedError(Exception):
    """The worker ran a request and failed, or went away with it."""


@dataclass(frozen=True)
class Condition:
    """What is wrong with a worker.

    Attributes:
        slowness: How much longer its work takes.
        shed_share: Share of requests that it sheds, whatever its load.
        fail_share: Share of requests that it runs and fails.
        is_gone: Whether it takes no connection.
    """

    slowness: float = 1.0
    shed_share: float = 0.0
    fail_share: float = 0.0
    is_gone: bool = False


class WorkerModel:
    """One worker.

    Args:
        vm: Where it runs.
        slots: Requests that it runs at a time.
        speed: How much faster it works than others.
        random: Source of its luck.
        is_cold: Whether it has just started.
    """

    def __init__(
        self, vm: Vm, *, slots: int, speed: float, random: random.Random, is_cold: bool = False
    ) -> None:
        self.vm = vm
        self.slots = slots
        self.condition = Condition()
        self.is_leaving = False
        self._speed = speed
        self._random = random
        self._warm_at = read_clock() + (COLD_S if is_cold else 0.0)
        self._free = curio.Semaphore(slots)
        self._waiting = 0

    def change(self, **fields: Any) -> None:
        """Change its condition."""
        self.condition = replace(self.condition, **fields)

    def recover(self) -> None:
        """Have nothing wrong with it any more."""
        self.condition = Condition()

    async def run(self, work_s: float) -> float:
        """Run a request.

        Args:
            work_s: Work of the request, in seconds of a usual worker.

        Returns:
            The time that it took without its wait, in seconds.

        Raises:
            WorkerShedError: It did not run.
            WorkerFailedError: It ran, or may have.
        """
        if self.condition.is_gone or self._waiting >= QUEUE:
            raise WorkerShedError
        if self._random.random() < self.condition.shed_share:
            raise WorkerShedError
        self._waiting += 1
        try:
            await self._free.acquire()
        finally:
            self._waiting -= 1
        began_at = read_clock()
        try:
            await curio.sleep(work_s * self._compute_slowness(began_at))
        finally:
            await self._free.release()
        if self.condition.is_gone or self._random.random() < self.condition.fail_share:
            raise WorkerFailedError
        return read_clock() - began_at

    def _compute_slowness(self, now: float) -> float:
        cold = COLD_FACTOR if now < self._warm_at else 1.0
        return cold * self.condition.slowness / self._speed

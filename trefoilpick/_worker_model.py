"""A model of a worker on a virtual clock: slots, speed, cold start and faults."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Any

import curio

from trefoilpick._clock import read_clock

if TYPE_CHECKING:
    import random

    from trefoilpick.vms import Vm

COLD_START_S = 3.0
"""Duration of a cold start, in seconds."""

COLD_START_FACTOR = 2.0
"""Factor by which the service time is longer during a cold start."""

MAX_QUEUED = 24
"""Maximum number of queued requests of a worker; further requests are shed."""


class WorkerShedError(Exception):
    """The worker shed a request without running it."""


class WorkerFailedError(Exception):
    """The worker failed or became unreachable while it ran a request."""


@dataclass(frozen=True)
class WorkerFaults:
    """Injected faults of a worker.

    Attributes:
        slowness: Factor by which the service time is longer.
        shed_share: Share of requests that it sheds, regardless of its load.
        fail_share: Share of requests that it fails after running them.
        rate_limit: Requests per second that it states that it accepts; None if it states none.
        is_unreachable: Whether it refuses new requests and fails those that it runs.
    """

    slowness: float = 1.0
    shed_share: float = 0.0
    fail_share: float = 0.0
    rate_limit: float | None = None
    is_unreachable: bool = False


class WorkerModel:
    """A worker with a limited number of slots and a bounded queue.

    Args:
        vm: The VM that it runs on.
        slots: Number of requests that it runs concurrently.
        speed: Speed relative to other workers.
        random: Random number generator of its faults.
        is_cold: Whether it starts cold and is slower for `COLD_START_S`.
    """

    def __init__(
        self, vm: Vm, *, slots: int, speed: float, random: random.Random, is_cold: bool = False
    ) -> None:
        self.vm = vm
        self.slots = slots
        self.faults = WorkerFaults()
        self.is_leaving = False
        self._speed = speed
        self._random = random
        self._warm_at = read_clock() + (COLD_START_S if is_cold else 0.0)
        self._free_slots = curio.Semaphore(slots)
        self._queued = 0

    def set_faults(self, **faults: Any) -> None:
        """Set some faults; the others stay as they are."""
        self.faults = replace(self.faults, **faults)

    def clear_faults(self) -> None:
        """Clear all faults."""
        self.faults = WorkerFaults()

    def compute_speed(self) -> float:
        """Return the present speed, relative to other workers without faults."""
        return 1.0 / self._compute_slowdown(read_clock())

    async def run(self, work_s: float) -> float:
        """Queue and run a request.

        Args:
            work_s: Service time of the request on a worker of speed 1, in seconds.

        Returns:
            The service time without the time in the queue, in seconds.

        Raises:
            WorkerShedError: The request did not run.
            WorkerFailedError: The request ran, or may have run.
        """
        if self.faults.is_unreachable or self._queued >= MAX_QUEUED:
            raise WorkerShedError
        if self._random.random() < self.faults.shed_share:
            raise WorkerShedError
        self._queued += 1
        try:
            await self._free_slots.acquire()
        finally:
            self._queued -= 1
        began_at = read_clock()
        try:
            await curio.sleep(work_s * self._compute_slowdown(began_at))
        finally:
            await self._free_slots.release()
        if self.faults.is_unreachable or self._random.random() < self.faults.fail_share:
            raise WorkerFailedError
        return read_clock() - began_at

    def _compute_slowdown(self, now: float) -> float:
        cold_factor = COLD_START_FACTOR if now < self._warm_at else 1.0
        return cold_factor * self.faults.slowness / self._speed

"""Detection of pauses: a stopped process or a suspended VM."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import curio

from trefoilpick._clock import read_clock

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

CHECK_S = 0.25
"""Interval between readings of the clocks, in seconds."""


def read_suspended_s() -> float:
    """Return the total time for which the VM has been suspended since boot, in seconds."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) - time.clock_gettime(time.CLOCK_MONOTONIC)


class PauseDetector:
    """Detects pauses by comparing the expected and actual wake-up times of a task.

    Args:
        limit_s: Shortest delay that counts as a pause, in seconds.
        on_pause: Called with the length of each pause, in seconds.
        read_suspended: Returns the total time spent suspended, in seconds.
    """

    def __init__(
        self,
        limit_s: float,
        *,
        on_pause: Callable[[float], Awaitable[None]],
        read_suspended: Callable[[], float] = read_suspended_s,
    ) -> None:
        self._limit_s = limit_s
        self._on_pause = on_pause
        self._read_suspended = read_suspended
        self._expected_s = float("inf")
        self._suspended_s = read_suspended()

    def measure(self) -> float:
        """Return the length of a pause that has not been reported yet, in seconds; 0 for none."""
        late_s = read_clock() - self._expected_s
        suspended_s = self._read_suspended() - self._suspended_s
        pause_s = max(late_s, suspended_s)
        return pause_s if pause_s > self._limit_s else 0.0

    async def run(self) -> None:
        """Check for pauses until cancelled."""
        while True:
            self._expected_s = read_clock() + CHECK_S
            self._suspended_s = self._read_suspended()
            await curio.sleep(CHECK_S)
            pause_s = self.measure()
            if pause_s:
                await self._on_pause(pause_s)

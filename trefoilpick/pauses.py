"""Detection of pauses: a process that was stopped, or a VM that was suspended."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import curio

from trefoilpick._clock import read_clock

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

CHECK_S = 0.25
"""Time between two looks at the clocks, in seconds."""


def read_suspended_s() -> float:
    """Return how long the VM has been suspended since its start, in seconds."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) - time.clock_gettime(time.CLOCK_MONOTONIC)


class PauseWatch:
    """Compares when a task should wake with when it does.

    Args:
        limit_s: Pause that counts, in seconds.
        note_pause: Called with the length of each pause, in seconds.
        read_suspended: Reads the time spent suspended, in seconds.
    """

    def __init__(
        self,
        limit_s: float,
        *,
        note_pause: Callable[[float], Awaitable[None]],
        read_suspended: Callable[[], float] = read_suspended_s,
    ) -> None:
        self._limit_s = limit_s
        self._note_pause = note_pause
        self._read_suspended = read_suspended
        self._expected_s = float("inf")
        self._suspended_s = read_suspended()

    def measure(self) -> float:
        """Return the length of a pause that has not been noted yet, in seconds; 0 for none."""
        late = read_clock() - self._expected_s
        suspended = self._read_suspended() - self._suspended_s
        pause = max(late, suspended)
        return pause if pause > self._limit_s else 0.0

    async def run(self) -> None:
        """Watch until cancelled."""
        while True:
            self._expected_s = read_clock() + CHECK_S
            self._suspended_s = self._read_suspended()
            await curio.sleep(CHECK_S)
            pause = self.measure()
            if pause:
                await self._note_pause(pause)

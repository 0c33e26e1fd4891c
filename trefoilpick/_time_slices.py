"""Time slices: a task that never has to wait lets the other tasks run from time to time.

A curio socket returns bytes that have already arrived without giving control to the kernel. A task
that only reads from a fast peer would keep control as long as the peer sends: no other task would
run, and no timeout would take effect, not even that of the task itself.
"""

from __future__ import annotations

import curio

from trefoilpick._clock import read_clock

TIME_SLICE_S = 0.002
"""Time after which a task gives control to the kernel, in seconds: short against the deadlines of
requests, and long against the cost of a switch."""


class _TimeSlice:
    """The time slice of the kernel of this thread."""

    def __init__(self) -> None:
        self._ends_s = float("-inf")

    def is_over(self) -> bool:
        """Return whether the slice is over; also if it belongs to another kernel's clock."""
        return not 0 < self._ends_s - read_clock() <= TIME_SLICE_S

    def begin(self) -> None:
        """Begin a new slice."""
        self._ends_s = read_clock() + TIME_SLICE_S


_current = _TimeSlice()


async def yield_if_due() -> None:
    """Let other tasks run, and timeouts take effect, if the time slice is over.

    Every loop calls this that reads from a peer and may not wait for as long as the peer sends.

    Raises:
        curio.TaskTimeout: A timeout of the calling task has expired.
    """
    if _current.is_over():
        await curio.sleep(0)
        _current.begin()

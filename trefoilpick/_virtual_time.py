"""A curio kernel whose clock jumps to the next timer when every task waits.

Trace replay and tests run unmodified code on it: a sleep of an hour takes no time, and the same
seed gives the same schedule.
"""

from __future__ import annotations

import selectors
import time
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any

import curio
import curio.kernel

if TYPE_CHECKING:
    from collections.abc import Coroutine, Mapping

START_S = 1_000_000.0
"""Initial time of the virtual clock, in seconds."""

MAX_EMPTY_POLLS = 40
"""Number of consecutive polls without a ready socket after which no data is assumed in flight."""

POLL_TIMEOUT_S = 0.001
"""Time that a poll waits for data on loopback sockets of this process, in seconds of real time."""


class VirtualTime:
    """A clock that advances only when `now_s` is set."""

    def __init__(self) -> None:
        self.now_s = START_S

    def monotonic(self) -> float:
        """Return the virtual time, in seconds."""
        return self.now_s


class _VirtualSelector(selectors.DefaultSelector):
    def __init__(self, clock: VirtualTime) -> None:
        super().__init__()
        self._clock = clock
        self._empty_polls = 0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        # Data sent to a loopback socket of this process may not be readable yet.
        wait_s = POLL_TIMEOUT_S if self._empty_polls < MAX_EMPTY_POLLS and timeout != 0 else 0
        ready = super().select(wait_s)
        if ready:
            self._empty_polls = 0
            return ready
        self._empty_polls += 1
        if timeout is None:
            return super().select(None)
        self._clock.now_s += max(timeout, 0.0)
        return []


def run_virtual(main: Coroutine[Any, Any, Any], *, clock: VirtualTime | None = None) -> Any:
    """Run a coroutine to completion on a virtual clock.

    Args:
        main: The coroutine; its tasks may wait for each other, for timers, and for queues and
            sockets of this process, but not for another process.
        clock: The clock to advance; a new one by default.

    Returns:
        The result of the coroutine.
    """
    clock = clock or VirtualTime()
    module: Any = curio.kernel
    shim = SimpleNamespace(**{**_copy_attributes(time), "monotonic": clock.monotonic})
    module.time = shim
    try:
        with curio.Kernel(selector=_VirtualSelector(clock)) as kernel:
            return kernel.run(main)
    finally:
        module.time = time


def _copy_attributes(module: Any) -> Mapping[str, Any]:
    return {name: getattr(module, name) for name in dir(module) if not name.startswith("__")}

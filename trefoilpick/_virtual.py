"""A curio kernel whose clock jumps to the next timer when every task waits.

Trace replay and tests run unmodified code on it: a sleep of an hour takes no time, and one seed
gives one schedule.
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
"""Reading of the virtual clock at the start, in seconds."""

QUIET_LOOKS = 40
"""Looks without a ready socket after which nothing is taken to be on its way."""

DELIVERY_S = 0.001
"""Real time in which a loopback socket of this process delivers, in seconds."""


class VirtualTime:
    """A clock that moves only when it is told to."""

    def __init__(self) -> None:
        self.now_s = START_S

    def monotonic(self) -> float:
        """Return the reading of the clock, in seconds."""
        return self.now_s


class _VirtualSelector(selectors.DefaultSelector):
    def __init__(self, clock: VirtualTime) -> None:
        super().__init__()
        self._clock = clock
        self._quiet = 0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        # Loopback sockets of this process deliver at once, yet not always within this very call.
        wait_s = DELIVERY_S if self._quiet < QUIET_LOOKS and timeout != 0 else 0
        ready = super().select(wait_s)
        if ready:
            self._quiet = 0
            return ready
        self._quiet += 1
        if timeout is None:
            return super().select(None)
        self._clock.now_s += max(timeout, 0.0)
        return []


def run_virtual(main: Coroutine[Any, Any, Any], *, clock: VirtualTime | None = None) -> Any:
    """Run a coroutine to its end on a virtual clock.

    Args:
        main: The coroutine; its tasks must wait for each other, for timers or for local queues,
            never for a peer outside the process.
        clock: The clock to move.

    Returns:
        What the coroutine returned.
    """
    clock = clock or VirtualTime()
    module: Any = curio.kernel
    shim = SimpleNamespace(**{**_list_names(time), "monotonic": clock.monotonic})
    module.time = shim
    try:
        with curio.Kernel(selector=_VirtualSelector(clock)) as kernel:
            return kernel.run(main)
    finally:
        module.time = time


def _list_names(module: Any) -> Mapping[str, Any]:
    return {name: getattr(module, name) for name in dir(module) if not name.startswith("__")}

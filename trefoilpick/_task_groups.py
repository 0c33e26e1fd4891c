"""Tasks that run together: groups that end with their first task, and tasks that outlive errors."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any

import curio

from trefoilpick._clock import read_clock

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from trefoilpick.metrics import Metrics

    Part = Callable[[], Coroutine[Any, Any, Any]]

FIRST_RESTART_PAUSE_S = 0.1
"""Pause before a failed task runs again for the first time, in seconds; it doubles with each
failure."""

MAX_RESTART_PAUSE_S = 1.0
"""Longest pause before a failed task runs again, in seconds. Some tasks bring versions into force:
once the cause is gone, one must run again well within the time that a version may take."""

logger = logging.getLogger("trefoilpick")


async def run_until_first_ends(*parts: Part) -> None:
    """Run several coroutines concurrently until the first ends, then cancel the others.

    Args:
        parts: Coroutine functions without arguments.

    Raises:
        Exception: The exception of the first coroutine that ended, if it failed.
    """
    async with curio.TaskGroup(wait=any) as group:
        for part in parts:
            await group.spawn(part)
    if group.exception is not None:
        raise group.exception


def keep_running(part: Part, *, name: str, metrics: Metrics) -> Part:
    """Return a coroutine function that runs a part again after each unexpected error.

    The pause before it is short again once the part has run for longer than the longest one.

    Args:
        part: Coroutine function without arguments that keeps its state outside itself.
        name: Name of the task, for the log and the metrics.
        metrics: Metrics in which failures are counted.
    """

    async def run() -> Any:
        pause_s = FIRST_RESTART_PAUSE_S
        while True:
            began_s = read_clock()
            try:
                return await part()
            except Exception:
                metrics.count("trefoilpick_task_failures_total", task=name)
                logger.exception("a task failed and is started again", extra={"task": name})
            if read_clock() - began_s > MAX_RESTART_PAUSE_S:
                pause_s = FIRST_RESTART_PAUSE_S
            await curio.sleep(pause_s)
            pause_s = min(2 * pause_s, MAX_RESTART_PAUSE_S)

    return run

"""Tasks that are started again after unexpected errors."""

from __future__ import annotations

import curio
import pytest

from trefoilpick._clock import read_clock
from trefoilpick._task_groups import MAX_RESTART_PAUSE_S, keep_running
from trefoilpick._virtual_time import run_virtual
from trefoilpick.errors import ErrorKind, TrefoilpickError
from trefoilpick.metrics import Metrics


class FailingTask:
    """Fails a number of times, then returns."""

    def __init__(self, failures: int) -> None:
        self.failures = failures
        self.started_s: list[float] = []

    async def run(self) -> str:
        self.started_s.append(read_clock())
        if len(self.started_s) <= self.failures:
            raise TrefoilpickError(ErrorKind.INTERNAL, "unexpected")
        return "done"


@pytest.mark.task_errors
def test_a_task_runs_again_after_growing_pauses_until_it_ends() -> None:
    task, metrics = FailingTask(12), Metrics()
    assert run_virtual(keep_running(task.run, name="t", metrics=metrics)()) == "done"
    assert metrics.get_count("trefoilpick_task_failures_total", task="t") == 12
    starts = task.started_s
    pauses = [later - earlier for earlier, later in zip(starts, starts[1:], strict=False)]
    assert pauses[:3] == pytest.approx([0.1, 0.2, 0.4])
    assert max(pauses) == pytest.approx(MAX_RESTART_PAUSE_S)


def test_a_cancelled_task_is_not_started_again() -> None:
    async def main() -> int:
        async def wait() -> None:
            nonlocal starts
            starts += 1
            await curio.sleep(60.0)

        starts = 0
        task = await curio.spawn(keep_running(wait, name="t", metrics=Metrics()))
        await curio.sleep(1.0)
        await task.cancel()
        await curio.sleep(60.0)
        return starts

    assert run_virtual(main()) == 1

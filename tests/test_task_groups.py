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


# Guards against a task that failed now and then for a long time waiting ever longer to go on.
@pytest.mark.task_errors
def test_a_task_that_ran_for_a_while_runs_again_after_the_shortest_pause() -> None:
    class LongTask(FailingTask):
        async def run(self) -> str:
            await curio.sleep(60.0 if len(self.started_s) % 5 == 4 else 0.0)
            return await super().run()

    task = LongTask(20)
    run_virtual(keep_running(task.run, name="t", metrics=Metrics())())
    starts = task.started_s
    pauses = [later - earlier for earlier, later in zip(starts, starts[1:], strict=False)]
    assert pauses[4::5] == pytest.approx([0.1] * 4)


# Guards against a task that fails while its cause lasts and then runs too late to bring a version
# into force in time: 2 s in the users' deployments, of which the reading needs a part.
@pytest.mark.task_errors
def test_a_task_runs_again_soon_after_the_cause_of_its_failures_is_gone() -> None:
    async def main() -> float:
        gone_s = read_clock() + 100.0

        async def run() -> None:
            if read_clock() < gone_s:
                raise TrefoilpickError(ErrorKind.INTERNAL, "unexpected")

        await keep_running(run, name="t", metrics=Metrics())()
        return read_clock() - gone_s

    assert 0.0 <= run_virtual(main()) <= 1.0

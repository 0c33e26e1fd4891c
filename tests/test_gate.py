import random
from collections.abc import Awaitable, Callable

import curio
import pytest

from trefoilpick._virtual import VirtualTime, run_virtual
from trefoilpick.errors import ErrorKind, TrefoilpickError
from trefoilpick.gate import Gate, GateLimits

FAR_S = 10_000_000.0


class Crowd:
    """Requests at one gate; notes who was let in, in order."""

    def __init__(self, gate: Gate) -> None:
        self.gate = gate
        self.entered: list[str] = []
        self.refused: dict[str, TrefoilpickError] = {}

    async def enter(self, name: str, priority: str = "normal", deadline_s: float = FAR_S) -> None:
        """Enter as the caller that the name's first letter tells, and stay."""
        try:
            await self.gate.enter(
                caller=name[0],
                priority=priority,
                deadline_s=deadline_s,
                now_s=await curio.clock(),
            )
            self.entered.append(name)
        except TrefoilpickError as error:
            self.refused[name] = error

    async def line_up(self, *names: str, priority: str = "normal") -> list[curio.Task]:
        tasks = [await curio.spawn(self.enter, name, priority) for name in names]
        await curio.sleep(0.001)
        return tasks


def run_crowd(test: Callable[[Crowd], Awaitable[None]], *, slots: int, queue: int) -> None:
    async def run() -> None:
        await test(Crowd(Gate(GateLimits(slots, 100, queue))))

    run_virtual(run())


def test_priorities_go_first_and_callers_take_turns() -> None:
    async def test(crowd: Crowd) -> None:
        await crowd.line_up("first")
        await crowd.line_up("x1", priority="deferrable")
        await crowd.line_up("a1", "a2", "a3", "b1", "c1")
        await crowd.line_up("p1", priority="interactive")
        for _ in range(7):
            await crowd.gate.leave(served_s=1.0)
            await curio.sleep(0)
        assert crowd.entered == ["first", "p1", "a1", "b1", "c1", "a2", "a3", "x1"]

    run_crowd(test, slots=1, queue=10)


def test_a_full_queue_refuses_at_once_the_newest_of_the_lowest_priority() -> None:
    async def test(crowd: Crowd) -> None:
        await crowd.line_up("first")
        await crowd.line_up("x1", "x2", priority="deferrable")
        await crowd.line_up("a1", "a2")
        before = await curio.clock()
        await crowd.line_up("p1", priority="interactive")
        assert list(crowd.refused) == ["x2"]
        await crowd.line_up("a3")
        await crowd.line_up("a4")
        assert list(crowd.refused) == ["x2", "x1", "a4"]
        # One caller holds the queue: another displaces its newest, a third does not.
        await crowd.line_up("b1")
        await crowd.line_up("a5")
        assert list(crowd.refused)[3:] == ["a3", "a5"]
        assert await curio.clock() < before + 0.01
        kinds = [error.kind for error in crowd.refused.values()]
        full, shed = ErrorKind.QUEUE_FULL, ErrorKind.SHED
        assert kinds == [shed, shed, full, shed, full]
        assert all(error.retry_after_s for error in crowd.refused.values())
        assert crowd.gate.queued == 4

    run_crowd(test, slots=1, queue=4)


def test_a_request_whose_time_will_not_do_is_refused_at_once() -> None:
    async def test(crowd: Crowd) -> None:
        await crowd.line_up("first")
        await crowd.gate.leave(served_s=2.0)
        await crowd.line_up("second")
        now_s = await curio.clock()
        await crowd.enter("late", deadline_s=now_s + 1.9)
        assert crowd.refused["late"].kind is ErrorKind.SHED
        assert await curio.clock() == now_s
        await crowd.enter("hopeful", deadline_s=now_s + 2.1)
        assert crowd.refused["hopeful"].kind is ErrorKind.DEADLINE_BEFORE_RUN
        assert await curio.clock() == pytest.approx(now_s + 2.1)
        assert crowd.gate.queued == 0

    run_crowd(test, slots=1, queue=10)


def test_a_pause_lets_nobody_in_whose_time_is_over() -> None:
    clock = VirtualTime()

    async def run() -> None:
        crowd = Crowd(Gate(GateLimits(1, 100, 10)))
        await crowd.line_up("first")
        waiting = await curio.spawn(crowd.enter, "waiting", "normal", clock.now_s + 5)
        await curio.sleep(0)
        clock.now_s += 60
        await crowd.gate.leave()
        await waiting.join()
        assert crowd.refused["waiting"].kind is ErrorKind.DEADLINE_BEFORE_RUN
        await crowd.enter("asleep", deadline_s=clock.now_s - 1)
        assert crowd.refused["asleep"].kind is ErrorKind.DEADLINE_BEFORE_RUN
        assert crowd.gate.in_flight == 0

    run_virtual(run(), clock=clock)


def test_slots_grow_over_the_warm_up_and_follow_the_version() -> None:
    async def run() -> None:
        gate = Gate(GateLimits(10, 100, 10), warm_up_s=10, warm_up_share=0.3)
        gate.start_warm_up(100.0)
        assert [gate.count_slots(100.0 + age) for age in (0, 5, 9.9, 10)] == [3, 6, 9, 10]
        gate.limits = GateLimits(20, 8, 10)
        assert gate.count_slots(200.0) == 8

    run_virtual(run())


@pytest.mark.parametrize("seed", range(10))
def test_no_schedule_loses_or_exceeds_a_slot(seed: int) -> None:
    draw = random.Random(seed)

    async def visit(crowd: Crowd, peak: list[int]) -> None:
        await curio.sleep(draw.random() * 10)
        priority = draw.choice(("interactive", "normal", "deferrable"))
        try:
            await crowd.gate.enter(
                caller=draw.choice("abc"),
                priority=priority,
                deadline_s=await curio.clock() + draw.random() * 3,
                now_s=await curio.clock(),
            )
        except TrefoilpickError:
            return
        peak.append(crowd.gate.in_flight)
        try:
            await curio.sleep(draw.random() / 4)
        finally:
            await crowd.gate.leave(served_s=0.1)

    async def test(crowd: Crowd) -> None:
        peak: list[int] = []
        tasks = [await curio.spawn(visit, crowd, peak) for _ in range(300)]
        for _ in range(100):
            await curio.sleep(0.1)
            await draw.choice(tasks).cancel(blocking=False)
        for task in tasks:
            await task.wait()
        assert max(peak) == 3
        assert (crowd.gate.in_flight, crowd.gate.queued) == (0, 0)

    run_crowd(test, slots=3, queue=12)

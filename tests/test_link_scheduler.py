from collections.abc import Callable, Coroutine
from typing import Any

import curio
import pytest
from fakes_worker import build_cell

from trefoilpick._clock import read_clock
from trefoilpick._virtual_time import run_virtual
from trefoilpick.link_scheduler import LinkQueue, LinkScheduler, Turn
from trefoilpick.metrics import Metrics

MBPS = 20.0
LINK_BYTES_PER_S = MBPS * 125_000
CALL_BYTES, DOWNLOAD_BYTES = 300, 540_000
DOWNLOADS, CALLS, CALL_INTERVAL_S = 6, 400, 0.007


def build_scheduler(mbps: float = MBPS, *, large_answers: bool = True) -> LinkScheduler:
    return LinkScheduler(mbps, cell=build_cell(large_answers=large_answers), metrics=Metrics())


class ModelLink:
    """A first-in-first-out link without a network."""

    def __init__(self, bytes_per_s: float) -> None:
        self.free_s = 0.0
        self._bytes_per_s = bytes_per_s

    def send(self, size: int) -> float:
        """Send a message; return the clock reading when its last byte has left, in seconds."""
        self.free_s = max(self.free_s, read_clock()) + size / self._bytes_per_s
        return self.free_s


async def measure_calls_beside_downloads(mbps: float) -> tuple[list[float], float]:
    """Return the times that calls took on the link, and the downloads' throughput in bytes/s."""
    link, scheduler = ModelLink(LINK_BYTES_PER_S), build_scheduler(mbps)
    began_s = read_clock()

    async def download() -> int:
        sent = 0
        while read_clock() < began_s + CALLS * CALL_INTERVAL_S:
            left_s = 0.0
            for part in scheduler.split([bytes(65_536)] * (DOWNLOAD_BYTES // 65_536)):
                await scheduler.acquire(len(part), priority="normal")
                left_s = link.send(len(part))
                sent += len(part)
            await curio.sleep(max(left_s - read_clock(), 0.0))
        return sent

    async def call() -> list[float]:
        times = []
        for _ in range(CALLS):
            await curio.sleep(CALL_INTERVAL_S)
            scheduler.count(CALL_BYTES)
            times.append(link.send(CALL_BYTES) - read_clock())
        return times

    async with curio.TaskGroup() as group:
        calls = await group.spawn(call)
        downloads = [await group.spawn(download) for _ in range(DOWNLOADS)]
    return calls.result, sum(task.result for task in downloads) / (link.free_s - began_s)


def test_calls_beside_downloads_on_a_slow_link() -> None:
    """Small answers waited behind downloads in socket buffers until their requests failed."""
    alone_s = CALL_BYTES / LINK_BYTES_PER_S
    late_unscheduled, throughput_unscheduled = run_virtual(measure_calls_beside_downloads(0.0))
    times, throughput = run_virtual(measure_calls_beside_downloads(MBPS))
    assert sorted(late_unscheduled)[CALLS // 2] > 0.1
    assert sorted(times)[CALLS * 95 // 100] <= alone_s + 0.020
    assert throughput > 0.9 * throughput_unscheduled


def run_test(test: Callable[[LinkScheduler], Coroutine[Any, Any, None]]) -> None:
    async def run() -> None:
        await test(build_scheduler())

    run_virtual(run())


def test_streams_of_one_priority_take_turns_and_higher_ones_go_first() -> None:
    """A download that began first must not hold back others, least of all urgent ones."""
    order: list[str] = []

    async def test(scheduler: LinkScheduler) -> None:
        async def send(name: str, priority: str) -> None:
            for _ in range(3):
                await scheduler.acquire(7_000, priority=priority)
                order.append(name)

        await scheduler.acquire(100_000, priority="normal")
        async with curio.TaskGroup() as group:
            for name, priority in (("a", "normal"), ("b", "normal"), ("c", "interactive")):
                await group.spawn(send, name, priority)

    run_test(test)
    assert order == ["c", "c", "c", "a", "b", "a", "b", "a", "b"]


def test_a_low_priority_is_not_starved() -> None:
    """A stream without a turn for long would be cut off by an idle timeout."""

    async def test(scheduler: LinkScheduler) -> None:
        async def send_forever() -> None:
            while True:
                await scheduler.acquire(7_000, priority="interactive")

        tasks = [await curio.spawn(send_forever, daemon=True) for _ in range(2)]
        async with curio.timeout_after(1.5):
            await scheduler.acquire(7_000, priority="deferrable")
        for task in tasks:
            await task.cancel()

    run_test(test)


@pytest.mark.parametrize("cancelled", [0, 1, 2])
def test_a_cancelled_waiter_gives_its_turn_back(cancelled: int) -> None:
    """A turn that is kept by a cancelled task would stop all large bodies of the node."""

    async def test(scheduler: LinkScheduler) -> None:
        await scheduler.acquire(25_000, priority="normal")
        began_s = read_clock()
        tasks = [
            await curio.spawn(lambda: scheduler.acquire(25_000, priority="normal"))
            for _ in range(3)
        ]
        await curio.sleep(0.001)
        await tasks.pop(cancelled).cancel()
        for task in tasks:
            await task.join()
        assert read_clock() - began_s < 0.023

    run_test(test)


def test_a_turn_that_is_cancelled_after_its_grant_frees_the_link() -> None:
    """A task may be cancelled between the grant of its turn and its next step."""
    queue, turn = LinkQueue(LINK_BYTES_PER_S), Turn(25_000, 0, 10.0)
    queue.add(turn)
    assert list(queue.grant(10.0)) == [turn]
    assert queue.compute_delay(10.0) > 0.004
    queue.cancel(turn)
    assert queue.compute_delay(10.0) == 0.0


def test_small_messages_use_the_rate_before_large_bodies() -> None:
    """Without counting them, both together would exceed the link and queue in socket buffers."""

    async def test(scheduler: LinkScheduler) -> None:
        began_s = read_clock()
        scheduler.count(100_000)
        await scheduler.acquire(7_000, priority="normal")
        assert 0.030 < read_clock() - began_s < 0.045
        for _ in range(1_000):
            scheduler.count(100_000)
        await scheduler.acquire(7_000, priority="normal")
        assert read_clock() - began_s < 0.4

    run_test(test)


@pytest.mark.parametrize(("mbps", "large_answers"), [(0.0, True), (MBPS, False)])
def test_without_a_rate_or_large_answers_nothing_waits(mbps: float, large_answers: bool) -> None:
    """Other deployments must behave as before."""

    async def test() -> None:
        scheduler = build_scheduler(mbps, large_answers=large_answers)
        began_s = read_clock()
        for _ in range(100):
            scheduler.count(1_000_000)
            await scheduler.acquire(1_000_000, priority="normal")
        assert list(scheduler.split([bytes(500_000)])) == [bytes(500_000)]
        assert (scheduler.is_active, read_clock()) == (False, began_s)

    run_virtual(test())

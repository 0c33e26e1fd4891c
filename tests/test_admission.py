import random
from collections.abc import Awaitable, Callable

import curio
import pytest

from trefoilpick._virtual_time import VirtualTime, run_virtual
from trefoilpick.admission import AdmissionController, AdmissionLimits
from trefoilpick.errors import ErrorKind, TrefoilpickError

DISTANT_DEADLINE_S = 10_000_000.0


class Clients:
    """Sends requests to an admission controller, and records the admitted and refused ones."""

    def __init__(self, admission: AdmissionController) -> None:
        self.admission = admission
        self.admitted: list[str] = []
        self.refused: dict[str, TrefoilpickError] = {}

    async def acquire(
        self, name: str, priority: str = "normal", deadline_s: float = DISTANT_DEADLINE_S
    ) -> None:
        """Acquire a slot and keep it; the first letter of the name identifies the caller."""
        try:
            await self.admission.acquire(
                caller=name[0],
                priority=priority,
                deadline_s=deadline_s,
                now_s=await curio.clock(),
            )
            self.admitted.append(name)
        except TrefoilpickError as error:
            self.refused[name] = error

    async def enqueue(self, *names: str, priority: str = "normal") -> list[curio.Task]:
        tasks = [await curio.spawn(self.acquire, name, priority) for name in names]
        await curio.sleep(0.001)
        return tasks


def run_clients(test: Callable[[Clients], Awaitable[None]], *, slots: int, queue: int) -> None:
    async def run() -> None:
        await test(Clients(AdmissionController(AdmissionLimits(slots, 100, queue))))

    run_virtual(run())


def test_higher_priorities_are_served_first_and_callers_take_turns() -> None:
    async def test(clients: Clients) -> None:
        await clients.enqueue("first")
        await clients.enqueue("x1", priority="deferrable")
        await clients.enqueue("a1", "a2", "a3", "b1", "c1")
        await clients.enqueue("p1", priority="interactive")
        for _ in range(7):
            await clients.admission.release(served_s=1.0)
            await curio.sleep(0)
        assert clients.admitted == ["first", "p1", "a1", "b1", "c1", "a2", "a3", "x1"]

    run_clients(test, slots=1, queue=10)


def test_a_full_queue_evicts_the_newest_request_of_the_lowest_priority_at_once() -> None:
    async def test(clients: Clients) -> None:
        await clients.enqueue("first")
        await clients.enqueue("x1", "x2", priority="deferrable")
        await clients.enqueue("a1", "a2")
        started_s = await curio.clock()
        await clients.enqueue("p1", priority="interactive")
        assert list(clients.refused) == ["x2"]
        await clients.enqueue("a3")
        await clients.enqueue("a4")
        assert list(clients.refused) == ["x2", "x1", "a4"]
        # Caller a fills the queue: caller b evicts its newest request, and a itself evicts none.
        await clients.enqueue("b1")
        await clients.enqueue("a5")
        assert list(clients.refused)[3:] == ["a3", "a5"]
        assert await curio.clock() < started_s + 0.01
        kinds = [error.kind for error in clients.refused.values()]
        full, shed = ErrorKind.QUEUE_FULL, ErrorKind.SHED
        assert kinds == [shed, shed, full, shed, full]
        assert all(error.retry_after_s for error in clients.refused.values())
        assert clients.admission.queued == 4

    run_clients(test, slots=1, queue=4)


def test_a_request_whose_deadline_is_before_its_estimated_start_is_refused_at_once() -> None:
    async def test(clients: Clients) -> None:
        await clients.enqueue("first")
        await clients.admission.release(served_s=2.0)
        await clients.enqueue("second")
        now_s = await curio.clock()
        await clients.acquire("late", deadline_s=now_s + 1.9)
        assert clients.refused["late"].kind is ErrorKind.SHED
        assert await curio.clock() == now_s
        await clients.acquire("barely", deadline_s=now_s + 2.1)
        assert clients.refused["barely"].kind is ErrorKind.DEADLINE_BEFORE_RUN
        assert await curio.clock() == pytest.approx(now_s + 2.1)
        assert clients.admission.queued == 0

    run_clients(test, slots=1, queue=10)


def test_requests_that_expire_during_a_pause_are_not_admitted() -> None:
    clock = VirtualTime()

    async def run() -> None:
        clients = Clients(AdmissionController(AdmissionLimits(1, 100, 10)))
        await clients.enqueue("first")
        waiting = await curio.spawn(clients.acquire, "waiting", "normal", clock.now_s + 5)
        await curio.sleep(0)
        clock.now_s += 60
        await clients.admission.release()
        await waiting.join()
        assert clients.refused["waiting"].kind is ErrorKind.DEADLINE_BEFORE_RUN
        await clients.acquire("expired", deadline_s=clock.now_s - 1)
        assert clients.refused["expired"].kind is ErrorKind.DEADLINE_BEFORE_RUN
        assert clients.admission.in_flight == 0

    run_virtual(run(), clock=clock)


def test_slots_grow_during_the_warm_up_and_follow_changed_limits() -> None:
    async def run() -> None:
        admission = AdmissionController(
            AdmissionLimits(10, 100, 10), warm_up_s=10, warm_up_share=0.3
        )
        admission.start_warm_up(100.0)
        assert [admission.count_slots(100.0 + age) for age in (0, 5, 9.9, 10)] == [3, 6, 9, 10]
        admission.limits = AdmissionLimits(20, 8, 10)
        assert admission.count_slots(200.0) == 8

    run_virtual(run())


@pytest.mark.parametrize("seed", range(10))
def test_no_schedule_loses_or_exceeds_a_slot(seed: int) -> None:
    random_source = random.Random(seed)

    async def send_request(clients: Clients, in_flight: list[int]) -> None:
        await curio.sleep(random_source.random() * 10)
        priority = random_source.choice(("interactive", "normal", "deferrable"))
        try:
            await clients.admission.acquire(
                caller=random_source.choice("abc"),
                priority=priority,
                deadline_s=await curio.clock() + random_source.random() * 3,
                now_s=await curio.clock(),
            )
        except TrefoilpickError:
            return
        in_flight.append(clients.admission.in_flight)
        try:
            await curio.sleep(random_source.random() / 4)
        finally:
            await clients.admission.release(served_s=0.1)

    async def test(clients: Clients) -> None:
        in_flight: list[int] = []
        tasks = [await curio.spawn(send_request, clients, in_flight) for _ in range(300)]
        for _ in range(100):
            await curio.sleep(0.1)
            await random_source.choice(tasks).cancel(blocking=False)
        for task in tasks:
            await task.wait()
        assert max(in_flight) == 3
        assert (clients.admission.in_flight, clients.admission.queued) == (0, 0)

    run_clients(test, slots=3, queue=12)

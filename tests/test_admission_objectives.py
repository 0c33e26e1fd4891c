"""Admission under overload, with latency objectives for the requests."""

from __future__ import annotations

from functools import partial

import curio
import pytest

from trefoilpick._clock import read_clock
from trefoilpick._virtual_time import run_virtual
from trefoilpick.admission import AdmissionController, AdmissionLimits
from trefoilpick.document import Priority
from trefoilpick.errors import ErrorKind, TrefoilpickError

SERVICE_S = 0.1
OBJECTIVE_S = 0.4
DEADLINE_S = 2.5
SLOTS = 4


class LoadGenerator:
    """Sends requests of several callers to one worker and counts the results by name."""

    def __init__(self) -> None:
        self.admission = AdmissionController(AdmissionLimits(SLOTS, 100, 1_000))
        self.in_time: dict[str, int] = {}
        self.late: dict[str, int] = {}
        self.refused: dict[str, int] = {}
        self.longest_refusal_s = 0.0

    async def call(self, name: str, priority: str, *, elapsed_s: float = 0.0) -> None:
        began_s = read_clock()
        try:
            await self.admission.acquire(
                caller="c",
                priority=priority,
                deadline_s=began_s + DEADLINE_S - elapsed_s,
                now_s=began_s,
                route=name,
                objective_s=began_s + OBJECTIVE_S - elapsed_s,
            )
        except TrefoilpickError as error:
            assert error.kind in (ErrorKind.SHED, ErrorKind.DEADLINE_BEFORE_RUN)
            self.refused[name] = self.refused.get(name, 0) + 1
            self.longest_refusal_s = max(self.longest_refusal_s, read_clock() - began_s)
            return
        await curio.sleep(SERVICE_S)
        await self.admission.release(served_s=SERVICE_S, route=name)
        took_s = read_clock() - began_s + elapsed_s
        counts = self.in_time if took_s <= OBJECTIVE_S else self.late
        counts[name] = counts.get(name, 0) + 1

    async def send_at_rate(
        self, name: str, priority: Priority, rate_per_s: float, for_s: float, **fields: float
    ) -> None:
        async with curio.TaskGroup() as tasks:
            for _ in range(round(rate_per_s * for_s)):
                await tasks.spawn(partial(self.call, name, priority.value, **fields))
                await curio.sleep(1 / rate_per_s)

    async def send_concurrently(self, *kinds: tuple[str, Priority, float]) -> None:
        """Send requests of several kinds for ten seconds: name, priority, rate per second."""
        async with curio.TaskGroup() as tasks:
            for kind in kinds:
                await tasks.spawn(self.send_at_rate, *kind, 10.0)


def test_delayed_request_displaces_none_and_is_displaced_first() -> None:
    """A short queue under load: late requests must not push out those that can be in time."""

    async def run() -> None:
        admission = AdmissionController(AdmissionLimits(SLOTS, 100, 3))
        refused: list[str] = []

        async def call(name: str, priority: Priority, objective_s: float = 100.0) -> None:
            now_s = read_clock()
            try:
                await admission.acquire(
                    caller=name[0],
                    priority=priority.value,
                    deadline_s=now_s + 100.0,
                    now_s=now_s,
                    route="r",
                    objective_s=now_s + objective_s,
                )
            except TrefoilpickError:
                refused.append(name)

        async def start(*arguments: object) -> None:
            await curio.spawn(call, *arguments, daemon=True)
            await curio.sleep(0.001)

        for number in range(SLOTS):
            await start(f"r{number}", Priority.NORMAL)
        await admission.release(served_s=SERVICE_S, route="r")
        await start("r9", Priority.NORMAL)
        for number in range(3):
            await start(f"i{number}", Priority.INTERACTIVE)
        await start("late", Priority.DEFERRABLE, 0.01)
        assert refused == ["late"]
        await admission.release(served_s=SERVICE_S, route="r")
        await start("late-2", Priority.DEFERRABLE, 0.01)
        await start("i3", Priority.INTERACTIVE)
        assert refused == ["late", "late-2"]

    run_virtual(run())


def test_under_double_load_the_served_requests_meet_their_objective() -> None:
    load = LoadGenerator()
    run_virtual(load.send_at_rate("read", Priority.NORMAL, 2 * SLOTS / SERVICE_S, 10.0))
    capacity = 10.0 * SLOTS / SERVICE_S
    assert load.in_time["read"] >= 0.95 * capacity
    assert load.late.get("read", 0) <= 0.05 * capacity
    assert load.longest_refusal_s <= OBJECTIVE_S / 2


def test_interactive_requests_are_served_first_without_starving_others_below_capacity() -> None:
    load = LoadGenerator()

    run_virtual(
        load.send_concurrently(
            ("advance", Priority.INTERACTIVE, 20.0), ("archive", Priority.DEFERRABLE, 60.0)
        )
    )
    assert load.in_time["advance"] >= 0.99 * 200
    assert load.in_time["archive"] >= 0.5 * 600 * (40 - 20) / 60


@pytest.mark.parametrize("late_per_s", [5.0, 40.0])
def test_requests_past_their_objective_do_not_slow_down_others(late_per_s: float) -> None:
    load = LoadGenerator()

    async def main() -> None:
        async with curio.TaskGroup() as tasks:
            await tasks.spawn(load.send_at_rate, "read", Priority.NORMAL, 50.0, 10.0)
            async with curio.TaskGroup() as late_tasks:
                await late_tasks.spawn(send_late_requests, load, late_per_s)

    run_virtual(main())
    assert load.in_time["read"] >= 0.9 * 10.0 * SLOTS / SERVICE_S


def test_requests_displaced_by_interactive_ones_are_refused_long_before_their_deadline() -> None:
    load = LoadGenerator()

    async def poll_queue() -> None:
        while True:
            await curio.sleep(0.1)
            await load.admission.refuse_late(read_clock())

    async def main() -> None:
        poller = await curio.spawn(poll_queue)
        async with curio.TaskGroup() as tasks:
            await tasks.spawn(load.send_at_rate, "read", Priority.DEFERRABLE, 30.0, 5.0)
            await curio.sleep(0.5)
            await tasks.spawn(load.send_at_rate, "advance", Priority.INTERACTIVE, 45.0, 4.0)
        await poller.cancel()

    run_virtual(main())
    assert load.refused["read"] > 20
    assert load.longest_refusal_s <= DEADLINE_S / 2


async def send_late_requests(load: LoadGenerator, rate_per_s: float) -> None:
    await load.send_at_rate("overdue", Priority.NORMAL, rate_per_s, 10.0, elapsed_s=OBJECTIVE_S)


def test_requests_past_their_objective_are_served_if_there_is_capacity() -> None:
    load = LoadGenerator()

    async def main() -> None:
        async with curio.TaskGroup() as tasks:
            await tasks.spawn(load.send_at_rate, "read", Priority.NORMAL, 20.0, 10.0)
            await tasks.spawn(send_late_requests, load, 10.0)

    run_virtual(main())
    assert load.late["overdue"] >= 0.95 * 100


def test_nested_calls_are_served_while_long_requests_fill_the_worker() -> None:
    """Audits overload the worker, while requests at other workers wait for nested calls to it."""
    load = LoadGenerator()

    run_virtual(
        load.send_concurrently(
            ("nested", Priority.INTERACTIVE, 15.0), ("audit", Priority.DEFERRABLE, 60.0)
        )
    )
    assert load.in_time["nested"] >= 0.98 * 150

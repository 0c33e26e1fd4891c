"""Admission of nested calls under load, beside the policy that does not tell them apart.

A nested call belongs to a request that already holds a slot elsewhere: if it is refused or late,
that request fails after it ran.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any

import curio
import pytest

from trefoilpick._clock import read_clock
from trefoilpick._fair_queue import FairQueue, Waiter
from trefoilpick._nested_turns import (
    MAX_NESTED_SHARE,
    MAX_NESTED_TURNS,
    NESTED_QUEUES,
    QUEUE_NAMES,
    NestedTurns,
)
from trefoilpick._virtual_time import run_virtual
from trefoilpick.admission import AdmissionController, AdmissionLimits
from trefoilpick.document import Priority
from trefoilpick.errors import TrefoilpickError

SERVICE_S = 0.1
SLOTS = 3
QUEUE = 40
CAPACITY_PER_S = SLOTS / SERVICE_S
DEADLINE_S = 1.0
"""Time in which a client's request must be answered, in seconds; also its objective."""

NESTED_DEADLINE_S = 0.4
"""Time that a nested call has left at a shared worker, in seconds: its parent used the rest."""

LOAD_S = 20.0
CHAIN_LOAD = 0.2
"""Rate of chains of calls, as a share of the capacity of a service."""

CALLER_VMS = {"client": 10, "chain": 2, "nested": 2}
"""VMs from which requests of a kind come; callers of equal priority take turns."""

MIN_CLIENT_SHARE = 0.95 * (1 - MAX_NESTED_SHARE)
"""Smallest share of a worker's capacity that clients' requests get under nested calls that would
fill it: one turn in four, less the requests at the start and end."""


@dataclass
class Service:
    """A service of one worker behind the real admission control."""

    nested_first: bool
    queue: int = QUEUE
    results: Counter[str] = field(default_factory=Counter)
    sent: Counter[str] = field(default_factory=Counter)

    def __post_init__(self) -> None:
        self.admission = AdmissionController(
            AdmissionLimits(SLOTS, 100, self.queue), nested_first=self.nested_first
        )

    async def call(
        self,
        name: str,
        *,
        deadline_s: float,
        nested: bool = False,
        work: Callable[[float], Coroutine[Any, Any, bool]] | None = None,
        on_start: Callable[[], None] = lambda: None,
    ) -> bool:
        """Run one request; return whether it was answered in time.

        Args:
            name: Kind of the request, under which its result is counted.
            deadline_s: Clock reading at which it expires, in seconds.
            nested: Whether it is a nested call.
            work: What it does with its slot after its own service time, with its deadline.
            on_start: Called when it has a slot.
        """
        try:
            await self.acquire(name, deadline_s, nested=nested)
        except TrefoilpickError:
            self.results[f"{name} refused"] += 1
            return False
        on_start()
        began_s = read_clock()
        await curio.sleep(SERVICE_S)
        succeeded = work is None or await work(deadline_s)
        await self.admission.release(served_s=read_clock() - began_s, route=name)
        succeeded = succeeded and read_clock() <= deadline_s
        self.results[f"{name} {'served' if succeeded else 'failed after run'}"] += 1
        return succeeded

    async def acquire(self, name: str, deadline_s: float, *, nested: bool) -> None:
        number = self.sent[name]
        self.sent[name] += 1
        await self.admission.acquire(
            caller=f"{name} {number % CALLER_VMS[name]}",
            priority=Priority.INTERACTIVE.value,
            deadline_s=deadline_s,
            now_s=read_clock(),
            route=name,
            objective_s=deadline_s,
            nested=nested,
        )

    async def poll_queue(self) -> None:
        while True:
            await curio.sleep(0.1)
            await self.admission.refuse_late(read_clock())


async def send_at_rate(send: Callable[[], Coroutine[Any, Any, object]], rate_per_s: float) -> None:
    async with curio.TaskGroup() as tasks:
        for _ in range(round(rate_per_s * LOAD_S)):
            await tasks.spawn(send)
            await curio.sleep(1 / rate_per_s)


def run_load(
    services: list[Service], *loads: tuple[Callable[[], Coroutine[Any, Any, object]], float]
) -> None:
    """Send requests of several kinds, each at its rate per second."""

    async def main() -> None:
        pollers = [await curio.spawn(service.poll_queue) for service in services]
        async with curio.TaskGroup() as tasks:
            for load in loads:
                await tasks.spawn(send_at_rate, *load)
        for poller in pollers:
            await poller.cancel()

    run_virtual(main())


def run_beside_clients(*, nested_first: bool, nested_per_s: float) -> Counter[str]:
    """Load "calls beside clients at one service": both share one worker, which is overloaded."""
    service = Service(nested_first)

    async def send(name: str, deadline_s: float, *, nested: bool) -> None:
        await service.call(name, deadline_s=read_clock() + deadline_s, nested=nested)

    async def send_nested() -> None:
        await send("nested", NESTED_DEADLINE_S, nested=True)

    async def send_client() -> None:
        await send("client", DEADLINE_S, nested=False)

    run_load([service], (send_nested, nested_per_s), (send_client, 1.2 * CAPACITY_PER_S))
    return service.results


def run_chain(*, nested_first: bool, client_load: float) -> list[Counter[str]]:
    """Load "chain of three services, the last one full".

    Each request of the first service makes a call to the second, and each of these makes two calls
    to the third, which also serves its own clients.
    """
    first, second, third = services = [Service(nested_first) for _ in range(3)]
    chains_per_s = CHAIN_LOAD * CAPACITY_PER_S

    async def call_third(deadline_s: float) -> bool:
        return await third.call("nested", deadline_s=deadline_s, nested=True) and (
            await third.call("nested", deadline_s=deadline_s, nested=True)
        )

    async def call_second(deadline_s: float) -> bool:
        return await second.call("nested", deadline_s=deadline_s, nested=True, work=call_third)

    async def send_chain() -> None:
        await first.call("chain", deadline_s=read_clock() + DEADLINE_S, work=call_second)

    async def send_client() -> None:
        await third.call("client", deadline_s=read_clock() + DEADLINE_S)

    run_load(services, (send_chain, chains_per_s), (send_client, client_load * CAPACITY_PER_S))
    return [service.results for service in services]


@pytest.mark.parametrize("nested_load", [0.3, 0.6, 0.9, 1.5])
def test_calls_beside_clients_at_one_service(nested_load: float) -> None:
    """Guards against nested calls that are refused for clients, and against clients that starve."""
    nested_per_s = nested_load * CAPACITY_PER_S
    off, on = (
        run_beside_clients(nested_first=nested_first, nested_per_s=nested_per_s)
        for nested_first in (False, True)
    )
    assert off["nested refused"] > 0.9 * nested_per_s * LOAD_S
    nested_share = min(nested_load, MAX_NESTED_SHARE)
    assert on["nested served"] >= 0.99 * nested_share * CAPACITY_PER_S * LOAD_S
    assert on["client served"] >= MIN_CLIENT_SHARE * CAPACITY_PER_S * LOAD_S
    served = on["nested served"] + on["client served"]
    assert served >= 0.99 * CAPACITY_PER_S * LOAD_S


@pytest.mark.parametrize("client_load", [0.7, 1.0, 2.0])
def test_chain_of_three_services_the_last_one_full(client_load: float) -> None:
    """Guards against requests that fail after they ran because a nested call was refused or late.

    The same pattern as in the live test in `test_nested_calls`.
    """
    off, on = (
        run_chain(nested_first=nested_first, client_load=client_load)
        for nested_first in (False, True)
    )
    assert off[0]["chain failed after run"] > 0
    assert on[0] == {"chain served": CHAIN_LOAD * CAPACITY_PER_S * LOAD_S}
    assert on[2]["client served"] >= 0.95 * (1 - 2 * CHAIN_LOAD) * CAPACITY_PER_S * LOAD_S


def test_setting_that_is_off_changes_nothing() -> None:
    """The flag of a node with the setting has no effect at a node without it."""
    service = Service(nested_first=False)
    assert wait_in_line(service, "client", "nested", "client") == ["client", "nested", "client"]


def test_full_queue_drops_new_requests_before_nested_calls() -> None:
    """Guards against a new request that keeps a nested call out, and against the contrary.

    Nested calls have three in four places; beyond them, they displace nothing.
    """
    service = Service(nested_first=True, queue=4)
    order = wait_in_line(service, *["client"] * 4, *["nested"] * 4, "client")
    assert order == ["nested"] * MAX_NESTED_TURNS + ["client"]
    assert service.results["client refused"] == 4
    assert service.results["nested refused"] == 1


@pytest.mark.parametrize("name", ["client", "nested"])
@pytest.mark.parametrize(("nested", "new"), [(0, 3), (2, 2), (7, 1), (7, 0), (8, 5)])
def test_expected_wait_takes_the_order_into_account(name: str, nested: int, new: int) -> None:
    """Guards against refusals for a wait that the order does not bring."""
    queues = {queue_name: FairQueue() for queue_name in QUEUE_NAMES}
    turns = NestedTurns(queues)
    normal = Priority.NORMAL.value
    names = {"client": normal, "nested": NESTED_QUEUES[normal]}
    for kind, count in (("nested", nested), ("client", new)):
        for _ in range(count):
            queues[names[kind]].append(Waiter("a", names[kind], 1.0, service_s=SERVICE_S))
    ahead, ahead_s = turns.estimate_ahead(names[name], "a")
    last = Waiter("a", names[name], 1.0)
    queues[last.priority].append(last)
    order: list[Waiter] = []
    while (queue := turns.choose_queue()) is not None:
        order.append(queue.pop_next())
        turns.record_turn(order[-1].priority)
    assert ahead == order.index(last)
    assert ahead_s == pytest.approx(ahead * SERVICE_S)


def wait_in_line(service: Service, *names: str) -> list[str]:
    """Send requests of one caller to a worker without a free slot; return those served, in order.

    Args:
        service: The service.
        names: Kinds of the requests, "client" or "nested".
    """
    order: list[str] = []

    async def wait(name: str) -> None:
        await service.call(
            name,
            deadline_s=read_clock() + DEADLINE_S * len(names),
            nested=name == "nested",
            on_start=lambda: order.append(name),
        )

    async def main() -> None:
        for _ in range(SLOTS):
            await service.acquire("chain", read_clock() + DEADLINE_S, nested=False)
        async with curio.TaskGroup() as tasks:
            for name in names:
                await tasks.spawn(wait, name)
                await curio.sleep(0.001)
            # One slot is enough: the others stay taken, so that requests run one by one.
            await service.admission.release(served_s=SERVICE_S, route="chain")

    run_virtual(main())
    return order

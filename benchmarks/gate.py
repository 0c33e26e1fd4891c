"""Policy of the gate under overload, on a virtual clock, against a plain first-come queue.

Run with `python -m benchmarks.gate`. The last line is one JSON object. One seed gives one result.
"""

from __future__ import annotations

import json
import random
from collections import defaultdict
from dataclasses import dataclass, field
from typing import Annotated, Protocol

import curio
import typer

from trefoilpick._clock import read_clock
from trefoilpick._virtual import run_virtual
from trefoilpick.errors import TrefoilpickError
from trefoilpick.gate import PRIORITIES, Gate, GateLimits

SLOTS = 10

SERVICE_S = 0.02
"""Mean time that the worker takes for a request, in seconds."""

DEADLINE_S = 0.5
"""Time that each caller leaves, in seconds."""

LOADS = (0.5, 1.0, 2.0, 4.0)
"""Offered loads, in parts of the worker's capacity."""

WEIGHTS = (0.3, 0.5, 0.2)
"""Shares of the priorities in the offered load, in the order of `PRIORITIES`."""

GREEDY_SHARE = 0.6
"""Share of one caller in the offered load; nine others share the rest."""


class Admission(Protocol):
    """What a request passes before and after the worker."""

    async def enter(self, *, caller: str, priority: str, deadline_s: float, now_s: float) -> float:
        """Take a slot."""

    async def leave(self, *, served_s: float | None = None) -> None:
        """Give it back."""


class PlainQueue:
    """Slots in order of arrival, without bound, deadline or priority."""

    def __init__(self) -> None:
        self._slots = curio.Semaphore(SLOTS)

    async def enter(self, *, caller: str, priority: str, deadline_s: float, now_s: float) -> float:
        """Take a slot."""
        await self._slots.acquire()
        return read_clock()

    async def leave(self, *, served_s: float | None = None) -> None:
        """Give it back."""
        await self._slots.release()


@dataclass
class Tally:
    """What became of the requests of one run.

    Attributes:
        offered: Requests by priority and caller.
        good: Those that were answered within their time.
        latencies_s: Their latencies by priority, in seconds.
        refusals_s: Times until a refusal was told, in seconds.
        wasted: Requests that ran and ended too late.
    """

    offered: dict[str, int] = field(default_factory=lambda: defaultdict(int))
    good: dict[str, int] = field(default_factory=lambda: defaultdict(int))
    latencies_s: dict[str, list[float]] = field(default_factory=lambda: defaultdict(list))
    refusals_s: list[float] = field(default_factory=list)
    wasted: int = 0


async def make_request(
    admission: Admission, tally: Tally, caller: str, priority: str, service_s: float
) -> None:
    began_s = read_clock()
    tally.offered[priority] += 1
    tally.offered[caller] += 1
    try:
        await admission.enter(
            caller=caller, priority=priority, deadline_s=began_s + DEADLINE_S, now_s=began_s
        )
    except TrefoilpickError:
        tally.refusals_s.append(read_clock() - began_s)
        return
    await curio.sleep(service_s)
    await admission.leave(served_s=service_s)
    latency_s = read_clock() - began_s
    if latency_s > DEADLINE_S:
        tally.wasted += 1
        return
    tally.good[priority] += 1
    tally.good[caller] += 1
    tally.latencies_s[priority].append(latency_s)


async def offer(admission: Admission, load: float, seconds: float, seed: int) -> Tally:
    draw = random.Random(seed)
    tally = Tally()
    rate = load * SLOTS / SERVICE_S
    async with curio.TaskGroup(wait=all) as group:
        for _ in range(int(rate * seconds)):
            await curio.sleep(draw.expovariate(rate))
            greedy = draw.random() < GREEDY_SHARE
            caller = "greedy" if greedy else f"modest-{draw.randrange(9)}"
            priority = draw.choices(PRIORITIES, WEIGHTS)[0]
            service_s = draw.expovariate(1 / SERVICE_S)
            await group.spawn(make_request, admission, tally, caller, priority, service_s)
    return tally


def pick_p99(values: list[float]) -> float:
    return sorted(values)[len(values) * 99 // 100] if values else 0.0


def summarize(tally: Tally, seconds: float) -> dict[str, object]:
    good = sum(tally.good[priority] for priority in PRIORITIES)
    modest = [name for name in tally.offered if name.startswith("modest")]
    return {
        "goodput_percent": round(100 * good * SERVICE_S / SLOTS / seconds, 1),
        "good_percent": {
            priority: round(100 * tally.good[priority] / tally.offered[priority], 1)
            for priority in PRIORITIES
        },
        "p99_ms": {
            priority: round(1000 * pick_p99(found)) for priority, found in tally.latencies_s.items()
        },
        "modest_callers_good_percent": round(
            100 * sum(tally.good[name] for name in modest) / sum(tally.offered[n] for n in modest),
            1,
        ),
        "wasted": tally.wasted,
        "refused": len(tally.refusals_s),
        "refused_at_the_deadline": sum(wait_s >= DEADLINE_S for wait_s in tally.refusals_s),
        "refusal_p99_ms": round(1000 * pick_p99(tally.refusals_s)),
    }


def main(
    seconds: Annotated[float, typer.Option(help="Virtual time of each run.")] = 20.0,
    seed: Annotated[int, typer.Option(help="Seed of arrivals and service times.")] = 1,
) -> None:
    """Measure the gate under overload."""
    results: dict[str, dict[str, object]] = {}
    for load in LOADS:
        gate = Gate(GateLimits(SLOTS, 120, 50))
        admissions: dict[str, Admission] = {"gate": gate, "plain": PlainQueue()}
        for name, admission in admissions.items():
            tally = run_virtual(offer(admission, load, seconds, seed))
            results.setdefault(name, {})[str(load)] = summarize(tally, seconds)
    for name, by_load in results.items():
        for load_text, result in by_load.items():
            print(name, load_text, json.dumps(result))
    print(json.dumps(results))


if __name__ == "__main__":
    typer.run(main)

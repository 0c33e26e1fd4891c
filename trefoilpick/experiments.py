"""Load experiments: patterns of load and trouble through today's decisions, and through plain ones.

The nodes' own balancing, admission, budgets and advice run against models of workers on a virtual
clock, without a network. The plain policy is what a mesh does without them: any worker by chance,
a queue in order of arrival, refusal where it is full. One seed gives one result.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING

import curio

from trefoilpick._experiment_kinds import DATA_CENTRES, WORKERS
from trefoilpick._experiment_nodes import Plain, Today
from trefoilpick._experiment_world import World
from trefoilpick._virtual_time import run_virtual
from trefoilpick.errors import ErrorKind, TrefoilpickError

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine, Iterable
    from typing import Any

    from trefoilpick._experiment_kinds import Tally
    from trefoilpick._experiment_nodes import Policy
    from trefoilpick._worker_model import WorkerModel

POLICIES: dict[str, Policy] = {"today": Today(), "plain": Plain()}
"""Policies by name."""


@dataclass(frozen=True)
class Result:
    """Outcome of a pattern under one policy: a tally by name of the kind."""

    tallies: dict[str, Tally]

    @property
    def earned_share(self) -> float:
        """Earned worth over all worth owed."""
        tallies = self.tallies.values()
        return sum(tally.earned for tally in tallies) / sum(tally.owed for tally in tallies)


@dataclass(frozen=True)
class Pattern:
    """A pattern of load and trouble.

    Attributes:
        name: Its name on the command line.
        text: What happens.
        trouble: What makes it happen, beside the callers.
        load: Requests over capacity at the start.
    """

    name: str
    text: str
    trouble: Callable[[World], Coroutine[Any, Any, None]]
    load: float = 0.7


async def _burst(world: World) -> None:
    await curio.sleep(5.0)
    world.load *= 1.7
    await curio.sleep(6.0)
    world.load /= 1.7


async def _lose_half(world: World) -> None:
    await curio.sleep(5.0)
    for worker in world.list_workers()[::2]:
        worker.change(is_gone=True)


async def _repeat(world: World) -> None:
    await curio.sleep(3.0)
    world.repeating = 0.3
    await curio.sleep(10.0)
    world.repeating = 0.0


async def _slow_one(world: World) -> None:
    await _trouble(world.list_workers()[1:2], slowness=5.0)


async def _shed_in_part(world: World) -> None:
    await _trouble(world.list_workers(), shed_share=0.45)


async def _fail_in_part(world: World) -> None:
    await _trouble(world.list_workers()[2:3], fail_share=0.6)


async def _trouble(workers: list[WorkerModel], **condition: float) -> None:
    """Let workers be in a condition for a while."""
    await curio.sleep(4.0)
    for worker in workers:
        worker.change(**condition)
    await curio.sleep(8.0)
    for worker in workers:
        worker.recover()


async def _release(world: World) -> None:
    await curio.sleep(3.0)
    for number, worker in enumerate(world.list_workers()):
        if number:
            # The first one is emptied and not replaced.
            world.add_worker(is_cold=True)
        worker.is_leaving = True
        await curio.sleep(2.0)
        worker.change(is_gone=True)


async def _restart_nodes(world: World) -> None:
    await curio.sleep(5.0)
    world.open_nodes()


async def _move_callers(world: World) -> None:
    await curio.sleep(4.0)
    world.near_share = 0.8
    await curio.sleep(10.0)
    world.near_share = 1 / len(DATA_CENTRES)


PATTERNS = (
    Pattern("burst", "a burst of 1.7 on a service that is nearly full", _burst, load=0.9),
    Pattern("half", "half of a service's workers vanish", _lose_half),
    Pattern("repeats", "a third of the callers repeat at once and often", _repeat, load=1.1),
    Pattern("slow", "one worker is five times slower", _slow_one),
    Pattern("shedding", "all workers shed a part of what they get", _shed_in_part, load=0.6),
    Pattern("failing", "one worker fails more than half of what it runs", _fail_in_part),
    Pattern("release", "a worker goes while all others are replaced", _release, load=0.6),
    Pattern("herd", "all nodes start anew under load", _restart_nodes, load=0.9),
    Pattern("moving", "callers move to one data centre", _move_callers),
)
"""All patterns."""


def run_experiment(pattern: Pattern, policy: Policy, *, seed: int) -> Result:
    """Run a pattern under a policy.

    Args:
        pattern: What happens.
        policy: How nodes decide.
        seed: Seed of all luck.
    """
    return run_virtual(_run(pattern, policy, seed))


async def _run(pattern: Pattern, policy: Policy, seed: int) -> Result:
    world = World(policy, random.Random(seed), load=pattern.load)
    for _ in range(WORKERS):
        world.add_worker()
    world.open_nodes()
    trouble = await curio.spawn(partial(pattern.trouble, world))
    await world.press()
    await trouble.cancel()
    return Result(world.tallies)


def find_patterns(names: Iterable[str]) -> tuple[Pattern, ...]:
    """Return the patterns of some names; all of them for no name.

    Raises:
        TrefoilpickError: `SETTINGS_FAULTY`, where there is none of a name.
    """
    known = {pattern.name: pattern for pattern in PATTERNS}
    chosen = tuple(names)
    for name in chosen:
        if name not in known:
            text = f'no pattern "{name}"; there are {", ".join(known)}'
            raise TrefoilpickError(ErrorKind.SETTINGS_FAULTY, text)
    return tuple(known[name] for name in chosen) or PATTERNS

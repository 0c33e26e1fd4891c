"""Load experiments: patterns of load and faults under the current and the baseline policies.

The current policy is the nodes' own code for balancing, admission, retry budgets and retry advice.
With the policy `work`, it balances by expected work; with `perfect`, each choice knows the true
count and speed of every worker.
The baseline policy chooses a random worker, which queues requests in order of arrival and sheds
them when its queue is full. Both run against models of workers on a virtual clock, without a
network. The same seed gives the same result.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING, TypeVar

import curio

from trefoilpick._experiment_mesh import SimulatedMesh
from trefoilpick._experiment_nodes import (
    BaselinePolicy,
    CurrentPolicy,
    PerfectPolicy,
    WorkPolicy,
)
from trefoilpick._experiment_workload import DATA_CENTRES, MeshShape
from trefoilpick._virtual_time import run_virtual
from trefoilpick.errors import ErrorKind, TrefoilpickError

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine, Iterable
    from typing import Any

    from trefoilpick._experiment_nodes import Policy
    from trefoilpick._experiment_workload import Tally
    from trefoilpick._worker_model import WorkerModel

ItemT = TypeVar("ItemT")

POLICIES: dict[str, Policy] = {
    "today": CurrentPolicy(),
    "plain": BaselinePolicy(),
    "work": WorkPolicy(),
    "perfect": PerfectPolicy(),
}
"""Policies by name in the output of the command."""


DEFAULT_SHAPE = MeshShape()


@dataclass(frozen=True)
class ExperimentResult:
    """Result of a pattern under one policy: tallies by name of the kind of request."""

    tallies: dict[str, Tally]

    @property
    def earned_share(self) -> float:
        """Worth earned by answers, as a share of the worth of all requests."""
        tallies = self.tallies.values()
        return sum(tally.earned for tally in tallies) / sum(tally.owed for tally in tallies)


@dataclass(frozen=True)
class Pattern:
    """A pattern of load and faults.

    Attributes:
        name: Its name on the command line.
        description: Description of what happens, for the output.
        inject_faults: Changes the load and injects faults while callers send requests.
        load: Initial request rate, as a share of the workers' total capacity.
    """

    name: str
    description: str
    inject_faults: Callable[[SimulatedMesh], Coroutine[Any, Any, None]]
    load: float = 0.7


async def _raise_load(mesh: SimulatedMesh) -> None:
    await curio.sleep(5.0)
    mesh.load *= 1.7
    await curio.sleep(6.0)
    mesh.load /= 1.7


async def _disconnect_half(mesh: SimulatedMesh) -> None:
    await curio.sleep(5.0)
    for worker in mesh.list_workers()[::2]:
        worker.set_faults(is_unreachable=True)


async def _retry_immediately(mesh: SimulatedMesh) -> None:
    await curio.sleep(3.0)
    mesh.immediate_retry_share = 0.3
    await curio.sleep(10.0)
    mesh.immediate_retry_share = 0.0


async def _slow_one_worker(mesh: SimulatedMesh) -> None:
    await _impair(mesh.list_workers()[1:2], slowness=5.0)


async def _shed_requests(mesh: SimulatedMesh) -> None:
    await _impair(mesh.list_workers(), shed_share=0.45)


async def _fail_requests(mesh: SimulatedMesh) -> None:
    await _impair(mesh.list_workers()[2:3], fail_share=0.6)


async def _limit_rates(mesh: SimulatedMesh) -> None:
    worker_capacity_per_s = mesh.shape.capacity_per_s / mesh.shape.workers
    await _impair(mesh.list_workers()[::3], slowness=5.0, rate_limit=worker_capacity_per_s / 5.0)


async def _impair(workers: list[WorkerModel], **faults: float) -> None:
    """Inject faults into workers for 8 s, starting 4 s into the run."""
    await curio.sleep(4.0)
    for worker in workers:
        worker.set_faults(**faults)
    await curio.sleep(8.0)
    for worker in workers:
        worker.clear_faults()


async def _replace_workers(mesh: SimulatedMesh) -> None:
    await curio.sleep(3.0)
    for number, worker in enumerate(mesh.list_workers()):
        if number:
            # The first worker is drained without a replacement.
            mesh.add_worker(is_cold=True)
        worker.is_leaving = True
        await curio.sleep(2.0)
        worker.set_faults(is_unreachable=True)


async def _restart_nodes(mesh: SimulatedMesh) -> None:
    await curio.sleep(5.0)
    mesh.start_nodes()


async def _move_callers(mesh: SimulatedMesh) -> None:
    await curio.sleep(4.0)
    mesh.first_data_centre_share = 0.8
    await curio.sleep(10.0)
    mesh.first_data_centre_share = 1 / len(DATA_CENTRES)


async def _do_nothing(mesh: SimulatedMesh) -> None:
    """Inject no fault."""


PATTERNS = (
    Pattern(
        "burst", "load times 1.7 for a while on a service near its capacity", _raise_load, load=0.9
    ),
    Pattern("half", "half of a service's workers become unreachable", _disconnect_half),
    Pattern(
        "repeats",
        "a third of the callers retry immediately and often",
        _retry_immediately,
        load=1.1,
    ),
    Pattern("slow", "one worker is five times slower", _slow_one_worker),
    Pattern("shedding", "all workers shed a part of their requests", _shed_requests, load=0.6),
    Pattern("limited", "a third of the workers are in need and state a limited rate", _limit_rates),
    Pattern("failing", "one worker fails more than half of its requests", _fail_requests),
    Pattern(
        "release", "one worker is removed while all others are replaced", _replace_workers, load=0.6
    ),
    Pattern("herd", "all nodes restart under load", _restart_nodes, load=0.9),
    Pattern("moving", "callers move to one data centre", _move_callers),
    Pattern("steady", "a steady load without faults", _do_nothing),
)
"""All patterns, in the order in which the command runs them."""


def run_experiment(
    pattern: Pattern, policy: Policy, *, seed: int, shape: MeshShape = DEFAULT_SHAPE
) -> ExperimentResult:
    """Run a pattern under a policy.

    Args:
        pattern: The pattern of load and faults.
        policy: How nodes choose workers and admit requests.
        seed: Seed of all random choices.
        shape: Size of the mesh.
    """
    return run_virtual(_run(pattern, policy, seed, shape))


async def _run(pattern: Pattern, policy: Policy, seed: int, shape: MeshShape) -> ExperimentResult:
    mesh = SimulatedMesh(policy, random.Random(seed), load=pattern.load, shape=shape)
    for _ in range(shape.workers):
        mesh.add_worker()
    mesh.start_nodes()
    faults = await curio.spawn(partial(pattern.inject_faults, mesh))
    await mesh.send_requests()
    await faults.cancel()
    return ExperimentResult(mesh.tallies)


def find_patterns(names: Iterable[str]) -> tuple[Pattern, ...]:
    """Return the patterns with the given names; all of them if no name is given.

    Raises:
        TrefoilpickError: `SETTINGS_FAULTY` if a name is unknown.
    """
    return tuple(_find("pattern", {pattern.name: pattern for pattern in PATTERNS}, names).values())


def find_policies(names: Iterable[str]) -> dict[str, Policy]:
    """Return the policies with the given names; all of them if no name is given.

    Raises:
        TrefoilpickError: `SETTINGS_FAULTY` if a name is unknown.
    """
    return _find("policy", POLICIES, names)


def _find(kind: str, known: dict[str, ItemT], names: Iterable[str]) -> dict[str, ItemT]:
    chosen = tuple(names)
    for name in chosen:
        if name not in known:
            text = f'unknown {kind} "{name}"; the known ones are {", ".join(known)}'
            raise TrefoilpickError(ErrorKind.SETTINGS_FAULTY, text)
    return {name: known[name] for name in chosen} or known

"""One run of the soak: start a fleet and callers, inject faults and check the guarantees."""

from __future__ import annotations

import random
import time
from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING

import curio

from soak.callers import (
    MEAN_PAUSE_S,
    SETTLING_S,
    LethalCaller,
    LibraryCaller,
    PersistentCaller,
)
from soak.checks import (
    UNDISTURBED_WITHIN_S,
    NodeMonitor,
    StatementMonitor,
    check_calls,
    check_logs,
    check_recovery,
    check_worker_ends,
)
from soak.faults import draw_faults, inject
from soak.fleet import TOPOLOGIES, Topology, open_fleet
from trefoilpick._call_totals import CallResult

if TYPE_CHECKING:
    from pathlib import Path

    from soak.callers import FinishedCall
    from soak.faults import Fault
    from soak.fleet import SoakFleet

LIBRARY_CALLERS = 8
"""Callers that use the library; each node also has one with a persistent connection."""

FULL_RATE_NODES = 8
"""Nodes up to which persistent callers make calls at their full rate; more share it, since this
process runs all workers and proxies."""

AFTER_RECOVERY_S = 3.0
"""Time for which callers continue after the last version must be in force, in seconds."""


@dataclass(frozen=True)
class RunPlan:
    """Parameters of a run.

    Attributes:
        seed: Seed of faults and calls.
        nodes: Number of node processes.
        seconds: Duration of fault injection, in seconds.
        breakage: Name of a deliberate breakage in all nodes; empty for none.
        topology: Data centres and readers.
        ends_workers: Whether a request is sent that ends the workers which run it.
        script: Faults and their times since the start, in seconds; if empty, random faults.
    """

    seed: int
    nodes: int
    seconds: float
    breakage: str = ""
    topology: Topology = TOPOLOGIES[0]
    ends_workers: bool = False
    script: tuple[tuple[float, Fault], ...] = ()


@dataclass(frozen=True)
class RunReport:
    """Result of a run: counts, and descriptions of violated guarantees."""

    faults: int
    versions: int
    calls: int
    answered: int
    violations: tuple[str, ...]

    @property
    def has_passed(self) -> bool:
        """Whether no guarantee was violated."""
        return not self.violations


def run_soak(plan: RunPlan, *, folder: Path, network: int) -> RunReport:
    """Run the soak once; all processes that it starts have exited when it returns.

    Args:
        plan: Parameters of the run.
        folder: Directory for settings, logs and the list of faults.
        network: Second octet of all addresses; concurrent runs on a machine need different ones.
    """
    fleet = open_fleet(network, folder, breakage=plan.breakage, topology=plan.topology)
    try:
        return curio.run(partial(_run_plan, plan, fleet))
    finally:
        # Also runs when SIGTERM ends this process, so that no node continues without it.
        fleet.stop()


def draw_topology(seed: int) -> Topology:
    """Return the topology of a seed."""
    return random.Random(seed).choice(TOPOLOGIES)


async def _run_plan(plan: RunPlan, fleet: SoakFleet) -> RunReport:
    await fleet.start(plan.nodes)
    rng = random.Random(plan.seed)
    monitor = NodeMonitor(fleet)
    await monitor.wait_for_recovery()
    callers = _build_callers(fleet, rng)
    lethal = LethalCaller(fleet.nodes, random.Random(f"lethal/{plan.seed}"))
    ending = await curio.spawn(lethal.run, daemon=True) if plan.ends_workers else None
    tasks = [await curio.spawn(caller.run, daemon=True) for caller in callers]
    statements = StatementMonitor(fleet)
    monitors = [await curio.spawn(run, daemon=True) for run in (monitor.run, statements.run)]
    faults = await _inject_all(plan, fleet, rng)
    if ending is not None:
        await ending.cancel()
    fleet.undo_faults()
    await monitor.wait_for_recovery()
    recovered_at = time.monotonic()
    worker_back_at = max(node.worker_back_at for node in fleet.nodes)
    silenced_at = max(node.silenced_at for node in fleet.nodes)
    disturbed_at = max(max(node.disturbed_at, node.worker_back_at) for node in fleet.nodes)
    await curio.sleep(max(disturbed_at + SETTLING_S - recovered_at, 0.0))
    await fleet.accept()
    await curio.sleep(UNDISTURBED_WITHIN_S + AFTER_RECOVERY_S)
    for task in (*monitors, *tasks):
        # Calls in flight are cancelled and not checked.
        await task.cancel()
    finished: list[FinishedCall] = [entry for caller in callers for entry in caller.finished]
    violations = [
        *monitor.violations,
        *statements.violations,
        *check_calls(finished, fleet),
        *check_recovery(finished, max(recovered_at, silenced_at + SETTLING_S, worker_back_at)),
        *check_logs(fleet.folder),
        *check_worker_ends(fleet.nodes),
        *(text for caller in callers for text in caller.violations),
    ]
    answered = sum(entry.call.result is CallResult.ANSWERED for entry in finished)
    return RunReport(faults, len(fleet.confirmed), len(finished), answered, tuple(violations))


def _build_callers(fleet: SoakFleet, rng: random.Random) -> list[LibraryCaller | PersistentCaller]:
    library = [
        LibraryCaller(f"library-{number}", fleet.nodes, random.Random(rng.random()))
        for number in range(LIBRARY_CALLERS)
    ]
    pause_s = MEAN_PAUSE_S * max(1.0, len(fleet.nodes) / FULL_RATE_NODES)
    persistent = [
        PersistentCaller(f"persistent-{node.vm.name}", node, pause_s=pause_s)
        for node in fleet.nodes
    ]
    return [*library, *persistent]


async def _inject_all(plan: RunPlan, fleet: SoakFleet, rng: random.Random) -> int:
    began = time.monotonic()
    count = 0
    with (fleet.folder / "faults.txt").open("w") as lines:
        async with curio.TaskGroup() as group:
            drawn = draw_faults(rng, seconds=plan.seconds, nodes=plan.nodes)
            for at_s, fault in plan.script or drawn:
                await curio.sleep(max(began + at_s - time.monotonic(), 0.0))
                lines.write(f"{at_s:.3f} {fault}\n")
                lines.flush()
                count += 1
                await group.spawn(inject, fault, fleet)
    return count

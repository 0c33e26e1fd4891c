"""The demo: Quillqa's fleet in one process, through good and faulty versions and departures."""

from __future__ import annotations

import random
import statistics
import time
from collections import Counter
from dataclasses import asdict, dataclass
from typing import TYPE_CHECKING

import curio

from trefoilpick._demo_callers import DemoCaller
from trefoilpick._demo_document import (
    build_faulty_version,
    build_first_version,
    build_last_version,
    build_moved_version,
)
from trefoilpick._demo_fleet import DemoFleet, build_fleet
from trefoilpick._ledger import CallTotals, total_calls
from trefoilpick.standin import open_standin

if TYPE_CHECKING:
    from collections.abc import Callable

    from trefoilpick.document import Section
    from trefoilpick.manifest import VersionId

CALLERS = 6
"""Callers at work at a time."""

SEED = 20261203
"""Seed of all random choices of the demo."""

CONVERGENCE_LIMIT_S = 8.0
"""Time in which a version must be in force everywhere, in seconds."""

START_LIMIT_S = 20.0
"""Time in which the fleet must become ready, in seconds."""

REFUSAL_LIMIT_S = 8.0
"""Time in which every node must have refused the faulty version, in seconds."""

POLL_S = 0.001
"""Time between two looks at the nodes, in seconds."""

WORK_S = 1.5
"""Time for which callers work between two steps, in seconds."""

DRAINED_VM = "encargos-lima-b"
KILLED_VM = "portafolio-lima-c"


@dataclass(frozen=True)
class Convergence:
    """How long a version took to be in force, in milliseconds from acceptance."""

    p50: float
    max: float


@dataclass(frozen=True)
class DemoResult:
    """What the demo saw.

    Attributes:
        versions_in_force: Version number by node; of the nodes that still run.
        convergence_ms: Convergence by version number.
        refused: Nodes that refused the faulty version.
        control_bytes: Bytes that nodes sent and received for control, on links and to the source.
        source_reads: Calls that the configuration service counted.
        requests: Totals as counted at callers and workers.
    """

    versions_in_force: dict[str, int]
    convergence_ms: dict[str, Convergence]
    refused: int
    control_bytes: int
    source_reads: int
    requests: CallTotals

    @property
    def holds(self) -> bool:
        """Whether every promise that the demo can see was kept."""
        requests = self.requests
        broken = requests.lost + requests.doubled + requests.cut + requests.false_not_run
        newest = set(self.versions_in_force.values()) == {4}
        in_time = all(
            entry.max <= CONVERGENCE_LIMIT_S * 1_000 for entry in self.convergence_ms.values()
        )
        return broken == 0 and newest and in_time and requests.answered > 0

    def to_json(self) -> dict[str, object]:
        """Return the result as plain values."""
        return asdict(self)


class Demo:
    """One run of the demo.

    Args:
        fleet: The fleet, not yet started.
        tell: Takes one line for a person at each step.
    """

    def __init__(self, fleet: DemoFleet, *, tell: Callable[[str], None]) -> None:
        self.fleet = fleet
        self.tell = tell
        self.gone: set[str] = set()
        self.convergence_ms: dict[str, Convergence] = {}
        self.callers = _build_callers(fleet)

    async def run(self) -> DemoResult:
        """Go through all steps.

        Returns:
            What was seen.

        Raises:
            curio.TaskTimeout: A step did not end within its limit.
        """
        await self._start_fleet()
        async with curio.TaskGroup() as work:
            for caller in self.callers:
                await work.spawn(caller.run)
            await self._move_archive()
            refused = await self._offer_faulty_version()
            await self._accept(4, build_last_version(), "sketch status gets a shorter deadline")
            await self._lose_vms()
            for caller in self.callers:
                caller.request_stop()
        result = self._summarize(refused)
        await self.fleet.stop()
        return result

    async def _start_fleet(self) -> None:
        await self.fleet.publish_vms()
        await self.fleet.start()
        self.tell(f"{len(self.fleet.vms)} nodes start in 3 data centres of Lima")
        await self._accept(1, build_first_version(), "portafolio and encargos, two teams")
        async with curio.timeout_after(START_LIMIT_S):
            while not all(entry.node.is_ready for entry in self.fleet.vms.values()):
                await curio.sleep(POLL_S)
        self.tell("all nodes are ready; editors and art directors begin to work")

    async def _move_archive(self) -> None:
        await curio.sleep(WORK_S)
        await self._accept(2, build_moved_version(), "the archive's route moves to encargos")
        await curio.sleep(WORK_S)

    async def _offer_faulty_version(self) -> int:
        self.tell('version 3 is put on the platform unchecked: a route to "archivo", undefined')
        await self.fleet.publish_version(3, build_faulty_version(), accepted_at_ms=_read_wall_ms())
        async with curio.timeout_after(REFUSAL_LIMIT_S):
            while self._count_refusals() < len(self._list_running()):
                await curio.sleep(POLL_S)
        await curio.sleep(WORK_S)
        refused = self._count_refusals()
        numbers = sorted(set(self._read_numbers().values()))
        self.tell(f"refused by {refused} of {len(self._list_running())} nodes; {numbers} in force")
        return refused

    async def _lose_vms(self) -> None:
        await curio.sleep(WORK_S)
        self.tell(f"{DRAINED_VM} drains: a planned stop")
        self.gone.add(DRAINED_VM)
        await self.fleet.drain(DRAINED_VM)
        self.tell(f"{DRAINED_VM} ended; {KILLED_VM} dies without a word")
        self.gone.add(KILLED_VM)
        await self.fleet.kill(KILLED_VM)
        await curio.sleep(2 * WORK_S)

    async def _accept(self, number: int, sections: tuple[Section, ...], what: str) -> None:
        accepted_s = await curio.clock()
        version = await self.fleet.publish_version(number, sections, accepted_at_ms=_read_wall_ms())
        times = await self._wait_in_force(version, accepted_s)
        measured = Convergence(round(statistics.median(times), 1), round(max(times), 1))
        self.convergence_ms[str(number)] = measured
        self.tell(
            f"version {number} accepted ({what}): in force on {len(times)} nodes,"
            f" half after {measured.p50} ms, all after {measured.max} ms"
        )

    async def _wait_in_force(self, version: VersionId, accepted_s: float) -> list[float]:
        waiting = set(self._list_running())
        times: list[float] = []
        async with curio.timeout_after(START_LIMIT_S):
            while waiting:
                for name in sorted(waiting):
                    snapshot = self.fleet.vms[name].node.cell.current
                    if snapshot is not None and snapshot.version >= version:
                        waiting.remove(name)
                        times.append((await curio.clock() - accepted_s) * 1_000)
                await curio.sleep(POLL_S)
        return times

    def _list_running(self) -> list[str]:
        return [name for name in self.fleet.vms if name not in self.gone]

    def _read_numbers(self) -> dict[str, int]:
        numbers = {}
        for name in self._list_running():
            snapshot = self.fleet.vms[name].node.cell.current
            numbers[name] = snapshot.version.number if snapshot is not None else 0
        return numbers

    def _count_refusals(self) -> int:
        return sum(
            any(entry.number == 3 for entry in self.fleet.vms[name].node.describe().refused)
            for name in self._list_running()
        )

    def _summarize(self, refused: int) -> DemoResult:
        runs: Counter[str] = Counter()
        for entry in self.fleet.vms.values():
            runs.update(entry.worker.runs)
        calls = [call for caller in self.callers for call in caller.calls]
        return DemoResult(
            versions_in_force=self._read_numbers(),
            convergence_ms=self.convergence_ms,
            refused=refused,
            control_bytes=sum(
                entry.node.metrics.get_count("trefoilpick_control_bytes_total")
                for entry in self.fleet.vms.values()
            ),
            source_reads=self.fleet.standin.counts.calls,
            requests=total_calls(calls, runs),
        )


async def run_demo(*, tell: Callable[[str], None]) -> DemoResult:
    """Run the demo on loopback.

    Args:
        tell: Takes one line for a person at each step.

    Returns:
        What was seen.
    """
    async with open_standin() as standin:
        demo = Demo(build_fleet(standin, seed=SEED), tell=tell)
        return await demo.run()


def _build_callers(fleet: DemoFleet) -> list[DemoCaller]:
    addresses = [entry.caller_address for entry in fleet.vms.values()]
    callers = []
    for index in range(CALLERS):
        turned = addresses[index:] + addresses[:index]
        chance = random.Random(SEED + index)
        callers.append(DemoCaller(f"caller{index}", turned, chance=chance))
    return callers


def _read_wall_ms() -> int:
    return time.time_ns() // 1_000_000

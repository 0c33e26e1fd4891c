"""Demo: the fleet of Quillqa in one process, with valid and faulty versions and VM losses."""

from __future__ import annotations

import random
import statistics
import time
from collections import Counter
from dataclasses import asdict, dataclass
from typing import TYPE_CHECKING

import curio

from trefoilpick._call_totals import CallTotals, total_calls
from trefoilpick._demo_callers import DemoCaller
from trefoilpick._demo_document import (
    build_faulty_version,
    build_first_version,
    build_last_version,
    build_moved_version,
)
from trefoilpick._demo_fleet import DemoFleet, build_fleet
from trefoilpick.standin import open_standin

if TYPE_CHECKING:
    from collections.abc import Callable

    from trefoilpick.document import Section
    from trefoilpick.manifest import VersionId

CALLERS = 6
"""Number of concurrent callers."""

SEED = 20261203
"""Seed of all random choices of the demo."""

CONVERGENCE_LIMIT_S = 8.0
"""Time within which a version must be in force on all nodes, in seconds."""

START_LIMIT_S = 20.0
"""Timeout for the fleet to become ready, or to put a version in force, in seconds."""

REFUSAL_LIMIT_S = 8.0
"""Timeout for all nodes to refuse the faulty version, in seconds."""

POLL_INTERVAL_S = 0.001
"""Interval at which the nodes are polled, in seconds."""

LOAD_S = 1.5
"""Time for which callers make requests between two steps, in seconds."""

DRAINED_VM = "encargos-lima-b"
KILLED_VM = "portafolio-lima-c"


@dataclass(frozen=True)
class Convergence:
    """Median and maximum time from acceptance to enforcement of a version, in milliseconds."""

    p50: float
    max: float


@dataclass(frozen=True)
class DemoResult:
    """Measurements of a demo run.

    Attributes:
        versions_in_force: Version number by node, for the nodes that are still running.
        convergence_ms: Convergence by version number.
        refused: Number of running nodes that refused the faulty version.
        control_bytes: Control traffic of all nodes, sent and received, on links and with the
            source, in bytes.
        source_reads: Number of calls to the configuration service.
        requests: Totals of the requests, as counted by callers and workers.
    """

    versions_in_force: dict[str, int]
    convergence_ms: dict[str, Convergence]
    refused: int
    control_bytes: int
    source_reads: int
    requests: CallTotals

    @property
    def has_met_guarantees(self) -> bool:
        """Whether all guarantees that the demo checks were met."""
        requests = self.requests
        violations = requests.lost + requests.doubled + requests.cut + requests.false_not_run
        is_newest_in_force = set(self.versions_in_force.values()) == {4}
        is_in_time = all(
            entry.max <= CONVERGENCE_LIMIT_S * 1_000 for entry in self.convergence_ms.values()
        )
        return violations == 0 and is_newest_in_force and is_in_time and requests.answered > 0

    def to_json(self) -> dict[str, object]:
        """Return the result as JSON-compatible values."""
        return asdict(self)


class Demo:
    """One run of the demo.

    Args:
        fleet: The fleet, not yet started.
        on_step: Called with a line of text at each step.
    """

    def __init__(self, fleet: DemoFleet, *, on_step: Callable[[str], None]) -> None:
        self.fleet = fleet
        self.on_step = on_step
        self.stopped_vms: set[str] = set()
        self.convergence_ms: dict[str, Convergence] = {}
        self.callers = _build_callers(fleet)

    async def run(self) -> DemoResult:
        """Run all steps.

        Returns:
            Measurements of the run.

        Raises:
            curio.TaskTimeout: A step exceeded its time limit.
        """
        await self._start_fleet()
        async with curio.TaskGroup() as work:
            for caller in self.callers:
                await work.spawn(caller.run)
            await self._move_archive()
            refused = await self._publish_faulty_version()
            await self._publish_and_wait(
                4, build_last_version(), "the sketches route gets a shorter deadline"
            )
            await self._remove_vms()
            for caller in self.callers:
                caller.request_stop()
        result = self._summarize(refused)
        await self.fleet.stop()
        return result

    async def _start_fleet(self) -> None:
        await self.fleet.publish_vms()
        await self.fleet.start()
        self.on_step(f"{len(self.fleet.vms)} nodes start in 3 data centres of Lima")
        await self._publish_and_wait(1, build_first_version(), "portafolio and encargos, two teams")
        async with curio.timeout_after(START_LIMIT_S):
            while not all(entry.node.is_ready for entry in self.fleet.vms.values()):
                await curio.sleep(POLL_INTERVAL_S)
        self.on_step("all nodes are ready; callers start")

    async def _move_archive(self) -> None:
        await curio.sleep(LOAD_S)
        await self._publish_and_wait(
            2, build_moved_version(), "the archive route moves to encargos"
        )
        await curio.sleep(LOAD_S)

    async def _publish_faulty_version(self) -> int:
        self.on_step(
            'version 3 is published unchecked: a route refers to "archivo", which is undefined'
        )
        await self.fleet.publish_version(3, build_faulty_version(), accepted_at_ms=_read_wall_ms())
        async with curio.timeout_after(REFUSAL_LIMIT_S):
            while self._count_refusals() < len(self._list_running()):
                await curio.sleep(POLL_INTERVAL_S)
        await curio.sleep(LOAD_S)
        refused = self._count_refusals()
        numbers = sorted(set(self._read_numbers().values()))
        self.on_step(
            f"refused by {refused} of {len(self._list_running())} nodes; {numbers} in force"
        )
        return refused

    async def _remove_vms(self) -> None:
        await curio.sleep(LOAD_S)
        self.on_step(f"{DRAINED_VM} is drained for a planned stop")
        self.stopped_vms.add(DRAINED_VM)
        await self.fleet.drain(DRAINED_VM)
        self.on_step(f"{DRAINED_VM} stopped; {KILLED_VM} is killed without notice")
        self.stopped_vms.add(KILLED_VM)
        await self.fleet.kill(KILLED_VM)
        await curio.sleep(2 * LOAD_S)

    async def _publish_and_wait(
        self, number: int, sections: tuple[Section, ...], description: str
    ) -> None:
        accepted_at_s = await curio.clock()
        version = await self.fleet.publish_version(number, sections, accepted_at_ms=_read_wall_ms())
        times = await self._wait_in_force(version, accepted_at_s)
        convergence = Convergence(round(statistics.median(times), 1), round(max(times), 1))
        self.convergence_ms[str(number)] = convergence
        self.on_step(
            f"version {number} accepted ({description}): in force on {len(times)} nodes,"
            f" half after {convergence.p50} ms, all after {convergence.max} ms"
        )

    async def _wait_in_force(self, version: VersionId, accepted_at_s: float) -> list[float]:
        pending = set(self._list_running())
        times: list[float] = []
        async with curio.timeout_after(START_LIMIT_S):
            while pending:
                for name in sorted(pending):
                    snapshot = self.fleet.vms[name].node.cell.current
                    if snapshot is not None and snapshot.version >= version:
                        pending.remove(name)
                        times.append((await curio.clock() - accepted_at_s) * 1_000)
                await curio.sleep(POLL_INTERVAL_S)
        return times

    def _list_running(self) -> list[str]:
        return [name for name in self.fleet.vms if name not in self.stopped_vms]

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


async def run_demo(*, on_step: Callable[[str], None]) -> DemoResult:
    """Run the demo on loopback.

    Args:
        on_step: Called with a line of text at each step.

    Returns:
        Measurements of the run.
    """
    async with open_standin() as standin:
        demo = Demo(build_fleet(standin, seed=SEED), on_step=on_step)
        return await demo.run()


def _build_callers(fleet: DemoFleet) -> list[DemoCaller]:
    addresses = [entry.caller_address for entry in fleet.vms.values()]
    callers = []
    for index in range(CALLERS):
        rotated = addresses[index:] + addresses[:index]
        rng = random.Random(SEED + index)
        callers.append(DemoCaller(f"caller{index}", rotated, rng=rng))
    return callers


def _read_wall_ms() -> int:
    return time.time_ns() // 1_000_000

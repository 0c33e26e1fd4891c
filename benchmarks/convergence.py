"""Convergence, control bytes, source reads, CPU time and memory of fleets of real nodes.

Run with `python -m benchmarks.convergence`. By default there are two fleets, each with its own
source: one with the finger overlay, and one in which every node watches the source. Both grow in
parallel; then all nodes of the first are killed and restarted. The last line is one JSON object.
"""

from __future__ import annotations

import json
import statistics
import tempfile
import time
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Annotated

import curio
import typer

from benchmarks._processes import Fleet, Usage, open_fleet

SOURCE_RATE = 2_000
"""Rate limit of the source, in calls per second."""

READY_LIMIT_S = 60.0
"""Time limit for all nodes to be ready with the newest version, in seconds."""

MIN_GAP_SHARE = 0.4
"""Minimum time between two versions, as a share of that for the largest fleet."""


@dataclass(frozen=True)
class FleetMeasurement:
    """Measurements of one fleet at one size; "idle" without and "changing" with new versions."""

    nodes: int
    overlay: str
    convergence_ms: dict[str, float]
    control_bytes_per_node_per_s: dict[str, float]
    source_reads_per_s: dict[str, float]
    control_bytes_per_node_per_change: float
    source_reads_per_change: float
    core_percent_per_node: dict[str, float]
    core_ms_per_node_per_change: float
    rss_mb_per_node: dict[str, float]


@dataclass(frozen=True)
class RestartCost:
    """Measurements of a simultaneous restart of all nodes."""

    nodes: int
    peak_reads_in_a_second: int
    reads: int
    until_all_serve_s: float


def main(
    sizes: Annotated[str, typer.Option(help="Fleet sizes, in ascending order.")] = "8,16,32,64",
    versions: Annotated[int, typer.Option(help="Versions accepted at each size.")] = 10,
    gap_ms: Annotated[
        int, typer.Option(help="Time between two versions of the largest fleet, in ms.")
    ] = 120,
    idle_s: Annotated[
        float, typer.Option(help="Duration of the idle measurement, in seconds.")
    ] = 0.4,
    sections: Annotated[int, typer.Option(help="Sections of the document.")] = 160,
    overlays: Annotated[
        str,
        typer.Option(help="Overlays to measure in parallel; the fleet of the first is restarted."),
    ] = "fingers,every-node-watches",
    long: Annotated[
        bool, typer.Option(help="Continue up to 128 nodes, with all overlays.")
    ] = False,
) -> None:
    """Measure fleets of real nodes on loopback."""
    fleet_sizes = [int(size) for size in sizes.split(",")]
    overlay_names = overlays.split(",")
    if long:
        fleet_sizes, idle_s = [*fleet_sizes, 128], 30.0
        overlay_names = ["fingers", "tree", "gossip", "every-node-watches"]
    with tempfile.TemporaryDirectory() as folder:
        results, restart = curio.run(
            measure_all,
            Path(folder),
            fleet_sizes,
            overlay_names,
            versions,
            gap_ms / 1000,
            idle_s,
            sections,
        )
    print(json.dumps({"sizes": [asdict(result) for result in results], "herd": asdict(restart)}))


async def measure_all(
    folder: Path,
    sizes: list[int],
    overlay_names: list[str],
    versions: int,
    gap_s: float,
    idle_s: float,
    sections: int,
) -> tuple[list[FleetMeasurement], RestartCost]:
    fleets = [
        open_fleet(
            10 + index,
            name,
            folder / name,
            sections=sections,
            expected_vms=sizes[-1],
            rate=SOURCE_RATE,
        )
        for index, name in enumerate(overlay_names)
    ]
    results: list[FleetMeasurement] = []
    try:
        for fleet in fleets:
            await curio.spawn(fleet.standin.run, daemon=True)
            await fleet.accept()
        for size in sizes:
            gap = gap_s * max(size / sizes[-1], MIN_GAP_SHARE)
            results += await measure_size(fleets, size, versions, gap, idle_s)
        for fleet in fleets[1:]:
            fleet.kill()
        return results, await measure_restart(fleets[0])
    finally:
        for fleet in fleets:
            fleet.kill()


async def measure_size(
    fleets: list[Fleet], size: int, versions: int, gap_s: float, idle_s: float
) -> list[FleetMeasurement]:
    for fleet in fleets:
        await fleet.grow(size)
    for fleet in fleets:
        await fleet.wait_until_ready(READY_LIMIT_S)
    before = [await fleet.measure_usage() for fleet in fleets]
    await curio.sleep(idle_s)
    after = [await fleet.measure_usage() for fleet in fleets]
    results: list[FleetMeasurement] = []
    for fleet, before_idle, after_idle in zip(fleets, before, after, strict=True):
        result = await measure_changes(fleet, before_idle, after_idle, versions, gap_s)
        print(result, flush=True)
        results.append(result)
    return results


async def measure_changes(
    fleet: Fleet, before_idle: Usage, after_idle: Usage, versions: int, gap_s: float
) -> FleetMeasurement:
    nodes = len(fleet.vms)
    before = await fleet.measure_usage()
    numbers: list[int] = []
    for _ in range(versions):
        numbers.append(await fleet.accept())
        await curio.sleep(gap_s)
    await fleet.wait_until_ready(READY_LIMIT_S)
    after = await fleet.measure_usage()
    times = sorted(await fleet.read_convergences(numbers))
    # Status queries cost the nodes resources; both spans include that cost.
    idle, busy = Rates(before_idle, after_idle, nodes), Rates(before, after, nodes)
    rss = fleet.measure_rss_mb()
    return FleetMeasurement(
        nodes=nodes,
        overlay=fleet.overlay,
        convergence_ms={
            "p50": find_quantile(times, 0.5),
            "p99": find_quantile(times, 0.99),
            "max": times[-1],
            "measured": len(times),
        },
        control_bytes_per_node_per_s={"idle": idle.bytes_per_s, "changing": busy.bytes_per_s},
        source_reads_per_s={"idle": idle.reads_per_s, "changing": busy.reads_per_s},
        control_bytes_per_node_per_change=round(
            (after.control_bytes - before.control_bytes) / nodes / versions
            - idle.bytes_per_s * busy.span_s / versions
        ),
        source_reads_per_change=round((after.calls - before.calls) / versions, 1),
        core_percent_per_node={"idle": idle.core_percent, "changing": busy.core_percent},
        core_ms_per_node_per_change=round(
            1000 * (after.cpu_s - before.cpu_s) / nodes / versions
            - 10 * idle.core_percent * busy.span_s / versions,
            2,
        ),
        rss_mb_per_node={"p50": round(statistics.median(rss), 1), "max": round(rss[-1], 1)},
    )


class Rates:
    """Rates between two measurements; bytes and percent of a core are per node."""

    def __init__(self, before: Usage, after: Usage, nodes: int) -> None:
        self.span_s = after.at_s - before.at_s
        self.bytes_per_s = round(
            (after.control_bytes - before.control_bytes) / self.span_s / nodes, 1
        )
        self.reads_per_s = round((after.calls - before.calls) / self.span_s, 2)
        self.core_percent = round(100 * (after.cpu_s - before.cpu_s) / self.span_s / nodes, 3)


async def measure_restart(fleet: Fleet) -> RestartCost:
    fleet.kill()
    calls_before = fleet.standin.counts.calls
    first_second = int(time.monotonic())
    began = time.monotonic()
    fleet.start(fleet.vms)
    await fleet.wait_until_ready(READY_LIMIT_S)
    took_s = time.monotonic() - began
    counts = fleet.standin.counts
    peak = max(count for at, count in counts.by_second.items() if at >= first_second)
    return RestartCost(len(fleet.vms), peak, counts.calls - calls_before, round(took_s, 2))


def find_quantile(ordered: list[float], share: float) -> float:
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


if __name__ == "__main__":
    typer.run(main)

"""Cost of a metrics scrape and of a burn report, at a node and at the operator.

Run with `python -m benchmarks.report`. The last line is one JSON object.
"""

from __future__ import annotations

import json
import random
import resource
import time
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import replace
from typing import Annotated

import curio
import typer

from trefoilpick.burn import build_burn_report
from trefoilpick.metrics import Metrics
from trefoilpick.operatorserver import collect_cooperatively
from trefoilpick.reports import (
    ContractObjective,
    NodeReport,
    encode_report,
    encode_windows,
    list_latencies,
)
from trefoilpick.status import decode_status
from trefoilpick.windows import WINDOW_S, SeriesTable, WindowHistory, open_window_history

SEED = 20261203
"""Seed of all recorded values."""

STEPS = 1_700
"""Number of recorded windows; more than a node retains."""

DATA_CENTRES = 11
"""Data centres of the fleet."""


def record_history(contracts: int) -> tuple[Metrics, WindowHistory]:
    """Record metrics until the history holds as many windows as a node retains.

    Args:
        contracts: Number of contracts for which the node has requests.
    """
    rng = random.Random(SEED)
    metrics = Metrics()
    windows = open_window_history(metrics, now_s=0.0)
    for step in range(1, STEPS + 1):
        for number in range(contracts):
            labels = {"team": f"team-{number}", "route": "route"}
            for result in ("good", "slow", "shed"):
                metrics.count("trefoilpick_requests_total", 100, **labels, result=result)
            metrics.observe("trefoilpick_request_microseconds", rng.lognormvariate(9, 1), **labels)
        metrics.count("trefoilpick_control_bytes_total", 60_000, direction="sent")
        metrics.observe("trefoilpick_convergence_microseconds", rng.lognormvariate(13, 1))
        windows.advance(step * WINDOW_S)
    return metrics, windows


def encode_node_report(metrics: Metrics, windows: WindowHistory, contracts: int) -> bytes:
    """Return a node's encoded report, as the endpoint `/report` sends it."""
    table = SeriesTable()
    latencies = tuple(list_latencies(metrics, table))
    encoded = list(encode_windows(windows.read(STEPS * WINDOW_S, table)))
    objectives = tuple(
        ContractObjective(f"team-{n}", "route", 0.999, 400) for n in range(contracts)
    )
    series = tuple(table.list_series())
    head = NodeReport("vm", "lima-a", 1, 1, objectives, STEPS * WINDOW_S, latencies, series, ())
    return encode_report(head, encoded)


def measure_wait(work: Callable[[], Awaitable[object]]) -> tuple[float, float]:
    """Return the duration of an operation and the longest wait of another task, in milliseconds."""

    async def main() -> tuple[float, float]:
        worst = 0.0
        is_done = False

        async def tick() -> None:
            nonlocal worst
            last = time.perf_counter()
            while not is_done:
                await curio.sleep(0)
                now = time.perf_counter()
                worst, last = max(worst, now - last), now

        ticker = await curio.spawn(tick)
        await curio.sleep(0)
        began = time.perf_counter()
        await work()
        took = time.perf_counter() - began
        is_done = True
        await ticker.join()
        return took * 1_000, worst * 1_000

    return curio.run(main)


def decode_reports(data: bytes, nodes: int) -> Iterator[NodeReport]:
    """Yield decoded reports of a fleet whose nodes all send the same data."""
    for number in range(nodes):
        report = decode_status(data, NodeReport)
        data_centre = f"data-centre-{number % DATA_CENTRES}"
        yield replace(report, vm=f"vm-{number}", data_centre=data_centre)


def main(
    nodes: Annotated[int, typer.Option(help="Nodes of the fleet.", min=1)] = 1_100,
    contracts: Annotated[int, typer.Option(help="Contracts of one node.", min=1)] = 60,
    used: Annotated[int, typer.Option(help="Contracts that a node of the fleet uses.")] = 5,
) -> None:
    """Measure a scrape and a report of one node, and the merge of a fleet."""
    metrics, windows = record_history(contracts)
    scrape = measure_wait(lambda: collect_cooperatively(metrics.render()))
    read = measure_wait(
        lambda: collect_cooperatively(encode_windows(windows.read(STEPS * WINDOW_S, SeriesTable())))
    )
    report_bytes = len(encode_node_report(metrics, windows, contracts))
    data = encode_node_report(*record_history(used), 300)
    began = time.process_time()
    reports = list(decode_reports(data, nodes))
    decoded = time.process_time()
    build_burn_report(reports, made_at="")
    built = time.process_time()
    result = {
        "scrape_ms": round(scrape[0], 2),
        "scrape_longest_wait_ms": round(scrape[1], 2),
        "report_ms": round(read[0], 2),
        "report_longest_wait_ms": round(read[1], 2),
        "report_bytes": report_bytes,
        "fleet_node_bytes": len(data),
        "fleet_decode_s": round(decoded - began, 2),
        "fleet_build_s": round(built - decoded, 2),
        "fleet_resident_mb": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss // 1_024,
    }
    print(json.dumps(result))


if __name__ == "__main__":
    typer.run(main)

"""Measure the request path: added latency, CPU time and throughput.

The last line of the output is one JSON object.
"""

from __future__ import annotations

import json
import signal
import sys
import tempfile
import time
from pathlib import Path
from typing import TYPE_CHECKING, Annotated

import typer

from benchmarks._bench_fleet import BenchFleet, WorkerPlan, build_fleet
from benchmarks._load import Lane, LoadPlan
from benchmarks._policies import LOADS, list_plans, measure_policy, measure_replacement
from benchmarks._runs import find_quantile, run_load

if TYPE_CHECKING:
    from collections.abc import Iterator

QUEUE_LENGTH = 8
"""Maximum number of requests queued for one worker in the policy measurements."""

POLICY_S = 1.5
"""Duration of each offered load at scale 1, in seconds."""

DURATIONS_S = {1: 5.0, 50: 2.5, 350: 3.0}
"""Durations at scale 1, in seconds, by rate in calls per second."""

CONNECTIONS = 16
"""Connections of each generator at saturation."""


def measure_latency(fleet: BenchFleet, rate: float, duration_s: float) -> dict[str, object]:
    """Compare calls through two nodes with calls to the workers, each at a rate per node.

    Args:
        fleet: A running fleet of two VMs.
        rate: Calls per second through each node.
        duration_s: Duration, in seconds.
    """
    plans = []
    for index, vm in enumerate(fleet.vms):
        other = fleet.vms[1 - index]
        path = f"/{other.plan.service}/status"
        lanes = (
            Lane("direct", (other.worker_address,), path, rate),
            Lane("through", (vm.caller_address,), path, rate),
        )
        plans.append(LoadPlan(lanes, duration_s, seed=index + 1))
    cpu_before, before = fleet.measure_cpu(), time.monotonic()
    calls = [call for result in run_load(*plans) for call in result]
    elapsed_s = time.monotonic() - before
    cpu = [after - first for after, first in zip(fleet.measure_cpu(), cpu_before, strict=True)]
    direct = [call.us for call in calls if call.lane == "direct" and call.status == 200]
    through = [call.us for call in calls if call.lane == "through" and call.status == 200]
    failed = sum(call.status != 200 for call in calls)
    return {
        "rate": rate,
        "calls": len(through),
        "failed": failed,
        "direct_us": {"p50": find_quantile(direct, 0.5), "p99": find_quantile(direct, 0.99)},
        "through_us": {"p50": find_quantile(through, 0.5), "p99": find_quantile(through, 0.99)},
        "added_us": {
            "p50": find_quantile(through, 0.5) - find_quantile(direct, 0.5),
            "p99": find_quantile(through, 0.99) - find_quantile(direct, 0.99),
        },
        "core_percent": round(100 * sum(cpu) / len(cpu) / elapsed_s, 1),
    }


def measure_saturation(fleet: BenchFleet, duration_s: float) -> dict[str, float]:
    """Measure throughput and CPU time per call of nodes that forward and receive concurrently."""
    plans = []
    for index, vm in enumerate(fleet.vms):
        path = f"/{fleet.vms[1 - index].plan.service}/status"
        lane = Lane("through", (vm.caller_address,), path, connections=CONNECTIONS)
        plans.append(LoadPlan((lane,), duration_s))
    before = sum(fleet.measure_cpu())
    calls = [call for result in run_load(*plans) for call in result]
    cpu_s = sum(fleet.measure_cpu()) - before
    good = sum(call.status == 200 for call in calls)
    return {
        "calls_per_s_a_node": round(good / duration_s / len(fleet.vms), 1),
        "cpu_us_a_call": round(cpu_s / max(good, 1) * 1_000_000, 1),
    }


def main(
    scale: Annotated[float, typer.Option(help="Factor for all durations.")] = 1.0,
) -> None:
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    report: dict[str, object] = {}
    with tempfile.TemporaryDirectory() as folder:
        plans = [WorkerPlan("encargos"), WorkerPlan("portafolio")]
        with build_fleet(Path(folder), plans) as fleet:
            report["latency"] = list(_measure_rates(fleet, scale))
            report["saturation"] = measure_saturation(fleet, 2.0 * scale)
    with (
        tempfile.TemporaryDirectory() as folder,
        build_fleet(Path(folder), list_plans(), queue=QUEUE_LENGTH) as fleet,
    ):
        report["policy"] = list(_measure_policies(fleet, POLICY_S * scale))
        report["replacement"] = measure_replacement(fleet)
    print(json.dumps(report))


def _measure_rates(fleet: BenchFleet, scale: float) -> Iterator[dict[str, object]]:
    run_load(*_build_warm_up(fleet))
    for rate, duration_s in DURATIONS_S.items():
        measured = measure_latency(fleet, rate, duration_s * scale)
        print(measured, flush=True)
        yield measured


def _measure_policies(fleet: BenchFleet, duration_s: float) -> Iterator[dict[str, object]]:
    cases = [("plain", load) for load in LOADS] + [("slow", 0.5), ("lying", 0.5)]
    for service, load in cases:
        measured = measure_policy(fleet, service, load, duration_s)
        print(measured, flush=True)
        yield measured


def _build_warm_up(fleet: BenchFleet) -> list[LoadPlan]:
    lanes = [
        Lane("through", (vm.caller_address,), f"/{other.plan.service}/status", 200)
        for vm in fleet.vms
        for other in fleet.vms
    ]
    return [LoadPlan(tuple(lanes), 1.0)]


if __name__ == "__main__":
    typer.run(main)

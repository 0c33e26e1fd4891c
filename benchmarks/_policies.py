"""Behaviour under load: goodput by priority, slow and broken workers, rolling replacement."""

from __future__ import annotations

import json
import subprocess
import sys
import time
import urllib.request
from collections import Counter
from typing import TYPE_CHECKING

import msgspec

from benchmarks._bench_fleet import BenchFleet, WorkerPlan
from benchmarks._load import Call, Lane, LoadPlan
from benchmarks._runs import find_quantile, run_load
from trefoilpick.document import Priority

if TYPE_CHECKING:
    from benchmarks._bench_fleet import BenchVm

SLOTS = 4
"""Number of requests that a worker runs concurrently."""

SERVICE_MS = 40.0
"""Service time of a request at a worker, in milliseconds."""

WORKERS = 3
"""Number of workers of each service."""

LOADS = (0.5, 1.0, 2.0, 4.0)
"""Offered loads, as multiples of the capacity of the workers."""

SLOW_FACTOR = 10
"""Factor by which the service time of the slow worker is longer."""

REPLACEMENT_PAUSE_S = 0.7
"""Pause between the replacements of two nodes, in seconds."""


def list_plans() -> list[WorkerPlan]:
    """Return the workers of three services.

    Workers of "plain" are alike; "slow" has a slow worker; "lying" has a worker that fails every
    request although its health check succeeds.
    """
    plain = [WorkerPlan("plain", SLOTS, SERVICE_MS) for _ in range(WORKERS)]
    slow = [WorkerPlan("slow", SLOTS, SERVICE_MS) for _ in range(WORKERS - 1)]
    slow.append(WorkerPlan("slow", SLOTS, SERVICE_MS * SLOW_FACTOR))
    lying = [WorkerPlan("lying", SLOTS, SERVICE_MS) for _ in range(WORKERS - 1)]
    lying.append(WorkerPlan("lying", SLOTS, SERVICE_MS, is_broken=True))
    return [*plain, *slow, *lying]


def compute_capacity() -> float:
    """Return the calls per second that the workers of the plain service can run."""
    return WORKERS * SLOTS * 1_000 / SERVICE_MS


def measure_policy(
    fleet: BenchFleet, service: str, load: float, duration_s: float
) -> dict[str, object]:
    """Measure a load through the nodes, then the same load sent directly to workers.

    The direct calls are retried blindly. Calls are spread evenly over all priorities.

    Args:
        fleet: The running fleet.
        service: Name of the service to call.
        load: Offered load, as a multiple of the capacity of the workers.
        duration_s: Duration of each of both measurements, in seconds.
    """
    rate = load * compute_capacity() / len(Priority)
    vms = [vm for vm in fleet.vms if vm.plan.service == service]
    nodes = tuple(vm.caller_address for vm in fleet.vms)
    workers = tuple(vm.worker_address for vm in vms)
    before = sum(count_retries(vm) for vm in fleet.vms)
    through_nodes = _run_lanes(service, rate, duration_s, nodes, blind=False)
    retries = sum(count_retries(vm) for vm in fleet.vms) - before
    blind = _run_lanes(service, rate, duration_s, workers, blind=True)
    return {
        "service": service,
        "load": load,
        "ours": _summarize(through_nodes, duration_s, retries),
        "simplest": _summarize(blind, duration_s, sum(call.attempts - 1 for call in blind)),
    }


def measure_replacement(fleet: BenchFleet) -> dict[str, object]:
    """Replace the nodes of one service in turn under load; compare callers' results with runs."""
    vms = [vm for vm in fleet.vms if vm.plan.service == "plain"]
    process = subprocess.Popen(
        [sys.executable, "-m", "benchmarks._rolling", *(vm.caller_address for vm in vms)],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
    )
    time.sleep(REPLACEMENT_PAUSE_S)
    exit_codes = []
    for vm in vms:
        exit_codes.append(fleet.stop_node(vm))
        fleet.start_node(vm)
        fleet.wait_ready(vms, {"plain"})
        time.sleep(REPLACEMENT_PAUSE_S)
    output, _ = process.communicate(b"stop\n")
    ends: dict[str, str] = json.loads(output)
    runs: Counter[str] = Counter()
    for vm in vms:
        runs.update(read_json(f"http://{vm.worker_address}/report")["runs"])
    return {
        "exit_codes": exit_codes,
        "calls": len(ends),
        "ends": dict(Counter(ends.values())),
        "lost": sum(end == "answered" and runs[name] == 0 for name, end in ends.items()),
        "doubled": sum(name.startswith("once") and runs[name] > 1 for name in ends),
        "cut": sum(end == "cut" for end in ends.values()),
        "run_though_told_not": sum(
            end.startswith("not_run") and runs[name] > 0 for name, end in ends.items()
        ),
    }


def count_retries(vm: BenchVm) -> int:
    """Return the number of retries that a node has made so far."""
    url = f"http://{vm.settings.listen.host}:{vm.settings.listen.operator_port}/metrics"
    with urllib.request.urlopen(url, timeout=5) as answer:
        lines = answer.read().decode().splitlines()
    retry_lines = [line for line in lines if line.startswith("trefoilpick_retries_total")]
    return sum(int(line.rpartition(" ")[2]) for line in retry_lines)


def read_json(url: str) -> dict[str, dict[str, int]]:
    """Return the JSON object at a URL."""
    with urllib.request.urlopen(url, timeout=5) as answer:
        return msgspec.json.decode(answer.read())


def _run_lanes(
    service: str, rate: float, duration_s: float, addresses: tuple[str, ...], *, blind: bool
) -> list[Call]:
    lanes = tuple(
        Lane(priority.value, addresses, f"/{service}/{priority.value}", rate, blind=blind)
        for priority in Priority
    )
    return run_load(LoadPlan(lanes, duration_s))[0]


def _summarize(calls: list[Call], duration_s: float, retries: int) -> dict[str, object]:
    by_priority = {}
    for priority in Priority:
        priority_calls = [call for call in calls if call.lane == priority.value]
        good = [call.us for call in priority_calls if call.status == 200]
        by_priority[priority.value] = {
            "offered_per_s": round(len(priority_calls) / duration_s),
            "goodput_per_s": round(len(good) / duration_s),
            "p99_ms": round(find_quantile(good, 0.99) / 1_000),
        }
    return {"retries_share": round(retries / max(len(calls), 1), 3), **by_priority}

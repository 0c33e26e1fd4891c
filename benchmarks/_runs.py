"""Run load generators in separate processes."""

from __future__ import annotations

import subprocess
import sys

import msgspec

from benchmarks._load import Call, LoadPlan


def run_load(*plans: LoadPlan) -> list[list[Call]]:
    """Run a load generator for each plan concurrently; return their calls."""
    processes = []
    for plan in plans:
        process = subprocess.Popen(
            [sys.executable, "-m", "benchmarks._load"],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )
        assert process.stdin is not None
        process.stdin.write(msgspec.json.encode(plan))
        process.stdin.close()
        processes.append(process)
    results = []
    for process in processes:
        assert process.stdout is not None
        results.append(msgspec.json.decode(process.stdout.read(), type=list[Call]))
        process.wait()
    return results


def find_quantile(values: list[int], share: float) -> int:
    """Return a quantile of values; 0 if there are none."""
    ordered = sorted(values)
    return ordered[min(int(len(ordered) * share), len(ordered) - 1)] if ordered else 0

"""Run load generators in separate processes."""

from __future__ import annotations

import subprocess
import sys

import msgspec

from benchmarks._load import Call, LoadPlan


def run_load(*plans: LoadPlan) -> list[list[Call]]:
    """Run one load generator for each plan, all concurrently; return the calls of each."""
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
    """Return the quantile of values at a share between 0 and 1; 0 without values."""
    ordered = sorted(values)
    return ordered[min(int(len(ordered) * share), len(ordered) - 1)] if ordered else 0

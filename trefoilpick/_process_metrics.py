"""Processor time and memory of the process, as gauges."""

from __future__ import annotations

import resource
from pathlib import Path
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from trefoilpick.metrics import Metrics

STATM_PATH = Path("/proc/self/statm")
"""File in which the kernel gives the memory of the process, in pages."""


def measure_process(metrics: Metrics) -> None:
    """Set the gauges of processor time and resident memory."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    metrics.set_gauge("trefoilpick_process_cpu_seconds", usage.ru_utime + usage.ru_stime)
    metrics.set_gauge("trefoilpick_process_resident_bytes", _read_resident_bytes())


def _read_resident_bytes() -> int:
    pages = int(STATM_PATH.read_text(encoding="ascii").split()[1])
    return pages * resource.getpagesize()

"""The clock of the running curio kernel, for code that cannot await."""

from __future__ import annotations

import time
from typing import Any

import curio.kernel


def read_clock() -> float:
    """Return the kernel's monotonic time in seconds; virtual under `run_virtual`."""
    kernel: Any = curio.kernel
    return kernel.time.monotonic()


def read_wall_ms() -> int:
    """Return milliseconds since the Unix epoch."""
    return time.time_ns() // 1_000_000

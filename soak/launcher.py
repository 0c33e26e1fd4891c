"""Run a node with an adjustable wall clock and, optionally, deliberate breakages."""

from __future__ import annotations

import sys
import time
from contextlib import suppress
from pathlib import Path
from typing import TYPE_CHECKING

from soak.breakages import BREAKAGES
from soak.fleet import NS_PER_MS
from trefoilpick._cli_node import node

if TYPE_CHECKING:
    from collections.abc import Callable


def shift_clock(path: Path) -> None:
    """Shift the wall clock of this process by the offset in a file, in milliseconds.

    The file is read at every call of the clock; without a valid file the offset is zero.
    """
    read_time: Callable[[], int] = time.time_ns

    def read_shifted_time() -> int:
        with suppress(OSError, ValueError):
            return read_time() + int(path.read_text()) * NS_PER_MS
        return read_time()

    time.time_ns = read_shifted_time


def main() -> None:
    """Run a node; arguments: settings file, clock file and names of breakages."""
    settings, clock, *breakages = sys.argv[1:]
    shift_clock(Path(clock))
    for name in breakages:
        BREAKAGES[name].apply()
    node(Path(settings), None)


if __name__ == "__main__":
    main()

"""Stop signals of a daemon, as an event that a task can wait for."""

from __future__ import annotations

import signal
from typing import TYPE_CHECKING

import curio

if TYPE_CHECKING:
    from types import FrameType

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
"""Signals that ask a daemon to stop."""


def watch_stop_signals() -> curio.UniversalEvent:
    """Return an event that any stop signal sets; signals after the first change nothing."""
    stopped = curio.UniversalEvent()

    def note_signal(_number: int, _frame: FrameType | None) -> None:
        if not stopped.is_set():
            stopped.set()

    for number in STOP_SIGNALS:
        signal.signal(number, note_signal)
    return stopped

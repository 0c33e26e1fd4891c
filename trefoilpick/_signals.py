"""Signals of a daemon, as events that a task can wait for."""

from __future__ import annotations

import signal
from typing import TYPE_CHECKING

import curio

if TYPE_CHECKING:
    from collections.abc import Iterable
    from types import FrameType

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
"""Signals that ask a daemon to stop."""

RELOAD_SIGNALS = (signal.SIGHUP,)
"""Signals that tell a daemon that its settings changed."""


def watch_stop_signals() -> curio.UniversalEvent:
    """Return an event that any stop signal sets; signals after the first change nothing."""
    return _watch_signals(STOP_SIGNALS)


def watch_reload_signals() -> curio.UniversalEvent:
    """Return an event that any reload signal sets; clear it before reading the settings."""
    return _watch_signals(RELOAD_SIGNALS)


def _watch_signals(numbers: Iterable[signal.Signals]) -> curio.UniversalEvent:
    told = curio.UniversalEvent()

    def note_signal(_number: int, _frame: FrameType | None) -> None:
        if not told.is_set():
            told.set()

    for number in numbers:
        signal.signal(number, note_signal)
    return told

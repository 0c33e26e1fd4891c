"""Process signals as curio events."""

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
"""Signals that ask a daemon to read its settings again."""


def watch_stop_signals() -> curio.UniversalEvent:
    """Return an event that any stop signal sets; later signals have no effect."""
    return _watch_signals(STOP_SIGNALS)


def watch_reload_signals() -> curio.UniversalEvent:
    """Return an event that any reload signal sets; clear it before reading the settings."""
    return _watch_signals(RELOAD_SIGNALS)


def _watch_signals(numbers: Iterable[signal.Signals]) -> curio.UniversalEvent:
    received = curio.UniversalEvent()

    def handle_signal(_number: int, _frame: FrameType | None) -> None:
        if not received.is_set():
            received.set()

    for number in numbers:
        signal.signal(number, handle_signal)
    return received

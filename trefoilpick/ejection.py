"""Ejection of a failing worker: exponential backoff with single probes."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

FAILURES_TO_EJECT = 3
"""Consecutive failures after which a worker is ejected."""

FIRST_EJECTION_S = 1.0
"""Duration of a worker's first ejection, in seconds."""

MAX_EJECTION_S = 60.0
"""Longest duration of an ejection, in seconds."""

PROBE_TIMEOUT_S = 5.0
"""Time after which a probe without a result no longer blocks the next one, in seconds."""


class Ejection:
    """Ejection state of one worker.

    After `FAILURES_TO_EJECT` consecutive failures the worker is ejected for a pause. Then a single
    request is sent as a probe: a success ends the ejection, a failure doubles the pause.

    Attributes:
        ejected_at: When the newest pause began, in seconds on the node's clock.
    """

    def __init__(self) -> None:
        self.ejected_at = 0.0
        self._failures = 0
        self._ejections = 0
        self._paused_until: float | None = None
        self._probed_until = 0.0

    @property
    def is_ejected(self) -> bool:
        """Whether the worker is ejected or being probed."""
        return self._paused_until is not None

    def is_blocked(self, now: float) -> bool:
        """Return whether the worker must not get a request now."""
        if self._paused_until is None:
            return False
        return now < self._paused_until or now < self._probed_until

    def record_request(self, now: float) -> None:
        """Record a request to the worker; it is a probe if the worker is ejected."""
        if self._paused_until is not None:
            self._probed_until = now + PROBE_TIMEOUT_S

    def record_success(self) -> None:
        """Record a successful answer, which ends an ejection."""
        self._failures = 0
        self._probed_until = 0.0
        if self._paused_until is not None:
            self._paused_until = None
        elif self._ejections:
            self._ejections -= 1

    def eject(self, now: float, random: random.Random) -> None:
        """Eject the worker at once, because its own node reports it as failing."""
        if self._paused_until is None:
            self._failures = FAILURES_TO_EJECT
            self.record_failure(now, random)

    def record_failure(self, now: float, random: random.Random) -> None:
        """Record a failure, which may begin an ejection or lengthen its pause."""
        self._failures += 1
        self._probed_until = 0.0
        if self._paused_until is None and self._failures < FAILURES_TO_EJECT:
            return
        if self._paused_until is not None and now < self._paused_until:
            return
        pause_s = min(FIRST_EJECTION_S * 2**self._ejections, MAX_EJECTION_S)
        self._ejections = min(self._ejections + 1, 16)
        self.ejected_at = now
        self._paused_until = now + pause_s * random.uniform(0.5, 1.0)

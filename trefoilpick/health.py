"""How well a worker does, as the node beside it sees by the worker's own answers.

The node beside a worker sees all of its answers, and tells their failing share in every load that
it reports. So a caller's node avoids a failing worker after one answer, not after failures of its
own.
"""

from __future__ import annotations

HALF_LIFE_S = 5.0
"""Time in which a former answer loses half its weight, in seconds."""

MIN_WEIGHT = 2.0
"""Weight of answers under which no share is told."""

PERCENT = 100


class WorkerHealth:
    """Failing share of a worker's recent answers.

    Args:
        now: Time on the node's clock, in seconds.
    """

    def __init__(self, now: float) -> None:
        self._good = 0.0
        self._failed = 0.0
        self._updated_at = now

    def note(self, now: float, *, failed: bool) -> None:
        """Note the end of a request that reached the worker."""
        self._fade(now)
        if failed:
            self._failed += 1.0
        else:
            self._good += 1.0

    def measure_failing(self, now: float) -> int:
        """Return the failing share in percent; 0 where too few answers are recent."""
        self._fade(now)
        weight = self._good + self._failed
        if weight < MIN_WEIGHT:
            return 0
        return round(PERCENT * self._failed / weight)

    def _fade(self, now: float) -> None:
        kept = 0.5 ** (max(now - self._updated_at, 0.0) / HALF_LIFE_S)
        self._good *= kept
        self._failed *= kept
        self._updated_at = now

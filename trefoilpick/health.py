"""Failure rate of a worker, measured by its own node.

A worker's node sees all of its answers and includes the failure rate in every load that it
reports. A caller's node can therefore avoid a failing worker after a single answer instead of
after several failures of its own.
"""

from __future__ import annotations

HALF_LIFE_S = 5.0
"""Time in which the weight of an answer is halved, in seconds."""

MIN_WEIGHT = 2.0
"""Total weight of answers below which no failure rate is reported."""

PERCENT = 100


class WorkerHealth:
    """Failure rate of a worker's recent answers, with exponential decay.

    Args:
        now: Current time on the node's clock, in seconds.
    """

    def __init__(self, now: float) -> None:
        self._succeeded = 0.0
        self._failed = 0.0
        self._updated_at = now

    def record_result(self, now: float, *, failed: bool) -> None:
        """Record the result of a request that reached the worker."""
        self._decay(now)
        if failed:
            self._failed += 1.0
        else:
            self._succeeded += 1.0

    def compute_failing_percent(self, now: float) -> int:
        """Return the failure rate in percent; 0 if there are too few recent answers."""
        self._decay(now)
        weight = self._succeeded + self._failed
        if weight < MIN_WEIGHT:
            return 0
        return round(PERCENT * self._failed / weight)

    def _decay(self, now: float) -> None:
        decay_factor = 0.5 ** (max(now - self._updated_at, 0.0) / HALF_LIFE_S)
        self._succeeded *= decay_factor
        self._failed *= decay_factor
        self._updated_at = now

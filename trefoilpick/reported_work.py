"""Expected work of one worker as a sending node knows it, from reports of the worker's node."""

from __future__ import annotations

from typing import TYPE_CHECKING

from trefoilpick.averages import update_average

if TYPE_CHECKING:
    from trefoilpick.hops import Load

MAX_LOAD_AGE_S = 8.0
"""Age at which a reported load is ignored, in seconds."""

WORK_HALF_LIFE_S = 1.0
"""Half-life of the weight of reported work, in seconds; then other senders have replaced it."""

AVERAGE_WEIGHT = 0.2
"""Weight of the newest report in a worker's average work."""


class ReportedWork:
    """Work reported last, and work that this node has sent since.

    Attributes:
        speed: Speed of the worker; 1 is the mean of its service.
    """

    def __init__(self) -> None:
        self.speed = 1.0
        self._wait_s: float | None = None
        self._average_s = 0.0
        self._slots = 1
        self._sent_s = 0.0
        self._reported_at = 0.0

    def record(self, load: Load, now: float) -> None:
        """Apply a report of the worker's node."""
        self._slots = max(load.slots, 1)
        self._wait_s = None if load.work_s is None else max(load.work_s, 0.0) / self._slots
        if self._wait_s is not None:
            average_s = self._average_s or None
            self._average_s = update_average(average_s, self._wait_s, weight=AVERAGE_WEIGHT)
        self._sent_s = 0.0
        self._reported_at = now
        if load.speed is not None and load.speed > 0.0:
            self.speed = load.speed

    def add_sent(self, expected_s: float) -> None:
        """Add a request that is sent to the worker.

        Args:
            expected_s: Its expected time on an average worker of the service, in seconds.
        """
        self._sent_s += expected_s / self.speed

    def estimate_wait(self, now: float) -> float | None:
        """Return the expected work per slot now, in seconds; None if it is unknown or outdated.

        The worker has worked since the report, and other senders have sent to it, so that an old
        report tells less than the average of the worker's reports.
        """
        age_s = now - self._reported_at
        if self._wait_s is None or age_s > MAX_LOAD_AGE_S:
            return None
        weight = 0.5 ** (age_s / WORK_HALF_LIFE_S)
        rest_s = max(self._wait_s - age_s, 0.0)
        return weight * rest_s + (1 - weight) * self._average_s + self._sent_s / self._slots

    def estimate_service(self, expected_s: float) -> float:
        """Return the expected time of a request at this worker, in seconds.

        Args:
            expected_s: Its expected time on an average worker of the service, in seconds.
        """
        return expected_s / self.speed

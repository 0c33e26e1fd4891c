"""Expected work of one worker as a sending node knows it, from reports of the worker's node."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from trefoilpick.hops import Load

MAX_LOAD_AGE_S = 8.0
"""Age at which a reported load is ignored, in seconds."""

WORK_HALF_LIFE_S = 1.0
"""Half-life of the weight of reported work, in seconds; then other senders have replaced it."""


class ReportedWork:
    """Work reported last, and work that this node has sent since.

    Attributes:
        speed: Speed of the worker; 1 is the mean of its service.
    """

    def __init__(self) -> None:
        self.speed = 1.0
        self._wait_s: float | None = None
        self._slots = 1
        self._sent_s = 0.0
        self._reported_at = 0.0

    def record(self, load: Load, now: float) -> None:
        """Apply a report of the worker's node."""
        self._slots = max(load.slots, 1)
        self._wait_s = None if load.work_s is None else max(load.work_s, 0.0) / self._slots
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

    def get_wait(self, now: float) -> float | None:
        """Return the reported work per slot, in seconds; None if it is unknown or outdated."""
        return None if now - self._reported_at > MAX_LOAD_AGE_S else self._wait_s

    def estimate_wait(self, now: float, mean_wait_s: float) -> float | None:
        """Return the expected work per slot now, in seconds; None if it is unknown or outdated.

        The worker has worked since the report, and other senders have sent to it. Their part is
        expected to tend to the mean of the service.

        Args:
            now: Time on the node's clock, in seconds.
            mean_wait_s: Mean reported work per slot over the workers of the service, in seconds.
        """
        wait_s = self.get_wait(now)
        if wait_s is None:
            return None
        age_s = now - self._reported_at
        weight = 0.5 ** (age_s / WORK_HALF_LIFE_S)
        rest_s = max(wait_s - age_s, 0.0)
        return weight * rest_s + (1 - weight) * mean_wait_s + self._sent_s / self._slots

    def estimate_service(self, expected_s: float) -> float:
        """Return the expected time of a request at this worker, in seconds.

        Args:
            expected_s: Its expected time on an average worker of the service, in seconds.
        """
        return expected_s / self.speed

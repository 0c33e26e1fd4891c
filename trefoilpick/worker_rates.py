"""Limits the requests to a worker to the rate that the worker states in its answers.

The node beside a worker sends all of its requests, so this one limit covers those of all nodes.
"""

from __future__ import annotations

from trefoilpick.ratelimits import TokenBucket

MIN_RATE_PER_S = 0.5
"""Lowest rate at which a worker gets requests, per second: only an answer can show that its limit
has ended."""

BURST_S = 0.1
"""Time whose share of the rate may be sent at once, in seconds; at least one request may."""


class WorkerRate:
    """The rate of requests that a worker accepts; unlimited until it states one.

    Attributes:
        limit: The stated limit, in requests per second; None if there is none.
    """

    def __init__(self) -> None:
        self.limit: float | None = None
        self._bucket: TokenBucket | None = None

    def set_limit(self, limit: float | None) -> None:
        """Apply the limit that the worker states; None ends it.

        A new limit starts without burst, since the worker has requests in flight.
        """
        if limit == self.limit:
            return
        self.limit = limit
        if limit is None:
            self._bucket = None
            return
        rate = max(limit, MIN_RATE_PER_S)
        burst = max(1.0, rate * BURST_S)
        if self._bucket is None:
            self._bucket = TokenBucket(rate, burst, tokens=0.0)
        else:
            self._bucket.resize(rate, burst)

    def try_acquire(self) -> bool:
        """Count one request to the worker; return False if the rate does not allow it now."""
        return self._bucket is None or self._bucket.try_acquire()

    def estimate_wait(self, count: int = 1) -> float:
        """Return the time until a number of requests may be sent, in seconds."""
        return 0.0 if self._bucket is None else self._bucket.estimate_wait(count)
